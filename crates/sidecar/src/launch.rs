//! Reads the configuration from its file and the variables, at the start and again when told to; checks it and
//! fills in defaults. Every message names the faulty key.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::Span;
use serde_json::Value;

use crate::fleet::{self, Agreed};
use crate::net::{discovery, http, operator};

/// Descriptors kept for all that is not a connection of a client or an endpoint: standard streams, the poll,
/// signals, the listener and the list.
const SOCKETS_KEPT: usize = 16;
/// Least connections with which a sidecar is of use.
const CONNECTIONS_LEAST: usize = 8;
/// Part of the memory that messages in buffers may take, if every connection held one each way.
const BUFFERS_SHARE: f64 = 0.75;
/// What a sidecar may use where the configuration sets no limits.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;

/// The setting that tells how soon nothing more may be sent to an endpoint that drains.
const STOPS: &str = "rules.stopSendingWithinNs";

/// Keys that a file may have for a while.
const OPTIONAL: [&str; 3] = ["known", "watch", "fleet"];

/// Which has the last word where a variable and the file differ.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Winner {
    Variable,
    /// Danger: a running program's variables cannot be changed, and would hide what its file says anew.
    File,
}

/// What a running sidecar does not take over from a file that is read again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fixed {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; without it there is no second address.
    pub operator: Option<SocketAddr>,
    /// Most connections to clients and endpoints together.
    pub connections: usize,
    /// The fleet that this process is a member of.
    pub fleet: Option<fleet::Terms>,
    watches: bool,
}

impl Fixed {
    /// The keys at which the two differ.
    pub fn differs(&self, other: &Fixed) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("operator", self.operator != other.operator),
            ("limits", self.connections != other.connections),
            ("watch", self.watches != other.watches),
            ("fleet", self.fleet != other.fleet),
        ];
        keys.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect()
    }
}

/// What a file that is read again must have as the one taken before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// The keys at its top and in `settings`.
    keys: Vec<String>,
    /// The name that it has itself, whatever a variable says.
    name: Value,
}

impl Kept {
    fn of(file: &Value) -> Kept {
        Kept { keys: keys(file), name: file["name"].clone() }
    }

    /// Danger: a file that was cut short, or lost a key, would be filled in with defaults; and one of another sidecar
    /// would have this one serve by another customer's settings.
    fn holds(&self, now: &Kept) -> Result<(), String> {
        if let Some(lost) = self.keys.iter().find(|key| !now.keys.contains(key)) {
            return Err(format!("{lost}: missing, and it was there before"));
        }
        if now.name != self.name {
            return Err(format!("name: {}, and it was {} before; it is another's file", now.name, self.name));
        }
        Ok(())
    }
}

/// All that a sidecar is told at its start.
pub struct Launch {
    /// The file that this was read from.
    pub path: PathBuf,
    pub fixed: Fixed,
    /// Where processes at the same address see one another, if there is such a place and operators are to see two.
    pub folder: Option<PathBuf>,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// The list of endpoints as this sidecar last had it, in the list's own form.
    pub known: Value,
    pub terms: Terms,
    /// The terms of other settings, of which it is only counted where they would decide otherwise.
    pub watched: Option<Terms>,
    /// What a later file must have too.
    pub kept: Kept,
    /// The settings that narrow where and until when a request may go, as they stand in the file.
    pub bound: Vec<String>,
    /// What the settings allow and this program cannot do, by key.
    pub unmet: Vec<String>,
    pub connection_idle: Span,
    pub connect_timeout: Span,
    /// What the fleet had agreed on when this process acted on it last, and the file below it.
    pub agreed: Option<Agreed>,
    pub base: Value,
}

