//! Settings for parts of a fleet: real daemons, real sidecars and members by raw frames, and what strikes them.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use appledyke_consensus::Id;
use appledyke_fleet::Version;
use appledyke_fleet::evidence::Observation;
use appledyke_fleet::evidence_coding::Decoder;
use appledyke_fleet::messages::{
    Frame, FrameReader, Initiator, MIN_VERSION, OperatorReply, OperatorRequest, Report, ReportAnswer,
    ScopeRow, VERSION,
};
use appledyke_fleet::scopes::{Locality, Scope};
use appledyke_fleet::state::{MAX_SETTINGS_BYTES, SettingsChange, Write};
use appledyke_lab::rig::fleet::{Daemons, FLEET, Shape, WAIT_TIMEOUT, ask};
use appledyke_lab::rig::links::LinkState;
use appledyke_lab::rig::processes::workspace_program;
use appledyke_lab::rig::sidecars::{Sidecars, request};
use serde_json::{Value, json};

const BASE: &str = include_str!("../../../examples/sidecar.json");
const BEAT_MS: u64 = 60;

fn begun(name: &str) -> Daemons {
    let root = std::env::temp_dir().join(format!("appledyke-scopes-{}-{name}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_appledyke-daemon"));
    // Elections that a busy machine does not bring about: leaders change where a test has them change.
    let shape = Shape { election_ms: 1000, lease_ms: 2000, ..Shape::default() };
    let mut daemons = Daemons::new(&root, program, BASE, shape).unwrap();
    daemons.start_all().unwrap();
    daemons
}

fn sidecars(daemons: &Daemons) -> Sidecars {
    let root = daemons.root.join("sidecars");
    Sidecars::new(&root, &workspace_program("appledyke-sidecar").unwrap(), BASE, 2).unwrap()
}

fn start(sidecars: &mut Sidecars, daemons: &Daemons, name: &str, belongs: Value) {
    sidecars.set_belongs(belongs);
    let at: Vec<_> = daemons.replicas().map(|place| (place, daemons.at(place))).collect();
    sidecars.start(name, &at, BEAT_MS).unwrap();
}

fn scope(text: &str) -> Scope {
    text.parse().unwrap()
}

fn in_service(service: &str) -> Locality {
    Locality { service: Some(service.into()), ..Locality::default() }
}

fn in_zone(zone: &str, service: &str) -> Locality {
    Locality { zone: Some(zone.into()), ..in_service(service) }
}

/// Settings by which a req to this method is taken.
fn with_method(name: &str) -> String {
    let base: Value = serde_json::from_str(BASE).unwrap();
    let mut methods = base["settings"]["methods"].clone();
    methods[0]["name"] = name.into();
    json!({ "methods": methods }).to_string()
}

/// Settings like no others, of about so many bytes.
fn large(number: u64, bytes: usize) -> String {
    let base: Value = serde_json::from_str(BASE).unwrap();
    let method = &base["settings"]["methods"][0];
    // The name is nine bytes longer, and a comma stands between two.
    let each = method.to_string().len() + 10;
    let methods = (0..bytes.div_ceil(each)).map(|at| {
        let mut method = method.clone();
        method["name"] = format!("m{number:06}{at:06}").into();
        method
    });
    json!({ "methods": methods.collect::<Vec<_>>() }).to_string()
}

fn put(text: &str) -> SettingsChange {
    SettingsChange::Put(text.to_string(), Vec::new(), Vec::new())
}

fn written(daemons: &mut Daemons, of: &str, what: SettingsChange, expects: Option<Version>) -> OperatorReply {
    let write = daemons.new_write(what, expects);
    daemons.ask(&OperatorRequest::WriteScoped { scope: scope(of), write }, WAIT_TIMEOUT).unwrap()
}

fn committed(daemons: &mut Daemons, of: &str, text: &str) -> Version {
    // Danger: all must speak version 3, which shows only once they have greeted each other.
    let mut last = OperatorReply::Done;
    for _ in 0..400 {
        last = written(daemons, of, put(text), None);
        match &last {
            OperatorReply::Committed(version) => return *version,
            OperatorReply::Invalid(why) if why.contains("not before all daemons") => {
                thread::sleep(Duration::from_millis(25));
            }
            _ => break,
        }
    }
    panic!("{last:?}")
}

fn rows(daemons: &Daemons) -> Vec<ScopeRow> {
    match daemons.ask(&OperatorRequest::Scopes, WAIT_TIMEOUT).unwrap() {
        OperatorReply::Scopes(rows) => rows,
        other => panic!("{other:?}"),
    }
}

fn row(daemons: &Daemons, of: &str) -> ScopeRow {
    rows(daemons).into_iter().find(|row| row.scope == scope(of)).unwrap()
}

fn run(daemons: &Daemons, line: &[&str]) -> (Option<i32>, String) {
    let config = daemons.configuration(1).display().to_string();
    daemons.command(&[line, &["--config", &config]].concat()).unwrap()
}

/// A member by raw frames, of one connection.
struct Raw {
    stream: TcpStream,
    frames: FrameReader,
    report: Report,
    speaks: u16,
    /// Bytes that have come.
    bytes: usize,
    decoder: Decoder,
    /// Answers whose records came coded, and how many of the last one's did.
    coded: usize,
    coded_records: usize,
}

