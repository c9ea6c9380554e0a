//! The terms that a deployment sets for an instance, as far as they are used, decoded once at its start.

use std::collections::HashMap;
use std::str::FromStr;

use crate::Entry;
use crate::ids::{Names, Places};
use crate::units::Span;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Retryable,
    Deduplicated,
    NonRetryable,
}

/// Which endpoints deduplicate each other's requests: a repeat at an endpoint of the same group has no further
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether two endpoints belong to the same group.
    pub fn same_group(self, one: &Entry, other: &Entry) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    /// How long a group remembers a request to deduplicate it.
    pub window: Span,
    pub latency_budget: Span,
    pub deadline: Span,
    /// Worth of an answer past the latency budget, and of one within it.
    pub overdue_criticality: f64,
    pub criticality: f64,
    /// The only zones and kinds of machine that it may be sent to, as indices of the host's `Places`; none for any.
    pub zones: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
}

impl Method {
    /// Whether the method may be sent to this endpoint at all.
    pub fn allows(&self, entry: &Entry) -> bool {
        let among =
            |allowed: &Option<Vec<usize>>, own| allowed.as_ref().is_none_or(|allowed| allowed.contains(&own));
        among(&self.zones, entry.zone) && among(&self.kinds, entry.kind)
    }

    /// Whether the method is bound to certain zones or kinds of machine.
    pub fn has_placement(&self) -> bool {
        self.zones.is_some() || self.kinds.is_some()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub tick: Span,
    /// Number of instances that send to the same endpoints.
    pub instances: f64,
    /// This instance's index among them.
    pub instance_index: usize,
    /// Whether they may send messages to one another.
    pub may_tell: bool,
    /// If endpoints report their requests in flight to probes, and only to these: the position of that in a report.
    pub load_at: Option<usize>,
    /// The cost of one probe for each request.
    pub probe_price: f64,
    /// The methods by their indices. Requests refer to these, so a method that is not offered any more keeps its
    /// index as long as open requests use it.
    pub methods: Vec<Method>,
    pub offered: Vec<bool>,
    pub max_attempts: usize,
    pub may_cancel: bool,
    pub max_retry_after: Option<Span>,
    /// If changes of the list come only to instances that have subscribed: the time after which an instance counts as
    /// informed even if it has not.
    pub ask_within: Option<Span>,
    /// Time within which sending to an endpoint must stop once it is draining or gone, if that is stated.
    pub stop_sending_within: Option<Span>,
    /// The part of its full capacity that an endpoint has when it starts, and the time until it is warm.
    pub cold_capacity: f64,
    pub warm_up_time: Span,
    /// Window of time over which the sends to an endpoint are counted against its cold capacity.
    pub overload_window: Span,
    /// How long a connect may take; zero if connects take no time of their own.
    pub connect_timeout: Span,
    /// The instance's own zone, if that is known.
    pub own_zone: Option<usize>,
    /// The cost if as many attempts go to other zones as there are first tries.
    pub cross_zone_price: f64,
    /// Largest error, either way, of the time left with which a request arrives.
    pub time_left_error: Span,
    /// Largest error, either way, of the time at which an endpoint is said to have started.
    pub start_time_error: Span,
    /// Whether only drains are binding: an endpoint that is gone without having drained may still be sent to.
    pub only_drains_bind: bool,
    /// Most answers that the instance can hold while clients read them, if that is limited.
    pub reply_slots: Option<usize>,
}

/// The value of a load report with the requests in flight.
const LOAD: &str = "outstanding";

/// Settings by their paths.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Result<&'a str, String> {
        self.0.get(path).copied().ok_or_else(|| format!("setting {path} is missing"))
    }

    fn read<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let text = self.text(path)?;
        text.parse().map_err(|_| format!("setting {path} has the unreadable value '{text}'"))
    }

    fn span(&self, path: &str) -> Result<Span, String> {
        self.read(path).map(Span::from_nanos)
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(format!("setting {path} has the unreadable value '{other}'")),
        }
    }

    fn or<T: FromStr>(&self, path: &str, default: T) -> Result<T, String> {
        if self.0.contains_key(path) { self.read(path) } else { Ok(default) }
    }

    fn flag_or(&self, path: &str, default: bool) -> Result<bool, String> {
        if self.0.contains_key(path) { self.flag(path) } else { Ok(default) }
    }

    fn span_or_zero(&self, path: &str) -> Result<Span, String> {
        self.or(path, 0).map(Span::from_nanos)
    }

    /// The names in a list, if there is one: separated by commas, or one at each path.
    fn names(&self, path: &str) -> Result<Option<Vec<&str>>, String> {
        let by_path = self.0.contains_key(format!("{path}.count").as_str());
        let names = if by_path {
            (0..self.count(path)?)
                .map(|at| self.text(&format!("{path}.{at}")))
                .collect::<Result<Vec<_>, _>>()?
        } else {
            let Some(text) = self.0.get(path) else { return Ok(None) };
            text.split(',').collect()
        };
        // Danger: a list without any name would bind the method to no place, or be taken for no binding at all.
        if names.is_empty() || names.contains(&"") {
            return Err(format!("setting {path} names no place, or an empty one"));
        }
        Ok(Some(names))
    }

    fn count(&self, list: &str) -> Result<usize, String> {
        self.or(&format!("{list}.count"), 0)
    }

    fn load_at(&self) -> Result<Option<usize>, String> {
        let source = self.0.get("reporting.source").copied().unwrap_or("off");
        if !["off", "inline", "on_probe"].contains(&source) {
            return Err(format!("setting reporting.source has the unknown value '{source}'"));
        }
        let listed =
            (0..self.count("reporting.names")?).map(|at| self.text(&format!("reporting.names.{at}")));
        let mut names = listed.collect::<Result<Vec<_>, _>>()?;
        names.extend(self.0.get("reporting.names").into_iter().flat_map(|names| names.split(',')));
        let probed = source == "on_probe" && self.flag_or("ceilings.probes", false)?;
        Ok(names.iter().position(|name| *name == LOAD).filter(|_| probed))
    }

    fn method(&self, at: &str, places: &mut Places) -> Result<Method, String> {
        let key = |name: &str| format!("{at}.{name}");
        let indices = |names: Option<Vec<&str>>, among: &mut Names| {
            names.map(|names| names.iter().map(|name| among.index(name)).collect())
        };
        let zones = indices(self.names(&key("confinedTo"))?, &mut places.zones);
        let kinds = indices(self.names(&key("skusOpen"))?, &mut places.kinds);
        let effect = match self.text(&key("effect"))? {
            "retryable" => Effect::Retryable,
            "dedup" => Effect::Deduplicated,
            "fragile" => Effect::NonRetryable,
            other => return Err(format!("setting {at}.effect has the unknown value '{other}'")),
        };
        let group = match self.text(&key("group"))? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("setting {at}.group has the unknown value '{other}'")),
        };
        Ok(Method {
            name: self.text(&key("name"))?.to_string(),
            effect,
            group,
            window: self.span(&key("windowNs"))?,
            deadline: self.span(&key("deadlineNs"))?,
            latency_budget: self.span(&key("latencyBudgetNs"))?,
            overdue_criticality: self.read(&key("overdueCriticality"))?,
            criticality: self.read(&key("criticality"))?,
            zones,
            kinds,
        })
    }
}