/// Settings as paths and values: objects and lists are taken apart.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(&under(key), value, pairs)),
        Value::Array(items) => {
            pairs.push((under("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(at, item)| flatten(&under(&at.to_string()), item, pairs));
        }
        Value::String(text) => pairs.push((path.to_string(), text.clone())),
        Value::Null => {}
        other => pairs.push((path.to_string(), other.to_string())),
    }
}

/// The settings that narrow where and until when a request may go, where the file has them: each as it stands there. One
/// of a kind that cannot be read would be passed over when it is taken apart, and bind nothing.
fn bound(key: &str, file: &Value) -> Result<Vec<String>, String> {
    let row = |value: &Value| match value {
        Value::Array(names) => names.iter().all(Value::is_string),
        other => other.is_string(),
    };
    let single = |value: &Value| !value.is_object() && !value.is_array();
    let method = |at: usize, method: &Value| {
        let names = ["confinedTo", "skusOpen"].into_iter();
        names.map(|name| (format!("methods.{at}.{name}"), method[name].clone(), true)).collect::<Vec<_>>()
    };
    let rules = ["deadlineDriftNs", "drainBindsAlone", "stampDoubtNs"].into_iter();
    let rules = rules.map(|name| (format!("rules.{name}"), file["rules"][name].clone(), false));
    let methods = file["methods"].as_array().into_iter().flatten().enumerate();
    let slots = ("ceilings.replySlots".to_string(), file["ceilings"]["replySlots"].clone(), false);
    let all = methods.flat_map(|(at, m)| method(at, m)).chain(rules).chain([slots]);
    let stated = all.filter(|(_, value, _)| !value.is_null());
    let told = stated.map(|(path, value, names)| {
        let readable = if names { row(&value) } else { single(&value) };
        let wanted = if names { "a list of names" } else { "a single value" };
        readable
            .then(|| format!("{key}.{path}: {value}"))
            .ok_or(format!("{key}.{path}: expected {wanted}, not {value}"))
    });
    told.collect()
}

/// What the variable or the file says, and by which name it was found; `None` where neither says anything.
fn text(
    variable: &'static str,
    file: &Value,
    key: &'static str,
    winner: Winner,
) -> Result<Option<(String, &'static str)>, String> {
    match (env::var(variable), &file[key]) {
        (_, Value::String(value)) if winner == Winner::File => Ok(Some((value.clone(), key))),
        (Ok(value), _) => Ok(Some((value, variable))),
        (Err(_), Value::String(value)) => Ok(Some((value.clone(), key))),
        (Err(_), Value::Null) => Ok(None),
        (Err(_), other) => Err(format!("{key}: expected text, not {other}")),
    }
}

/// The keys of a file that no later one may lack.
fn keys(file: &Value) -> Vec<String> {
    let of = |value: &Value, under: &str| match value {
        Value::Object(fields) => fields.keys().map(|key| format!("{under}{key}")).collect::<Vec<_>>(),
        _ => Vec::new(),
    };
    let top = of(file, "").into_iter().filter(|key| !OPTIONAL.contains(&key.as_str()));
    top.chain(of(&file["settings"], "settings.")).collect()
}

fn limit(file: &Value, key: &str, default: u64) -> Result<u64, String> {
    match &file["limits"][key] {
        Value::Null => Ok(default),
        value => value.as_u64().ok_or_else(|| format!("limits.{key}: expected a whole number, not {value}")),
    }
}

fn seed(file: &Value) -> Result<u64, String> {
    match &file["seed"] {
        Value::Null => Err("seed: missing".to_string()),
        Value::String(hex) => {
            u64::from_str_radix(hex, 16).map_err(|_| format!("seed: expected hex digits, not '{hex}'"))
        }
        value => value.as_u64().ok_or_else(|| format!("seed: expected hex digits, not {value}")),
    }
}

/// Messages between sidecars are not in the protocol: who allows them is told, and decides as without them.
fn terms(
    key: &str,
    pairs: &[(String, String)],
    places: &mut Places,
    unmet: &mut Vec<String>,
) -> Result<Terms, String> {
    let terms = Terms::decode(pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())), places);
    let mut terms = terms.map_err(|what| format!("{key}: {what}"))?;
    let mut names: Vec<_> = terms.methods.iter().map(|method| method.name.as_str()).collect();
    names.sort_unstable();
    let twice = names.windows(2).any(|pair| pair[0] == pair[1]);
    if names.is_empty() || names.contains(&"") || twice {
        return Err(format!("{key}.methods: expected at least one, each with a name of its own"));
    }
    if let Some(at) = terms.methods.iter().position(|method| method.deadline == Span::ZERO) {
        return Err(format!("{key}.methods.{at}.deadlineNs: expected a positive whole number"));
    }
    if terms.max_attempts == 0 {
        return Err(format!("{key}.ceilings.mostWriteOuts: expected a positive whole number"));
    }
    if terms.reply_slots == Some(0) {
        return Err(format!("{key}.ceilings.replySlots: expected a positive whole number"));
    }
    if terms.reply_slots.is_some() {
        unmet.push(format!(
            "{key}.ceilings.replySlots: it counts in what is decided; what answers take here, limits.memory_mb bounds"
        ));
    }
    if std::mem::take(&mut terms.may_tell) {
        unmet.push(format!("{key}.ceilings.mayTell: messages cannot be sent on sockets; none are"));
    }
    if key == "watch" && terms.load_at.is_some() {
        unmet
            .push(format!("{key}.ceilings.probes: a watch sends no probes; it decides as if none came back"));
    }
    Ok(terms)
}