impl Raw {
    fn greet(at: SocketAddr, name: &str, version: u16, locality: Option<Locality>) -> Raw {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let report = Report { name: name.into(), incarnation: 1, process_nonce: 1, ..Report::default() };
        let (frames, decoder) = (FrameReader::default(), Decoder::default());
        let mut raw =
            Raw { stream, frames, report, speaks: 0, bytes: 0, decoder, coded: 0, coded_records: 0 };
        raw.send(&Frame::hello_as(version, FLEET, Initiator::Member { name: name.into() }));
        match raw.next() {
            Frame::Hello { version, .. } => raw.speaks = version,
            other => panic!("{other:?}"),
        }
        if let Some(locality) = locality {
            raw.send(&Frame::Locality(locality));
        }
        raw
    }

    fn to(daemons: &Daemons, name: &str, locality: Locality) -> Raw {
        Raw::greet(daemons.at(daemons.wait_for_leader().unwrap()), name, VERSION, Some(locality))
    }

    fn send(&mut self, frame: &Frame) {
        let mut out = Vec::new();
        assert!(frame.write(&mut out));
        self.stream.write_all(&out).unwrap();
    }

    fn next(&mut self) -> Frame {
        let mut piece = vec![0; 64 * 1024];
        loop {
            if let Some(frame) = self.frames.pop().unwrap() {
                return frame;
            }
            let read = self.stream.read(&mut piece).unwrap();
            assert!(read > 0, "the daemon ended the connection");
            self.bytes += read;
            self.frames.push(&piece[..read]);
        }
    }

    /// Reports, and takes the settings that it is told: it knows them and acts on them from then on.
    fn told(&mut self) -> ReportAnswer {
        self.report.number += 1;
        self.send(&Frame::Report(self.report.clone()));
        let told = loop {
            match self.next() {
                Frame::ReportAnswer(told) if told.number == self.report.number => break told,
                Frame::ReportAnswer(_) => {}
                Frame::CodedReportAnswer(mut told, coded) => {
                    let mut passed = self.decoder.decode(&coded).unwrap();
                    passed.append(&mut told.observations);
                    self.coded += 1;
                    self.coded_records = coded.records.len();
                    if told.number == self.report.number {
                        break ReportAnswer { observations: passed, ..told };
                    }
                }
                other => panic!("{other:?}"),
            }
        };
        if let Some((version, _)) = &told.settings {
            assert!(*version > self.report.latest_known, "settings go only forwards");
            (self.report.latest_known, self.report.version) = (*version, *version);
        }
        told
    }

    fn settings(&mut self) -> Option<(Version, Value)> {
        let told = self.told().settings;
        told.map(|(version, text)| (version, serde_json::from_str(&text).unwrap()))
    }

