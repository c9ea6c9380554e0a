//! Reads the configuration from its file and the environment, at start and on reload, validates it and fills in
//! defaults. Every error message names the faulty key.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::Span;
use serde_json::Value;

use crate::fleet::{self, AgreedSettings};
use crate::net::{discovery, http, operator};

/// File descriptors reserved for everything except client and endpoint connections: standard streams, the poll,
/// signals, the listener and service discovery.
const RESERVED_DESCRIPTORS: usize = 16;
/// Fewest connections with which a sidecar can serve.
const MIN_CONNECTIONS: usize = 8;
/// Share of the memory limit that buffered messages may take, if every connection held one in each direction.
const BUFFER_MEMORY_SHARE: f64 = 0.75;
/// Default limits.
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;

/// Keys that a reloaded file may add or drop.
const OPTIONAL_KEYS: [&str; 3] = ["known", "watch", "fleet"];

/// Which source takes precedence where an environment variable and the file differ.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    Variable,
    /// Danger: the environment of a running process cannot be changed and would hide changes to its file. So the file
    /// takes precedence on reload.
    File,
}

/// Settings that take effect only at start, not on reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of the admin endpoint; there is none without it.
    pub operator: Option<SocketAddr>,
    /// Most client and endpoint connections together.
    pub connections: usize,
    /// The fleet that this process is a member of.
    pub fleet: Option<fleet::FleetConfig>,
    has_shadow: bool,
}

impl StartupConfig {
    /// The keys at which the two differ.
    pub fn differs(&self, other: &StartupConfig) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("operator", self.operator != other.operator),
            ("limits", self.connections != other.connections),
            ("watch", self.has_shadow != other.has_shadow),
            ("fleet", self.fleet != other.fleet),
        ];
        keys.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect()
    }
}

/// What a reloaded file must share with the one it replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReloadIdentity {
    /// The top-level keys, and those in `settings`.
    keys: Vec<String>,
    /// The name in the file itself, whatever the environment says.
    name: Value,
}

impl ReloadIdentity {
    fn of(file: &Value) -> ReloadIdentity {
        ReloadIdentity { keys: required_keys(file), name: file["name"].clone() }
    }

    /// Danger: a file that was truncated or lost a key would be filled in with defaults, and a file of another
    /// sidecar would make this one serve with another customer's settings.
    fn check_successor(&self, next: &ReloadIdentity) -> Result<(), String> {
        if let Some(missing) = self.keys.iter().find(|key| !next.keys.contains(key)) {
            return Err(format!("{missing}: missing, but it was there before"));
        }
        if next.name != self.name {
            return Err(format!(
                "name: {}, but it was {} before; this is the file of another sidecar",
                next.name, self.name
            ));
        }
        Ok(())
    }
}

/// The complete validated configuration.
pub struct Config {
    /// The file that this was read from.
    pub path: PathBuf,
    pub startup: StartupConfig,
    /// The folder in which processes at the same address detect one another, if there is one and an admin endpoint is
    /// configured.
    pub folder: Option<PathBuf>,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// The last known endpoint list, in the format of service discovery.
    pub known: Value,
    pub terms: Terms,
    /// The terms of the shadow settings: the sidecar only counts where they would decide otherwise.
    pub shadow_terms: Option<Terms>,
    /// What a reloaded file must have too.
    pub reload_identity: ReloadIdentity,
    /// The settings that restrict where and until when a request may be sent, as written in the file.
    pub restrictions: Vec<String>,
    /// Warnings, by key, about settings that this program cannot fully apply.
    pub warnings: Vec<String>,
    pub connection_idle: Span,
    pub connect_timeout: Span,
    /// The agreed fleet settings that this process last applied, and the local file that they were merged into.
    pub agreed: Option<AgreedSettings>,
    pub base: Value,
}

/// Flattens settings into pairs of path and value: objects and lists are split into their parts.
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

