//! `appledyke-daemon`: runs a daemon of a fleet, and is the operators' command line to the fleet.

use std::collections::BTreeMap;
use std::fs;
use std::io::{IsTerminal, Read, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use appledyke_daemon::agent::Agent;
use appledyke_daemon::client;
use appledyke_daemon::configuration::{Configuration, LogFormat};
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

/// Exit codes of a write that was not committed.
const REFUSED: u8 = 1;
const UNKNOWN: u8 = 3;

/// A daemon that replicates what a fleet's processes agree on, and its command line
#[derive(FromArgs)]
struct Arguments {
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
    Out(DrainEndpoint),
    In(ReturnEndpoint),
    Outs(ShowDrained),
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

/// run the daemon until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// trust the folder to hold this daemon's latest state, and vote without checking with the other daemons first; never use
    /// it on a folder restored from a backup
    #[argh(switch)]
    vouched: bool,
}

/// create a new fleet with this daemon as its first replica; run once per fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "found")]
struct Found {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// even if another daemon serves this fleet already
    #[argh(switch)]
    anyway: bool,
}

/// check a configuration file and report errors
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
}

/// show the status of each daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// list the sidecars and their status
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// print the current settings, or those of a version
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// a settings version, such as 0.3
    #[argh(option)]
    version: Option<Version>,
    /// the settings of a scope: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// the settings of this member, merged from all scopes that it belongs to
    #[argh(option, long = "of")]
    member: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// put settings for the whole fleet or a scope; exit code 0: committed, 1: refused, 3: outcome unknown
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the settings file, or - for standard input: a JSON object whose keys replace those of each sidecar's own settings
    #[argh(positional)]
    file: PathBuf,
    /// the scope, if not the whole fleet: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// refuse unless this is the current version of the settings of the same scope
    #[argh(option)]
    expects: Option<Version>,
    /// the author of the change
    #[argh(option, default = "String::new()")]
    by: String,
    /// the reason
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to repeat a write whose outcome is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to keep trying
    #[argh(option, default = "10")]
    seconds: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show how each budget is divided: granted, reserved and free
#[derive(FromArgs)]
#[argh(subcommand, name = "budgets")]
struct ShowBudgets {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// take an endpoint out of service: every member treats it as draining, whatever the endpoint list says
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
struct DrainEndpoint {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the endpoint's name in the endpoint list
    #[argh(positional)]
    name: String,
    /// drain it even if the limits on drains forbid it; takes the reason
    #[argh(option)]
    anyway: Option<String>,
}

/// release another version to sidecars or endpoints step by step, with halt and rollback
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

/// check a release file against the fleet, and change nothing
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release file
    #[argh(positional)]
    file: PathBuf,
}

/// start a release
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct StartRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release file
    #[argh(positional)]
    file: PathBuf,
}

/// show the status of each release
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct ReleaseStatus {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// start no further steps of a release, and let those in progress finish
#[derive(FromArgs)]
#[argh(subcommand, name = "halt")]
struct HaltRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
    /// the reason
    #[argh(option, default = "\"an operator's word\".to_string()")]
    why: String,
}

/// resume a halted release
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
struct ResumeRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// roll back: return what has been moved to the old version, the last moved first
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
struct BackRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// record the outcome of a release step whose action ended without a known result
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
struct SettleRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
    /// the sidecar or endpoint of the step
    #[argh(positional)]
    who: String,
    /// the step reached its target version; without this flag it did not
    #[argh(switch)]
    moved: bool,
}

/// end a release as it is; refused while a step is in progress
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct EndRelease {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the release's name
    #[argh(positional)]
    name: String,
}

/// run the commands of releases for a sidecar or an endpoint, until killed
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct RunAgent {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the sidecar or endpoint, by its name in the release
    #[argh(positional)]
    who: String,
}