impl Terms {
    /// The requests in flight by a load report, which is a row of values separated by commas.
    pub fn load(&self, report: &str) -> Option<f64> {
        let value = report.split(',').nth(self.load_at?)?;
        value.trim().parse().ok().filter(|load: &f64| load.is_finite())
    }

    /// The least part of its full capacity that an endpoint has, this long after it is said to have started. Danger:
    /// an endpoint that has really started later is colder, so the error of the start time is taken off.
    pub fn warm_part(&self, up: Span) -> f64 {
        let up = Some(up.less(self.start_time_error)).filter(|up| *up < self.warm_up_time);
        let warmed = |up: Span| (1.0 - self.cold_capacity) * (up.secs() / self.warm_up_time.secs().max(1e-9));
        up.map_or(1.0, |up| self.cold_capacity + warmed(up))
    }

    /// The index of the method that is offered under a name.
    pub fn method_index(&self, name: &str) -> Option<usize> {
        (0..self.methods.len()).find(|at| self.offered[*at] && self.methods[*at].name == name)
    }

    /// These terms as the successors of others. A method that has not changed keeps its index, and so does one that
    /// open requests still use, though it is not offered any more; every other method takes a free index or a new
    /// one. These indices are returned, each with the one that the method's name had before.
    pub fn after(
        mut self,
        before: &Terms,
        in_use: impl Fn(usize) -> bool,
    ) -> (Terms, Vec<(usize, Option<usize>)>) {
        let new = std::mem::replace(&mut self.methods, before.methods.clone());
        self.offered =
            (0..self.methods.len()).map(|at| before.offered[at] && new.contains(&self.methods[at])).collect();
        // Danger: if a method took the index that another method's name still has, what was learnt there would be
        // lost.
        let previous: Vec<_> = new.iter().map(|method| before.method_index(&method.name)).collect();
        let mut moved = Vec::new();
        for method in new {
            let own = before.method_index(&method.name);
            if own.is_some_and(|at| before.methods[at] == method) {
                continue;
            }
            let may_take = |at: &usize| own == Some(*at) || !previous.contains(&Some(*at));
            let free = (0..self.methods.len()).filter(|at| !self.offered[*at] && !in_use(*at)).find(may_take);
            let index = free.unwrap_or(self.methods.len());
            moved.push((index, own));
            if index == self.methods.len() {
                self.methods.push(method);
                self.offered.push(true);
            } else {
                (self.methods[index], self.offered[index]) = (method, true);
            }
        }
        (self, moved)
    }

