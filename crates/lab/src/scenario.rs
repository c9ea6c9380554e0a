//! The scenario file format, with its parsing and validation. Every error message names the file and the key.

use std::path::Path;

use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke_fleet::budgets::{self, Budget};
use oorandom::Rand64;
use serde::Deserialize;

/// Most endpoints or sidecars of a tier. A larger number is probably a typing error: the run would take hours.
const MAX_MACHINES: usize = 20_000;
/// Most tiers; no known call chain is deeper.
const MAX_TIERS: f64 = 16.0;
/// Longest run in virtual milliseconds: one day.
const MAX_LENGTH_MS: u64 = 86_400_000;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub length_ms: u64,
    /// Requests offered before this time are left out of the report.
    #[serde(default)]
    pub warm_up_ms: u64,
    #[serde(default = "one")]
    pub zones: usize,
    /// Whether a call to the next tier inherits the time left of its caller; otherwise it gets its method's full deadline.
    #[serde(default = "yes")]
    pub deadline_passed: bool,
    pub load: Load,
    pub method: Vec<Method>,
    pub tier: Vec<Tier>,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub list: ListService,
    #[serde(default)]
    pub rules: Rules,
    /// What sidecars learn of each other through daemons.
    #[serde(default)]
    pub fleet: FleetTerms,
    /// Budgets shared by the first tier's sidecars, or by those of each tier.
    #[serde(default)]
    pub budgets: Budgets,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// How budgets are shared among the first tier's sidecars.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum By {
    /// Each sidecar gets the quota divided by the number of instances in its settings.
    #[default]
    Cut,
    /// Daemons divide the quota by demand.
    Parts,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    pub by: By,
    /// The number of sidecars stated in each one's settings.
    pub instances: u64,
    pub beat_ms: u64,
    /// Delay from a proposal until its log entry takes effect.
    pub commit_ms: f64,
    /// Whether each tier is a fleet of its own with these budgets; otherwise only the first tier has them.
    pub each_tier: bool,
    pub row: Vec<Budget>,
}

impl Default for Budgets {
    fn default() -> Budgets {
        // Real daemons on one machine take 1 ms for a commit.
        Budgets { by: By::Cut, instances: 1, beat_ms: 500, commit_ms: 1.0, each_tier: false, row: Vec::new() }
    }
}

/// What members of a fleet learn of the outcomes of others' attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hears {
    #[default]
    Nothing,
    /// Members that start or return receive the latest reports.
    Returning,
    /// All members receive reports at each heartbeat.
    All,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTerms {
    pub hears: Hears,
    pub beat_ms: u64,
    /// Most records in a reply to a member, and to a member that returns.
    pub each: usize,
    pub at_return: usize,
}