    /// Reports until it is told settings.
    fn wait_for_settings(&mut self) -> (Version, Value) {
        for _ in 0..800 {
            if let Some(settings) = self.settings() {
                return settings;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("{} is told nothing", self.report.name)
    }
}

#[test]
fn of_several_scopes_the_narrowest_holds_as_a_sidecar_shows_and_operators_see() {
    let daemons = &mut begun("order");
    let mut sidecars = sidecars(daemons);
    let belongs = json!({"service": "menu", "zone": "a1", "region": "a"});
    start(&mut sidecars, daemons, "s0", belongs);
    start(&mut sidecars, daemons, "s1", json!({"service": "bar", "zone": "b1", "region": "a"}));
    start(&mut sidecars, daemons, "s2", Value::Null);
    let takes = |sidecars: &Sidecars, name: &str, method: &str| {
        let waited = sidecars.wait(&format!("{name} takes {method}"), |sidecars| {
            request(sidecars.at(name), &format!("/{method}/1")) == Some(200)
        });
        waited.unwrap();
    };
    let file = daemons.root.join("new.json").display().to_string();
    let puts = |daemons: &Daemons, of: &str, method: &str, more: &[&str]| {
        std::fs::write(&file, with_method(method)).unwrap();
        let line = [&["put", file.as_str(), "--for", of, "--why", method], more].concat();
        let (status, said) = run(daemons, &line);
        assert_eq!(status, Some(0), "{said}");
        said
    };
    let _ = committed(daemons, "all", &with_method("soup"));
    ["s0", "s1", "s2"].iter().for_each(|name| takes(&sidecars, name, "soup"));
    // Put in another order than they hold in.
    puts(daemons, "zone=a1", "bread", &[]);
    takes(&sidecars, "s0", "bread");
    puts(daemons, "region=a", "wine", &[]);
    takes(&sidecars, "s1", "wine");
    takes(&sidecars, "s0", "bread");
    puts(daemons, "service=menu", "stew", &[]);
    takes(&sidecars, "s0", "stew");
    puts(daemons, "member=s0", "cake", &[]);
    takes(&sidecars, "s0", "cake");
    assert_eq!(
        (request(sidecars.at("s1"), "/wine/1"), request(sidecars.at("s2"), "/soup/1")),
        (Some(200), Some(200))
    );
    // What is taken away uncovers what lies below.
    assert_eq!(run(daemons, &["remove", "--for", "member=s0"]).0, Some(0));
    takes(&sidecars, "s0", "stew");
    puts(daemons, "service=menu", "tea", &["--expects", &row(daemons, "service=menu").version.to_string()]);
    takes(&sidecars, "s0", "tea");
    let (_, history) = run(daemons, &["history", "--for", "service=menu"]);
    let first = history.split(' ').next().unwrap().to_string();
    assert_eq!(
        (history.lines().count(), run(daemons, &["rollback", &first, "--for", "service=menu"]).0),
        (2, Some(0))
    );
    takes(&sidecars, "s0", "stew");
    // Operators see the same.
    let (_, of) = run(daemons, &["get", "--of", "s0"]);
    assert!(of.contains("stew") && !of.contains("soup"), "{of}");
    let (_, of) = run(daemons, &["get", "--of", "s1", "--json"]);
    let of: Value = serde_json::from_str(&of).unwrap();
    let scopes: Vec<&str> = of["of"].as_array().unwrap().iter().map(|row| row[0].as_str().unwrap()).collect();
    assert_eq!((scopes, of["belongs"]["service"].as_str()), (vec!["all", "region=a"], Some("bar")));
    assert_eq!(run(daemons, &["get", "--for", "zone=a1"]), (Some(0), with_method("bread") + "\n"));
    assert_eq!(
        run(daemons, &["get", "--for", "service=menu", "--version", &first]).1,
        with_method("stew") + "\n"
    );
    let (status, said) = run(daemons, &["get", "--for", "member=s0"]);
    assert!(status == Some(1) && said.contains("was removed with version"), "{said}");
    let (_, members) = run(daemons, &["members"]);
    assert!(
        members
            .lines()
            .any(|line| line.starts_with("s0 ") && line.ends_with("service=menu zone=a1 region=a")),
        "{members}"
    );
    daemons
        .wait("all act on it", |daemons| rows(daemons).iter().all(|row| row.acting == row.members))
        .unwrap();
    let told: Vec<(String, u64)> =
        rows(daemons).iter().map(|row| (row.scope.to_string(), row.members)).collect();
    let told: Vec<(&str, u64)> = told.iter().map(|(scope, members)| (scope.as_str(), *members)).collect();
    assert_eq!(told, [("all", 3), ("region=a", 2), ("zone=a1", 1), ("service=menu", 1), ("member=s0", 1)]);
    let (_, said) = run(daemons, &["scopes"]);
    assert!(
        said.contains("2 members, 2 act on what holds for them") && said.contains("member=s0: "),
        "{said}"
    );
    let (_, said) = run(daemons, &["scopes", "--json"]);
    let said: Value = serde_json::from_str(&said).unwrap();
    assert_eq!((&said[1]["scope"], &said[1]["behind"]), (&json!("region=a"), &json!(0)));
    let (_, said) = run(daemons, &["status"]);
    assert!(said.contains("scopes: settings for 3, behind: nobody"), "{said}");
}

#[test]
fn only_members_whose_settings_change_are_told() {
    let daemons = &mut begun("told");
    let mut menu = Raw::to(daemons, "s0", in_service("menu"));
    let mut bar = Raw::to(daemons, "s1", in_service("bar"));
    let mut none = Raw::to(daemons, "s2", Locality::default());
    let first = committed(daemons, "all", &with_method("soup"));
    for raw in [&mut menu, &mut bar, &mut none] {
        assert_eq!(raw.wait_for_settings().0, first);
        raw.bytes = 0;
    }
    let text = large(1, 64 * 1024);
    let version = committed(daemons, "service=menu", &text);
    // Danger: told of all that is later than what they know, all members would take the text of one service.
    for _ in 0..20 {
        assert!(bar.settings().is_none() && none.settings().is_none());
    }
    let (told, settings) = menu.settings().unwrap();
    assert_eq!(
        (told, settings["methods"].as_array().unwrap().len()),
        (version, text.matches("\"m000001").count())
    );
    assert!(menu.settings().is_none(), "once");
    assert!(menu.bytes > text.len() && bar.bytes < 20 * 200, "{} and {} bytes", menu.bytes, bar.bytes);
    // And what is for all is told to all, also those above whom something stands.
    let third = committed(daemons, "all", &json!({"nInstances": 2}).to_string());
    let (told, settings) = menu.wait_for_settings();
    assert!(told == third && settings["nInstances"] == 2 && settings["methods"].is_array());
    assert_eq!((bar.wait_for_settings().0, none.wait_for_settings().0), (third, third));
}

#[test]
fn of_two_puts_at_once_for_one_scope_one_is_refused() {
    let daemons = &mut begun("one-scope");
    let holds = committed(daemons, "service=menu", &with_method("soup"));
    for round in 0..5 {
        let expects = row(daemons, "service=menu").version;
        assert!(expects >= holds);
        let writes: Vec<Write> = ["bread", "stew"]
            .map(|method| daemons.new_write(put(&with_method(&format!("{method}{round}"))), Some(expects)))
            .into();
        let at = daemons.at(daemons.wait_for_leader().unwrap());
        let asked = writes.into_iter().map(|write| {
            let asked = OperatorRequest::WriteScoped { scope: scope("service=menu"), write };
            thread::spawn(move || ask(at, &asked, WAIT_TIMEOUT).unwrap())
        });
        let replies: Vec<OperatorReply> =
            asked.collect::<Vec<_>>().into_iter().map(|asked| asked.join().unwrap()).collect();
        let won = replies.iter().filter(|reply| matches!(reply, OperatorReply::Committed(_))).count();
        let lost = |reply: &&OperatorReply| matches!(reply, OperatorReply::Refused(why) if why.contains("another was expected"));
        assert_eq!((won, replies.iter().filter(lost).count()), (1, 1), "{replies:?}");
    }
    // A version of another scope is not expected by this one.
    let _ = committed(daemons, "all", &with_method("wine"));
    let expects = row(daemons, "service=menu").version;
    assert!(matches!(
        written(daemons, "service=menu", put(&with_method("tea")), Some(expects)),
        OperatorReply::Committed(_)
    ));
}

#[test]
fn of_two_puts_at_once_that_are_faulty_only_together_one_is_refused_by_their_names() {
    let daemons = &mut begun("together");
    let mut both = Raw::to(daemons, "s0", in_zone("a1", "menu"));
    let _ = committed(daemons, "all", &json!({"nInstances": 4}).to_string());
    let _ = both.wait_for_settings();
    for round in 0..5 {
        let writes = [("service=menu", json!({"me": 3})), ("zone=a1", json!({"nInstances": 2}))];
        let asked: Vec<OperatorRequest> = writes
            .iter()
            .map(|(of, text)| OperatorRequest::WriteScoped {
                scope: scope(of),
                write: daemons.new_write(put(&text.to_string()), None),
            })
            .collect();
        let at = daemons.at(daemons.wait_for_leader().unwrap());
        // In one piece: the second is heard before the first is committed.
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut out = Vec::new();
        Frame::hello(FLEET, Initiator::Operator).write(&mut out);
        for (number, ask) in asked.into_iter().enumerate() {
            Frame::Request { number: number as u64, ask }.write(&mut out);
        }
        stream.write_all(&out).unwrap();
        let (mut frames, mut piece, mut replies) = (FrameReader::default(), vec![0; 4096], Vec::new());
        while replies.len() < 2 {
            while let Some(frame) = frames.pop().unwrap() {
                if let Frame::Reply { number, reply } = frame {
                    replies.push((number, reply));
                }
            }
            if replies.len() < 2 {
                let read = stream.read(&mut piece).unwrap();
                assert!(read > 0);
                frames.push(&piece[..read]);
            }
        }
        replies.sort_by_key(|(number, _)| *number);
        let refused = "for zone=a1, service=menu: ";
        assert!(
            matches!(&replies[..], [(0, OperatorReply::Committed(_)), (1, OperatorReply::Invalid(why))] if why.starts_with(refused)),
            "{round}: {replies:?}"
        );
        let (_, settings) = both.wait_for_settings();
        assert_eq!((&settings["nInstances"], &settings["me"]), (&json!(4), &json!(3)));
        assert!(matches!(
            written(daemons, "service=menu", SettingsChange::Remove, None),
            OperatorReply::Committed(_)
        ));
        let _ = both.wait_for_settings();
    }
}

#[test]
fn a_put_is_checked_whole_for_each_way_in_which_scopes_come_together() {
    let daemons = &mut begun("checked");
    let _ = committed(daemons, "all", &json!({"nInstances": 4}).to_string());
    let _ = committed(daemons, "service=menu", &json!({"me": 3}).to_string());
    let faulty = |reply: OperatorReply, names: &str| {
        assert!(matches!(&reply, OperatorReply::Invalid(why) if why.starts_with(names)), "{names} {reply:?}");
    };
    // What is for all is checked below each scope that stands above it, also one with no members.
    let fewer = json!({"nInstances": 2}).to_string();
    faulty(written(daemons, "all", put(&fewer), None), "for service=menu: ");
    faulty(
        written(daemons, "service=menu", put("{\"methods\": []}"), None),
        "for service=menu: settings.methods",
    );
    faulty(
        written(daemons, "service=menu", put("[1]"), None),
        "for service=menu: settings: expected a JSON object",
    );
    faulty(
        written(daemons, "service=menu", put("{\"budgets\": []}"), None),
        "for service=menu: settings.budgets",
    );
    // A zone is well by itself; with a member in both it is not.
    let mut both = Raw::to(daemons, "s0", in_zone("a1", "menu"));
    let _ = both.wait_for_settings();
    faulty(written(daemons, "zone=a1", put(&fewer), None), "for zone=a1, service=menu: ");
    assert!(matches!(written(daemons, "zone=b1", put(&fewer), None), OperatorReply::Committed(_)));
    // Taking away is checked too: what lies below may not be well without it.
    let _ = committed(daemons, "region=a", &json!({"nInstances": 2}).to_string());
    let _ = committed(daemons, "zone=c1", &json!({"nInstances": 4}).to_string());
    let mut three = Raw::to(daemons, "s1", Locality { region: Some("a".into()), ..in_zone("c1", "menu") });
    let _ = three.wait_for_settings();
    faulty(written(daemons, "zone=c1", SettingsChange::Remove, None), "for region=a, service=menu: ");
}

#[test]
fn a_put_for_a_scope_without_members_is_committed_and_said_and_holds_for_who_comes() {
    let daemons = &mut begun("nobody");
    let _ = committed(daemons, "service=menu", &with_method("soup"));
    let file = daemons.root.join("new.json").display().to_string();
    std::fs::write(&file, with_method("bread")).unwrap();
    let (status, said) = run(daemons, &["put", &file, "--for", "service=menu"]);
    assert!(status == Some(0) && said.starts_with("committed: "), "{said}");
    assert!(said.contains("nobody that is heard now belongs to service=menu"), "{said}");
    let (_, said) = run(daemons, &["put", &file, "--for", "service=menu", "--json"]);
    let told: Value = serde_json::from_str(&said).unwrap();
    assert_eq!((told["outcome"].as_str(), told["members"].as_u64()), (Some("committed"), Some(0)));
    let mut late = Raw::to(daemons, "s0", in_service("menu"));
    assert_eq!(late.wait_for_settings().1["methods"][0]["name"], "bread");
    daemons.wait("it is seen", |daemons| row(daemons, "service=menu").members == 1).unwrap();
}

#[test]
fn a_member_that_comes_back_in_another_service_has_nothing_of_its_earlier_one() {
    let daemons = &mut begun("moved");
    let mut sidecars = sidecars(daemons);
    start(&mut sidecars, daemons, "s0", json!({"service": "menu"}));
    let _ = committed(daemons, "service=menu", &with_method("soup"));
    sidecars.wait("it acts", |sidecars| request(sidecars.at("s0"), "/soup/1") == Some(200)).unwrap();
    assert!(sidecars.kept_settings("s0").exists());
    // No daemon is there to say what holds: kept settings of another service would be taken for its own.
    daemons.replicas().for_each(|place| daemons.kill(place));
    sidecars.kill("s0");
    start(&mut sidecars, daemons, "s0", json!({"service": "bar"}));
    assert_eq!(
        (request(sidecars.at("s0"), "/soup/1"), request(sidecars.at("s0"), "/menu/1")),
        (Some(404), Some(200))
    );
    for place in daemons.replicas() {
        daemons.start(place).unwrap();
    }
    daemons.wait_for_leader().unwrap();
    let _ = committed(daemons, "service=bar", &with_method("wine"));
    sidecars.wait("it acts", |sidecars| request(sidecars.at("s0"), "/wine/1") == Some(200)).unwrap();
    daemons
        .wait("it is seen", |daemons| {
            (row(daemons, "service=bar").members, row(daemons, "service=menu").members) == (1, 0)
        })
        .unwrap();
}

#[test]
fn a_member_without_a_locality_has_what_is_for_all_and_for_itself() {
    let daemons = &mut begun("without");
    let at = daemons.at(daemons.wait_for_leader().unwrap());
    let first = committed(daemons, "all", &with_method("soup"));
    let _ = committed(daemons, "service=menu", &with_method("bread"));
    let own = committed(daemons, "member=s1", &json!({"nInstances": 2}).to_string());
    for version in [MIN_VERSION, VERSION] {
        let mut plain = Raw::greet(at, "s0", version, None);
        let (told, settings) = plain.wait_for_settings();
        assert_eq!((told, settings["methods"][0]["name"].as_str()), (first, Some("soup")));
        let (told, settings) = Raw::greet(at, "s1", version, None).wait_for_settings();
        let name = settings["methods"][0]["name"].as_str();
        assert_eq!((told, &settings["nInstances"], name), (own, &json!(2), Some("soup")));
    }
}

#[test]
fn texts_over_the_limit_are_refused_by_their_combination_and_size() {
    let daemons = &mut begun("limit");
    let whole = large(1, MAX_SETTINGS_BYTES - 64 * 1024);
    let _ = committed(daemons, "service=menu", &whole);
    let over = large(2, MAX_SETTINGS_BYTES + 1);
    let reply = written(daemons, "service=menu", put(&over), None);
    assert!(matches!(&reply, OperatorReply::Invalid(why) if why.contains("bytes at the most")), "{reply:?}");
    // Each has room by itself; together, for a member in both, they have not.
    let mut both = Raw::to(daemons, "s0", in_zone("a1", "menu"));
    let (version, _) = both.wait_for_settings();
    let more = json!({"zoneNote": "x".repeat(96 * 1024)}).to_string();
    let reply = written(daemons, "zone=a1", put(&more), None);
    let OperatorReply::Invalid(why) = &reply else { panic!("{reply:?}") };
    let size: usize = why.split(' ').find_map(|word| word.parse().ok()).unwrap();
    assert!(
        why.starts_with("for zone=a1, service=menu: the settings would have ") && size > MAX_SETTINGS_BYTES,
        "{why}"
    );
    assert!(both.settings().is_none() && both.report.latest_known == version);
    assert!(matches!(written(daemons, "zone=b1", put(&more), None), OperatorReply::Committed(_)));
}

#[test]
fn a_newcomer_in_the_middle_of_a_change_is_told_what_is_committed_and_then_what_comes_of_it() {
    let daemons = &mut begun("newcomer");
    let first = committed(daemons, "service=menu", &with_method("soup"));
    let old = daemons.wait_for_leader().unwrap();
    daemons.set_links_of(old, LinkState::partitioned());
    let write = daemons.new_write(put(&with_method("bread")), None);
    let (at, asked) = (
        daemons.at(old),
        OperatorRequest::WriteScoped { scope: scope("service=menu"), write: write.clone() },
    );
    let waits = thread::spawn(move || ask(at, &asked, WAIT_TIMEOUT));
    daemons
        .wait("it is in the log", |daemons| {
            daemons.status(old).is_some_and(|status| status.last > status.committed)
        })
        .unwrap();
    // Danger: told what only the leader holds, it would act on what may never have been.
    let mut newcomer = Raw::greet(at, "s0", VERSION, Some(in_service("menu")));
    let (told, settings) = newcomer.wait_for_settings();
    assert_eq!((told, &settings["methods"][0]["name"]), (first, &json!("soup")));
    assert!(newcomer.settings().is_none());
    daemons.set_links_of(old, LinkState::default());
    let _ = waits.join().unwrap();
    // Said again by its id, whatever became of it: it has its effect once.
    let asked = OperatorRequest::WriteScoped { scope: scope("service=menu"), write };
    let mut reply = OperatorReply::Done;
    daemons
        .wait("its fate is known", |daemons| {
            matches!(daemons.ask(&asked, WAIT_TIMEOUT), Ok(OperatorReply::Committed(_)))
        })
        .unwrap();
    if let Ok(known) = daemons.ask(&asked, WAIT_TIMEOUT) {
        reply = known;
    }
    let OperatorReply::Committed(second) = reply else { panic!("{reply:?}") };
    let leader = daemons.wait_for_leader().unwrap();
    let mut later = Raw::greet(daemons.at(leader), "s0", VERSION, Some(in_service("menu")));
    (later.report.latest_known, later.report.version) = (first, first);
    let (told, settings) = later.wait_for_settings();
    assert_eq!((told, &settings["methods"][0]["name"]), (second, &json!("bread")));
}

#[test]
fn a_member_that_was_away_for_a_hundred_versions_is_told_one_text() {
    let daemons = &mut begun("away");
    let mut away = Raw::to(daemons, "s0", in_zone("a1", "menu"));
    let _ = committed(daemons, "service=menu", &large(0, 16 * 1024));
    let knows = away.wait_for_settings().0;
    let mut last = (Version::default(), String::new());
    for number in 1..=100 {
        let (of, bytes) = if number % 3 == 0 { ("zone=a1", 64) } else { ("service=menu", 16 * 1024) };
        last = match of {
            "zone=a1" => (committed(daemons, of, &json!({"nInstances": number}).to_string()), last.1),
            _ => {
                let text = large(number, bytes);
                (committed(daemons, of, &text), text)
            }
        };
    }
    let mut away = Raw::to(daemons, "s0", in_zone("a1", "menu"));
    (away.report.latest_known, away.report.version) = (knows, knows);
    let (told, settings) = away.wait_for_settings();
    assert_eq!((told, &settings["nInstances"]), (last.0, &json!(99)));
    assert_eq!(settings["methods"], serde_json::from_str::<Value>(&last.1).unwrap()["methods"]);
    assert!(away.settings().is_none() && away.bytes < 20 * 1024, "{} bytes", away.bytes);
}

#[test]
fn a_scoped_put_whose_leader_is_killed_has_its_effect_once_and_all_go_only_forwards() {
    let daemons = &mut begun("killed");
    let mut version = committed(daemons, "service=menu", &with_method("soup"));
    for round in 0..3 {
        let leader = daemons.wait_for_leader().unwrap();
        let mut member = Raw::greet(daemons.at(leader), "s0", VERSION, Some(in_service("menu")));
        assert_eq!(member.wait_for_settings().0, version);
        let before = daemons.status(leader).unwrap().last;
        let write = daemons.new_write(put(&with_method(&format!("bread{round}"))), None);
        let asked = OperatorRequest::WriteScoped { scope: scope("service=menu"), write: write.clone() };
        let (at, said) = (daemons.at(leader), asked.clone());
        let first = thread::spawn(move || ask(at, &said, WAIT_TIMEOUT));
        daemons
            .wait("it is in the log", |daemons| {
                daemons.status(leader).is_some_and(|status| status.last > before)
            })
            .unwrap();
        daemons.kill(leader);
        let first = first.join().unwrap();
        daemons.start(leader).unwrap();
        let mut fate = None;
        for _ in 0..400 {
            match daemons.ask(&asked, WAIT_TIMEOUT) {
                Ok(OperatorReply::Committed(version)) => {
                    fate = Some(version);
                    break;
                }
                Ok(OperatorReply::Invalid(why)) if why.contains("not before all daemons") => {
                    thread::sleep(Duration::from_millis(25));
                }
                other => panic!("{other:?}"),
            }
        }
        let second = fate.unwrap();
        assert!(
            second > version && !matches!(first, Ok(OperatorReply::Committed(version)) if version != second)
        );
        daemons.wait_for_same_state().unwrap();
        let OperatorReply::ScopeHistory(rows) =
            daemons.ask(&OperatorRequest::ScopeHistory(scope("service=menu")), WAIT_TIMEOUT).unwrap()
        else {
            panic!()
        };
        assert_eq!(rows.iter().filter(|row| row.reason == write.reason).count(), 1, "{rows:?}");
        assert!(rows.is_sorted_by_key(|row| row.version));
        let mut again = Raw::to(daemons, "s0", in_service("menu"));
        (again.report.latest_known, again.report.version) = (version, version);
        assert_eq!(again.wait_for_settings().0, second);
        version = second;
    }
}

#[test]
fn a_member_of_version_two_is_served_beside_those_of_three() {
    let daemons = &mut begun("older");
    let at = daemons.at(daemons.wait_for_leader().unwrap());
    let (mut old, mut new) =
        (Raw::greet(at, "s0", MIN_VERSION, None), Raw::greet(at, "s1", VERSION, Some(in_service("menu"))));
    // The lower of both is spoken.
    assert_eq!((old.speaks, new.speaks), (MIN_VERSION, VERSION));
    let first = daemons.put(&with_method("soup")).unwrap();
    assert_eq!((old.wait_for_settings().0, new.wait_for_settings().0), (first, first));
    let second = committed(daemons, "service=menu", &with_method("bread"));
    assert_eq!(new.wait_for_settings().0, second);
    // It is told nothing of what it does not know, and what is put for all as ever.
    assert!(old.settings().is_none());
    let third = daemons.put(&with_method("stew")).unwrap();
    let (told, settings) = old.wait_for_settings();
    assert_eq!((told, &settings["methods"][0]["name"]), (third, &json!("stew")));
    assert_eq!(new.wait_for_settings().1["methods"][0]["name"], "bread");
    // What a member belongs to is no frame of version 2.
    old.send(&Frame::Locality(in_service("menu")));
    let mut rest = Vec::new();
    // Well before the daemon ends what is silent.
    old.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(old.stream.read_to_end(&mut rest).is_ok_and(|_| rest.is_empty()), "the connection ends");
}

/// Takes greetings of version 2 alone, as a daemon of that version does, in the name of this replica; what operators ask is
/// done.
fn stand_in(id: Id) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut frames, mut piece) = (FrameReader::default(), vec![0; 64 * 1024]);
                loop {
                    while let Ok(Some(frame)) = frames.pop() {
                        let mut out = Vec::new();
                        if let Frame::Request { number, .. } = frame {
                            Frame::Reply { number, reply: OperatorReply::Done }.write(&mut out);
                            let _ = stream.write_all(&out);
                        }
                        let Frame::Hello { version, .. } = frame else { continue };
                        if version != MIN_VERSION {
                            let why = format!("frames here are of version {MIN_VERSION}, not {version}");
                            Frame::Rejected(why).write(&mut out);
                            let _ = stream.write_all(&out);
                            return;
                        }
                        Frame::hello_as(MIN_VERSION, FLEET, Initiator::Replica(id)).write(&mut out);
                        let _ = stream.write_all(&out);
                    }
                    match stream.read(&mut piece) {
                        Ok(read) if read > 0 => frames.push(&piece[..read]),
                        _ => return,
                    }
                }
            });
        }
    });
    at
}