/// The settings in the file that restrict where and until when a request may be sent, each as written there. One of
/// the wrong type is an error: flattening would drop it, and it would restrict nothing.
fn restrictions(key: &str, file: &Value) -> Result<Vec<String>, String> {
    let is_name_list = |value: &Value| match value {
        Value::Array(names) => names.iter().all(Value::is_string),
        other => other.is_string(),
    };
    let is_scalar = |value: &Value| !value.is_object() && !value.is_array();
    let method = |at: usize, method: &Value| {
        let names = ["confinedTo", "skusOpen"].into_iter();
        names.map(|name| (format!("methods.{at}.{name}"), method[name].clone(), true)).collect::<Vec<_>>()
    };
    let rules = ["deadlineDriftNs", "drainBindsAlone", "stampDoubtNs"].into_iter();
    let rules = rules.map(|name| (format!("rules.{name}"), file["rules"][name].clone(), false));
    let methods = file["methods"].as_array().into_iter().flatten().enumerate();
    let slots = ("ceilings.replySlots".to_string(), file["ceilings"]["replySlots"].clone(), false);
    let all = methods.flat_map(|(at, m)| method(at, m)).chain(rules).chain([slots]);
    let present = all.filter(|(_, value, _)| !value.is_null());
    let checked = present.map(|(path, value, names)| {
        let readable = if names { is_name_list(&value) } else { is_scalar(&value) };
        let expected = if names { "a list of names" } else { "a single value" };
        readable
            .then(|| format!("{key}.{path}: {value}"))
            .ok_or(format!("{key}.{path}: expected {expected}, not {value}"))
    });
    checked.collect()
}

/// The value from the environment or the file, and the name under which it was found; `None` if neither has it.
fn text(
    variable: &'static str,
    file: &Value,
    key: &'static str,
    precedence: Precedence,
) -> Result<Option<(String, &'static str)>, String> {
    match (env::var(variable), &file[key]) {
        (_, Value::String(value)) if precedence == Precedence::File => Ok(Some((value.clone(), key))),
        (Ok(value), _) => Ok(Some((value, variable))),
        (Err(_), Value::String(value)) => Ok(Some((value.clone(), key))),
        (Err(_), Value::Null) => Ok(None),
        (Err(_), other) => Err(format!("{key}: expected text, not {other}")),
    }
}

/// The keys of a file that a reloaded one must have too.
fn required_keys(file: &Value) -> Vec<String> {
    let of = |value: &Value, under: &str| match value {
        Value::Object(fields) => fields.keys().map(|key| format!("{under}{key}")).collect::<Vec<_>>(),
        _ => Vec::new(),
    };
    let top = of(file, "").into_iter().filter(|key| !OPTIONAL_KEYS.contains(&key.as_str()));
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

/// Decodes and validates terms. Messages between sidecars are not part of the protocol: settings that allow them
/// cause a warning and are ignored.
fn terms(
    key: &str,
    pairs: &[(String, String)],
    places: &mut Places,
    warnings: &mut Vec<String>,
) -> Result<Terms, String> {
    let terms = Terms::decode(pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())), places);
    let mut terms = terms.map_err(|what| format!("{key}: {what}"))?;
    let mut names: Vec<_> = terms.methods.iter().map(|method| method.name.as_str()).collect();
    names.sort_unstable();
    let repeated = names.windows(2).any(|pair| pair[0] == pair[1]);
    if names.is_empty() || names.contains(&"") || repeated {
        return Err(format!("{key}.methods: expected at least one, with unique names"));
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
        warnings.push(format!(
            "{key}.ceilings.replySlots: used for decisions only; limits.memory_mb bounds the memory that responses take"
        ));
    }
    if std::mem::take(&mut terms.may_tell) {
        warnings.push(format!(
            "{key}.ceilings.mayTell: ignored: sidecars cannot send messages to each other over sockets"
        ));
    }
    if key == "watch" && terms.load_at.is_some() {
        warnings.push(format!(
            "{key}.ceilings.probes: the shadow evaluation sends no probes and assumes none were answered"
        ));
    }
    Ok(terms)
}

/// Settings that are specific to each sidecar and cannot be agreed on for all.
const LOCAL_SETTINGS: [&str; 1] = ["zone"];

/// Merges the settings that the fleet has agreed on into a file's: each replaces the file's own.
///
/// # Errors
/// Names the setting that cannot be agreed on, or the value that is not an object.
pub fn merge_agreed(file: &Value, agreed: &Value) -> Result<Value, String> {
    let changes = agreed.as_object().ok_or("settings: expected an object")?;
    if let Some(local) = LOCAL_SETTINGS.iter().find(|local| changes.contains_key(**local)) {
        return Err(format!("settings.{local}: it is specific to each sidecar and cannot be agreed on"));
    }
    let mut whole = file.clone();
    let settings = whole["settings"].as_object_mut().ok_or("settings: missing, or not an object")?;
    settings.extend(changes.iter().map(|(key, value)| (key.clone(), value.clone())));
    Ok(whole)
}

/// Checks settings that the fleet is to agree on, as a sidecar with this file would.
///
/// # Errors
/// Names the faulty key.
pub fn check_agreed(file: &Value, agreed: &str) -> Result<(), String> {
    let agreed: Value = serde_json::from_str(agreed).map_err(|e| format!("not JSON: {e}"))?;
    let whole = merge_agreed(file, &agreed)?;
    Config::check(whole, PathBuf::new(), Precedence::File, &mut Places::default()).map(drop)
}

