//! The terms that a deployment sets for an instance, decoded once at its start; only those that are read.

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

/// Which endpoints discard each other's repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether two endpoints are of one such group.
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
    pub window: Span,
    pub latency_budget: Span,
    pub deadline: Span,
    pub overdue_criticality: f64,
    pub criticality: f64,
    /// The only zones and kinds of machine that it may be sent to, by the host's `Places`; none: any.
    pub zones: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
}

impl Method {
    /// Whether it may be sent to such an endpoint at all.
    pub fn open_to(&self, entry: &Entry) -> bool {
        let among = |open: &Option<Vec<usize>>, own| open.as_ref().is_none_or(|open| open.contains(&own));
        among(&self.zones, entry.zone) && among(&self.kinds, entry.kind)
    }

    /// Whether it is bound to some places.
    pub fn is_placed(&self) -> bool {
        self.zones.is_some() || self.kinds.is_some()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub tick: Span,
    /// How many instances send to the same endpoints.
    pub instances: f64,
    /// This instance's number among them, and whether they may send one another messages.
    pub me: usize,
    pub may_tell: bool,
    /// Where endpoints tell probes, and only those, how many requests they hold: the place of that in a report.
    pub load_at: Option<usize>,
    /// What one probe a request costs.
    pub probe_price: f64,
    /// A place whose method is not offered any more is there for the requests that still hold it.
    pub methods: Vec<Method>,
    pub offered: Vec<bool>,
    pub max_attempts: usize,
    pub may_cancel: bool,
    pub max_retry_after: Option<Span>,
    /// Where the list answers only when asked: how soon an instance that has not asked counts as informed.
    pub ask_within: Option<Span>,
    pub cold_start: f64,
    pub cold_for: Span,
    pub fall_window: Span,
    /// How long a connection may take to come up; nought where connects take no time of their own.
    pub up_in: Span,
    /// The instance's own zone where that is told, and what it costs if as many attempts as first tries leave it.
    pub home: Option<usize>,
    pub crossing_price: f64,
    /// How far the time left that a request comes with may be off, and the moment at which an endpoint started, either way.
    pub left_doubt: Span,
    pub start_doubt: Span,
    /// Whether an endpoint that has gone without having drained may still be sent to.
    pub drains_alone: bool,
    /// How many answers the instance can hold while clients read them, where that is limited.
    pub reply_slots: Option<usize>,
}

/// The value of a load report that tells the requests in hand.
const LOAD: &str = "outstanding";

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

    fn span_or_nought(&self, path: &str) -> Result<Span, String> {
        self.or(path, 0).map(Span::from_nanos)
    }