#[test]
fn scoped_puts_are_refused_until_all_voters_speak_version_three() {
    let daemons = &mut begun("voters");
    daemons.put(&with_method("soup")).unwrap();
    daemons.wait_for_same_state().unwrap();
    let leader = daemons.wait_for_leader().unwrap();
    let other = daemons.replicas().find(|place| *place != leader).unwrap();
    let id = daemons.status(other).unwrap().id;
    let refused = |daemons: &mut Daemons, what: &str| {
        let wanted = format!("not before all daemons speak version {VERSION}: place {other} {what}");
        let write = daemons.new_write(put(&with_method("never")), None);
        let asked = OperatorRequest::WriteScoped { scope: scope("service=menu"), write };
        daemons
            .wait(
                &wanted,
                |daemons| matches!(daemons.ask(&asked, WAIT_TIMEOUT), Ok(OperatorReply::Invalid(why)) if why == wanted),
            )
            .unwrap();
    };
    daemons.kill(other);
    daemons.link(leader, other).set_target("127.0.0.1:1".parse().unwrap());
    // Danger: what is left has a majority and would commit what an older replica passes over.
    refused(daemons, "is not heard");
    daemons.link(leader, other).set_target(stand_in(id));
    refused(daemons, "speaks 2");
    // What is for all is written as ever.
    daemons.put(&with_method("bread")).unwrap();
    daemons.start(other).unwrap();
    daemons.link(leader, other).reset();
    let _ = committed(daemons, "service=menu", &with_method("stew"));
    daemons.wait_for_same_state().unwrap();
    // Danger: from then on one machine that is away would hold up all that is put for a part of the fleet.
    daemons.kill(other);
    let write = daemons.new_write(put(&with_method("cake")), None);
    let asked = OperatorRequest::WriteScoped { scope: scope("service=menu"), write };
    assert!(matches!(daemons.ask(&asked, WAIT_TIMEOUT), Ok(OperatorReply::Committed(_))));
}