impl Config {
    /// Reads the file named by `path` or by the environment.
    pub fn read(path: Option<PathBuf>, places: &mut Places) -> Result<Config, String> {
        let path = path.or_else(|| env::var("BALANCER_CONFIG").ok().map(PathBuf::from));
        let path = path.ok_or("BALANCER_CONFIG: no configuration file given by this variable or --config")?;
        let mut config = Config::read_from(path.clone(), Precedence::Variable, None, places, None)?;
        let saved = config.startup.fleet.as_ref().map_or(Ok(None), fleet::FleetConfig::load_saved);
        let merged = saved.and_then(|saved| {
            let Some(agreed) = saved else { return Ok(None) };
            let read = Config::read_from(path, Precedence::Variable, None, places, Some(&agreed.settings));
            read.map(|config| Some(Config { agreed: Some(agreed), ..config }))
        });
        match merged {
            Ok(Some(merged)) => config = merged,
            Ok(None) => {}
            Err(what) => config.warnings.push(format!("{what}; it starts with the file's own settings")),
        }
        Ok(config)
    }

    /// Merges the fleet's agreed settings into this file's and validates the result.
    ///
    /// # Errors
    /// Names the faulty key.
    pub fn with(base: &Value, path: PathBuf, agreed: &Value, places: &mut Places) -> Result<Config, String> {
        Config::check(merge_agreed(base, agreed)?, path, Precedence::File, places)
    }

    /// Reads a file. On reload, `previous` says what it must share with the one that it replaces.
    pub fn read_from(
        path: PathBuf,
        precedence: Precedence,
        previous: Option<&ReloadIdentity>,
        places: &mut Places,
        agreed: Option<&Value>,
    ) -> Result<Config, String> {
        let in_file = |path: &Path, what: String| format!("{}: {what}", path.display());
        let file = fs::read(&path).map_err(|e| in_file(&path, e.to_string()))?;
        let file: Value =
            serde_json::from_slice(&file).map_err(|e| in_file(&path, format!("not JSON: {e}")))?;
        let identity = ReloadIdentity::of(&file);
        previous
            .map_or(Ok(()), |previous| previous.check_successor(&identity))
            .map_err(|what| in_file(&path, what))?;
        // Without a fleet nothing is merged into the file, so no copy of it is kept.
        let base = if file["fleet"].is_null() { Value::Null } else { file.clone() };
        let whole = match agreed {
            Some(agreed) => merge_agreed(&file, agreed).map_err(|what| in_file(&path, what))?,
            None => file,
        };
        let config =
            Config::check(whole, path.clone(), precedence, places).map_err(|what| in_file(&path, what))?;
        Ok(Config { reload_identity: identity, base, ..config })
    }

