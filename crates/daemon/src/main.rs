//! `appledyke-daemon`: serves what a fleet agrees on, and asks for it.

use std::collections::BTreeMap;
use std::fs;
use std::io::{IsTerminal, Read, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use appledyke_daemon::agent::Agent;
use appledyke_daemon::ask;
use appledyke_daemon::configuration::{Configuration, Form};
use appledyke_daemon::folder::Folder;
use appledyke_daemon::serve::Daemon;
use appledyke_fleet::Version;
use appledyke_fleet::budgets::Budget;
use appledyke_fleet::drains::Group;
use appledyke_fleet::health::RequestCounts;
use appledyke_fleet::members::MemberStatus;
use appledyke_fleet::messages::{MemberRow, OperatorReply, OperatorRequest, ScopeRow};
use appledyke_fleet::releases::{Plan, ReleaseUpdate};
use appledyke_fleet::scopes::{Locality, Scope, ScopedSettings};
use appledyke_fleet::state::{Fleet, SettingsChange, Write, WriteId};
use argh::FromArgs;
use serde::Serialize;

/// What a write's outcome is told by, beside words.
const REFUSED: u8 = 1;
const UNKNOWN: u8 = 3;

/// A daemon that holds what a fleet's processes agree on.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Found(Found),
    Check(Check),
    Status(Status),
    Members(Members),
    Get(Get),
    Put(Put),
    Budgets(ShowBudgets),
    Ended(Ended),
    Forget(Forget),
    Out(TakeEndpoint),
    In(PutEndpoint),
    Outs(ShowOuts),
    Release(Release),
    Agent(RunAgent),
    History(History),
    Rollback(Rollback),
    Remove(Remove),
    Scopes(ShowScopes),
    Backup(Backup),
    Restore(Restore),
    HandOver(HandOver),
    TakeOut(TakeOut),
    Version(ShowVersion),
}

/// serve until told to leave by SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the folder is the latest that this daemon had: it votes without asking the others first. Never after a restored backup
    #[argh(switch)]
    vouched: bool,
}

/// make this daemon's folder that of a new fleet's first; once for a fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "found")]
struct Found {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// also where another daemon serves this fleet already
    #[argh(switch)]
    anyway: bool,
}

/// check a configuration and say what is wrong with it
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
}

/// how each daemon stands
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// the sidecars, and how each stands
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// the settings that hold, or those of a version
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// a version, such as 0.3
    #[argh(option)]
    version: Option<Version>,
    /// what is put for a part of the fleet: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// what holds for this member, of all scopes that it belongs to
    #[argh(option, long = "of")]
    member: Option<String>,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// put settings for all sidecars, or a part of them: committed (exit 0), refused (1) or unknown (3)
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the settings' file, or - for standard input: a JSON object whose keys stand in place of each sidecar's own
    #[argh(positional)]
    file: PathBuf,
    /// for a part of the fleet alone: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// only if this version holds, of what is put for the same
    #[argh(option)]
    expects: Option<Version>,
    /// who puts them
    #[argh(option, default = "String::new()")]
    by: String,
    /// why
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to say one again whose fate is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to try for
    #[argh(option, default = "10")]
    seconds: u64,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// how each budget is divided: used, idle and reserved
#[derive(FromArgs)]
#[argh(subcommand, name = "budgets")]
struct ShowBudgets {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// take an endpoint out of service, whatever the list says: every member treats it as one that drains
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
struct TakeEndpoint {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the endpoint's name in the list
    #[argh(positional)]
    name: String,
    /// why it is taken whatever is out already
    #[argh(option)]
    anyway: Option<String>,
}

/// move sidecars or endpoints to another version, step by step, with a halt and a way back
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct Release {
    #[argh(subcommand)]
    what: ReleaseCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ReleaseCommand {
    Check(CheckRelease),
    Start(StartRelease),
    Status(ReleaseStatus),
    Halt(HaltRelease),
    Resume(ResumeRelease),
    Back(BackRelease),
    Settle(SettleRelease),
    End(EndRelease),
}

/// check a release's file against the fleet, and do nothing
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's file
    #[argh(positional)]
    file: PathBuf,
}

/// begin a release
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct StartRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's file
    #[argh(positional)]
    file: PathBuf,
}

/// how each release stands
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct ReleaseStatus {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// send nobody else out, and let those under way come back
#[derive(FromArgs)]
#[argh(subcommand, name = "halt")]
struct HaltRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
    /// why
    #[argh(option, default = "\"an operator's word\".to_string()")]
    why: String,
}

