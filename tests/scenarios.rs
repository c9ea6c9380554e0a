//! Plays every file of `tests/scenarios` against the balancer alone. The notation has one step in a line:
//!
//! `terms PATH=VALUE ..`                       terms other than the defaults below, before any other step
//! `MS list|delta NAME[:STATE[:ZONE[:CELL[:STARTED_MS|-[:KIND]]]]] ..`   a complete list or changes; `NAME*COUNT` for many
//! `MS arrival REQ METHOD LEFT_MS [key=KEY] [work=MS]`, `MS answer REQ WRITE_OUT OUTCOME`, `MS hangup REQ`, `MS wake`,
//! `MS list-failed`, `MS probed NAME LOAD|none`, `MS told NAME[*COUNT] METHOD PARTS [OUTCOME]` (a peer reports COUNT
//! attempts, each of which took PARTS ten-thousandths of the latency budget)
//! `MS flood COUNT METHOD GAP_MS OUTCOME [key=KEY] [work=MS] [NAME=TOOK_MS[:OUTCOME] ..]`  requests one by one, each attempt
//!                                             answered at once or after the time that its endpoint takes; the
//!                                             decisions are counted
//! `expect DECISION`                           the next decision, word for word; `any` stands for any word
//! `count NAME|nack|fail LEAST MOST`           the range of what the last flood counted
//!
//! Each decision has to be expected, except `ForgetRequest` and `ForgetEndpoint`. After each step all decisions are taken.

use std::collections::{BTreeMap, VecDeque};

use appledyke::balancer::Balancer;
use appledyke::ids::{self, Names, Places};
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

const DEFAULTS: &str = "nInstances=2 tickNs=1000000 discovery=automatic ceilings.cancel=true \
    ceilings.retryAfter=true ceilings.maxRetryAfterNs=50000000 ceilings.mostWriteOuts=3 \
    rules.askWithinNs=10000000000 rules.startCapacity=0.25 rules.coldNs=8000000000 rules.overloadForNs=1000000000 methods.count=0";
const METHODS: [(&str, &str); 4] = [
    ("read", "retryable all 0.5"),
    ("brief", "retryable all 0"),
    ("mark", "dedup cell 0.5"),
    ("once", "fragile all 0.5"),
];

/// The time left with which the requests of a flood arrive: that of a usual try, within the whole deadline of 5 s.
const FLOOD_LEFT: &str = "3000";

struct Player {
    balancer: Balancer,
    requests: Names,
    endpoints: Names,
    places: Places,
    cells: Names,
    pending: VecDeque<String>,
    counts: BTreeMap<String, usize>,
}

fn terms(overrides: &str, places: &mut Places) -> Terms {
    let mut pairs: BTreeMap<String, String> = BTreeMap::new();
    for (at, (name, rest)) in METHODS.iter().enumerate() {
        let [effect, group, late] = rest.split(' ').collect::<Vec<_>>()[..] else { panic!("bad method") };
        let values = [("name", *name), ("effect", effect), ("group", group), ("overdueCriticality", late)];
        let figures = [
            ("windowNs", "2000000000"),
            ("latencyBudgetNs", "1000000000"),
            ("criticality", "1"),
            ("deadlineNs", "5000000000"),
        ];
        pairs
            .extend(values.iter().chain(&figures).map(|(k, v)| (format!("methods.{at}.{k}"), v.to_string())));
    }
    for pair in DEFAULTS.split_whitespace().chain(["methods.count=4"]).chain(overrides.split_whitespace()) {
        let (path, value) = pair.split_once('=').expect("PATH=VALUE");
        pairs.insert(path.to_string(), value.to_string());
    }
    Terms::decode(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str())), places).expect("valid terms")
}

fn outcome(word: &str) -> Outcome {
    match word {
        "satisfied" => Outcome::Success,
        "errored" => Outcome::Error,
        "saturated" => Outcome::Overloaded,
        "overdue" => Outcome::Timeout,
        "refused" => Outcome::ConnectFailure,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "never-sent" => Outcome::NeverSent,
        other => panic!("unknown outcome {other}"),
    }
}

fn millis(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("'{word}' is not a number"))
}

fn moment(ms: u64) -> Moment {
    Moment::from_nanos(ms * 1_000_000)
}

impl Player {
    fn new(overrides: &str) -> Player {
        let (mut places, cells) = (Places::default(), Names::default());
        let balancer = Balancer::new(moment(0), terms(overrides, &mut places), 7);
        let (requests, endpoints) = (Names::default(), Names::default());
        Player {
            balancer,
            requests,
            endpoints,
            places,
            cells,
            pending: VecDeque::new(),
            counts: BTreeMap::new(),
        }
    }