    /// The names in a list, where there is one: set apart by commas, or one to a path.
    fn names(&self, path: &str) -> Result<Option<Vec<&str>>, String> {
        let counted = self.0.contains_key(format!("{path}.count").as_str());
        let names = if counted {
            (0..self.count(path)?)
                .map(|at| self.text(&format!("{path}.{at}")))
                .collect::<Result<Vec<_>, _>>()?
        } else {
            let Some(text) = self.0.get(path) else { return Ok(None) };
            text.split(',').collect()
        };
        // Danger: a list without a name would bind to nothing, or be taken for one that does not bind.
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
    /// The requests in hand that a load report tells of: a row of values, set apart by commas.
    pub fn load(&self, report: &str) -> Option<f64> {
        let value = report.split(',').nth(self.load_at?)?;
        value.trim().parse().ok().filter(|load: &f64| load.is_finite())
    }

    /// The part of its full capacity that an endpoint has at least, so long after it is said to have started. Danger:
    /// one that has started later than that is colder.
    pub fn warm_part(&self, up: Span) -> f64 {
        let up = Some(up.less(self.start_doubt)).filter(|up| *up < self.cold_for);
        let rise = |up: Span| (1.0 - self.cold_start) * (up.secs() / self.cold_for.secs().max(1e-9));
        up.map_or(1.0, |up| self.cold_start + rise(up))
    }

    /// The place of the method that clients mean by a name now.
    pub fn place(&self, name: &str) -> Option<usize> {
        (0..self.methods.len()).find(|at| self.offered[*at] && self.methods[*at].name == name)
    }

    /// These terms after others: a method that has stayed as it was keeps its place, one that is still held by requests keeps
    /// its too but is not offered any more, and each other takes a free place or one more. Returned with each of these
    /// goes the place that its name had before.
    pub fn after(
        mut self,
        before: &Terms,
        held: impl Fn(usize) -> bool,
    ) -> (Terms, Vec<(usize, Option<usize>)>) {
        let came = std::mem::replace(&mut self.methods, before.methods.clone());
        self.offered = (0..self.methods.len())
            .map(|at| before.offered[at] && came.contains(&self.methods[at]))
            .collect();
        // Danger: a place that one takes before another's name has left it would lose what was learnt there.
        let last: Vec<_> = came.iter().map(|method| before.place(&method.name)).collect();
        let mut places = Vec::new();
        for method in came {
            let own = before.place(&method.name);
            if own.is_some_and(|at| before.methods[at] == method) {
                continue;
            }
            let may_take = |at: &usize| own == Some(*at) || !last.contains(&Some(*at));
            let free = (0..self.methods.len()).filter(|at| !self.offered[*at] && !held(*at)).find(may_take);
            let place = free.unwrap_or(self.methods.len());
            places.push((place, own));
            if place == self.methods.len() {
                self.methods.push(method);
                self.offered.push(true);
            } else {
                (self.methods[place], self.offered[place]) = (method, true);
            }
        }
        (self, places)
    }

    /// These terms with their methods at the places where others have theirs; one that these lack stays as it is there.
    pub fn aligned(mut self, others: &Terms) -> Terms {
        let own = |(method, offered): (&Method, &bool)| {
            let own = self.methods.iter().find(|own| *offered && own.name == method.name);
            own.unwrap_or(method).clone()
        };
        self.methods = others.methods.iter().zip(&others.offered).map(own).collect();
        self.offered = others.offered.clone();
        self
    }

    /// Reads the terms from path and value pairs; paths that it does not know are passed over. Zones and kinds that
    /// methods are bound to get their indices in the host's places.
    pub fn decode<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
        places: &mut Places,
    ) -> Result<Terms, String> {
        let p = Pairs(pairs.collect());
        let methods = (0..p.count("methods")?).map(|i| p.method(&format!("methods.{i}"), places));
        let asked = p.text("discovery")? == "subscribe";
        let retry_after = p.flag("ceilings.retryAfter")?;
        let (me, instances) = (p.or("me", 0)?, p.read::<f64>("nInstances")?.max(1.0));
        if me as f64 >= instances {
            return Err(format!("setting me has the value '{me}', which is not under nInstances"));
        }
        Ok(Terms {
            tick: p.span("tickNs")?,
            instances,
            me,
            may_tell: p.flag_or("ceilings.mayTell", false)?,
            probe_price: p.or("deductions.probe", 0.0)?,
            load_at: p.load_at()?,
            offered: vec![true; methods.len()],
            methods: methods.collect::<Result<_, String>>()?,
            max_attempts: p.read("ceilings.mostWriteOuts")?,
            may_cancel: p.flag("ceilings.cancel")?,
            max_retry_after: if retry_after { Some(p.span("ceilings.maxRetryAfterNs")?) } else { None },
            ask_within: if asked { Some(p.span("rules.askWithinNs")?) } else { None },
            cold_start: p.read("rules.startCapacity")?,
            cold_for: p.span("rules.coldNs")?,
            fall_window: p.span("rules.overloadForNs")?,
            up_in: p.span_or_nought("ceilings.connectTimeoutNs")?,
            home: p.0.get("zone").map(|zone| places.zones.index(zone)),
            crossing_price: p.or("deductions.crossZone", 0.0)?,
            left_doubt: p.span_or_nought("rules.deadlineDriftNs")?,
            start_doubt: p.span_or_nought("rules.stampDoubtNs")?,
            drains_alone: p.flag_or("rules.drainBindsAlone", false)?,
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

    /// Terms with these methods, each with a criticality.
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

    /// Decoded from a plain row of settings and these.
    fn decoded(more: &[(&str, &str)], places: &mut Places) -> Result<Terms, String> {
        let plain = "nInstances=1 tickNs=1 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
            ceilings.mostWriteOuts=3 rules.startCapacity=0.25 rules.coldNs=8 rules.overloadForNs=1 methods.count=1 \
            methods.0.name=read methods.0.effect=retryable methods.0.group=all methods.0.windowNs=2 \
            methods.0.latencyBudgetNs=1 methods.0.deadlineNs=5 methods.0.overdueCriticality=0.5 methods.0.criticality=1";
        let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
        Terms::decode(plain.chain(more.iter().copied()), places)
    }

    #[test]
    fn places_are_read_from_a_row_or_one_to_a_path_with_the_indices_of_the_host() {
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
        let open = [(0, 0), (0, 1), (1, 0)].map(|(zone, kind)| listed.methods[0].open_to(&entry(zone, kind)));
        assert_eq!(open, [true, false, false]);
        assert!(decoded(&[], &mut places).unwrap().methods[0].open_to(&entry(7, 7)));
    }

    #[test]
    fn a_setting_that_cannot_be_meant_is_refused_by_its_key() {
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
    fn a_method_that_has_changed_takes_a_place_of_its_own_and_held_ones_stay() {
        let first = terms(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
        // The same again: nothing moves.
        let (same, places) = terms(&[("c", 1.0), ("a", 1.0), ("b", 1.0)]).after(&first, |_| true);
        assert_eq!((places.as_slice(), same.methods == first.methods), (&[][..], true));
        // One dropped, one changed, one new, and requests hold the first place.
        let (second, places) = terms(&[("d", 1.0), ("a", 2.0), ("c", 1.0)]).after(&first, |at| at == 0);
        assert_eq!(places, [(1, None), (3, Some(0))]);
        let at = |terms: &Terms, name: &str| terms.place(name);
        let found = ["a", "b", "c", "d"].map(|name| at(&second, name));
        assert_eq!(found, [Some(3), None, Some(2), Some(1)]);
        assert_eq!((second.methods[0].name.as_str(), second.methods[0].criticality), ("a", 1.0));
        // What both leave is used again, but none takes a place before its name has moved on.
        let (third, places) = terms(&[("e", 1.0), ("d", 2.0), ("a", 3.0)]).after(&second, |_| false);
        assert_eq!(
            (places.as_slice(), third.methods.len()),
            (&[(0, None), (1, Some(1)), (2, Some(3))][..], 4)
        );
    }

    #[test]
    fn a_thousand_changes_take_no_more_places_than_requests_hold() {
        let mut now = terms(&[("a", 0.0), ("b", 0.0)]);
        for round in 1..1000 {
            let held = |at: usize| at == round % 3;
            now =
                terms(&[("a", f64::from(round as u32)), ("b", f64::from(round as u32))]).after(&now, held).0;
        }
        assert!(now.methods.len() <= 4, "{}", now.methods.len());
    }
}