#[test]
fn what_members_have_learnt_is_heard_within_a_service() {
    let daemons = &begun("evidence");
    let mut writer = Raw::to(daemons, "s0", in_service("menu"));
    let mut same = Raw::to(daemons, "s1", in_service("menu"));
    let mut bar = Raw::to(daemons, "s2", in_service("bar"));
    let mut none = Raw::to(daemons, "s3", Locality::default());
    let seen = |sequence| Observation {
        sequence,
        age_ms: 0,
        endpoint: 5,
        method: 1,
        outcome: 1,
        budget_fraction: 0.5,
    };
    writer.report.observations = (1..=20).map(seen).collect();
    writer.told();
    assert_eq!((same.told().observations.len(), none.told().observations.len()), (20, 20));
    // Danger: names of another service's endpoints crowd out those that it knows.
    assert_eq!(bar.told().observations.len(), 0);
    none.report.observations = vec![seen(1)];
    none.told();
    assert_eq!((bar.told().observations.len(), same.told().observations.len()), (1, 1));
    // Who has said its service hears coded records, and who has not, or speaks version 2, what it always has.
    assert_eq!((same.coded, bar.coded, none.coded), (2, 2, 0));
    let at = daemons.at(daemons.wait_for_leader().unwrap());
    let mut older = Raw::greet(at, "s4", MIN_VERSION, None);
    assert_eq!((older.told().observations.len(), older.coded), (21, 0));
    // Danger: who has lost what it knew would understand nothing any more.
    same.report.wants_catch_up = true;
    same.decoder = Decoder::default();
    // Of the one endpoint the latest four.
    let caught = same.told().observations;
    assert_eq!(caught.iter().map(|passed| passed.observation.sequence).collect::<Vec<_>>(), [18, 19, 20, 1]);
}

