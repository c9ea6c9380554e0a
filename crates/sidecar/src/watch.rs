//! Decides as ever, and where other settings are to be watched, lets a second choice hear the same and what was
//! really done, and counts by kind where it would have decided otherwise. The second one carries out nothing: its
//! probes and messages are not sent, so it decides as if no report came, and it is woken only with the first.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;

use appledyke::choice::Choice;
use appledyke::news::Told;
use appledyke::terms::Terms;
use appledyke::units::Moment;
use appledyke::{Ask, Decision, Entry, Outcome};

/// Where the watched settings would have decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reqs of which something was really decided.
    pub decided: u64,
    /// Sent to another endpoint.
    pub elsewhere: u64,
    /// Nacked or failed, but really sent.
    pub ended: u64,
    /// Sent, but really nacked or failed.
    pub sent: u64,
    /// Nacked and not failed, or the reverse.
    pub answered: u64,
    /// Not yet decided, where something really was.
    pub later: u64,
    /// Decided already, where nothing really was.
    pub sooner: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counts { decided, elsewhere, ended, sent, answered, later, sooner } = self;
        write!(f, "of {decided} decisions, otherwise: elsewhere {elsewhere}, ended {ended}, sent {sent}, ")?;
        write!(f, "answered {answered}, later {later}, sooner {sooner}")
    }
}

struct Watch {
    choice: Choice,
    counts: Counts,
    asks: HashMap<usize, Ask>,
    /// What it decided, and nothing of the kind was really decided yet.
    decided: VecDeque<Decision>,
    /// Reqs of which it decided sooner: counted already.
    sooner: HashSet<usize>,
}

/// The choice that decides, and the one that is watched.
pub struct Decider {
    real: Choice,
    watch: Option<Watch>,
}

fn of_req(decision: &Decision) -> Option<usize> {
    match decision {
        Decision::Send { req, .. } | Decision::Nack { req, .. } | Decision::Fail { req, .. } => Some(*req),
        _ => None,
    }
}

impl Decider {
    pub fn new(now: Moment, terms: Terms, watched: Option<Terms>, seed: u64) -> Decider {
        let watch = watched.map(|terms| Watch {
            choice: Choice::new(now, terms, seed),
            counts: Counts::default(),
            asks: HashMap::new(),
            decided: VecDeque::new(),
            sooner: HashSet::new(),
        });
        Decider { real: Choice::new(now, terms, seed), watch }
    }

    pub fn counts(&self) -> Option<Counts> {
        self.watch.as_ref().map(|watch| watch.counts)
    }

    pub fn terms(&self) -> &Terms {
        self.real.terms()
    }

    /// Write-outs of another process of this sidecar have ended.
    pub fn told(&mut self, now: Moment, news: &[Told]) {
        self.both(|choice| choice.told(now, news.iter().copied(), true));
    }

    /// Write-outs of other members of the fleet have ended.
    pub fn heard(&mut self, now: Moment, news: &[Told]) {
        self.both(|choice| choice.told(now, news.iter().copied(), false));
    }

    pub fn gone_in_part(&mut self, now: Moment, req: usize) {
        self.both(|choice| choice.gone_in_part(now, req));
    }

    /// Other terms hold from now on, at these places.
    pub fn retune(&mut self, terms: Terms, watched: Option<Terms>, places: &[(usize, Option<usize>)]) {
        if let Some(watch) = &mut self.watch {
            let watched = watched.unwrap_or_else(|| watch.choice.terms().clone());
            watch.choice.retune(watched.aligned(&terms), places);
        }
        self.real.retune(terms, places);
    }

    /// How many endpoints are listed, and how many of them are avoided.
    pub fn avoided(&self, now: Moment) -> (usize, usize) {
        self.real.avoided(now)
    }

    fn both(&mut self, tell: impl Fn(&mut Choice)) {
        tell(&mut self.real);
        self.watch.iter_mut().for_each(|watch| tell(&mut watch.choice));
    }

    pub fn arrival(&mut self, now: Moment, req: usize, ask: Ask) {
        if let Some(watch) = &mut self.watch {
            watch.asks.insert(req, ask);
            watch.sooner.remove(&req);
        }
        self.both(|choice| choice.arrival(now, req, ask));
    }

    pub fn outcome(&mut self, now: Moment, req: usize, write_out: usize, outcome: Outcome, closed: bool) {
        self.both(|choice| choice.outcome(now, req, write_out, outcome, closed));
    }

    /// A probe has ended: only the choice that decides has sent it.
    pub fn probed(&mut self, now: Moment, endpoint: usize, load: Option<f64>) {
        self.real.probed(now, endpoint, load);
    }

    pub fn hangup(&mut self, req: usize) {
        self.both(|choice| choice.hangup(req));
    }

    pub fn wake(&mut self, now: Moment) {
        self.both(|choice| choice.wake(now));
    }

    pub fn list_opens(&mut self, complete: bool) {
        self.both(|choice| choice.list_opens(complete));
    }

    pub fn listed(&mut self, now: Moment, endpoint: usize, entry: Entry) {
        self.both(|choice| choice.listed(now, endpoint, entry));
    }

    pub fn list_closes(&mut self, now: Moment) {
        self.both(|choice| choice.list_closes(now));
    }