    fn take_decisions(&mut self, now: u64) {
        while let Some(decision) = self.balancer.next_decision(moment(now)) {
            let text = match decision {
                Decision::Send { request, endpoint, give_up } => {
                    let give_up = give_up.nanos() / 1_000_000;
                    format!(
                        "send {} {} {give_up}",
                        self.requests.name(request),
                        self.endpoints.name(endpoint)
                    )
                }
                Decision::Reject { request, retry_after, .. } => {
                    let wait = retry_after.map_or(0, |wait| wait.nanos() / 1_000_000);
                    format!("nack {} {wait}", self.requests.name(request))
                }
                Decision::Fail { request, .. } => format!("fail {}", self.requests.name(request)),
                Decision::Cancel { request, attempt } => {
                    format!("revoke {} {attempt}", self.requests.name(request))
                }
                Decision::Wake { at } => format!("wake {}", at.nanos() / 1_000_000),
                Decision::Probe { endpoint } => format!("probe {}", self.endpoints.name(endpoint)),
                Decision::TellPeer { peer, message } => {
                    let hex = message.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
                    format!("tell {peer} {hex}")
                }
                Decision::CloseIdle { endpoint } => format!("close {}", self.endpoints.name(endpoint)),
                Decision::Subscribe => "subscribe".to_string(),
                Decision::ForgetRequest { request } => {
                    self.requests.release(request);
                    continue;
                }
                Decision::ForgetEndpoint { endpoint } => {
                    self.endpoints.release(endpoint);
                    continue;
                }
            };
            self.pending.push_back(text);
        }
    }

    fn list(&mut self, now: u64, complete: bool, entries: &[&str]) {
        self.balancer.list_begin(complete);
        for entry in entries {
            let mut parts = entry.split(':');
            let head = parts.next().unwrap_or(entry);
            let (name, count) = head.split_once('*').unwrap_or((head, "1"));
            let state = match parts.next().unwrap_or("ready") {
                "ready" => EndpointState::Ready,
                "draining" => EndpointState::Draining,
                "gone" => EndpointState::Gone,
                other => panic!("unknown state {other}"),
            };
            let zone = self.places.zones.index(parts.next().unwrap_or("z0"));
            let cell = self.cells.index(parts.next().unwrap_or("c0")) as u64;
            let started = parts.next().filter(|ms| *ms != "-").map(|ms| moment(millis(ms)));
            let kind = self.places.kinds.index(parts.next().unwrap_or("k0"));
            for number in 0..millis(count) {
                let name = if count == "1" { name.to_string() } else { format!("{name}{number}") };
                let endpoint = self.endpoints.index(&name);
                let name_hash = ids::name_hash(&name);
                let entry = Entry { state, started, zone, cell, kind, name_hash };
                self.balancer.list_entry(moment(now), endpoint, entry);
            }
        }
        self.balancer.list_end(moment(now));
    }

    /// An arrival; `hints` are the request's key and its work in milliseconds.
    fn arrival(&mut self, now: u64, request: &str, method: &str, left: &str, hints: &[&str]) {
        let hint = |what: &str| hints.iter().find_map(|word| word.strip_prefix(what));
        let method = METHODS.iter().position(|(name, _)| *name == method).expect("a known method");
        let request = self.requests.index(request);
        let left = Span::from_millis(millis(left));
        let (key, work) =
            (hint("key=").map(ids::name_hash), hint("work=").map(|ms| Span::from_millis(millis(ms))));
        self.balancer.arrival(moment(now), request, RequestInfo { method, left, work, key });
    }

    fn answer(&mut self, now: u64, request: &str, attempt: usize, word: &str) {
        let outcome = outcome(word);
        if let Some(request) = self.requests.find(request) {
            let closed = outcome == Outcome::Success;
            self.balancer.outcome(moment(now), request, attempt, outcome, closed);
        }
    }

    fn flood(&mut self, mut now: u64, words: &[&str]) {
        let [count, method, gap, outcome, takes @ ..] = words else { panic!("a flood lacks words") };

        self.counts.clear();
        for number in 0..millis(count) {
            let request = format!("flood{number}");
            self.arrival(now, &request, method, FLOOD_LEFT, takes);
            self.take_decisions(now);
            let mut attempts = 0;
            while let Some(text) = self.pending.pop_front() {
                let words: Vec<&str> = text.split(' ').collect();
                let counted = if words[0] == "send" { words[2] } else { words[0] };
                *self.counts.entry(counted.to_string()).or_default() += 1;
                if words[0] == "send" {
                    let prefix = format!("{}=", words[2]);
                    let took = takes.iter().find_map(|take| take.strip_prefix(&prefix)).unwrap_or("0");
                    let (took, outcome) = took.split_once(':').unwrap_or((took, outcome));
                    now += millis(took);
                    self.answer(now, &request, attempts, outcome);
                    attempts += 1;
                    self.take_decisions(now);
                }
            }
            now += millis(gap);
        }
    }