/// Danger: an index of one byte, and a service with more endpoints than that.
#[test]
fn of_a_service_with_more_names_than_indices_all_is_heard_in_its_order() {
    let daemons = &begun("names");
    let mut writer = Raw::to(daemons, "s0", in_service("menu"));
    let mut same = Raw::to(daemons, "s1", in_service("menu"));
    let of = |sequence| Observation {
        sequence,
        age_ms: 0,
        endpoint: 100 + sequence as u32,
        method: 1,
        outcome: 1,
        budget_fraction: 0.5,
    };
    writer.report.observations = (1..=400).map(of).collect();
    writer.told();
    let (mut heard, mut as_they_are) = (Vec::new(), 0);
    for _ in 0..6 {
        let passed = same.told().observations;
        as_they_are += usize::from(!passed.is_empty() && same.coded_records == 0);
        heard.extend(passed.iter().map(|passed| (passed.observation.sequence, passed.observation.endpoint)));
    }
    assert_eq!(heard, (1..=400).map(|sequence| (sequence, 100 + sequence as u32)).collect::<Vec<_>>());
    // Of 80 an answer: three whole ones and a part go by index.
    assert_eq!(as_they_are, 1);
}

#[test]
fn what_an_earlier_process_of_a_voter_has_greeted_with_does_not_count() {
    let daemons = &mut begun("replaced");
    daemons.put(&with_method("soup")).unwrap();
    daemons.wait_for_same_state().unwrap();
    let leader = daemons.wait_for_leader().unwrap();
    let other = daemons.replicas().find(|place| *place != leader).unwrap();
    let id = daemons.status(other).unwrap().id;
    // The leader's own connection to that place stands, and nobody is at its other end any more.
    daemons.link(leader, other).set_state(LinkState::partitioned());
    daemons.kill(other);
    let mut stream = TcpStream::connect(daemons.at(leader)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (mut out, mut frames, mut piece) = (Vec::new(), FrameReader::default(), vec![0; 4096]);
    Frame::hello_as(MIN_VERSION, FLEET, Initiator::Replica(id)).write(&mut out);
    stream.write_all(&out).unwrap();
    while frames.pop().unwrap().is_none() {
        let read = stream.read(&mut piece).unwrap();
        assert!(read > 0);
        frames.push(&piece[..read]);
    }
    let reply = written(daemons, "service=menu", put(&with_method("never")), None);
    let wanted = format!("place {other} speaks 2");
    assert!(matches!(&reply, OperatorReply::Invalid(why) if why.ends_with(&wanted)), "{reply:?}");
}

#[test]
fn operators_are_answered_by_a_daemon_of_version_two_and_told_what_it_does_not_know() {
    let at = stand_in(Id { replica_id: 1, incarnation: 1 });
    let one = |asked: &OperatorRequest, sent: &mut bool| {
        appledyke_daemon::ask::one(at, FLEET, asked, WAIT_TIMEOUT, sent)
    };
    let mut sent = false;
    assert_eq!(one(&OperatorRequest::Status, &mut sent), Ok(OperatorReply::Done));
    // Danger: sent all the same it could not be read, and a write of unknown fate would be told.
    let mut sent = false;
    let why = one(&OperatorRequest::Scopes, &mut sent).unwrap_err();
    assert!(!sent && why.contains("speaks version 2, which knows nothing of scopes"), "{why}");
}