/// Settings that are each sidecar's own, and cannot be agreed on for all.
const OWN: [&str; 1] = ["zone"];

/// A file with what the fleet has agreed on: each of those settings stands in place of the file's.
///
/// # Errors
/// The setting that cannot be agreed on, or what is no object.
pub fn overlaid(file: &Value, agreed: &Value) -> Result<Value, String> {
    let changes = agreed.as_object().ok_or("settings: expected an object")?;
    if let Some(own) = OWN.iter().find(|own| changes.contains_key(**own)) {
        return Err(format!("settings.{own}: it is each sidecar's own, and cannot be agreed on"));
    }
    let mut whole = file.clone();
    let settings = whole["settings"].as_object_mut().ok_or("settings: missing, or no object")?;
    settings.extend(changes.iter().map(|(key, value)| (key.clone(), value.clone())));
    Ok(whole)
}

/// Checks settings that the fleet is to agree on, as a sidecar with this file would.
///
/// # Errors
/// The faulty key.
pub fn check_agreed(file: &Value, agreed: &str) -> Result<(), String> {
    let agreed: Value = serde_json::from_str(agreed).map_err(|e| format!("not JSON: {e}"))?;
    let whole = overlaid(file, &agreed)?;
    Launch::check(whole, PathBuf::new(), Winner::File, &mut Places::default()).map(drop)
}

impl Launch {
    /// Reads the file that is named here or in the variables.
    pub fn read(path: Option<PathBuf>, places: &mut Places) -> Result<Launch, String> {
        let path = path.or_else(|| env::var("BALANCER_CONFIG").ok().map(PathBuf::from));
        let path = path.ok_or("BALANCER_CONFIG: no configuration is named, by this variable or --config")?;
        let mut launch = Launch::read_from(path.clone(), Winner::Variable, None, places, None)?;
        let kept = launch.fixed.fleet.as_ref().map_or(Ok(None), fleet::Terms::kept);
        let taken = kept.and_then(|kept| {
            let Some(agreed) = kept else { return Ok(None) };
            let read = Launch::read_from(path, Winner::Variable, None, places, Some(&agreed.settings));
            read.map(|launch| Some(Launch { agreed: Some(agreed), ..launch }))
        });
        match taken {
            Ok(Some(taken)) => launch = taken,
            Ok(None) => {}
            Err(what) => launch.unmet.push(format!("{what}; it starts with the file's own settings")),
        }
        Ok(launch)
    }

    /// This file's settings with those that the fleet has agreed on, whole and checked.
    ///
    /// # Errors
    /// The key that is at fault.
    pub fn with(base: &Value, path: PathBuf, agreed: &Value, places: &mut Places) -> Result<Launch, String> {
        Launch::check(overlaid(base, agreed)?, path, Winner::File, places)
    }

    /// Reads a file that may have been read before, and then had this.
    pub fn read_from(
        path: PathBuf,
        winner: Winner,
        kept: Option<&Kept>,
        places: &mut Places,
        agreed: Option<&Value>,
    ) -> Result<Launch, String> {
        let place = |path: &Path, what: String| format!("{}: {what}", path.display());
        let file = fs::read(&path).map_err(|e| place(&path, e.to_string()))?;
        let file: Value =
            serde_json::from_slice(&file).map_err(|e| place(&path, format!("not JSON: {e}")))?;
        let has = Kept::of(&file);
        kept.map_or(Ok(()), |kept| kept.holds(&has)).map_err(|what| place(&path, what))?;
        // Without a fleet nothing is laid over the file, and no copy of it is kept.
        let base = if file["fleet"].is_null() { Value::Null } else { file.clone() };
        let whole = match agreed {
            Some(agreed) => overlaid(&file, agreed).map_err(|what| place(&path, what))?,
            None => file,
        };
        let launch = Launch::check(whole, path.clone(), winner, places).map_err(|what| place(&path, what))?;
        Ok(Launch { kept: has, base, ..launch })
    }

