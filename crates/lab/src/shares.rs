//! Shared budgets in virtual time: the fleet's own limiter and allocator with one daemon that never fails, and a count
//! of what all sidecars spent together. Daemon failures are tested by `rig`.

use std::collections::{BTreeMap, VecDeque};

use appledyke::units::{Moment, Span};
use appledyke_fleet::allocator::Allocator;
use appledyke_fleet::budgets::{Budget, Budgets, Holder, Resource, ShareChange};
use appledyke_fleet::limits::{Grant, Limits, attempt_resources};

use crate::scenario::{By, Scenario, at_ms};

/// What all sidecars together spent of a budget.
struct Spent {
    budget: Budget,
    window: VecDeque<Moment>,
    most: u64,
    /// Spent in total after the warm-up.
    total: u64,
}

/// The daemon's reply to a usage report, and when the report was sent.
pub struct Reply {
    pub node: usize,
    pub incarnation: u32,
    asked: Moment,
    grants: Vec<Grant>,
}

pub struct Shares {
    by: By,
    alone: BTreeMap<Resource, (u64, u64)>,
    limits: Vec<Limits>,
    committed: Budgets,
    allocator: Allocator,
    index: u64,
    pub answers: Vec<Reply>,
    pub changes: Vec<ShareChange>,
    spent: Vec<Spent>,
    warm: Moment,
    over: Moment,
}

impl Shares {
    /// The budgets of one tier; sidecars are numbered across all tiers.
    pub fn new(scenario: &Scenario, sidecars: usize) -> Shares {
        let settings = &scenario.budgets;
        let part = |row: &Budget| match settings.by {
            By::Cut => (row.quota / settings.instances, row.window_ms),
            By::Parts => (row.standalone_share, row.window_ms),
        };
        let mut committed = Budgets::default();
        committed.configure(&settings.row);
        let spent = |row: &Budget| Spent { budget: *row, window: VecDeque::new(), most: 0, total: 0 };
        let alone: BTreeMap<_, _> = settings.row.iter().map(|row| (row.resource, part(row))).collect();
        Shares {
            by: settings.by,
            limits: vec![Limits::new(&alone); sidecars],
            alone,
            committed,
            allocator: Allocator::new(Moment::default(), 0),
            index: 0,
            answers: Vec::new(),
            changes: Vec::new(),
            spent: settings.row.iter().map(spent).collect(),
            warm: at_ms(scenario.warm_up_ms),
            over: at_ms(scenario.length_ms),
        }
    }

    pub fn divides(&self) -> bool {
        self.by == By::Parts
    }

    /// A sidecar starts without any grant.
    pub fn starts(&mut self, node: usize) {
        if let Some(limits) = self.limits.get_mut(node) {
            *limits = Limits::new(&self.alone);
        }
    }

    /// Delivers a sidecar's usage report to the daemon; the reply is stored until it arrives. Returns the reply's index.
    pub fn report(&mut self, now: Moment, node: usize, incarnation: u32) -> usize {
        let uses = self.limits[node].usage(now);
        let holder = Holder { name: format!("s{node}"), incarnation: u64::from(incarnation) };
        self.allocator.record_report(now, &holder, &uses, false);
        let grants = self.allocator.grants_for(&holder, &self.committed, self.index);
        self.answers.push(Reply { node, incarnation, asked: now, grants });
        self.answers.len() - 1
    }

    pub fn answered(&mut self, at: usize) {
        let answer = &mut self.answers[at];
        self.limits[answer.node].apply_grants(answer.asked, &std::mem::take(&mut answer.grants));
    }

    /// Asks the allocator for share changes. Returns their indices in `changes`.
    pub fn divide(&mut self, now: Moment) -> Vec<usize> {
        let before = self.changes.len();
        self.changes.extend(self.allocator.proposals(now, &self.committed));
        (before..self.changes.len()).collect()
    }

    pub fn applies(&mut self, at: usize) {
        self.index += 1;
        self.committed.apply(self.index, &self.changes[at]);
    }

    /// Whether a sidecar may send an attempt now; counts the attempt if so.
    pub fn may_send(&mut self, now: Moment, node: usize, again: bool, cold: bool) -> bool {
        let Some(limits) = self.limits.get_mut(node) else { return true };
        if !limits.try_spend_attempt(now, again, cold) {
            return false;
        }
        let counts =
            |spent: &&mut Spent| attempt_resources(again, cold).any(|of| of == spent.budget.resource);
        for spent in self.spent.iter_mut().filter(counts) {
            let window = Span::from_millis(spent.budget.window_ms);
            while spent.window.front().is_some_and(|at| now.since(*at) >= window) {
                spent.window.pop_front();
            }
            spent.window.push_back(now);
            spent.most = spent.most.max(spent.window.len() as u64);
            spent.total += u64::from(now >= self.warm && now < self.over);
        }
        true
    }

    /// For each budget: its quota, the most spent in any window, and the fraction used after the warm-up.
    pub fn uses(&self) -> BTreeMap<String, (u64, u64, f64)> {
        let row = |spent: &Spent| {
            let Budget { resource: of, quota: whole, window_ms, .. } = spent.budget;
            let windows = self.over.since(self.warm).secs() / Span::from_millis(window_ms).secs();
            (of.to_string(), (whole, spent.most, spent.total as f64 / (whole as f64 * windows).max(1.0)))
        };
        self.spent.iter().map(row).collect()
    }
}