/// put an endpoint back into service
#[derive(FromArgs)]
#[argh(subcommand, name = "in")]
struct ReturnEndpoint {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the endpoint's name in the endpoint list
    #[argh(positional)]
    name: String,
}

/// list the endpoints that are out of service, and the members that may still use them
#[derive(FromArgs)]
#[argh(subcommand, name = "outs")]
struct ShowDrained {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// remove a member that will not return; its groups shrink by it
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
struct Forget {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the member's name
    #[argh(positional)]
    name: String,
}

/// confirm that a process of a member has ended, which frees what it held of budgets without a window, such as connections
#[derive(FromArgs)]
#[argh(subcommand, name = "ended")]
struct Ended {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the member's name
    #[argh(positional)]
    name: String,
    /// the incarnation of the process, as shown by `members`
    #[argh(positional)]
    incarnation: u64,
}

/// list the settings versions in the history
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the scope, if not the whole fleet: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// put the settings of an earlier version again, as a new version
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the earlier version
    #[argh(positional)]
    to: Version,
    /// the scope, if not the whole fleet: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for", default = "Scope::All")]
    scope: Scope,
    /// refuse unless this is the current version of the settings of the same scope
    #[argh(option)]
    expects: Option<Version>,
    /// the author of the change
    #[argh(option, default = "String::new()")]
    by: String,
    /// the reason
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to repeat a write whose outcome is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to keep trying
    #[argh(option, default = "10")]
    seconds: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// remove the settings of a scope; exit code 0: committed, 1: refused, 3: outcome unknown
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the scope: region=…, zone=…, service=… or member=…
    #[argh(option, long = "for")]
    scope: Scope,
    /// refuse unless this is the current version of the settings of the same scope
    #[argh(option)]
    expects: Option<Version>,
    /// the author of the change
    #[argh(option, default = "String::new()")]
    by: String,
    /// the reason
    #[argh(option, default = "String::new()")]
    why: String,
    /// the write's id, to repeat a write whose outcome is unknown
    #[argh(option)]
    id: Option<String>,
    /// seconds to keep trying
    #[argh(option, default = "10")]
    seconds: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// list the scopes with settings: version, bytes, members, and how many members have applied them
#[derive(FromArgs)]
#[argh(subcommand, name = "scopes")]
struct ShowScopes {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// write the fleet's whole replicated state to a file
#[derive(FromArgs)]
#[argh(subcommand, name = "backup")]
struct Backup {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the file, which must not exist yet
    #[argh(positional)]
    file: PathBuf,
}

/// create the fleet again from a backup, in this daemon's empty folder
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
struct Restore {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the backup file
    #[argh(positional)]
    file: PathBuf,
    /// even if another daemon still serves this fleet
    #[argh(switch)]
    anyway: bool,
}

/// transfer leadership to another daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "hand-over")]
struct HandOver {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the place of the daemon that is to lead
    #[argh(positional)]
    to: u16,
}

/// remove a daemon from the voters, for a machine that will not return
#[derive(FromArgs)]
#[argh(subcommand, name = "take-out")]
struct TakeOut {
    /// path of the daemon's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the place of the daemon to remove
    #[argh(positional)]
    place: u16,
    /// even if the remaining voters can bear no further failure
    #[argh(switch)]
    anyway: bool,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct ShowVersion {}

/// Timeout of a request to the fleet.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn init_logging(format: LogFormat) {
    let out = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).with_ansi(false);
    match format {
        LogFormat::Text => out.without_time().init(),
        LogFormat::Json => out.json().flatten_event(true).init(),
    }
}

fn ask_fleet(config: &Path, request: &OperatorRequest, timeout: Duration) -> Result<OperatorReply, String> {
    let configuration = Configuration::read(config)?;
    let daemons = configuration.daemons.iter().map(|daemon| (daemon.replica_id, daemon.address)).collect();
    client::ask_fleet(&daemons, &configuration.fleet, request, timeout)
}

fn print_output(json: bool, value: &impl Serialize, text: impl FnOnce() -> String) -> Result<u8, String> {
    let text = if json { serde_json::to_string(value).map_err(|e| e.to_string())? } else { text() };
    // An error means that the reader closed the pipe.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    Ok(0)
}

fn unexpected_reply(reply: OperatorReply) -> Result<u8, String> {
    match reply {
        OperatorReply::Refused(why) | OperatorReply::Invalid(why) => Err(format!("refused: {why}")),
        other => Err(format!("unexpected reply: {other:?}")),
    }
}

/// Splits a settings file into the settings, and the budgets and groups that it holds under keys of their own.
fn split_settings(text: &str) -> Result<(String, Vec<Budget>, Vec<Group>), String> {
    let mut file: serde_json::Value = match serde_json::from_str(text) {
        Ok(file) => file,
        // The daemon reports what is wrong with the file.
        Err(_) => return Ok((text.to_string(), Vec::new(), Vec::new())),
    };
    let settings_only = file.get("budgets").is_none() && file.get("groups").is_none();
    let mut take = |key: &str| file.as_object_mut().and_then(|file| file.remove(key));
    let (budgets, groups) = (take("budgets").unwrap_or_else(|| serde_json::json!([])), take("groups"));
    let groups = groups.unwrap_or_else(|| serde_json::json!([]));
    let groups: Vec<Group> = serde_path_to_error::deserialize(groups)
        .map_err(|e| format!("groups.{}: {}", e.path(), e.inner()))?;
    let budgets: Vec<Budget> = serde_path_to_error::deserialize(budgets)
        .map_err(|e| format!("budgets.{}: {}", e.path(), e.inner()))?;
    // A file without budgets and groups keeps its formatting.
    let settings = if settings_only { text.to_string() } else { file.to_string() };
    Ok((settings, budgets, groups))
}

fn plan(file: &Path) -> Result<Plan, String> {
    let with_path = |what: String| format!("{}: {what}", file.display());
    let text = fs::read_to_string(file).map_err(|e| with_path(e.to_string()))?;
    let reader = toml::Deserializer::parse(&text).map_err(|e| with_path(e.message().to_string()))?;
    let plan: Plan = serde_path_to_error::deserialize(reader)
        .map_err(|e| with_path(format!("{}: {}", e.path(), e.inner().message())))?;
    plan.check().map_err(with_path)?;
    if let Some(action) = &plan.action
        && !Path::new(&action.command[0]).is_file()
    {
        return Err(with_path(format!("action.command: there is no program {}", action.command[0])));
    }
    Ok(plan)
}

fn send_release_update(config: &Path, update: ReleaseUpdate, done: &str) -> Result<u8, String> {
    match ask_fleet(config, &OperatorRequest::Release(update), REQUEST_TIMEOUT)? {
        OperatorReply::Done => print_output(false, &(), || done.to_string()),
        OperatorReply::Unknown(why) => {
            eprintln!("unknown: {why}; repeat the command: it takes effect once");
            Ok(UNKNOWN)
        }
        other => unexpected_reply(other),
    }
}

fn release(command: ReleaseCommand) -> Result<u8, String> {
    match command {
        ReleaseCommand::Check(CheckRelease { config, file }) => {
            let plan = plan(&file)?;
            let OperatorReply::Settings(written) =
                ask_fleet(&config, &OperatorRequest::Get(None), REQUEST_TIMEOUT)?
            else {
                return Err("the fleet has no settings".to_string());
            };
            let OperatorReply::Members(members) =
                ask_fleet(&config, &OperatorRequest::Members, REQUEST_TIMEOUT)?
            else {
                return Err("the fleet did not list its members".to_string());
            };
            let groups = written.map(|written| written.groups).unwrap_or_default();
            let in_group =
                |row: &MemberRow| row.groups.contains(&plan.group) && row.status != MemberStatus::Gone;
            let members = members.into_iter().filter(in_group).map(|row| row.name).collect();
            let (targets, limit) = plan.check_against(&groups, members)?;
            let count = if plan.order.is_empty() { targets.len() } else { plan.order.len() };
            print_output(false, &(), || {
                format!(
                    "{}: {count} of {} in {} from {} to {}, {limit} at once",
                    plan.name,
                    targets.len(),
                    plan.group,
                    plan.from,
                    plan.to
                )
            })
        }
        ReleaseCommand::Start(StartRelease { config, file }) => {
            let plan = plan(&file)?;
            let done = format!("{} has started; see release status", plan.name);
            send_release_update(
                &config,
                ReleaseUpdate::Start(Box::new(plan), RequestCounts::default()),
                &done,
            )
        }
        ReleaseCommand::Status(ReleaseStatus { config, json }) => {
            match ask_fleet(&config, &OperatorRequest::Releases, REQUEST_TIMEOUT)? {
                OperatorReply::Releases(releases, runs) => print_output(json, &(&releases, &runs), || {
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
                other => unexpected_reply(other),
            }
        }
        ReleaseCommand::Halt(HaltRelease { config, name, why }) => {
            let done = format!("{name} has halted");
            send_release_update(&config, ReleaseUpdate::Halt { release: name, why, worse: false }, &done)
        }
        ReleaseCommand::Resume(ResumeRelease { config, name }) => {
            let done = format!("{name} goes on");
            send_release_update(&config, ReleaseUpdate::Resume(name), &done)
        }
        ReleaseCommand::Back(BackRelease { config, name }) => {
            let done = format!("{name} goes back");
            send_release_update(&config, ReleaseUpdate::Rollback(name), &done)
        }
        ReleaseCommand::Settle(SettleRelease { config, name, who, moved }) => {
            let OperatorReply::Releases(releases, _) =
                ask_fleet(&config, &OperatorRequest::Releases, REQUEST_TIMEOUT)?
            else {
                return Err("the fleet did not list its releases".to_string());
            };
            let release = releases.iter().find(|release| release.plan.name == name);
            let transition = release.and_then(|release| release.steps.get(&who)?.transition);
            let Some(transition) = transition else {
                return Err(format!("{who} has no step in progress in {name}"));
            };
            let done = format!("the step of {who} is settled");
            send_release_update(
                &config,
                ReleaseUpdate::FinishTransition {
                    release: name,
                    target: who,
                    started_at: transition.started_at,
                    reached: moved,
                },
                &done,
            )
        }
        ReleaseCommand::End(EndRelease { config, name }) => {
            let done = format!("{name} has ended");
            send_release_update(&config, ReleaseUpdate::End(name, "by an operator".to_string()), &done)
        }
    }
}

fn endpoint(config: &Path, name: String, out: bool, anyway: Option<String>) -> Result<u8, String> {
    match ask_fleet(
        config,
        &OperatorRequest::Endpoint { name: name.clone(), out, force: anyway },
        REQUEST_TIMEOUT,
    )? {
        OperatorReply::Done if out => {
            print_output(false, &(), || format!("{name} is out of service; outs shows when it is empty"))
        }
        OperatorReply::Done => {
            print_output(false, &(), || format!("{name} is in service, if the list has it"))
        }
        other => unexpected_reply(other),
    }
}

fn random_u64() -> Result<u64, String> {
    getrandom::u64().map_err(|e| format!("no random number: {e}"))
}

struct WriteOptions {
    scope: Scope,
    expects: Option<Version>,
    by: String,
    why: String,
    id: Option<String>,
    seconds: u64,
    json: bool,
}

fn write(config: &Path, what: SettingsChange, options: WriteOptions) -> Result<u8, String> {
    let id = match &options.id {
        None => WriteId(random_u64()?, random_u64()?),
        Some(text) => {
            let parts =
                text.split_once('-').map(|(a, b)| (u64::from_str_radix(a, 16), u64::from_str_radix(b, 16)));
            let Some((Ok(one), Ok(other))) = parts else {
                return Err(format!("--id: expected an id as printed by an earlier command, not '{text}'"));
            };
            WriteId(one, other)
        }
    };
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let by = if options.by.is_empty() { std::env::var("USER").unwrap_or_default() } else { options.by };
    let write =
        Write { id, expected_version: options.expects, author: by, reason: options.why, at_ms, change: what };
    // A write for the whole fleet uses the request that daemons of an older version know too.
    let request = match options.scope.clone() {
        Scope::All => OperatorRequest::Write(write),
        scope => OperatorRequest::WriteScoped { scope, write },
    };
    // Danger: only a write that no daemon can have accepted is refused for certain. One that a daemon may have accepted may
    // still take effect, so its outcome is unknown.
    let reply = ask_fleet(config, &request, Duration::from_secs(options.seconds));
    let id = format!("{:x}-{:x}", id.0, id.1);
    let (outcome, detail, status) = match reply {
        Ok(OperatorReply::Committed(version)) => ("committed", version.to_string(), 0),
        Ok(OperatorReply::Refused(why) | OperatorReply::Invalid(why)) => ("refused", why, REFUSED),
        Ok(OperatorReply::Unknown(why)) => ("unknown", why, UNKNOWN),
        Err(why) => ("refused", why, REFUSED),
        Ok(other) => return unexpected_reply(other),
    };
    let mut output = serde_json::json!({"outcome": outcome, "detail": detail, "id": id});
    let mut more = String::new();
    if outcome == "committed"
        && options.scope != Scope::All
        && let Ok(OperatorReply::Scopes(rows)) = ask_fleet(config, &OperatorRequest::Scopes, REQUEST_TIMEOUT)
        && let Some(row) = rows.iter().find(|row| row.scope == options.scope)
    {
        output["members"] = row.members.into();
        if row.members == 0 {
            more = format!("\nnobody that is heard now belongs to {}", options.scope);
        }
    }
    print_output(options.json, &output, || match outcome {
        "unknown" => format!("unknown: {detail}\nrepeat it with --id {id}: it takes effect once"),
        _ => format!("{outcome}: {detail}{more}"),
    })?;
    Ok(status)
}

/// Refuses if another daemon already serves this fleet: a second fleet of the same name would have a state of its own.
fn ensure_no_other_daemon_serves(configuration: &Configuration, anyway: bool) -> Result<(), String> {
    for (place, at) in configuration.other_daemons() {
        let mut sent = false;
        if let Ok(OperatorReply::Status(status)) = client::ask_daemon(
            at,
            &configuration.fleet,
            &OperatorRequest::Status,
            REQUEST_TIMEOUT / 10,
            &mut sent,
        ) && !status.voters.is_empty()
            && !anyway
        {
            return Err(format!(
                "place {place} at {at} serves fleet {} already: serve with an empty folder to join it; \
                 pass --anyway to create a second fleet of this name",
                configuration.fleet
            ));
        }
    }
    Ok(())
}

fn create_fleet(config: &Path, state: Option<Fleet>, anyway: bool) -> Result<u8, String> {
    let configuration = Configuration::read(config)?;
    configuration.template()?;
    ensure_no_other_daemon_serves(&configuration, anyway)?;
    let (mut folder, persisted, _) =
        Folder::open(&configuration.folder, &configuration.fleet, configuration.replica_id)
            .map_err(|e| e.to_string())?;
    folder.bootstrap(&persisted, state).map_err(|e| e.to_string())?;
    println!("fleet {} created with replica {}; the other daemons join it", configuration.fleet, folder.id);
    Ok(0)
}

fn backup(config: &Path, file: &Path) -> Result<u8, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
    let reply = ask_fleet(config, &OperatorRequest::Backup, REQUEST_TIMEOUT)?;
    let OperatorReply::Backup(bytes) = reply else { return unexpected_reply(reply) };
    let mut out = fs::OpenOptions::new().write(true).create_new(true).open(file).map_err(with_path)?;
    out.write_all(&bytes).and_then(|()| out.sync_all()).map_err(with_path)?;
    let fleet = Fleet::from_bytes(&bytes)?;
    println!(
        "version {}, {} members, up to entry {}",
        fleet.version(),
        fleet.members().len(),
        fleet.applied()
    );
    Ok(0)
}

/// A member's locality for the text output; empty for a member without one.
fn locality_line(locality: &Locality) -> String {
    let Locality { service, zone, region } = locality;
    let named = [("service", service), ("zone", zone), ("region", region)];
    named.into_iter().filter_map(|(key, name)| Some(format!(" {key}={}", name.as_ref()?))).collect()
}

fn members(config: &Path, json: bool) -> Result<u8, String> {
    let rows = match ask_fleet(config, &OperatorRequest::Members, REQUEST_TIMEOUT)? {
        OperatorReply::Members(rows) => rows,
        other => return unexpected_reply(other),
    };
    // A daemon of an older version does not support this request.
    let localities: BTreeMap<String, Locality> =
        match ask_fleet(config, &OperatorRequest::Localities, REQUEST_TIMEOUT / 5) {
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
    let output: Vec<Row> = rows.iter().map(|row| Row { row, belongs: belongs(row) }).collect();
    print_output(json, &output, || {
        let line = |row: &MemberRow| {
            let version = row.version.map_or("-".to_string(), |version| version.to_string());
            let (name, status) = (&row.name, row.status.name());
            let belongs = belongs(row).map(locality_line).unwrap_or_default();
            format!("{name} {status} version {version} incarnation {}{belongs}\n", row.incarnation)
        };
        rows.iter().map(line).collect()
    })
}

/// A scope's row for JSON output, with the scope as it is named on the command line.
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
            return Err("--of: cannot be combined with --version or --for".to_string());
        }
        return match ask_fleet(config, &OperatorRequest::MemberSettings(name.clone()), REQUEST_TIMEOUT)? {
            OperatorReply::Merged(Some(merged)) => {
                if merged.locality.is_none() {
                    eprintln!("{name} has not reported its locality");
                }
                let of: Vec<_> =
                    merged.sources.iter().map(|(of, version)| (of.to_string(), version)).collect();
                let output = serde_json::json!({"version": merged.version, "settings": merged.settings,
                    "belongs": merged.locality, "of": of});
                print_output(json, &output, || merged.settings.clone())
            }
            OperatorReply::Merged(None) => Err(format!("{name} is not a member, or no settings apply to it")),
            other => unexpected_reply(other),
        };
    }
    let none = Err("there are no such settings".to_string());
    match scope {
        Scope::All => match ask_fleet(config, &OperatorRequest::Get(version), REQUEST_TIMEOUT)? {
            OperatorReply::Settings(Some(written)) => {
                print_output(json, &written, || written.settings.clone())
            }
            OperatorReply::Settings(None) => none,
            other => unexpected_reply(other),
        },
        scope => {
            match ask_fleet(
                config,
                &OperatorRequest::GetScoped { scope: scope.clone(), version },
                REQUEST_TIMEOUT,
            )? {
                OperatorReply::Scoped(Some(scoped)) => match &scoped.settings {
                    Some(settings) => print_output(json, &scoped, || settings.clone()),
                    None if json => print_output(json, &scoped, String::new),
                    None => {
                        Err(format!("what was put for {scope} was removed with version {}", scoped.version))
                    }
                },
                OperatorReply::Scoped(None) => none,
                other => unexpected_reply(other),
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
        Scope::All => match ask_fleet(config, &OperatorRequest::History, REQUEST_TIMEOUT)? {
            OperatorReply::History(rows) => print_output(json, &rows, || {
                rows.iter()
                    .map(|w| line(w.version, w.rollback_to, "", &w.author, w.at_ms, &w.reason))
                    .collect()
            }),
            other => unexpected_reply(other),
        },
        scope => match ask_fleet(config, &OperatorRequest::ScopeHistory(scope), REQUEST_TIMEOUT)? {
            OperatorReply::ScopeHistory(rows) => print_output(json, &rows, || {
                let row = |s: &ScopedSettings| {
                    let removed = if s.settings.is_none() { " removed" } else { "" };
                    line(s.version, s.rollback_to, removed, &s.author, s.at_ms, &s.reason)
                };
                rows.iter().map(row).collect()
            }),
            other => unexpected_reply(other),
        },
    }
}

fn status(config: &Path, json: bool) -> Result<u8, String> {
    let configuration = Configuration::read(config)?;
    let mut rows = Vec::new();
    for daemon in &configuration.daemons {
        let mut sent = false;
        let reply = client::ask_daemon(
            daemon.address,
            &configuration.fleet,
            &OperatorRequest::Status,
            REQUEST_TIMEOUT / 5,
            &mut sent,
        );
        rows.push((
            daemon.replica_id,
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
    // Only the leader knows the scopes; without a leader the request would wait in vain.
    let scopes = match rows.iter().any(|(_, row)| leads(row)) && !json {
        true => ask_fleet(config, &OperatorRequest::Scopes, REQUEST_TIMEOUT / 5).ok(),
        false => None,
    };
    print_output(json, &rows, || {
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
            init_logging(configuration.log);
            Daemon::start(configuration, vouched)?.run().map(|()| 0)
        }
        Command::Found(Found { config, anyway }) => create_fleet(&config, None, anyway),
        Command::Check(Check { config }) => {
            let configuration = Configuration::read(&config)?;
            configuration.template()?;
            let (place, count) = (configuration.replica_id, configuration.daemons.len());
            println!(
                "place {place} of {count} of fleet {}, listens on {}",
                configuration.fleet, configuration.listen
            );
            if count % 2 == 0 {
                println!("warning: {count} daemons tolerate no more failures than {}", count - 1);
            }
            Ok(0)
        }
        Command::Status(Status { config, json }) => status(&config, json),
        Command::Members(Members { config, json }) => members(&config, json),
        Command::Get(Get { config, version, scope, member, json }) => {
            get(&config, version, scope, member, json)
        }
        Command::Budgets(ShowBudgets { config, json }) => {
            match ask_fleet(&config, &OperatorRequest::Budgets, REQUEST_TIMEOUT)? {
                OperatorReply::Budgets(rows) => print_output(json, &rows, || {
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
                other => unexpected_reply(other),
            }
        }
        Command::Out(DrainEndpoint { config, name, anyway }) => endpoint(&config, name, true, anyway),
        Command::In(ReturnEndpoint { config, name }) => endpoint(&config, name, false, None),
        Command::Release(Release { what }) => release(what),
        Command::Agent(RunAgent { config, who }) => {
            let configuration = Configuration::read(&config)?;
            init_logging(configuration.log);
            let daemons =
                configuration.daemons.iter().map(|daemon| (daemon.replica_id, daemon.address)).collect();
            let (fleet, token) = (configuration.fleet.clone(), random_u64()?);
            Agent { daemons, fleet, target: who, token }.run();
            Ok(0)
        }
        Command::Outs(ShowDrained { config, json }) => {
            match ask_fleet(&config, &OperatorRequest::DrainedEndpoints, REQUEST_TIMEOUT)? {
                OperatorReply::DrainedEndpoints(rows) => print_output(json, &rows, || {
                    let row = |(name, holders): &(String, Vec<String>)| match holders.len() {
                        0 => format!("{name}: empty\n"),
                        _ => format!("{name}: held, or not known to be empty, by {}\n", holders.join(", ")),
                    };
                    rows.iter().map(row).collect()
                }),
                other => unexpected_reply(other),
            }
        }
        Command::Forget(Forget { config, name }) => {
            match ask_fleet(&config, &OperatorRequest::Forget(name.clone()), REQUEST_TIMEOUT)? {
                OperatorReply::Done => print_output(false, &(), || format!("{name} is no longer a member")),
                other => unexpected_reply(other),
            }
        }
        Command::Ended(Ended { config, name, incarnation }) => {
            match ask_fleet(
                &config,
                &OperatorRequest::MarkEnded { name: name.clone(), incarnation },
                REQUEST_TIMEOUT,
            )? {
                OperatorReply::Done => print_output(false, &(), || format!("what {name} held is free")),
                other => unexpected_reply(other),
            }
        }
        Command::History(History { config, scope, json }) => history(&config, scope, json),
        Command::Put(Put { config, file, scope, expects, by, why, id, seconds, json }) => {
            let mut settings = String::new();
            let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
            if file == Path::new("-") {
                if std::io::stdin().is_terminal() {
                    eprintln!("reading settings from standard input");
                }
                std::io::stdin().read_to_string(&mut settings).map_err(with_path)?;
            } else {
                settings = fs::read_to_string(&file).map_err(with_path)?;
            }
            // Settings of a scope have no budgets or groups; the daemon refuses a file that holds them.
            let (settings, budgets, groups) = match scope {
                Scope::All => split_settings(&settings)?,
                _ => (settings, Vec::new(), Vec::new()),
            };
            let options = WriteOptions { scope, expects, by, why, id, seconds, json };
            write(&config, SettingsChange::Put(settings, budgets, groups), options)
        }
        Command::Rollback(Rollback { config, to, scope, expects, by, why, id, seconds, json }) => write(
            &config,
            SettingsChange::Rollback(to),
            WriteOptions { scope, expects, by, why, id, seconds, json },
        ),
        Command::Remove(Remove { config, scope, expects, by, why, id, seconds, json }) => write(
            &config,
            SettingsChange::Remove,
            WriteOptions { scope, expects, by, why, id, seconds, json },
        ),
        Command::Scopes(ShowScopes { config, json }) => {
            match ask_fleet(&config, &OperatorRequest::Scopes, REQUEST_TIMEOUT)? {
                OperatorReply::Scopes(rows) => {
                    print_output(json, &rows.iter().map(scope_row).collect::<Vec<_>>(), || {
                        if rows.is_empty() {
                            return "nothing was ever put".to_string();
                        }
                        rows.iter().map(scope_line).collect()
                    })
                }
                other => unexpected_reply(other),
            }
        }
        Command::Backup(Backup { config, file }) => backup(&config, &file),
        Command::Restore(Restore { config, file, anyway }) => {
            let bytes = fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let state = Fleet::from_bytes(&bytes).map_err(|what| format!("{}: {what}", file.display()))?;
            let generation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            create_fleet(&config, Some(state.restored(generation)), anyway)
        }
        Command::HandOver(HandOver { config, to }) => {
            match ask_fleet(&config, &OperatorRequest::TransferLeadership(to), REQUEST_TIMEOUT)? {
                OperatorReply::Done => print_output(false, &(), || format!("place {to} is asked to lead")),
                other => unexpected_reply(other),
            }
        }
        Command::TakeOut(TakeOut { config, place, anyway }) => {
            match ask_fleet(
                &config,
                &OperatorRequest::RemoveReplica { replica: place, force: anyway },
                REQUEST_TIMEOUT,
            )? {
                OperatorReply::Done => {
                    print_output(false, &(), || format!("place {place} is no longer a voter"))
                }
                other => unexpected_reply(other),
            }
        }
        Command::Version(ShowVersion {}) => {
            println!("appledyke-daemon {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
    }
}

fn main() -> ExitCode {
    match run(argh::from_env::<Arguments>().command) {
        Ok(status) => ExitCode::from(status),
        Err(what) => {
            eprintln!("appledyke-daemon: {what}");
            ExitCode::FAILURE
        }
    }
}