    fn check(
        mut file: Value,
        path: PathBuf,
        precedence: Precedence,
        places: &mut Places,
    ) -> Result<Config, String> {
        let address = |variable, key: &'static str, precedence| {
            let found = text(variable, &file, key, precedence)?;
            let parsed = found.map(|(text, source)| {
                text.parse::<SocketAddr>()
                    .map_err(|_| format!("{source}: expected address:port, not '{text}'"))
            });
            parsed.transpose()
        };
        let missing = |key| format!("{key}: missing");
        // Settings that take effect only at start prefer the environment even on reload.
        let operator = address("BALANCER_OPERATOR", "operator", Precedence::Variable)?;
        let listen = address("BALANCER_LISTEN", "listen", Precedence::Variable)?;
        let listen = listen.ok_or_else(|| missing("listen"))?;
        let discovery = address("BALANCER_DISCOVERY", "discovery", precedence)?;
        let discovery = discovery.ok_or_else(|| missing("discovery"))?;
        let name = text("BALANCER_NAME", &file, "name", Precedence::Variable)?;
        let name = name.map_or_else(|| "sidecar".to_string(), |(name, _)| name);
        if !file["settings"].is_object() {
            return Err("settings: missing, or not an object".to_string());
        }
        let restrictions =
            [restrictions("settings", &file["settings"])?, restrictions("watch", &file["watch"])?].concat();
        let mut pairs = Vec::new();
        flatten("", &file["settings"], &mut pairs);
        let mut warnings = Vec::new();
        let terms = terms("settings", &pairs, places, &mut warnings)?;
        let shadow_terms = match &file["watch"] {
            Value::Null => None,
            Value::Object(_) => {
                let mut changes = Vec::new();
                flatten("", &file["watch"], &mut changes);
                let unchanged = |(path, _): &&(String, String)| !changes.iter().any(|(at, _)| at == path);
                let kept = pairs.iter().filter(unchanged).cloned().collect::<Vec<_>>();
                Some(self::terms("watch", &[kept, changes].concat(), places, &mut warnings)?)
            }
            other => return Err(format!("watch: expected an object of settings, not {other}")),
        };
        if let Some(shadow_terms) = &shadow_terms {
            let names = |terms: &Terms| terms.methods.iter().map(|m| m.name.clone()).collect::<Vec<_>>();
            if names(shadow_terms) != names(&terms) {
                return Err("watch.methods: differ from those in settings".to_string());
            }
        }
        let span = |path: &str| {
            let nanos = pairs.iter().find(|(at, _)| at == path).map(|(_, value)| value);
            let nanos = nanos.ok_or_else(|| format!("settings.{path}: missing"))?;
            nanos.parse().map(Span::from_nanos).map_err(|_| {
                format!("settings.{path}: expected nanoseconds as a whole number, not '{nanos}'")
            })
        };
        // Danger: a request that waits for its connect is sent once that completes, and the endpoint may have begun
        // to drain meanwhile. So the connect timeout is at most the time in which sending must stop.
        let connect_timeout = span("ceilings.connectTimeoutNs")?;
        let sockets = limit(&file, "sockets", DEFAULT_SOCKETS)? as usize;
        let memory = limit(&file, "memory_mb", DEFAULT_MEMORY_MB)? as f64 * 1e6 * BUFFER_MEMORY_SHARE;
        let memory_allows = (memory / (2.0 * http::MAX_MESSAGE_BYTES as f64)) as usize;
        let member = fleet::FleetConfig::read(&file)?;
        let reserved = RESERVED_DESCRIPTORS
            + operator.map_or(0, |_| operator::MAX_DESCRIPTORS)
            + member.as_ref().map_or(0, |_| fleet::SOCKETS);
        let connections = sockets.saturating_sub(reserved).min(memory_allows);
        if connections < MIN_CONNECTIONS {
            return Err(format!(
                "limits.sockets, limits.memory_mb: {sockets} sockets, of which memory allows {memory_allows} \
                 connections, leave {connections}; at least {MIN_CONNECTIONS} are needed"
            ));
        }
        // Danger: with a limit above the process's own RLIMIT_NOFILE, idle clients could use up all descriptors and
        // leave none for service discovery, endpoints and operators. Below the minimum of connections, descriptors
        // are freed as they are needed.
        let soft_limit = rlimit::Resource::NOFILE.get_soft().ok().and_then(|most| usize::try_from(most).ok());
        let soft_limit = soft_limit.unwrap_or(usize::MAX);
        let within = soft_limit.saturating_sub(reserved).max(MIN_CONNECTIONS);
        if within < connections {
            warnings.push(format!(
                "limits.sockets: {sockets}, and this process may open {soft_limit} (RLIMIT_NOFILE): connections limited to {within}"
            ));
        }
        let connections = connections.min(within);
        if !file["known"].is_null() {
            let known = &file["known"];
            discovery::version(known)
                .and_then(|_| discovery::entries(known, |_, _, _, _, _| {}))
                .map_err(|what| format!("known.{what}"))?;
        }
        let startup = StartupConfig {
            name,
            listen,
            operator,
            connections,
            fleet: member,
            has_shadow: shadow_terms.is_some(),
        };
        Ok(Config {
            path,
            startup,
            folder: env::var_os("TMPDIR").map(PathBuf::from).filter(|_| operator.is_some()),
            discovery,
            seed: seed(&file)?,
            connection_idle: span("ceilings.connIdleNs")?,
            connect_timeout: terms
                .stop_sending_within
                .map_or(connect_timeout, |stop| connect_timeout.min(stop)),
            reload_identity: ReloadIdentity::of(&file),
            known: file["known"].take(),
            terms,
            shadow_terms,
            restrictions,
            warnings,
            agreed: None,
            base: Value::Null,
        })
    }
}

/// Terms for tests: one retryable method, with the given changes.
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
            Config::check(file.clone(), PathBuf::new(), Precedence::File, &mut Places::default())
                .map(|config| config.startup)
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
        // Settings that restrict where a request may be sent are shown, and one of the wrong type is never ignored.
        let bound = |path: &str, value: Value| {
            let mut other = file.clone();
            *other.pointer_mut(path).expect("a place in the example").as_object_mut().unwrap() =
                value.as_object().unwrap().clone();
            Config::check(other, PathBuf::new(), Precedence::File, &mut Places::default())
                .map(|config| config.restrictions)
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
        // A key that was there must stay, except the optional ones.
        assert!(required_keys(&file).contains(&"settings.rules".to_string()));
        assert!(!required_keys(&file).contains(&"known".to_string()));
    }
}