    /// These terms with each method at the index that its name has in others; a method that these lack is taken from
    /// there.
    pub fn aligned(mut self, others: &Terms) -> Terms {
        let own = |(method, offered): (&Method, &bool)| {
            let own = self.methods.iter().find(|own| *offered && own.name == method.name);
            own.unwrap_or(method).clone()
        };
        self.methods = others.methods.iter().zip(&others.offered).map(own).collect();
        self.offered = others.offered.clone();
        self
    }

    /// Reads the terms from pairs of path and value, and ignores unknown paths. Zones and kinds of machine that
    /// methods are bound to get their indices from the host's places.
    pub fn decode<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
        places: &mut Places,
    ) -> Result<Terms, String> {
        let p = Pairs(pairs.collect());
        let methods = (0..p.count("methods")?).map(|i| p.method(&format!("methods.{i}"), places));
        let subscribes = p.text("discovery")? == "subscribe";
        let retry_after = p.flag("ceilings.retryAfter")?;
        let (me, instances) = (p.or("me", 0)?, p.read::<f64>("nInstances")?.max(1.0));
        if me as f64 >= instances {
            return Err(format!("setting me has the value '{me}', which is not under nInstances"));
        }
        Ok(Terms {
            tick: p.span("tickNs")?,
            instances,
            instance_index: me,
            may_tell: p.flag_or("ceilings.mayTell", false)?,
            probe_price: p.or("deductions.probe", 0.0)?,
            load_at: p.load_at()?,
            offered: vec![true; methods.len()],
            methods: methods.collect::<Result<_, String>>()?,
            max_attempts: p.read("ceilings.mostWriteOuts")?,
            may_cancel: p.flag("ceilings.cancel")?,
            max_retry_after: if retry_after { Some(p.span("ceilings.maxRetryAfterNs")?) } else { None },
            ask_within: if subscribes { Some(p.span("rules.askWithinNs")?) } else { None },
            stop_sending_within: Some(p.span_or_zero("rules.stopSendingWithinNs")?)
                .filter(|span| *span > Span::ZERO),
            cold_capacity: p.read("rules.startCapacity")?,
            warm_up_time: p.span("rules.coldNs")?,
            overload_window: p.span("rules.overloadForNs")?,
            connect_timeout: p.span_or_zero("ceilings.connectTimeoutNs")?,
            own_zone: p.0.get("zone").map(|zone| places.zones.index(zone)),
            cross_zone_price: p.or("deductions.crossZone", 0.0)?,
            time_left_error: p.span_or_zero("rules.deadlineDriftNs")?,
            start_time_error: p.span_or_zero("rules.stampDoubtNs")?,
            only_drains_bind: p.flag_or("rules.drainBindsAlone", false)?,
            reply_slots: p
                .text("ceilings.replySlots")
                .ok()
                .map(|_| p.read("ceilings.replySlots"))
                .transpose()?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Terms with these methods, given by name and criticality.
    fn terms(methods: &[(&str, f64)]) -> Terms {
        let method = |(name, criticality): &(&str, f64)| Method {
            name: name.to_string(),
            effect: Effect::Retryable,
            group: Group::All,
            window: Span::ZERO,
            latency_budget: Span::ZERO,
            deadline: Span::ZERO,
            overdue_criticality: 0.0,
            criticality: *criticality,
            zones: None,
            kinds: None,
        };
        let methods: Vec<_> = methods.iter().map(method).collect();
        Terms { offered: vec![true; methods.len()], methods, ..Terms::default() }
    }

    /// Terms decoded from a minimal set of settings and these.
    fn decoded(more: &[(&str, &str)], places: &mut Places) -> Result<Terms, String> {
        let plain = "nInstances=1 tickNs=1 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
            ceilings.mostWriteOuts=3 rules.startCapacity=0.25 rules.coldNs=8 rules.overloadForNs=1 methods.count=1 \
            methods.0.name=read methods.0.effect=retryable methods.0.group=all methods.0.windowNs=2 \
            methods.0.latencyBudgetNs=1 methods.0.deadlineNs=5 methods.0.overdueCriticality=0.5 methods.0.criticality=1";
        let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
        Terms::decode(plain.chain(more.iter().copied()), places)
    }

    #[test]
    fn placement_lists_are_read_from_one_path_or_several_with_the_indices_of_the_host() {
        let mut places = Places::default();
        places.zones.index("attic");
        let row = [("methods.0.confinedTo", "cellar,attic")];
        let listed = [
            ("methods.0.confinedTo.count", "1"),
            ("methods.0.confinedTo.0", "attic"),
            ("methods.0.skusOpen.count", "1"),
            ("methods.0.skusOpen.0", "large"),
        ];
        let row = decoded(&row, &mut places).unwrap();
        assert_eq!(row.methods[0].zones, Some(vec![1, 0]));
        let listed = decoded(&listed, &mut places).unwrap();
        let entry = |zone, kind| Entry { zone, kind, ..Entry::default() };
        assert_eq!((places.kinds.find("large"), places.kinds.index("small")), (Some(0), 1));
        let open = [(0, 0), (0, 1), (1, 0)].map(|(zone, kind)| listed.methods[0].allows(&entry(zone, kind)));
        assert_eq!(open, [true, false, false]);
        assert!(decoded(&[], &mut places).unwrap().methods[0].allows(&entry(7, 7)));
    }

    #[test]
    fn an_invalid_setting_is_rejected_with_its_path() {
        for (path, value) in [
            ("methods.0.confinedTo", ""),
            ("methods.0.skusOpen", "large,"),
            ("methods.0.skusOpen.count", "0"),
            ("ceilings.replySlots", "-1"),
            ("ceilings.replySlots", "few"),
            ("rules.deadlineDriftNs", "-5"),
            ("rules.stampDoubtNs", "1.5"),
            ("rules.drainBindsAlone", "perhaps"),
        ] {
            let said = decoded(&[(path, value)], &mut Places::default()).expect_err(path);
            assert!(said.contains(path.trim_end_matches(".count")), "{path}={value}: {said}");
        }
    }

    #[test]
    fn a_changed_method_takes_a_new_index_and_indices_in_use_stay() {
        let first = terms(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
        // The same methods again: none moves.
        let (same, moved) = terms(&[("c", 1.0), ("a", 1.0), ("b", 1.0)]).after(&first, |_| true);
        assert_eq!((moved.as_slice(), same.methods == first.methods), (&[][..], true));
        // One method removed, one changed, one new, while requests use the first index.
        let (second, moved) = terms(&[("d", 1.0), ("a", 2.0), ("c", 1.0)]).after(&first, |at| at == 0);
        assert_eq!(moved, [(1, None), (3, Some(0))]);
        let at = |terms: &Terms, name: &str| terms.method_index(name);
        let found = ["a", "b", "c", "d"].map(|name| at(&second, name));
        assert_eq!(found, [Some(3), None, Some(2), Some(1)]);
        assert_eq!((second.methods[0].name.as_str(), second.methods[0].criticality), ("a", 1.0));
        // Indices that are free by now are reused, but not one that another method's name still has.
        let (third, moved) = terms(&[("e", 1.0), ("d", 2.0), ("a", 3.0)]).after(&second, |_| false);
        assert_eq!(
            (moved.as_slice(), third.methods.len()),
            (&[(0, None), (1, Some(1)), (2, Some(3))][..], 4)
        );
    }

    #[test]
    fn a_thousand_changes_take_no_more_indices_than_are_in_use() {
        let mut now = terms(&[("a", 0.0), ("b", 0.0)]);
        for round in 1..1000 {
            let held = |at: usize| at == round % 3;
            now =
                terms(&[("a", f64::from(round as u32)), ("b", f64::from(round as u32))]).after(&now, held).0;
        }
        assert!(now.methods.len() <= 4, "{}", now.methods.len());
    }
}
