//! Reads batches of events as lines, decodes each event and passes it to the instance that it is for, and writes the
//! decisions of these instances. Nothing is decided here.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::str::FromStr;

use appledyke::balancer::Balancer;
use appledyke::ids::{self, Names, Places};
use appledyke::reports::AttemptReport;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

struct Instance {
    balancer: Balancer,
    requests: Names,
    endpoints: Names,
    places: Places,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The lines of each numbered list, as received.
    lists: BTreeMap<u64, Vec<String>>,
    /// Instances with an event in this batch, in the order of their first one.
    touched: Vec<u64>,
    now: Moment,
    /// The instance that the next events are for.
    current: Option<u64>,
    /// The mark of the last wake that was requested.
    last_mark: u64,
}

/// The name=value pairs of one line.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn pairs(self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.split(' ').filter_map(|part| part.split_once('='))
    }

    fn find(self, name: &str) -> Option<&'a str> {
        self.pairs().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn text(self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("field {name} is missing"))
    }

    fn read<T: FromStr>(self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("field {name} has the unreadable value '{text}'"))
    }

    fn flag(self, name: &str) -> Result<bool, String> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("field {name} has the unreadable value '{other}'")),
        }
    }
}

fn outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "completed" => Outcome::Success,
        "errored" => Outcome::Error,
        "saturated" => Outcome::Overloaded,
        "overdue" => Outcome::Timeout,
        "refused_conn" => Outcome::ConnectFailure,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NeverSent,
        other => return Err(format!("unknown outcome '{other}'")),
    })
}

/// Decodes hex digits; `-` stands for no bytes.
fn hex_bytes(hex: &str) -> Result<Vec<u8>, String> {
    let invalid = || format!("field blob has the unreadable value '{hex}'");
    let hex = if hex == "-" { "" } else { hex };
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap_or(""));
    pairs.map(|pair| u8::from_str_radix(pair, 16).map_err(|_| invalid())).collect()
}

impl Instance {
    fn begin(now: Moment, fields: Fields) -> Result<Instance, String> {
        let mut places = Places::default();
        let terms = Terms::decode(fields.pairs().filter(|(key, _)| *key != "seed"), &mut places)?;
        let balancer = Balancer::new(now, terms, fields.read("seed")?);
        let (requests, endpoints) = (Names::default(), Names::default());
        Ok(Instance { balancer, requests, endpoints, places })
    }

    fn arrival(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        let name = fields.text("service")?;
        let method = self.balancer.terms().methods.iter().position(|m| m.name == name);
        let method = method.ok_or_else(|| format!("unknown method '{name}'"))?;
        // Danger: if the local clock is ahead, the time left may be negative.
        let left = Span::from_nanos(fields.read::<i64>("leftNs")?.max(0) as u64);
        let request = self.requests.index(fields.text("requestId")?);
        let work = fields.find("costGuessNs").map(|_| fields.read("costGuessNs")).transpose()?;
        let key = fields.find("entity").map(ids::name_hash);
        self.balancer.arrival(
            now,
            request,
            RequestInfo { method, left, work: work.map(Span::from_nanos), key },
        );
        Ok(())
    }

    fn answer(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        let (attempt, outcome) = (fields.read("roundNo")?, outcome(fields.text("stateCode")?)?);
        let closed = fields.flag("noMore")?;
        if let Some(request) = self.requests.find(fields.text("requestId")?) {
            self.balancer.outcome(now, request, attempt, outcome, closed);
        }
        Ok(())
    }

    fn probe_result(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        if let Some(endpoint) = self.endpoints.find(fields.text("endpoint")?) {
            let load = fields.find("healthInfo").and_then(|report| self.balancer.terms().load(report));
            self.balancer.probe_result(now, endpoint, load);
        }
        Ok(())
    }

    fn sync(&mut self, now: Moment, kind: &str, entries: &[String]) -> Result<(), String> {
        self.balancer.list_begin(kind != "D");
        for entry in entries {
            let fields = Fields(entry);
            let state = match fields.text("lifecycle")? {
                "ready" => EndpointState::Ready,
                "draining" => EndpointState::Draining,
                "gone" => EndpointState::Gone,
                other => return Err(format!("unknown lifecycle '{other}'")),
            };
            let started = match fields.find("upSinceNs") {
                None | Some("0") => None,
                Some(_) => Some(Moment::from_nanos(fields.read("upSinceNs")?)),
            };
            let kind = self.places.kinds.index(fields.find("flavor").unwrap_or(""));
            let zone = self.places.zones.index(fields.find("site").unwrap_or(""));
            let name = fields.text("endpoint")?;
            let (cell, name_hash) = (fields.read("cohort")?, ids::name_hash(name));
            let entry = Entry { state, started, zone, cell, kind, name_hash };
            let endpoint = self.endpoints.index(name);
            self.balancer.list_entry(now, endpoint, entry);
        }
        self.balancer.list_end(now);
        Ok(())
    }