    fn check(mut file: Value, path: PathBuf, winner: Winner, places: &mut Places) -> Result<Launch, String> {
        let may_be = |variable, key: &'static str, winner| {
            let found = text(variable, &file, key, winner)?;
            let parsed = found.map(|(text, named)| {
                text.parse::<SocketAddr>()
                    .map_err(|_| format!("{named}: expected address:port, not '{text}'"))
            });
            parsed.transpose()
        };
        let missing = |key| format!("{key}: missing");
        // What only a start takes goes by the variables also in a file that is read again.
        let operator = may_be("BALANCER_OPERATOR", "operator", Winner::Variable)?;
        let listen = may_be("BALANCER_LISTEN", "listen", Winner::Variable)?;
        let listen = listen.ok_or_else(|| missing("listen"))?;
        let discovery = may_be("BALANCER_DISCOVERY", "discovery", winner)?;
        let discovery = discovery.ok_or_else(|| missing("discovery"))?;
        let name = text("BALANCER_NAME", &file, "name", Winner::Variable)?;
        let name = name.map_or_else(|| "sidecar".to_string(), |(name, _)| name);
        if !file["settings"].is_object() {
            return Err("settings: missing, or no object".to_string());
        }
        let bound = [bound("settings", &file["settings"])?, bound("watch", &file["watch"])?].concat();
        let mut pairs = Vec::new();
        flatten("", &file["settings"], &mut pairs);
        let mut unmet = Vec::new();
        let terms = terms("settings", &pairs, places, &mut unmet)?;
        let watched = match &file["watch"] {
            Value::Null => None,
            Value::Object(_) => {
                let mut changes = Vec::new();
                flatten("", &file["watch"], &mut changes);
                let unchanged = |(path, _): &&(String, String)| !changes.iter().any(|(at, _)| at == path);
                let kept = pairs.iter().filter(unchanged).cloned().collect::<Vec<_>>();
                Some(self::terms("watch", &[kept, changes].concat(), places, &mut unmet)?)
            }
            other => return Err(format!("watch: expected an object of settings, not {other}")),
        };
        if let Some(watched) = &watched {
            let names = |terms: &Terms| terms.methods.iter().map(|m| m.name.clone()).collect::<Vec<_>>();
            if names(watched) != names(&terms) {
                return Err("watch.methods: other methods than in settings".to_string());
            }
        }
        let span = |path: &str| {
            let nanos = pairs.iter().find(|(at, _)| at == path).map(|(_, value)| value);
            let nanos = nanos.ok_or_else(|| format!("settings.{path}: missing"))?;
            nanos.parse().map(Span::from_nanos).map_err(|_| {
                format!("settings.{path}: expected nanoseconds as a whole number, not '{nanos}'")
            })
        };
        // Danger: what waits for its connect goes out when that comes up, and an endpoint may have been told to drain
        // meanwhile; so it comes up within the time to stop sending, or not at all.
        let connects = span("ceilings.connectTimeoutNs")?;
        let stops = pairs.iter().any(|(at, _)| at == STOPS).then(|| span(STOPS)).transpose()?;
        let stops = stops.filter(|stops| *stops > Span::ZERO);
        let sockets = limit(&file, "sockets", SOCKETS)? as usize;
        let memory = limit(&file, "memory_mb", MEMORY_MB)? as f64 * 1e6 * BUFFERS_SHARE;
        let in_memory = (memory / (2.0 * http::MAX_MESSAGE_BYTES as f64)) as usize;
        let member = fleet::Terms::read(&file)?;
        let kept = SOCKETS_KEPT
            + operator.map_or(0, |_| operator::MAX_DESCRIPTORS)
            + member.as_ref().map_or(0, |_| fleet::SOCKETS);
        let connections = sockets.saturating_sub(kept).min(in_memory);
        if connections < CONNECTIONS_LEAST {
            return Err(format!(
                "limits.sockets, limits.memory_mb: {sockets} sockets, of which memory allows {in_memory} \
                 connections, leave {connections}; at least {CONNECTIONS_LEAST} are needed"
            ));
        }
        // Danger: counted past what the process itself may open, idle clients would fill that, and nothing be left for the
        // list, the endpoints and the operators. What it lacks below the least is made free as it is needed.
        let own = rlimit::Resource::NOFILE.get_soft().ok().and_then(|most| usize::try_from(most).ok());
        let own = own.unwrap_or(usize::MAX);
        let within = own.saturating_sub(kept).max(CONNECTIONS_LEAST);
        if within < connections {
            unmet.push(format!(
                "limits.sockets: {sockets}, and this process may open {own} (RLIMIT_NOFILE): connections for {within}"
            ));
        }
        let connections = connections.min(within);
        if !file["known"].is_null() {
            let known = &file["known"];
            discovery::version(known)
                .and_then(|_| discovery::entries(known, |_, _, _, _, _| {}))
                .map_err(|what| format!("known.{what}"))?;
        }
        let fixed = Fixed { name, listen, operator, connections, fleet: member, watches: watched.is_some() };
        Ok(Launch {
            path,
            fixed,
            folder: env::var_os("TMPDIR").map(PathBuf::from).filter(|_| operator.is_some()),
            discovery,
            seed: seed(&file)?,
            connection_idle: span("ceilings.connIdleNs")?,
            connect_timeout: stops.map_or(connects, |stops| connects.min(stops)),
            kept: Kept::of(&file),
            known: file["known"].take(),
            terms,
            watched,
            bound,
            unmet,
            agreed: None,
            base: Value::Null,
        })
    }
}

