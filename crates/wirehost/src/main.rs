//! Reads batches of events as lines, hands each decoded field straight to the instance it is for, and writes
//! that instance's decisions out. Nothing is decided here.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::str::FromStr;

use appledyke::choice::Choice;
use appledyke::ids::{self, Names, Places};
use appledyke::news::Told;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Ask, Decision, Entry, Outcome, Standing};

struct Instance {
    choice: Choice,
    reqs: Names,
    endpoints: Names,
    places: Places,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The lines of each numbered list, as they came.
    lists: BTreeMap<u64, Vec<String>>,
    /// Instances with an event in this batch, in the order of the first.
    touched: Vec<u64>,
    now: Moment,
    who: Option<u64>,
    marks: u64,
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
        "completed" => Outcome::Satisfied,
        "errored" => Outcome::Errored,
        "saturated" => Outcome::Saturated,
        "overdue" => Outcome::Overdue,
        "refused_conn" => Outcome::RefusedConnection,
        "severed" => Outcome::Severed,
        "recalled" => Outcome::Recalled,
        "superseded" => Outcome::NeverSent,
        other => return Err(format!("unknown outcome '{other}'")),
    })
}

/// Bytes as hex digits, or `-` if there are none.
fn bytes(hex: &str) -> Result<Vec<u8>, String> {
    let wrong = || format!("field blob has the unreadable value '{hex}'");
    let hex = if hex == "-" { "" } else { hex };
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap_or(""));
    pairs.map(|pair| u8::from_str_radix(pair, 16).map_err(|_| wrong())).collect()
}

impl Instance {
    fn begin(now: Moment, fields: Fields) -> Result<Instance, String> {
        let mut places = Places::default();
        let terms = Terms::decode(fields.pairs().filter(|(key, _)| *key != "seed"), &mut places)?;
        let choice = Choice::new(now, terms, fields.read("seed")?);
        let (reqs, endpoints) = (Names::default(), Names::default());
        Ok(Instance { choice, reqs, endpoints, places })
    }

    fn arrival(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        let name = fields.text("service")?;
        let method = self.choice.terms().methods.iter().position(|m| m.name == name);
        let method = method.ok_or_else(|| format!("unknown method '{name}'"))?;
        // Danger: by a clock that is ahead, less than nothing may seem left.
        let left = Span::from_nanos(fields.read::<i64>("leftNs")?.max(0) as u64);
        let req = self.reqs.index(fields.text("requestId")?);
        let work = fields.find("costGuessNs").map(|_| fields.read("costGuessNs")).transpose()?;
        let key = fields.find("entity").map(ids::mark);
        self.choice.arrival(now, req, Ask { method, left, work: work.map(Span::from_nanos), key });
        Ok(())
    }

    fn answer(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        let (write_out, outcome) = (fields.read("roundNo")?, outcome(fields.text("stateCode")?)?);
        let closed = fields.flag("noMore")?;
        if let Some(req) = self.reqs.find(fields.text("requestId")?) {
            self.choice.outcome(now, req, write_out, outcome, closed);
        }
        Ok(())
    }

    fn probed(&mut self, now: Moment, fields: Fields) -> Result<(), String> {
        if let Some(endpoint) = self.endpoints.find(fields.text("endpoint")?) {
            let load = fields.find("healthInfo").and_then(|report| self.choice.terms().load(report));
            self.choice.probed(now, endpoint, load);
        }
        Ok(())
    }

    fn sync(&mut self, now: Moment, kind: &str, entries: &[String]) -> Result<(), String> {
        self.choice.list_opens(kind != "D");
        for entry in entries {
            let fields = Fields(entry);
            let standing = match fields.text("lifecycle")? {
                "ready" => Standing::Ready,
                "draining" => Standing::Draining,
                "gone" => Standing::Gone,
                other => return Err(format!("unknown lifecycle '{other}'")),
            };
            let started = match fields.find("upSinceNs") {
                None | Some("0") => None,
                Some(_) => Some(Moment::from_nanos(fields.read("upSinceNs")?)),
            };
            let kind = self.places.kinds.index(fields.find("flavor").unwrap_or(""));
            let zone = self.places.zones.index(fields.find("site").unwrap_or(""));
            let name = fields.text("endpoint")?;
            let (cell, mark) = (fields.read("cohort")?, ids::mark(name));
            let entry = Entry { standing, started, zone, cell, kind, mark };
            let endpoint = self.endpoints.index(name);
            self.choice.listed(now, endpoint, entry);
        }
        self.choice.list_closes(now);
        Ok(())
    }

    fn write_decisions(&mut self, now: Moment, marks: &mut u64, out: &mut impl Write) -> io::Result<()> {
        while let Some(decision) = self.choice.next_decision(now) {
            match decision {
                Decision::Send { req, endpoint, give_up } => {
                    let (req, endpoint) = (self.reqs.name(req), self.endpoints.name(endpoint));
                    writeln!(
                        out,
                        "call_out requestId={req} endpoint={endpoint} cutAtNs={}",
                        give_up.nanos()
                    )?;
                }
                Decision::Nack { req, come_back, .. } => {
                    write!(out, "busy requestId={}", self.reqs.name(req))?;
                    match come_back {
                        Some(wait) => writeln!(out, " comeBackNs={}", wait.nanos())?,
                        None => writeln!(out)?,
                    }
                }
                Decision::Fail { req, .. } => writeln!(out, "fail requestId={}", self.reqs.name(req))?,
                Decision::Revoke { req, write_out } => {
                    writeln!(out, "revoke requestId={} roundNo={write_out}", self.reqs.name(req))?;
                }
                Decision::ForgetReq { req } => self.reqs.release(req),
                Decision::ForgetEndpoint { endpoint } => self.endpoints.release(endpoint),
                Decision::Wake { at } => {
                    *marks += 1;
                    writeln!(out, "defer mark={marks} momentNs={}", at.nanos())?;
                }
                Decision::Probe { endpoint } => {
                    writeln!(out, "check endpoint={}", self.endpoints.name(endpoint))?
                }
                Decision::Tell { peer, news } => {
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
            self.who = Some(fields.read("who")?);
            return Ok(());
        }
        let who = self.who.ok_or_else(|| format!("'{word}' comes before any 'instance'"))?;
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
            "neighbour_says" => instance.choice.told(now, Told::read(&bytes(fields.text("blob")?)?), false),
            "health_result" => instance.probed(now, fields)?,
            "arrival" => instance.arrival(now, fields)?,
            "answer" => instance.answer(now, fields)?,
            "streaming" | "hangup" => {
                if let Some(req) = instance.reqs.find(fields.text("requestId")?) {
                    match word {
                        "hangup" => instance.choice.hangup(req),
                        _ => instance.choice.streaming(req),
                    }
                }
            }
            "sync" => match fields.text("kind")? {
                "X" => instance.choice.list_failed(now),
                kind @ ("C" | "D" | "F") => {
                    let number = fields.read("rosterId")?;
                    let entries =
                        self.lists.get(&number).ok_or_else(|| format!("there is no list {number}"))?;
                    instance.sync(now, kind, entries)?;
                }
                other => return Err(format!("unknown kind of sync '{other}'")),
            },
            "tick_due" => instance.choice.wake(now),
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
                instance.write_decisions(self.now, &mut self.marks, out)?;
            }
        }
        writeln!(out, "yield serial={serial}")?;
        out.flush()
    }

    /// Answers batches until the input ends; what is wrong with it, and where, comes back as an error.
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
                    self.who = None;
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