    fn write_decisions(&mut self, now: Moment, last_mark: &mut u64, out: &mut impl Write) -> io::Result<()> {
        while let Some(decision) = self.balancer.next_decision(now) {
            match decision {
                Decision::Send { request, endpoint, give_up } => {
                    let (request, endpoint) = (self.requests.name(request), self.endpoints.name(endpoint));
                    writeln!(
                        out,
                        "call_out requestId={request} endpoint={endpoint} cutAtNs={}",
                        give_up.nanos()
                    )?;
                }
                Decision::Reject { request, retry_after, .. } => {
                    write!(out, "busy requestId={}", self.requests.name(request))?;
                    match retry_after {
                        Some(wait) => writeln!(out, " comeBackNs={}", wait.nanos())?,
                        None => writeln!(out)?,
                    }
                }
                Decision::Fail { request, .. } => {
                    writeln!(out, "fail requestId={}", self.requests.name(request))?
                }
                Decision::Cancel { request, attempt } => {
                    writeln!(out, "revoke requestId={} roundNo={attempt}", self.requests.name(request))?;
                }
                Decision::ForgetRequest { request } => self.requests.release(request),
                Decision::ForgetEndpoint { endpoint } => self.endpoints.release(endpoint),
                Decision::Wake { at } => {
                    *last_mark += 1;
                    writeln!(out, "defer mark={last_mark} momentNs={}", at.nanos())?;
                }
                Decision::Probe { endpoint } => {
                    writeln!(out, "check endpoint={}", self.endpoints.name(endpoint))?
                }
                Decision::TellPeer { peer, message: news } => {
                    write!(out, "post peer={peer} blob=")?;
                    news.iter().try_for_each(|byte| write!(out, "{byte:02x}"))?;
                    writeln!(out)?
                }
                Decision::CloseIdle { endpoint } => {
                    writeln!(out, "shut_idle endpoint={}", self.endpoints.name(endpoint))?
                }
                Decision::Subscribe => writeln!(out, "observe on=1")?,
            }
        }
        Ok(())
    }
}

impl Host {
    fn event(&mut self, word: &str, fields: Fields) -> Result<(), String> {
        let now = self.now;
        if word == "instance" {
            self.current = Some(fields.read("who")?);
            return Ok(());
        }
        let who = self.current.ok_or_else(|| format!("'{word}' comes before any 'instance'"))?;
        if word == "begin" {
            self.instances.insert(who, Instance::begin(now, fields)?);
        }
        let unknown = || format!("'{word}' is for instance {who}, which has not begun");
        let instance = self.instances.get_mut(&who).ok_or_else(unknown)?;
        if !self.touched.contains(&who) {
            self.touched.push(who);
        }
        match word {
            "begin" => {}
            "neighbour_says" => instance.balancer.apply_reports(
                now,
                AttemptReport::read(&hex_bytes(fields.text("blob")?)?),
                false,
            ),
            "health_result" => instance.probe_result(now, fields)?,
            "arrival" => instance.arrival(now, fields)?,
            "answer" => instance.answer(now, fields)?,
            "streaming" | "hangup" => {
                if let Some(request) = instance.requests.find(fields.text("requestId")?) {
                    match word {
                        "hangup" => instance.balancer.client_disconnected(request),
                        _ => instance.balancer.streaming(request),
                    }
                }
            }
            "sync" => match fields.text("kind")? {
                "X" => instance.balancer.list_failed(now),
                kind @ ("C" | "D" | "F") => {
                    let number = fields.read("rosterId")?;
                    let entries =
                        self.lists.get(&number).ok_or_else(|| format!("there is no list {number}"))?;
                    instance.sync(now, kind, entries)?;
                }
                other => return Err(format!("unknown kind of sync '{other}'")),
            },
            "tick_due" => instance.balancer.wake(now),
            "detach" => {
                self.instances.remove(&who);
            }
            other => return Err(format!("unknown message '{other}'")),
        }
        Ok(())
    }

    fn reply(&mut self, serial: u64, out: &mut impl Write) -> io::Result<()> {
        for who in std::mem::take(&mut self.touched) {
            if let Some(instance) = self.instances.get_mut(&who) {
                writeln!(out, "context who={who}")?;
                instance.write_decisions(self.now, &mut self.last_mark, out)?;
            }
        }
        writeln!(out, "yield serial={serial}")?;
        out.flush()
    }

    /// Answers batches until the input ends. Returns what is wrong with the input, and at which line, as an error.
    fn run(&mut self, input: impl BufRead, out: &mut impl Write) -> Result<(), String> {
        let mut serial = None;
        let mut list: Option<(u64, usize)> = None;
        for (number, line) in input.lines().enumerate() {
            let at = |what: String| format!("line {}: {what}", number + 1);
            let line = line.map_err(|e| at(e.to_string()))?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let fields = Fields(rest);
            if let Some((roster, missing)) = list.filter(|(_, missing)| *missing > 0) {
                if word != "entry" {
                    return Err(at(format!("a list still lacks {missing} of its entries")));
                }
                self.lists.entry(roster).or_default().push(rest.to_string());
                list = Some((roster, missing - 1));
                continue;
            }
            match (word, serial) {
                ("", None) => {}
                ("turn", None) => {
                    self.now = Moment::from_nanos(fields.read("wallNs").map_err(at)?);
                    serial = Some(fields.read("serial").map_err(at)?);
                    self.current = None;
                }
                (_, None) => return Err(at(format!("'{word}' comes before 'turn'"))),
                ("end", Some(open)) => {
                    self.reply(open, out).map_err(|e| at(e.to_string()))?;
                    serial = None;
                }
                ("list", Some(_)) => {
                    let roster = fields.read("rosterId").map_err(at)?;
                    self.lists.insert(roster, Vec::new());
                    list = Some((roster, fields.read("entries").map_err(at)?));
                }
                _ => self.event(word, fields).map_err(at)?,
            }
        }
        if serial.is_some() { Err("the input ends within a batch".to_string()) } else { Ok(()) }
    }
}

fn main() -> ExitCode {
    let out = &mut io::BufWriter::new(io::stdout().lock());
    match Host::default().run(io::stdin().lock(), out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("appledyke-wirehost: {what}");
            ExitCode::FAILURE
        }
    }
}