/// Terms for tests: one retryable method, and what is to differ.
#[cfg(test)]
pub fn plain_terms(method: &str, changes: &[(&str, &str)]) -> Terms {
    let plain = "nInstances=1 tickNs=1000000 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
        ceilings.mostWriteOuts=3 rules.startCapacity=0.25 rules.coldNs=8000000000 rules.overloadForNs=1000000000 \
        methods.count=1 methods.0.effect=retryable methods.0.group=all methods.0.windowNs=2000000000 \
        methods.0.latencyBudgetNs=1000000000 methods.0.deadlineNs=5000000000 methods.0.overdueCriticality=0.5 \
        methods.0.criticality=1";
    let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
    let pairs = plain.chain([("methods.0.name", method)]).chain(changes.iter().copied());
    Terms::decode(pairs, &mut Places::default()).expect("readable terms")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_start_has_fixed_is_named_where_a_file_read_again_differs() {
        let file: Value = serde_json::from_str(include_str!("../../../examples/sidecar.json")).unwrap();
        let read = |file: &Value| {
            Launch::check(file.clone(), PathBuf::new(), Winner::File, &mut Places::default())
                .map(|launch| launch.fixed)
        };
        let before = read(&file).unwrap();
        assert_eq!(before.differs(&before), [""; 0]);
        let mut other = file.clone();
        other["operator"] = "127.0.0.1:5010".into();
        other["limits"]["sockets"] = 512.into();
        other["watch"] = serde_json::json!({"ceilings": {"mostWriteOuts": 1}});
        assert_eq!(before.differs(&read(&other).unwrap()), ["operator", "limits", "watch"]);
        other["operator"] = "nowhere".into();
        assert_eq!(read(&other).unwrap_err(), "operator: expected address:port, not 'nowhere'");
        // What narrows where a request may go is shown, and never passed over for its form.
        let bound = |path: &str, value: Value| {
            let mut other = file.clone();
            *other.pointer_mut(path).expect("a place in the example").as_object_mut().unwrap() =
                value.as_object().unwrap().clone();
            Launch::check(other, PathBuf::new(), Winner::File, &mut Places::default())
                .map(|launch| launch.bound)
        };
        let mut method = file["settings"]["methods"][0].clone();
        method["confinedTo"] = serde_json::json!(["attic"]);
        let shown = bound("/settings/methods/0", method.clone()).unwrap();
        assert_eq!(shown, [r#"settings.methods.0.confinedTo: ["attic"]"#]);
        for wrong in [serde_json::json!({"a": 1}), 5.into(), serde_json::json!([]), serde_json::json!([5])] {
            method["confinedTo"] = wrong;
            let said = bound("/settings/methods/0", method.clone()).unwrap_err();
            assert!(said.contains("methods.0.confinedTo"), "{said}");
        }
        let mut rules = file["settings"]["rules"].clone();
        rules["drainBindsAlone"] = serde_json::json!([true]);
        let said = bound("/settings/rules", rules).unwrap_err();
        assert_eq!(said, "settings.rules.drainBindsAlone: expected a single value, not [true]");
        // A key that was there must stay, but for what may go.
        assert!(keys(&file).contains(&"settings.rules".to_string()));
        assert!(!keys(&file).contains(&"known".to_string()));
    }
}