    fn step(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["expect", ref wanted @ ..] => {
                let text = self.pending.pop_front().unwrap_or("nothing".to_string());
                let got: Vec<&str> = text.split(' ').collect();
                let same =
                    got.len() == wanted.len() && got.iter().zip(wanted).all(|(g, w)| g == w || *w == "any");
                return if same { Ok(()) } else { Err(format!("the balancer decides: {text}")) };
            }
            ["count", name, least, most] => {
                let count = self.counts.get(name).copied().unwrap_or(0) as u64;
                let within = (millis(least)..=millis(most)).contains(&count);
                return if within { Ok(()) } else { Err(format!("counted {count} {:?}", self.counts)) };
            }
            _ => {}
        }
        if let Some(text) = self.pending.front() {
            return Err(format!("unexpected decision before this step: {text}"));
        }
        let now = millis(words[0]);
        match words[1..] {
            ["list", ref entries @ ..] => self.list(now, true, entries),
            ["delta", ref entries @ ..] => self.list(now, false, entries),
            ["arrival", request, method, left, ref hints @ ..] => {
                self.arrival(now, request, method, left, hints)
            }
            ["answer", request, attempt, outcome] => {
                self.answer(now, request, millis(attempt) as usize, outcome)
            }
            ["hangup", request] => {
                self.balancer.client_disconnected(self.requests.find(request).expect("an open request"))
            }
            ["wake"] => self.balancer.wake(moment(now)),
            ["probed", name, load] => {
                let endpoint = self.endpoints.find(name).expect("a known endpoint");
                self.balancer.probe_result(moment(now), endpoint, load.parse().ok());
            }
            ["told", name, method, part, ref word @ ..] => {
                let (name, count) = name.split_once('*').unwrap_or((name, "1"));
                let (name_hash, part) = (ids::name_hash(name), millis(part) as f64 / 1e4);
                let (outcome, method) =
                    (word.first().map_or(Outcome::Success, |word| outcome(word)), millis(method) as usize);
                let mut message = Vec::new();
                AttemptReport { name_hash, method, outcome, part, load: None }.write(&mut message);
                (0..millis(count)).for_each(|_| {
                    self.balancer.apply_reports(moment(now), AttemptReport::read(&message), false)
                });
            }
            ["list-failed"] => self.balancer.list_failed(moment(now)),
            ["flood", ref words @ ..] => self.flood(now, words),
            _ => return Err("not in the notation".to_string()),
        }
        self.take_decisions(now);
        Ok(())
    }
}

#[test]
fn scenarios() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty());
    let mut wrong = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap() + "expect nothing\n";
        let overrides: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("terms ")).collect();
        let mut player = Player::new(&overrides.join(" "));
        player.take_decisions(0);
        let steps = text.lines().enumerate();
        let steps = steps.filter(|(_, l)| !(l.is_empty() || l.starts_with('#') || l.starts_with("terms ")));
        for (number, line) in steps {
            if let Err(what) = player.step(line) {
                wrong.push(format!("{}:{}: '{line}': {what}", file.display(), number + 1));
                break;
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// All decisions on a series of requests with mixed outcomes while the list changes, under the default terms and these.
fn decisions(overrides: &str) -> Vec<String> {
    let mut player = Player::new(overrides);
    let mut decided = Vec::new();
    player.list(0, true, &["a", "b:ready:z1", "c:ready:z1:c1:-:k1", "d:ready:z0:c1"]);
    for number in 0..600 {
        let now = 10 + 7 * number;
        if number == 300 {
            player.list(now, false, &["a:draining", "b:gone", &format!("e:ready:z0:c0:{now}")]);
        }
        let method = METHODS[number as usize % METHODS.len()].0;
        player.arrival(now, &format!("r{number}"), method, FLOOD_LEFT, &[]);
        player.take_decisions(now);
        let outcomes = ["satisfied", "errored", "satisfied", "saturated", "overdue", "satisfied", "refused"];
        for step in 0.. {
            let sent = player.pending.iter().any(|decision| decision.starts_with("send"));
            decided.extend(player.pending.drain(..));
            if !sent {
                break;
            }
            player.answer(
                now + 1,
                &format!("r{number}"),
                step,
                outcomes[(number as usize + step) % outcomes.len()],
            );
            player.take_decisions(now + 1);
        }
    }
    decided
}

/// Danger: settings added later could change the decisions for a deployment that does not have them.
#[test]
fn omitted_settings_decide_as_their_neutral_values() {
    let neutral = "rules.deadlineDriftNs=0 rules.stampDoubtNs=0 rules.drainBindsAlone=false deductions.crossZone=0 zone=z0";
    assert_eq!(decisions(""), decisions(neutral));
    for other in ["methods.0.confinedTo=z1", "methods.0.skusOpen=k1", "rules.drainBindsAlone=true"] {
        assert_ne!(decisions(""), decisions(other), "{other}");
    }
}