    pub fn list_failed(&mut self, now: Moment) {
        self.both(|choice| choice.list_failed(now));
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.real.next_decision(now);
        if let Some(watch) = &mut self.watch {
            watch.compare(now, decision.as_ref());
        }
        decision
    }
}

impl Watch {
    /// Its next decision; a probe that it would send brings nothing.
    fn pull(&mut self, now: Moment) -> Option<Decision> {
        let decision = self.choice.next_decision(now);
        if let Some(Decision::Probe { endpoint }) = decision {
            self.choice.probed(now, endpoint, None);
        }
        decision
    }

    fn compare(&mut self, now: Moment, really: Option<&Decision>) {
        let Some(really) = really else {
            while let Some(decision) = self.pull(now) {
                self.decided.push_back(decision);
            }
            for decision in std::mem::take(&mut self.decided) {
                self.too_soon(now, &decision);
            }
            return;
        };
        // Danger: where both decide alike they must hear alike, so one is pulled for one.
        self.counts.decided += u64::from(of_req(really).is_some());
        let first = self.pull(now);
        if self.decided.is_empty() && first.as_ref() == Some(really) {
            return;
        }
        self.decided.extend(first);
        let Some(req) = of_req(really) else { return };
        let same = |decided: &VecDeque<Decision>| decided.iter().position(|own| of_req(own) == Some(req));
        while same(&self.decided).is_none()
            && let Some(decision) = self.pull(now)
        {
            self.decided.push_back(decision);
        }
        let own = same(&self.decided).and_then(|at| self.decided.remove(at));
        self.reconcile(now, req, really, own);
    }

    /// It decided of a req of which nothing was really decided.
    fn too_soon(&mut self, now: Moment, decision: &Decision) {
        let Some(req) = of_req(decision) else { return };
        self.counts.sooner += u64::from(self.sooner.insert(req));
        if matches!(decision, Decision::Send { .. }) {
            self.choice.in_truth(now, req, None);
        }
    }

    /// Counts the difference, and brings the choice to what was really done.
    fn reconcile(&mut self, now: Moment, req: usize, really: &Decision, own: Option<Decision>) {
        let counts = &mut self.counts;
        let count = match (really, &own) {
            _ if self.sooner.remove(&req) => None,
            (_, None) => Some(&mut counts.later),
            (Decision::Send { endpoint, .. }, Some(Decision::Send { endpoint: own, .. })) => {
                (endpoint != own).then_some(&mut counts.elsewhere)
            }
            (Decision::Send { .. }, _) => Some(&mut counts.ended),
            (_, Some(Decision::Send { .. })) => Some(&mut counts.sent),
            (Decision::Nack { .. }, Some(Decision::Fail { .. })) => Some(&mut counts.answered),
            (Decision::Fail { .. }, Some(Decision::Nack { .. })) => Some(&mut counts.answered),
            _ => None,
        };
        count.into_iter().for_each(|count| *count += 1);
        let sent = matches!(own, Some(Decision::Send { .. }));
        match really {
            Decision::Send { endpoint, .. } => {
                if !sent && own.is_some() {
                    // It has ended the req, which is really open.
                    let Some(ask) = self.asks.get(&req).copied() else { return };
                    self.choice.arrival(now, req, ask);
                }
                self.choice.in_truth(now, req, Some(*endpoint));
            }
            _ => {
                if sent {
                    self.choice.in_truth(now, req, None);
                }
                self.choice.hangup(req);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use appledyke::Standing;
    use appledyke::units::Span;

    use super::*;
    use crate::launch::plain_terms;

    /// Some reqs over two endpoints, every fourth write-out refused for being full; what the watch counts.
    fn play(watched: &[(&str, &str)]) -> Counts {
        let at = |ms: u64| Moment::from_nanos(ms * 1_000_000);
        let mut both = Decider::new(at(0), plain_terms("read", &[]), Some(plain_terms("read", watched)), 7);
        both.list_opens(true);
        for endpoint in 0..2 {
            let entry = Entry { standing: Standing::Ready, mark: endpoint as u32, ..Entry::default() };
            both.listed(at(0), endpoint, entry);
        }
        both.list_closes(at(0));
        let mut sends = 0;
        for req in 0..100 {
            let now = at(10 * (req as u64 + 1));
            both.arrival(now, req, Ask { left: Span::from_millis(3000), ..Ask::default() });
            let mut write_outs = 0;
            while let Some(decision) = both.next_decision(now) {
                if let Decision::Send { req, .. } = decision {
                    sends += 1;
                    let outcome = if sends % 4 == 0 { Outcome::Saturated } else { Outcome::Satisfied };
                    both.outcome(now, req, write_outs, outcome, outcome == Outcome::Satisfied);
                    write_outs += 1;
                }
            }
        }
        assert!(sends > 100, "some are sent again: {sends}");
        both.counts().unwrap()
    }

    #[test]
    fn equal_settings_count_no_difference() {
        let counts = play(&[]);
        assert!(counts.decided > 100);
        assert_eq!(counts, Counts { decided: counts.decided, ..Counts::default() });
    }

    #[test]
    fn one_write_out_a_req_would_have_ended_what_was_really_sent_again() {
        let counts = play(&[("ceilings.mostWriteOuts", "1")]);
        assert!(counts.ended > 20, "{counts}");
        assert_eq!(counts.sent, 0, "{counts}");
    }
}