impl Default for FleetTerms {
    fn default() -> FleetTerms {
        FleetTerms { hears: Hears::Nothing, beat_ms: 500, each: 32, at_return: 256 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub per_second: f64,
    #[serde(default = "one")]
    pub tenants: usize,
    /// Most retries of a client.
    #[serde(default)]
    pub retries: u32,
    /// Delay before a retry if the answer states none.
    #[serde(default = "hundred")]
    pub back_off_ms: u64,
    /// Fraction of tries whose client disconnects before its deadline.
    #[serde(default)]
    pub impatient: f64,
    /// Ratio of the last first-tier sidecar's clients to the first one's; the others lie between them.
    #[serde(default = "one_whole")]
    pub uneven: f64,
    /// Time after which the front-end stops sending clients to a sidecar that is down; never if absent.
    #[serde(default)]
    pub notices_ms: Option<u64>,
    /// A trace of arrival times since the start, in place of Poisson arrivals.
    #[serde(default)]
    pub trace_ms: Vec<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    pub name: String,
    pub share: f64,
    pub effect: Effect,
    #[serde(default)]
    pub group: Group,
    #[serde(default = "ten_seconds")]
    pub window_ms: u64,
    pub latency_budget_ms: u64,
    pub deadline_ms: u64,
    #[serde(default = "one_whole")]
    pub criticality: f64,
    #[serde(default)]
    pub overdue_criticality: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Retryable,
    Deduplicated,
    NonRetryable,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    Fixed,
    #[default]
    Exponential,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Sidecars in front of the first tier; for a later tier, each endpoint of the previous tier has one.
    #[serde(default)]
    pub sidecars: usize,
    pub endpoints: usize,
    #[serde(default = "one")]
    pub cores: usize,
    /// Most requests in an endpoint at once, waiting ones included.
    #[serde(default = "many")]
    pub places: usize,
    #[serde(default = "many")]
    pub connections: usize,
    #[serde(default)]
    pub handshake_ms: f64,
    /// Service time of a request on one core: one per method, in order, or one for all.
    pub work_ms: Vec<f64>,
    #[serde(default)]
    pub spread: Spread,
    /// Relative difference in speed between the fastest and the slowest endpoint.
    #[serde(default)]
    pub uneven: f64,
    /// Sequential calls to the next tier per request.
    #[serde(default)]
    pub calls: usize,
    /// Number of endpoints that deduplicate requests together.
    #[serde(default = "three")]
    pub cell_size: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    pub hop_ms: f64,
    pub connect_timeout_ms: u64,
}

impl Default for Net {
    fn default() -> Net {
        // 0.5 ms each way is typical within a data center; 200 ms is long for a handshake there.
        Net { hop_ms: 0.5, connect_timeout_ms: 200 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// Whether it sends lists only to sidecars that subscribed.
    pub asked: bool,
    pub ask_within_ms: u64,
    /// Delay from a change until sidecars learn of it, times a random factor from 1 to 2.
    pub delay_ms: f64,
}

impl Default for ListService {
    fn default() -> ListService {
        // Lists based on health checks take one to two seconds.
        ListService { asked: false, ask_within_ms: 10_000, delay_ms: 1000.0 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: u64,
    pub cold_start: f64,
    pub cold_ms: u64,
    pub fall_ms: u64,
    /// Multiple of its slow-start capacity that an endpoint may be sent in an overload window.
    pub fall_multiple: f64,
    pub most_write_outs: usize,
    pub may_revoke: bool,
    pub longest_come_back_ms: u64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: 1500,
            cold_start: 0.3,
            cold_ms: 8000,
            fall_ms: 1500,
            fall_multiple: 3.0,
            most_write_outs: 3,
            may_revoke: true,
            longest_come_back_ms: 2000,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Crash,
    Silence,
    Slow,
    QuickErrors,
    Pause,
    Spoilt,
    Cut,
    Reset,
    LostAnswers,
    Refuse,
    Deploy,
    ZoneLoss,
    ListLate,
    ListAbsent,
    RestartSidecars,
    Burst,
    HotSidecar,
}

impl Kind {
    /// Whether it affects endpoints; otherwise sidecars or the whole fleet.
    fn affects_endpoints(self) -> bool {
        !matches!(
            self,
            Kind::ListLate | Kind::ListAbsent | Kind::RestartSidecars | Kind::Burst | Kind::HotSidecar
        )
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub from_ms: u64,
    pub for_ms: u64,
    #[serde(default)]
    pub tier: usize,
    /// Fraction of the endpoints or sidecars to affect, drawn by the seed; `ids` lists them instead.
    pub share: Option<f64>,
    #[serde(default)]
    pub ids: Vec<usize>,
    /// Size by kind: slowdown factor, error probability or load factor.
    pub size: Option<f64>,
}

fn one() -> usize {
    1
}

fn yes() -> bool {
    true
}

fn three() -> usize {
    3
}

fn many() -> usize {
    1_000_000
}

fn hundred() -> u64 {
    100
}

fn ten_seconds() -> u64 {
    10_000
}

fn one_whole() -> f64 {
    1.0
}

pub fn millis(ms: f64) -> Span {
    Span::from_nanos((ms * 1e6).max(0.0) as u64)
}

pub fn at_ms(ms: u64) -> Moment {
    Moment::from_nanos(ms.saturating_mul(1_000_000))
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Scenario::parse(&text).map_err(|what| format!("{name}: {what}"))
    }

    pub fn parse(text: &str) -> Result<Scenario, String> {
        let reader = toml::Deserializer::parse(text).map_err(|e| format!("no TOML: {}", e.message()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message().replace('\n', " ")))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let within = |key: String, value: f64, least: f64, most: f64| {
            let fits = value.is_finite() && (least..=most).contains(&value);
            fits.then_some(()).ok_or(format!("{key}: expected {least} to {most}, not {value}"))
        };
        within("length_ms".into(), self.length_ms as f64, 1.0, MAX_LENGTH_MS as f64)?;
        within("warm_up_ms".into(), self.warm_up_ms as f64, 0.0, self.length_ms as f64)?;
        within("zones".into(), self.zones as f64, 1.0, 64.0)?;
        within("load.per_second".into(), self.load.per_second, 0.0, 1e6)?;
        within("load.impatient".into(), self.load.impatient, 0.0, 1.0)?;
        within("load.uneven".into(), self.load.uneven, 0.001, 1000.0)?;
        within("budgets.instances".into(), self.budgets.instances as f64, 1.0, 1e6)?;
        within("budgets.beat_ms".into(), self.budgets.beat_ms as f64, 1.0, 60_000.0)?;
        within("budgets.commit_ms".into(), self.budgets.commit_ms, 0.0, 60_000.0)?;
        budgets::check(&self.budgets.row)?;
        if let Some(stock) = self.budgets.row.iter().find(|row| row.resource.is_concurrency_limit()) {
            return Err(format!(
                "budgets.row: {}: only what is spent in time is played here",
                stock.resource
            ));
        }
        within("load.tenants".into(), self.load.tenants as f64, 1.0, 1000.0)?;
        within("load.retries".into(), f64::from(self.load.retries), 0.0, 20.0)?;
        if self.load.trace_ms.windows(2).any(|pair| pair[1] < pair[0]) {
            return Err("load.trace_ms: not in order".to_string());
        }
        within("method".into(), self.method.len() as f64, 1.0, 64.0)?;
        for (at, m) in self.method.iter().enumerate() {
            let key = |name: &str| format!("method.{at}.{name}");
            within(key("share"), m.share, 0.0, 1.0)?;
            within(key("latency_budget_ms"), m.latency_budget_ms as f64, 1.0, m.deadline_ms as f64)?;
            within(key("criticality"), m.criticality, 0.0, 1e6)?;
            within(key("overdue_criticality"), m.overdue_criticality, 0.0, m.criticality)?;
        }
        let shares = self.method.iter().map(|m| m.share).sum::<f64>();
        within("method.share, all of them together".into(), shares, 0.999, 1.001)?;
        within("tier".into(), self.tier.len() as f64, 1.0, MAX_TIERS)?;
        for (at, t) in self.tier.iter().enumerate() {
            let key = |name: &str| format!("tier.{at}.{name}");
            let (least, most) = if at == 0 { (1.0, MAX_MACHINES as f64) } else { (0.0, 0.0) };
            within(key("sidecars"), t.sidecars as f64, least, most)?;
            within(key("endpoints"), t.endpoints as f64, 0.0, MAX_MACHINES as f64)?;
            within(key("cores"), t.cores as f64, 1.0, 1024.0)?;
            within(key("places"), t.places as f64, 1.0, 1e6)?;
            within(key("connections"), t.connections as f64, 1.0, 1e6)?;
            within(key("handshake_ms"), t.handshake_ms, 0.0, 60_000.0)?;
            within(key("uneven"), t.uneven, 0.0, 0.9)?;
            within(key("cell_size"), t.cell_size as f64, 1.0, MAX_MACHINES as f64)?;
            let calls = if at + 1 < self.tier.len() { 64.0 } else { 0.0 };
            within(key("calls"), t.calls as f64, 0.0, calls)?;
            if t.work_ms.len() != 1 && t.work_ms.len() != self.method.len() {
                return Err(format!("{}: expected one figure, or one for each method", key("work_ms")));
            }
            for work in &t.work_ms {
                within(key("work_ms"), *work, 0.001, 600_000.0)?;
            }
        }
        within("net.hop_ms".into(), self.net.hop_ms, 0.0, 10_000.0)?;
        within("list.delay_ms".into(), self.list.delay_ms, 0.0, 600_000.0)?;
        within("rules.cold_start".into(), self.rules.cold_start, 0.01, 1.0)?;
        within("rules.fall_ms".into(), self.rules.fall_ms as f64, 1.0, 600_000.0)?;
        within("rules.fall_multiple".into(), self.rules.fall_multiple, 1.0, 1000.0)?;
        within("rules.most_write_outs".into(), self.rules.most_write_outs as f64, 1.0, 64.0)?;
        for (at, f) in self.fault.iter().enumerate() {
            let key = |name: &str| format!("fault.{at}.{name}");
            within(key("tier"), f.tier as f64, 0.0, (self.tier.len() - 1) as f64)?;
            within(key("share"), f.share.unwrap_or(0.0), 0.0, 1.0)?;
            within(key("size"), f.size.unwrap_or(0.0), 0.0, 1e6)?;
            let count = self.target_count(f);
            for id in &f.ids {
                if *id >= count {
                    return Err(format!("{}: there is no {id}, only 0 to {}", key("ids"), count as i64 - 1));
                }
            }
            if f.share.is_some() && !f.ids.is_empty() {
                return Err(format!("{}: either a share or ids", key("ids")));
            }
        }
        Ok(())
    }

    /// The same scenario scaled up: sidecars, endpoints, load and budgets times `times`.
    pub fn grown(&self, times: usize) -> Result<Scenario, String> {
        let mut grown = self.clone();
        grown.load.per_second *= times as f64;
        grown.budgets.instances = grown.budgets.instances.saturating_mul(times as u64);
        for row in &mut grown.budgets.row {
            row.quota = row.quota.saturating_mul(times as u64);
            row.max_members = row.max_members.saturating_mul(times as u64);
        }
        for tier in &mut grown.tier {
            tier.sidecars = tier.sidecars.saturating_mul(times);
            tier.endpoints = tier.endpoints.saturating_mul(times);
        }
        grown.check()?;
        Ok(grown)
    }

    /// The number of tiers that have budgets.
    pub fn tiers_with_budgets(&self) -> usize {
        match self.budgets.row.is_empty() {
            true => 0,
            false if self.budgets.each_tier => self.tier.len(),
            false => 1,
        }
    }

    /// Longest time from a client's arrival until the deadline of its last nested call.
    pub fn longest(&self) -> Span {
        let longest = self.method.iter().map(|m| m.deadline_ms).max().unwrap_or(0);
        let times = if self.deadline_passed { 1 } else { self.tier.len() as u64 };
        Span::from_millis(longest.saturating_mul(times))
    }

    /// The number of possible targets of a fault.
    pub fn target_count(&self, fault: &Fault) -> usize {
        match fault.kind {
            Kind::ZoneLoss => self.zones,
            kind if kind.affects_endpoints() => self.tier[fault.tier].endpoints,
            Kind::RestartSidecars | Kind::HotSidecar => self.tier[0].sidecars,
            _ => 1,
        }
    }

    /// Draws the method of a client's call by the methods' shares.
    pub fn draw_method(&self, chance: &mut Rand64) -> usize {
        let mut left = chance.rand_float();
        let drawn = self.method.iter().position(|m| {
            left -= m.share;
            left < 0.0
        });
        drawn.unwrap_or(self.method.len() - 1)
    }

    pub fn sidecars(&self, tier: usize) -> usize {
        if tier == 0 { self.tier[0].sidecars } else { self.tier[tier - 1].endpoints }
    }

    pub fn work(&self, tier: usize, method: usize) -> f64 {
        let work = &self.tier[tier].work_ms;
        work[method.min(work.len() - 1)]
    }

    /// The settings of a sidecar in front of this tier, as dotted paths and values.
    pub fn settings(&self, tier: usize) -> Vec<(String, String)> {
        let nanos = |ms: u64| (ms * 1_000_000).to_string();
        let mut pairs: Vec<(String, String)> = [
            ("nInstances", self.sidecars(tier).to_string()),
            ("tickNs", "1000000".to_string()),
            ("discovery", if self.list.asked { "subscribe" } else { "automatic" }.to_string()),
            ("ceilings.cancel", self.rules.may_revoke.to_string()),
            ("ceilings.retryAfter", "true".to_string()),
            ("ceilings.maxRetryAfterNs", nanos(self.rules.longest_come_back_ms)),
            ("ceilings.mostWriteOuts", self.rules.most_write_outs.to_string()),
            ("ceilings.connectTimeoutNs", nanos(self.net.connect_timeout_ms)),
            ("ceilings.connIdleNs", nanos(60_000)),
            ("rules.askWithinNs", nanos(self.list.ask_within_ms)),
            ("rules.startCapacity", self.rules.cold_start.to_string()),
            ("rules.coldNs", nanos(self.rules.cold_ms)),
            ("rules.overloadForNs", nanos(self.rules.fall_ms)),
            ("methods.count", self.method.len().to_string()),
        ]
        .map(|(key, value)| (key.to_string(), value))
        .into();
        for (at, m) in self.method.iter().enumerate() {
            let effect = match m.effect {
                Effect::Retryable => "retryable",
                Effect::Deduplicated => "dedup",
                Effect::NonRetryable => "fragile",
            };
            let group = match m.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            let figures = [
                ("name", m.name.clone()),
                ("effect", effect.to_string()),
                ("group", group.to_string()),
                ("windowNs", nanos(m.window_ms)),
                ("latencyBudgetNs", nanos(m.latency_budget_ms)),
                ("deadlineNs", nanos(m.deadline_ms)),
                ("criticality", m.criticality.to_string()),
                ("overdueCriticality", m.overdue_criticality.to_string()),
            ];
            pairs.extend(figures.map(|(key, value)| (format!("methods.{at}.{key}"), value)));
        }
        pairs
    }

    pub fn terms(&self, tier: usize) -> Terms {
        let pairs = self.settings(tier);
        Terms::decode(pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())), &mut Places::default())
            .expect("a validated scenario has valid terms")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "name='a'\nlength_ms=1000\n[load]\nper_second=10\n[[method]]\nname='view'\nshare=1.0\n\
        effect='retryable'\nlatency_budget_ms=100\ndeadline_ms=300\n[[tier]]\nsidecars=1\nendpoints=2\nwork_ms=[5]\n";

    #[test]
    fn invalid_file_error_names_the_key() {
        assert!(Scenario::parse(GOOD).is_ok());
        for (more, key) in [
            ("colour=1\n", "unknown field `colour`"),
            ("[[fault]]\nkind='slow'\nfrom_ms=0\nfor_ms=1\nshare=1.5\n", "fault.0.share: "),
            ("[[fault]]\nkind='slow'\nfrom_ms=0\nfor_ms=1\nids=[2]\n", "fault.0.ids: there is no 2"),
            ("[[fault]]\nkind='slow'\nfrom_ms=0\nfor_ms=1\ntier=1\n", "fault.0.tier: "),
            ("[[fault]]\nkind='gloom'\nfrom_ms=0\nfor_ms=1\n", "fault[0].kind: "),
            ("[rules]\ncold_start=0\n", "rules.cold_start: "),
        ] {
            let said = Scenario::parse(&format!("{GOOD}{more}")).expect_err(more);
            assert!(said.contains(key) && !said.contains('\n'), "{said}");
        }
        assert!(Scenario::parse(&GOOD.replace("share=1.0", "share=0.5")).is_err());
        assert!(Scenario::parse(&GOOD.replace("[5]", "[5, 6]")).unwrap_err().contains("tier.0.work_ms"));
        assert!(Scenario::parse("name=").unwrap_err().starts_with("no TOML"));
    }
}