/// go on where it halted
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
struct ResumeRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// return what has been moved to its old version, last moved first
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
struct BackRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// say what became of one whose action nobody knows the end of
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
struct SettleRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
    /// whom it moves
    #[argh(positional)]
    who: String,
    /// it has the version that it was to have
    #[argh(switch)]
    moved: bool,
}

/// end a release as it stands; refused while any is under way
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct EndRelease {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// run releases' commands beside a sidecar or an endpoint, until ended
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct RunAgent {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// beside whom it is, by the name that the release has
    #[argh(positional)]
    who: String,
}

/// put an endpoint back into service
#[derive(FromArgs)]
#[argh(subcommand, name = "in")]
struct PutEndpoint {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the endpoint's name in the list
    #[argh(positional)]
    name: String,
}

/// the endpoints that are out of service, and who may hold something there still
#[derive(FromArgs)]
#[argh(subcommand, name = "outs")]
struct ShowOuts {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// say that a member never comes back: its groups are smaller from then on
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
struct Forget {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the member's name
    #[argh(positional)]
    name: String,
}

/// say that a process of a member has ended for certain: what it held of stocks is free
#[derive(FromArgs)]
#[argh(subcommand, name = "ended")]
struct Ended {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the member's name
    #[argh(positional)]
    name: String,
    /// its incarnation, as `members` shows it
    #[argh(positional)]
    incarnation: u64,
}

/// the versions that are kept
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for a part of the fleet alone: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// put the settings of an earlier version again, as a new one
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the version to go back to
    #[argh(positional)]
    to: Version,
    /// for a part of the fleet alone: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// only if this version holds, of what is put for the same
    #[argh(option)]
    expects: Option<Version>,
    /// who goes back
    #[argh(option, default = "String::new()")]
    by: String,
    /// why
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to say one again whose fate is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to try for
    #[argh(option, default = "10")]
    seconds: u64,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// take away what is put for a part of the fleet: committed (exit 0), refused (1) or unknown (3)
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// which part: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for")]
    scope: Scope,
    /// only if this version holds, of what is put for the same
    #[argh(option)]
    expects: Option<Version>,
    /// who removes it
    #[argh(option, default = "String::new()")]
    by: String,
    /// why
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to say one again whose fate is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to try for
    #[argh(option, default = "10")]
    seconds: u64,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// the parts of the fleet for which something was put: version, bytes, members, and how many act on it
#[derive(FromArgs)]
#[argh(subcommand, name = "scopes")]
struct ShowScopes {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// write all that is agreed to a file
#[derive(FromArgs)]
#[argh(subcommand, name = "backup")]
struct Backup {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the file; it must not be there yet
    #[argh(positional)]
    file: PathBuf,
}

/// begin a fleet anew from a backup, in this daemon's empty folder
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
struct Restore {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the backup's file
    #[argh(positional)]
    file: PathBuf,
    /// also where another daemon serves this fleet still
    #[argh(switch)]
    anyway: bool,
}

/// hand leadership to another place
#[derive(FromArgs)]
#[argh(subcommand, name = "hand-over")]
struct HandOver {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the place
    #[argh(positional)]
    to: u16,
}

/// take a place's vote, for a machine that does not come back
#[derive(FromArgs)]
#[argh(subcommand, name = "take-out")]
struct TakeOut {
    /// the configuration
    #[argh(option)]
    config: PathBuf,
    /// the place
    #[argh(positional)]
    place: u16,
    /// also where no more may fail then
    #[argh(switch)]
    anyway: bool,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct ShowVersion {}

/// Longest that a question is asked for.
const PATIENCE: Duration = Duration::from_secs(10);

fn log(form: Form) {
    let out = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).with_ansi(false);
    match form {
        Form::Text => out.without_time().init(),
        Form::Json => out.json().flatten_event(true).init(),
    }
}

fn fleet(config: &Path, ask: &OperatorRequest, within: Duration) -> Result<OperatorReply, String> {
    let configuration = Configuration::read(config)?;
    let daemons = configuration.daemons.iter().map(|daemon| (daemon.place, daemon.address)).collect();
    ask::fleet(&daemons, &configuration.fleet, ask, within)
}

fn show(json: bool, value: &impl Serialize, text: impl FnOnce() -> String) -> Result<u8, String> {
    let text = if json { serde_json::to_string(value).map_err(|e| e.to_string())? } else { text() };
    // A reader that has gone wants no more.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    Ok(0)
}

fn unexpected(reply: OperatorReply) -> Result<u8, String> {
    match reply {
        OperatorReply::Refused(why) | OperatorReply::Invalid(why) => Err(format!("refused: {why}")),
        other => Err(format!("an answer to another question: {other:?}")),
    }
}

/// A file's settings, and its budgets, which stand beside them under a key of their own.
fn parted(text: &str) -> Result<(String, Vec<Budget>, Vec<Group>), String> {
    let mut file: serde_json::Value = match serde_json::from_str(text) {
        Ok(file) => file,
        // What is wrong with it is told with all else that may be.
        Err(_) => return Ok((text.to_string(), Vec::new(), Vec::new())),
    };
    let plain = file.get("budgets").is_none() && file.get("groups").is_none();
    let mut take = |key: &str| file.as_object_mut().and_then(|file| file.remove(key));
    let (budgets, groups) = (take("budgets").unwrap_or_else(|| serde_json::json!([])), take("groups"));
    let groups = groups.unwrap_or_else(|| serde_json::json!([]));
    let groups: Vec<Group> = serde_path_to_error::deserialize(groups)
        .map_err(|e| format!("groups.{}: {}", e.path(), e.inner()))?;
    let budgets: Vec<Budget> = serde_path_to_error::deserialize(budgets)
        .map_err(|e| format!("budgets.{}: {}", e.path(), e.inner()))?;
    // What was written by hand is kept as it was written.
    let settings = if plain { text.to_string() } else { file.to_string() };
    Ok((settings, budgets, groups))
}

fn plan(file: &Path) -> Result<Plan, String> {
    let named = |what: String| format!("{}: {what}", file.display());
    let text = fs::read_to_string(file).map_err(|e| named(e.to_string()))?;
    let reader = toml::Deserializer::parse(&text).map_err(|e| named(e.message().to_string()))?;
    let plan: Plan = serde_path_to_error::deserialize(reader)
        .map_err(|e| named(format!("{}: {}", e.path(), e.inner().message())))?;
    plan.check().map_err(named)?;
    if let Some(action) = &plan.action
        && !Path::new(&action.command[0]).is_file()
    {
        return Err(named(format!("action.command: there is no program {}", action.command[0])));
    }
    Ok(plan)
}

fn order(config: &Path, order: ReleaseUpdate, done: &str) -> Result<u8, String> {
    match fleet(config, &OperatorRequest::Release(order), PATIENCE)? {
        OperatorReply::Done => show(false, &(), || done.to_string()),
        OperatorReply::Unknown(why) => {
            eprintln!("unknown: {why}; say it again: it takes effect once");
            Ok(UNKNOWN)
        }
        other => unexpected(other),
    }
}

fn release(command: ReleaseCommand) -> Result<u8, String> {
    match command {
        ReleaseCommand::Check(CheckRelease { config, file }) => {
            let plan = plan(&file)?;
            let OperatorReply::Settings(written) = fleet(&config, &OperatorRequest::Get(None), PATIENCE)?
            else {
                return Err("the fleet has no settings".to_string());
            };
            let OperatorReply::Members(members) = fleet(&config, &OperatorRequest::Members, PATIENCE)? else {
                return Err("the fleet does not tell its members".to_string());
            };
            let groups = written.map(|written| written.groups).unwrap_or_default();
            let here = |row: &MemberRow| row.groups.contains(&plan.group) && row.status != MemberStatus::Gone;
            let members = members.into_iter().filter(here).map(|row| row.name).collect();
            let (of, most) = plan.check_against(&groups, members)?;
            let count = if plan.order.is_empty() { of.len() } else { plan.order.len() };
            show(false, &(), || {
                format!(
                    "{}: {count} of {} in {} from {} to {}, {most} at once",
                    plan.name,
                    of.len(),
                    plan.group,
                    plan.from,
                    plan.to
                )
            })
        }
        ReleaseCommand::Start(StartRelease { config, file }) => {
            let plan = plan(&file)?;
            let done = format!("{} has started; release status says how it stands", plan.name);
            order(&config, ReleaseUpdate::Start(Box::new(plan), RequestCounts::default()), &done)
        }
        ReleaseCommand::Status(ReleaseStatus { config, json }) => {
            match fleet(&config, &OperatorRequest::Releases, PATIENCE)? {
                OperatorReply::Releases(releases, runs) => show(json, &(&releases, &runs), || {
                    let mut text: String = releases.iter().map(|release| release.summary() + "\n").collect();
                    for release in releases.iter().filter(|release| !release.is_ended()) {
                        for who in &release.order {
                            let runs = runs.iter().find(|(name, _)| name == who);
                            text += &format!("  {who}: {}", release.steps[who].summary(&release.plan));
                            runs.into_iter().for_each(|(_, runs)| text += &format!(", runs {runs}"));
                            text += "\n";
                        }
                    }
                    text
                }),
                other => unexpected(other),
            }
        }
        ReleaseCommand::Halt(HaltRelease { config, name, why }) => {
            let done = format!("{name} has halted");
            order(&config, ReleaseUpdate::Halt { release: name, why, worse: false }, &done)
        }
        ReleaseCommand::Resume(ResumeRelease { config, name }) => {
            let done = format!("{name} goes on");
            order(&config, ReleaseUpdate::Resume(name), &done)
        }
        ReleaseCommand::Back(BackRelease { config, name }) => {
            let done = format!("{name} goes back");
            order(&config, ReleaseUpdate::Rollback(name), &done)
        }
        ReleaseCommand::Settle(SettleRelease { config, name, who, moved }) => {
            let OperatorReply::Releases(releases, _) = fleet(&config, &OperatorRequest::Releases, PATIENCE)?
            else {
                return Err("the fleet does not tell its releases".to_string());
            };
            let release = releases.iter().find(|release| release.plan.name == name);
            let going = release.and_then(|release| release.steps.get(&who)?.transition);
            let Some(going) = going else { return Err(format!("{who} is not under way in {name}")) };
            let done = format!("{who} is not under way any more");
            order(
                &config,
                ReleaseUpdate::FinishTransition {
                    release: name,
                    target: who,
                    started_at: going.started_at,
                    reached: moved,
                },
                &done,
            )
        }
        ReleaseCommand::End(EndRelease { config, name }) => {
            let done = format!("{name} has ended");
            order(&config, ReleaseUpdate::End(name, "by an operator".to_string()), &done)
        }
    }
}

fn endpoint(config: &Path, name: String, out: bool, anyway: Option<String>) -> Result<u8, String> {
    match fleet(config, &OperatorRequest::Endpoint { name: name.clone(), out, force: anyway }, PATIENCE)? {
        OperatorReply::Done if out => {
            show(false, &(), || format!("{name} is out of service; outs says once it is empty"))
        }
        OperatorReply::Done => show(false, &(), || format!("{name} is in service, if the list has it")),
        other => unexpected(other),
    }
}

fn random() -> Result<u64, String> {
    getrandom::u64().map_err(|e| format!("no random number: {e}"))
}

struct Wish {
    scope: Scope,
    expects: Option<Version>,
    by: String,
    why: String,
    id: Option<String>,
    seconds: u64,
    json: bool,
}

fn write(config: &Path, what: SettingsChange, wish: Wish) -> Result<u8, String> {
    let id = match &wish.id {
        None => WriteId(random()?, random()?),
        Some(text) => {
            let parts =
                text.split_once('-').map(|(a, b)| (u64::from_str_radix(a, 16), u64::from_str_radix(b, 16)));
            let Some((Ok(one), Ok(other))) = parts else {
                return Err(format!("--id: expected an id as it was told, not '{text}'"));
            };
            WriteId(one, other)
        }
    };
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let by = if wish.by.is_empty() { std::env::var("USER").unwrap_or_default() } else { wish.by };
    let write =
        Write { id, expected_version: wish.expects, author: by, reason: wish.why, at_ms, change: what };
    // What is for all is asked as ever, which daemons of an older version know too.
    let ask = match wish.scope.clone() {
        Scope::All => OperatorRequest::Write(write),
        scope => OperatorRequest::WriteScoped { scope, write },
    };
    // Danger: a write that nobody has taken has no effect, one that may have been taken may still have one.
    let reply = fleet(config, &ask, Duration::from_secs(wish.seconds));
    let id = format!("{:x}-{:x}", id.0, id.1);
    let (word, detail, status) = match reply {
        Ok(OperatorReply::Committed(version)) => ("committed", version.to_string(), 0),
        Ok(OperatorReply::Refused(why) | OperatorReply::Invalid(why)) => ("refused", why, REFUSED),
        Ok(OperatorReply::Unknown(why)) => ("unknown", why, UNKNOWN),
        Err(why) => ("refused", why, REFUSED),
        Ok(other) => return unexpected(other),
    };
    let mut told = serde_json::json!({"outcome": word, "detail": detail, "id": id});
    let mut more = String::new();
    if word == "committed"
        && wish.scope != Scope::All
        && let Ok(OperatorReply::Scopes(rows)) = fleet(config, &OperatorRequest::Scopes, PATIENCE)
        && let Some(row) = rows.iter().find(|row| row.scope == wish.scope)
    {
        told["members"] = row.members.into();
        if row.members == 0 {
            more = format!("\nnobody that is heard now belongs to {}", wish.scope);
        }
    }
    show(wish.json, &told, || match word {
        "unknown" => format!("unknown: {detail}\nsay it again with --id {id}: it takes effect once"),
        _ => format!("{word}: {detail}{more}"),
    })?;
    Ok(status)
}

/// Whether any other daemon serves this fleet: a second one beside it would have two truths.
fn nobody_serves(configuration: &Configuration, anyway: bool) -> Result<(), String> {
    for (place, at) in configuration.others() {
        let mut sent = false;
        if let Ok(OperatorReply::Status(status)) =
            ask::one(at, &configuration.fleet, &OperatorRequest::Status, PATIENCE / 10, &mut sent)
            && !status.voters.is_empty()
            && !anyway
        {
            return Err(format!(
                "place {place} at {at} serves fleet {} already: serve with an empty folder to join it; \
                 say --anyway to have a second fleet of this name",
                configuration.fleet
            ));
        }
    }
    Ok(())
}

fn found(config: &Path, state: Option<Fleet>, anyway: bool) -> Result<u8, String> {
    let configuration = Configuration::read(config)?;
    configuration.template()?;
    nobody_serves(&configuration, anyway)?;
    let (mut folder, kept, _) =
        Folder::open(&configuration.folder, &configuration.fleet, configuration.place)
            .map_err(|e| e.to_string())?;
    folder.found(&kept, state).map_err(|e| e.to_string())?;
    println!("fleet {} begins with replica {}; the other daemons join it", configuration.fleet, folder.id);
    Ok(0)
}

fn backup(config: &Path, file: &Path) -> Result<u8, String> {
    let named = |e: std::io::Error| format!("{}: {e}", file.display());
    let reply = fleet(config, &OperatorRequest::Backup, PATIENCE)?;
    let OperatorReply::Backup(bytes) = reply else { return unexpected(reply) };
    let mut out = fs::OpenOptions::new().write(true).create_new(true).open(file).map_err(named)?;
    out.write_all(&bytes).and_then(|()| out.sync_all()).map_err(named)?;
    let fleet = Fleet::from_bytes(&bytes)?;
    println!(
        "version {}, {} members, up to entry {}",
        fleet.version(),
        fleet.members().len(),
        fleet.applied()
    );
    Ok(0)
}

/// What a member belongs to, in words; nothing for one without a locality.
fn locality_line(locality: &Locality) -> String {
    let Locality { service, zone, region } = locality;
    let named = [("service", service), ("zone", zone), ("region", region)];
    named.into_iter().filter_map(|(key, name)| Some(format!(" {key}={}", name.as_ref()?))).collect()
}

fn members(config: &Path, json: bool) -> Result<u8, String> {
    let rows = match fleet(config, &OperatorRequest::Members, PATIENCE)? {
        OperatorReply::Members(rows) => rows,
        other => return unexpected(other),
    };
    // A daemon of an older version knows none.
    let localities: BTreeMap<String, Locality> =
        match fleet(config, &OperatorRequest::Localities, PATIENCE / 5) {
            Ok(OperatorReply::Localities(rows)) => rows.into_iter().collect(),
            _ => BTreeMap::new(),
        };
    #[derive(Serialize)]
    struct Row<'a> {
        #[serde(flatten)]
        row: &'a MemberRow,
        #[serde(skip_serializing_if = "Option::is_none")]
        belongs: Option<&'a Locality>,
    }
    let belongs = |row: &MemberRow| localities.get(&row.name);
    let told: Vec<Row> = rows.iter().map(|row| Row { row, belongs: belongs(row) }).collect();
    show(json, &told, || {
        let line = |row: &MemberRow| {
            let version = row.version.map_or("-".to_string(), |version| version.to_string());
            let (name, standing) = (&row.name, row.status.name());
            let belongs = belongs(row).map(locality_line).unwrap_or_default();
            format!("{name} {standing} version {version} incarnation {}{belongs}\n", row.incarnation)
        };
        rows.iter().map(line).collect()
    })
}

/// A scope's row for tools: the scope as it is named on the command line.
fn scope_row(row: &ScopeRow) -> serde_json::Value {
    serde_json::json!({
        "scope": row.scope.to_string(),
        "version": row.version,
        "bytes": row.bytes,
        "members": row.members,
        "acting": row.acting,
        "behind": row.members - row.acting,
    })
}

fn scope_line(row: &ScopeRow) -> String {
    let bytes = row.bytes.map_or("removed".to_string(), |bytes| format!("{bytes} bytes"));
    let ScopeRow { scope, version, members, acting, .. } = row;
    let behind = match members - acting {
        0 => String::new(),
        behind => format!(", {behind} behind"),
    };
    format!(
        "{scope}: version {version}, {bytes}, {members} members, {acting} act on what holds for them{behind}\n"
    )
}

fn get(
    config: &Path,
    version: Option<Version>,
    scope: Scope,
    member: Option<String>,
    json: bool,
) -> Result<u8, String> {
    if let Some(name) = member {
        if version.is_some() || scope != Scope::All {
            return Err("--of: what holds for a member has no --version and no --for".to_string());
        }
        return match fleet(config, &OperatorRequest::MemberSettings(name.clone()), PATIENCE)? {
            OperatorReply::Merged(Some(merged)) => {
                if merged.locality.is_none() {
                    eprintln!("{name} has not said what it belongs to");
                }
                let of: Vec<_> =
                    merged.sources.iter().map(|(of, version)| (of.to_string(), version)).collect();
                let told = serde_json::json!({"version": merged.version, "settings": merged.settings,
                    "belongs": merged.locality, "of": of});
                show(json, &told, || merged.settings.clone())
            }
            OperatorReply::Merged(None) => {
                Err(format!("{name} is no member, or nothing is put that concerns it"))
            }
            other => unexpected(other),
        };
    }
    let none = Err("there are no such settings".to_string());
    match scope {
        Scope::All => match fleet(config, &OperatorRequest::Get(version), PATIENCE)? {
            OperatorReply::Settings(Some(written)) => show(json, &written, || written.settings.clone()),
            OperatorReply::Settings(None) => none,
            other => unexpected(other),
        },
        scope => {
            match fleet(config, &OperatorRequest::GetScoped { scope: scope.clone(), version }, PATIENCE)? {
                OperatorReply::Scoped(Some(scoped)) => match &scoped.settings {
                    Some(settings) => show(json, &scoped, || settings.clone()),
                    None if json => show(json, &scoped, String::new),
                    None => {
                        Err(format!("what was put for {scope} was removed with version {}", scoped.version))
                    }
                },
                OperatorReply::Scoped(None) => none,
                other => unexpected(other),
            }
        }
    }
}

fn history(config: &Path, scope: Scope, json: bool) -> Result<u8, String> {
    let line = |version: Version, back_to: Option<Version>, what: &str, by: &str, at_ms: u64, why: &str| {
        let back = back_to.map_or(String::new(), |version| format!(" back to {version}"));
        format!("{version}{back}{what} by {by} at {at_ms} ms: {why}\n")
    };
    match scope {
        Scope::All => match fleet(config, &OperatorRequest::History, PATIENCE)? {
            OperatorReply::History(rows) => show(json, &rows, || {
                rows.iter()
                    .map(|w| line(w.version, w.rollback_to, "", &w.author, w.at_ms, &w.reason))
                    .collect()
            }),
            other => unexpected(other),
        },
        scope => match fleet(config, &OperatorRequest::ScopeHistory(scope), PATIENCE)? {
            OperatorReply::ScopeHistory(rows) => show(json, &rows, || {
                let row = |s: &ScopedSettings| {
                    let removed = if s.settings.is_none() { " removed" } else { "" };
                    line(s.version, s.rollback_to, removed, &s.author, s.at_ms, &s.reason)
                };
                rows.iter().map(row).collect()
            }),
            other => unexpected(other),
        },
    }
}

fn status(config: &Path, json: bool) -> Result<u8, String> {
    let configuration = Configuration::read(config)?;
    let mut rows = Vec::new();
    for daemon in &configuration.daemons {
        let mut sent = false;
        let reply =
            ask::one(daemon.address, &configuration.fleet, &OperatorRequest::Status, PATIENCE / 5, &mut sent);
        rows.push((
            daemon.place,
            match reply {
                Ok(OperatorReply::Status(status)) => Ok(status),
                Ok(other) => Err(format!("{other:?}")),
                Err(what) => Err(what),
            },
        ));
    }
    let leads = |row: &Result<appledyke_fleet::messages::Status, String>| {
        row.as_ref().is_ok_and(|status| status.role == "Leader")
    };
    // Of the scopes the leader can say; where none leads nobody is waited for.
    let scopes = match rows.iter().any(|(_, row)| leads(row)) && !json {
        true => fleet(config, &OperatorRequest::Scopes, PATIENCE / 5).ok(),
        false => None,
    };
    show(json, &rows, || {
        let mut text = String::new();
        for (place, row) in &rows {
            match row {
                Ok(s) => {
                    let heard = s.peers.iter().filter(|(_, _, heard)| *heard).count();
                    text += &format!(
                        "{place}: {} {} in term {}, committed {}, applied {}, version {}, digest {:016x}, {} vote",
                        s.id,
                        s.role,
                        s.term,
                        s.committed,
                        s.applied,
                        s.version,
                        s.digest,
                        s.voters.len()
                    );
                    if s.role == "Leader" {
                        text += &format!(", hears {heard} of {} others", s.peers.len());
                    }
                    s.excluded.iter().for_each(|why| text += &format!(", apart: {why}"));
                    text += "\n";
                }
                Err(what) => text += &format!("{place}: {what}\n"),
            }
        }
        if let Some(OperatorReply::Scopes(rows)) = &scopes
            && rows.iter().any(|row| row.scope != Scope::All)
        {
            let scoped = rows.iter().filter(|row| row.scope != Scope::All && row.bytes.is_some()).count();
            let behind = rows.iter().filter(|row| row.acting < row.members);
            let behind: Vec<String> = behind
                .map(|row| format!("{} of {} in {}", row.members - row.acting, row.members, row.scope))
                .collect();
            let behind = if behind.is_empty() { "nobody".to_string() } else { behind.join(", ") };
            text += &format!("scopes: settings for {scoped}, behind: {behind}\n");
        }
        text
    })
}

fn run(command: Command) -> Result<u8, String> {
    match command {
        Command::Serve(Serve { config, vouched }) => {
            let configuration = Configuration::read(&config)?;
            log(configuration.log);
            Daemon::start(configuration, vouched)?.run().map(|()| 0)
        }
        Command::Found(Found { config, anyway }) => found(&config, None, anyway),
        Command::Check(Check { config }) => {
            let configuration = Configuration::read(&config)?;
            configuration.template()?;
            let (place, count) = (configuration.place, configuration.daemons.len());
            println!(
                "place {place} of {count} of fleet {}, listens on {}",
                configuration.fleet, configuration.listen
            );
            if count % 2 == 0 {
                println!("warning: {count} daemons bear no more failures than {}", count - 1);
            }
            Ok(0)
        }
        Command::Status(Status { config, json }) => status(&config, json),
        Command::Members(Members { config, json }) => members(&config, json),
        Command::Get(Get { config, version, scope, member, json }) => {
            get(&config, version, scope, member, json)
        }
        Command::Budgets(ShowBudgets { config, json }) => {
            match fleet(&config, &OperatorRequest::Budgets, PATIENCE)? {
                OperatorReply::Budgets(rows) => show(json, &rows, || {
                    let row = |row: &appledyke_fleet::messages::BudgetRow| {
                        let b = &row.budget;
                        let over = if row.excess > 0 {
                            format!(", {} over until taken back", row.excess)
                        } else {
                            String::new()
                        };
                        format!(
                            "{}: whole {}, alone {} for each of {}, granted {} to {} holders, counted {}, free {}{over}\n",
                            b.resource,
                            b.quota,
                            b.standalone_share,
                            b.max_members,
                            row.granted,
                            row.holders,
                            row.reserved,
                            b.divisible().saturating_sub(row.reserved)
                        )
                    };
                    rows.iter().map(row).collect()
                }),
                other => unexpected(other),
            }
        }
        Command::Out(TakeEndpoint { config, name, anyway }) => endpoint(&config, name, true, anyway),
        Command::In(PutEndpoint { config, name }) => endpoint(&config, name, false, None),
        Command::Release(Release { what }) => release(what),
        Command::Agent(RunAgent { config, who }) => {
            let configuration = Configuration::read(&config)?;
            log(configuration.log);
            let daemons = configuration.daemons.iter().map(|daemon| (daemon.place, daemon.address)).collect();
            let (fleet, token) = (configuration.fleet.clone(), random()?);
            Agent { daemons, fleet, who, token }.run();
            Ok(0)
        }
        Command::Outs(ShowOuts { config, json }) => {
            match fleet(&config, &OperatorRequest::DrainedEndpoints, PATIENCE)? {
                OperatorReply::DrainedEndpoints(rows) => show(json, &rows, || {
                    let row = |(name, holders): &(String, Vec<String>)| match holders.len() {
                        0 => format!("{name}: empty\n"),
                        _ => format!("{name}: held, or not known to be empty, by {}\n", holders.join(", ")),
                    };
                    rows.iter().map(row).collect()
                }),
                other => unexpected(other),
            }
        }
        Command::Forget(Forget { config, name }) => {
            match fleet(&config, &OperatorRequest::Forget(name.clone()), PATIENCE)? {
                OperatorReply::Done => show(false, &(), || format!("{name} is no member any more")),
                other => unexpected(other),
            }
        }
        Command::Ended(Ended { config, name, incarnation }) => {
            match fleet(&config, &OperatorRequest::MarkEnded { name: name.clone(), incarnation }, PATIENCE)? {
                OperatorReply::Done => show(false, &(), || format!("what {name} held is free")),
                other => unexpected(other),
            }
        }
        Command::History(History { config, scope, json }) => history(&config, scope, json),
        Command::Put(Put { config, file, scope, expects, by, why, id, seconds, json }) => {
            let mut settings = String::new();
            let named = |e: std::io::Error| format!("{}: {e}", file.display());
            if file == Path::new("-") {
                if std::io::stdin().is_terminal() {
                    eprintln!("reading settings from standard input");
                }
                std::io::stdin().read_to_string(&mut settings).map_err(named)?;
            } else {
                settings = fs::read_to_string(&file).map_err(named)?;
            }
            // What is put for a scope has none of its own, and is refused as it stands.
            let (settings, budgets, groups) = match scope {
                Scope::All => parted(&settings)?,
                _ => (settings, Vec::new(), Vec::new()),
            };
            let wish = Wish { scope, expects, by, why, id, seconds, json };
            write(&config, SettingsChange::Put(settings, budgets, groups), wish)
        }
        Command::Rollback(Rollback { config, to, scope, expects, by, why, id, seconds, json }) => {
            write(&config, SettingsChange::Rollback(to), Wish { scope, expects, by, why, id, seconds, json })
        }
        Command::Remove(Remove { config, scope, expects, by, why, id, seconds, json }) => {
            write(&config, SettingsChange::Remove, Wish { scope, expects, by, why, id, seconds, json })
        }
        Command::Scopes(ShowScopes { config, json }) => {
            match fleet(&config, &OperatorRequest::Scopes, PATIENCE)? {
                OperatorReply::Scopes(rows) => {
                    show(json, &rows.iter().map(scope_row).collect::<Vec<_>>(), || {
                        if rows.is_empty() {
                            return "nothing was ever put".to_string();
                        }
                        rows.iter().map(scope_line).collect()
                    })
                }
                other => unexpected(other),
            }
        }
        Command::Backup(Backup { config, file }) => backup(&config, &file),
        Command::Restore(Restore { config, file, anyway }) => {
            let bytes = fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let state = Fleet::from_bytes(&bytes).map_err(|what| format!("{}: {what}", file.display()))?;
            let generation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            found(&config, Some(state.restored(generation)), anyway)
        }
        Command::HandOver(HandOver { config, to }) => {
            match fleet(&config, &OperatorRequest::TransferLeadership(to), PATIENCE)? {
                OperatorReply::Done => show(false, &(), || format!("place {to} is asked to lead")),
                other => unexpected(other),
            }
        }
        Command::TakeOut(TakeOut { config, place, anyway }) => {
            match fleet(&config, &OperatorRequest::RemoveReplica { replica: place, force: anyway }, PATIENCE)?
            {
                OperatorReply::Done => show(false, &(), || format!("place {place} votes no more")),
                other => unexpected(other),
            }
        }
        Command::Version(ShowVersion {}) => {
            println!("appledyke-daemon {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
    }
}

fn main() -> ExitCode {
    match run(argh::from_env::<Line>().command) {
        Ok(status) => ExitCode::from(status),
        Err(what) => {
            eprintln!("appledyke-daemon: {what}");
            ExitCode::FAILURE
        }
    }
}
