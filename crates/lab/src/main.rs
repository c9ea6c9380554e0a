//! The laboratory's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::available_parallelism;
use std::time::{Duration, Instant};

use appledyke_lab::faults::Faults;
use appledyke_lab::policy::PolicyKind;
use appledyke_lab::releases::{self, Candidate};
use appledyke_lab::report::{Outcomes, paired};
use appledyke_lab::rig::processes::beside;
use appledyke_lab::scenario::Scenario;
use appledyke_lab::{added, chain, cold, emulate, load, rig, scale, scenario, simulate, soak, sweep};
use argh::FromArgs;

/// A laboratory for appledyke: plays fleets and their faults in virtual time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Simulate(Simulate),
    Report(Report),
    Compare(Compare),
    Sweep(Sweep),
    Check(Check),
    Emulate(Emulate),
    Load(Load),
    Fleet(Fleet),
    Measure(Measure),
    Releases(Releases),
    Added(Added),
    Scale(Scale),
    Hollow(Hollow),
    Lists(Lists),
    Chain(Chain),
    Cold(Cold),
    Soak(Soak),
}

/// plays a scenario once and tells what it came to
#[derive(FromArgs)]
#[argh(subcommand, name = "simulate")]
struct Simulate {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// module, random or least-of-two
    #[argh(option, default = "\"module\".to_string()")]
    policy: String,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
}

/// tells of a result file, and draws it
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct Report {
    /// the result's file
    #[argh(positional)]
    result: PathBuf,
    /// a file for the drawing, as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// plays two policies on the same seeds, or compares the result files of two builds, in pairs
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the scenario's file; or two folders of result files, paired by their names
    #[argh(positional)]
    what: Vec<PathBuf>,
    /// the policies, apart by a comma
    #[argh(option, default = "\"module,least-of-two\".to_string()")]
    policies: String,
    /// how many seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// times the scenario's size: sidecars, endpoints, budgets and load grow together
    #[argh(option, default = "1")]
    size: usize,
    /// plays the module twice, with the scenario's budgets divided and cut
    #[argh(switch)]
    budgets: bool,
    /// for tools
    #[argh(switch)]
    json: bool,
}

/// plays seeds and sizes on all cores, and writes each result
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
struct Sweep {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// module, random or least-of-two
    #[argh(option, default = "\"module\".to_string()")]
    policy: String,
    /// how many seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// times the scenario's size, apart by commas: sidecars, endpoints and load grow together
    #[argh(option, default = "\"1\".to_string()")]
    sizes: String,
    /// threads; all cores if not said
    #[argh(option)]
    workers: Option<usize>,
    /// a folder for the results
    #[argh(option)]
    out: Option<PathBuf>,
}

/// plays a scenario of several real processes, strikes them, and judges from outside
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// the daemon's program; beside this one if not said
    #[argh(option)]
    daemon: Option<PathBuf>,
    /// the sidecar's program; beside this one if not said
    #[argh(option)]
    sidecar: Option<PathBuf>,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
    /// a folder for what the processes kept, in the end
    #[argh(option)]
    keep_logs: Option<PathBuf>,
}

/// measures a fleet's daemons as real processes: a line of JSON a figure
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// commits, elections, recovery, members, holders, returns or budgets
    #[argh(positional)]
    what: String,
    /// how many: puts, rounds, entries or members
    #[argh(option, default = "100")]
    count: usize,
    /// budgets, for holders: one to six
    #[argh(option, default = "1")]
    budgets: usize,
    /// entries between two snapshots, for recovery
    #[argh(option, default = "512")]
    compact_every: u64,
}

/// plays releases of candidates of each kind in virtual time, on many seeds
#[derive(FromArgs)]
#[argh(subcommand, name = "releases")]
struct Releases {
    /// sidecars, apart by commas
    #[argh(option, default = "\"300\".to_string()")]
    sidecars: String,
    /// how many seeds
    #[argh(option, default = "20")]
    seeds: u64,
    /// for tools: a line of JSON a run
    #[argh(switch)]
    json: bool,
}

/// measures what a sidecar adds to a call, in pairs with the same calls made direct
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
struct Added {
    /// calls a second, apart by commas
    #[argh(option, default = "\"258,1000,2580,5000,10000,15000,20000\".to_string()")]
    rates: String,
    /// lengths of the service's list, apart by commas
    #[argh(option, default = "\"6,60,1200\".to_string()")]
    endpoints: String,
    /// seconds for each way, rate and round
    #[argh(option, default = "1.5")]
    seconds: f64,
    /// how many rounds
    #[argh(option, default = "3")]
    rounds: usize,
    /// how many sidecars share the list, as the settings say: each keeps to its part of a long one
    #[argh(option, default = "1")]
    instances: u64,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// most that may be added for 99 in 100 calls, in milliseconds; exit 1 where a row is over it or void
    #[argh(option)]
    most_ms: Option<f64>,
    /// the sidecar's program; beside this one if not said
    #[argh(option)]
    sidecar: Option<PathBuf>,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
}

/// plays calls many tiers deep in virtual time, the lowest failing by half, and tells how attempts multiply
#[derive(FromArgs)]
#[argh(subcommand, name = "chain")]
struct Chain {
    /// how many tiers call one another
    #[argh(option, default = "14")]
    tiers: usize,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// threads; all cores if not said
    #[argh(option)]
    workers: Option<usize>,
}

/// soaks real sidecars on loopback in seeded faults, and holds the rules against what clients and endpoints saw
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct Soak {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, from that one on
    #[argh(option, default = "1")]
    seeds: u64,
    /// seeds that are played side by side
    #[argh(option, default = "3")]
    workers: usize,
    /// the sidecar program; without it, the one beside this program
    #[argh(option)]
    sidecar: Option<PathBuf>,
    /// a file that gets the plan and the logs of each seed that broke something
    #[argh(option)]
    out: Option<PathBuf>,
}

/// plays one cold endpoint before many instances in virtual time: what all send to it against what it bears
#[derive(FromArgs)]
#[argh(subcommand, name = "cold")]
struct Cold {
    /// of the capacity of the warm endpoints that the steady traffic takes
    #[argh(option, default = "0.7")]
    load: f64,
    /// instances, apart by commas
    #[argh(option, default = "\"5,20,30,300\".to_string()")]
    instances: String,
    /// how many seeds
    #[argh(option, default = "50")]
    seeds: u64,
    /// for tools: a line of JSON a case
    #[argh(switch)]
    json: bool,
}

/// reads a scenario, and names the key that is at fault
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
}

/// plays a scenario on loopback sockets, with real sidecars
#[derive(FromArgs)]
#[argh(subcommand, name = "emulate")]
struct Emulate {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// the sidecar's program
    #[argh(option, default = "PathBuf::from(\"target/release/appledyke-sidecar\")")]
    sidecar: PathBuf,
    /// a folder for the sidecars' configurations
    #[argh(option, default = "std::env::temp_dir().join(\"appledyke-lab\")")]
    folder: PathBuf,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
}

/// offers a scenario's load to sidecars that run already, on loopback addresses only
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct Load {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// where they listen, apart by commas
    #[argh(option)]
    to: String,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
}

/// plays a fleet of real daemons and some real sidecars, filled up with hollow members, at several sizes
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// the scenario's file
    #[argh(positional)]
    scenario: PathBuf,
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
    /// a file for the result, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
    /// a file for the drawing
    #[argh(option)]
    svg: Option<PathBuf>,
    /// sizes in place of the scenario's, by commas
    #[argh(option)]
    sizes: Option<String>,
    /// how often each size is run, in place of the scenario's
    #[argh(option)]
    rounds: Option<usize>,
}

/// runs hollow members, as its standard input says: a part of a scale run
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
struct Hollow {}

/// serves lists of endpoints, as its standard input says: a part of a scale run
#[derive(FromArgs)]
#[argh(subcommand, name = "lists")]
struct Lists {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::Simulate(asked) => simulate_once(asked),
        Command::Report(asked) => report(asked),
        Command::Compare(asked) => compare(asked),
        Command::Sweep(asked) => sweep_all(asked),
        Command::Emulate(asked) => emulate_once(asked),
        Command::Load(asked) => load_once(asked),
        Command::Fleet(asked) => fleet_once(asked),
        Command::Measure(asked) => measure_once(asked),
        Command::Releases(asked) => releases_all(asked),
        Command::Added(asked) => added_measured(asked),
        Command::Scale(asked) => scale_once(asked),
        Command::Hollow(_) => scale::hollow::serve().map(|()| true),
        Command::Lists(_) => scale::lists::serve().map(|()| true),
        Command::Chain(asked) => {
            let workers = asked.workers.unwrap_or_else(cores);
            chain::table(asked.tiers, asked.seed, workers).map(|text| print!("{text}")).map(|()| true)
        }
        Command::Cold(asked) => cold_all(asked),
        Command::Soak(asked) => soak_all(&asked),
        Command::Check(asked) => Scenario::read(&asked.scenario).map(|_| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        // A broken rule.
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("{what}");
            ExitCode::from(2)
        }
    }
}

/// Writes a file whole or not at all.
fn write(path: &Path, text: &str) -> Result<(), String> {
    let named = |e: std::io::Error| format!("{}: {e}", path.display());
    let beside = path.with_extension("part");
    std::fs::write(&beside, text).map_err(named)?;
    std::fs::rename(&beside, path).map_err(named)
}

fn fleet_once(asked: Fleet) -> Result<bool, String> {
    let scenario = rig::play::Scenario::read(&asked.scenario)?;
    let daemon = asked.daemon.map_or_else(|| beside("appledyke-daemon"), Ok)?;
    let sidecar = asked.sidecar.map_or_else(|| beside("appledyke-sidecar"), Ok)?;
    let folder = std::env::temp_dir().join(format!("appledyke-fleet-{}", std::process::id()));
    let base = include_str!("../../../examples/sidecar.json");
    let place = rig::play::Place { daemon: &daemon, sidecar: &sidecar, folder: &folder, base };
    let played = rig::play::play(&scenario, asked.seed, &place, asked.keep_logs.as_deref())?;
    played.struck.iter().for_each(|struck| println!("{struck}"));
    println!(
        "{} seed {}: {} committed, {} refused, {} unknown; {} reads, {} versions, {} entries; {} of {} reqs served, {} of {} without faults",
        scenario.name,
        asked.seed,
        played.puts[0],
        played.puts[1],
        played.puts[2],
        played.reads,
        played.versions,
        played.entries,
        played.served.0,
        played.served.1,
        played.paired.0,
        played.paired.1
    );
    if let Some((ended, halts, out)) = played.releases {
        println!(
            "{ended} releases ended, {halts} halts, {out} out at once at the most beside what was struck"
        );
    }
    for (of, most, whole) in &played.uses {
        println!("{of}: {most} of {whole} at the most");
    }
    played
        .broken
        .iter()
        .for_each(|broken| println!("BROKEN {} (seed {}): {}", broken.check, asked.seed, broken.what));
    if let Some(out) = &asked.out {
        write(out, &played.json().to_string())?;
    }
    Ok(played.broken.is_empty())
}

fn scale_once(asked: Scale) -> Result<bool, String> {
    let scenario = scale::scenario::Scenario::read(&asked.scenario)?;
    let scenario = scenario.with(asked.sizes.as_deref(), asked.rounds)?;
    let lab = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let (daemon, sidecar) = (beside("appledyke-daemon")?, beside("appledyke-sidecar")?);
    let (folder, base) = (scale::run::folder(), include_str!("../../../examples/sidecar.json"));
    let place = scale::run::Place { lab: &lab, daemon: &daemon, sidecar: &sidecar, folder: &folder, base };
    let played = scale::run::play(&scenario, asked.seed, &place)?;
    print!("{}", played.text());
    if let Some(out) = &asked.out {
        write(out, &played.json().to_string())?;
    }
    if let Some(svg) = &asked.svg {
        write(svg, &played.svg()?)?;
    }
    Ok(played.kept())
}

fn measure_once(asked: Measure) -> Result<bool, String> {
    let (daemon, sidecar) = (beside("appledyke-daemon")?, beside("appledyke-sidecar")?);
    let folder = std::env::temp_dir().join(format!("appledyke-measure-{}", std::process::id()));
    let base = include_str!("../../../examples/sidecar.json");
    let bench = rig::measure::Bench { daemon: &daemon, sidecar: &sidecar, folder: &folder, base };
    let (beat, lasts) = (Duration::from_millis(500), Duration::from_secs(5));
    let measured = match asked.what.as_str() {
        "commits" => vec![bench.commits(asked.count)],
        "elections" => vec![bench.elections(asked.count)],
        "recovery" => vec![bench.recovery(asked.count, asked.compact_every)],
        "members" => vec![bench.members(asked.count, beat, lasts)],
        "holders" => {
            bench.holders(asked.count, asked.budgets.clamp(1, 6), lasts)?.into_iter().map(Ok).collect()
        }
        "budgets" => vec![bench.budgets(false, lasts), bench.budgets(true, lasts)],
        "returns" => vec![bench.returns(false, lasts), bench.returns(true, lasts)],
        other => {
            return Err(format!(
                "measure: expected commits, elections, recovery, members, holders, returns or budgets, not '{other}'"
            ));
        }
    };
    let _ = std::fs::remove_dir_all(&folder);
    for figures in measured {
        println!("{}", figures?);
    }
    Ok(true)
}

fn added_measured(asked: Added) -> Result<bool, String> {
    fn numbers<T: std::str::FromStr>(option: &str, text: &str) -> Result<Vec<T>, String> {
        let number = |word: &str| word.trim().parse();
        let read = |word| number(word).map_err(|_| format!("{option}: expected numbers, not '{word}'"));
        text.split(',').map(read).collect()
    }
    let plan = added::Plan {
        rates: numbers("--rates", &asked.rates)?,
        endpoints: numbers("--endpoints", &asked.endpoints)?,
        seconds: asked.seconds,
        rounds: asked.rounds,
        instances: asked.instances,
        seed: asked.seed,
    };
    plan.check()?;
    let most_ms = asked.most_ms.unwrap_or(added::TARGET_MS);
    added::check_most(most_ms)?;
    let sidecar = asked.sidecar.map_or_else(|| beside("appledyke-sidecar"), Ok)?;
    let folder = std::env::temp_dir().join(format!("appledyke-added-{}", std::process::id()));
    let base = include_str!("../../../examples/sidecar.json");
    let place = added::Place { sidecar: &sidecar, folder: &folder, base };
    println!("{}", added::HEAD);
    let measured = added::measure(&plan, most_ms, &place, |row| println!("{}", row.text()));
    let _ = std::fs::remove_dir_all(&folder);
    let measured = measured?;
    measured.lists.iter().for_each(|list| println!("{}", list.text()));
    println!(
        "{:.0} s on {} cores; load average {} before and {} after",
        measured.seconds, measured.cores, measured.load_before, measured.load_after
    );
    if let Some(out) = &asked.out {
        write(out, &measured.json().to_string())?;
    }
    Ok(asked.most_ms.is_none() || measured.over().is_empty())
}

/// Soaks, and tells whether nothing was broken.
fn soak_all(asked: &Soak) -> Result<bool, String> {
    let sidecar = asked.sidecar.clone().map_or_else(|| beside("appledyke-sidecar"), Ok)?;
    let folder = std::env::temp_dir().join(format!("appledyke-soak-{}", std::process::id()));
    let seeds = asked.seed..=asked.seed + asked.seeds.max(1) - 1;
    let played = soak::seeds::play_all(seeds, asked.workers, &sidecar, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let played = played?;
    print!("{}", soak::seeds::table(&played));
    let broken = played.iter().filter(|run| !run.broken.is_empty());
    let stories = broken.map(soak::seeds::Played::story).collect::<Vec<_>>().join("\n");
    match &asked.out {
        Some(out) => std::fs::write(out, &stories).map_err(|e| format!("{}: {e}", out.display()))?,
        None => print!("{stories}"),
    }
    Ok(stories.is_empty())
}

fn cold_all(asked: Cold) -> Result<bool, String> {
    if !(0.01..=2.0).contains(&asked.load) || !(1..=100_000).contains(&asked.seeds) {
        return Err("cold: expected a load from 0.01 to 2 and from 1 to 100000 seeds".to_string());
    }
    let sizes = asked.instances.split(',').map(|size| match size.parse() {
        Ok(size) if (1..=10_000).contains(&size) => Ok(size),
        _ => Err(format!("--instances: expected whole numbers from 1 to 10000, not '{size}'")),
    });
    let cases = cold::grid(&sizes.collect::<Result<Vec<usize>, String>>()?, asked.load);
    let work: Vec<_> = cases.iter().flat_map(|case| (1..=asked.seeds).map(|seed| (*case, seed))).collect();
    let played = sweep::each(&work, cores(), |(case, seed)| cold::play(*case, *seed));
    let rows = cases.iter().zip(played.chunks(asked.seeds as usize));
    let rows: Vec<_> = rows.map(|(case, played)| cold::Row::of(*case, played)).collect();
    if asked.json {
        for row in &rows {
            println!("{}", serde_json::to_string(row).map_err(|e| e.to_string())?);
        }
    } else {
        println!("{}", cold::table(&rows));
    }
    Ok(rows.iter().all(|row| row.worst[2] <= 1.0))
}

fn releases_all(asked: Releases) -> Result<bool, String> {
    let mut work = Vec::new();
    for size in asked.sidecars.split(',') {
        let size = size.parse().map_err(|_| format!("--sidecars: expected whole numbers, not '{size}'"))?;
        if !(2..=20_000).contains(&size) {
            return Err(format!("--sidecars: expected 2 to 20000, not {size}"));
        }
        for candidate in Candidate::ALL {
            work.extend((1..=asked.seeds).map(|seed| (candidate, size, seed)));
        }
    }
    let played =
        sweep::each(&work, cores(), |(candidate, size, seed)| releases::play(*candidate, *size, *seed));
    if asked.json {
        for one in &played {
            println!("{}", serde_json::to_string(one).map_err(|e| e.to_string())?);
        }
        return Ok(true);
    }
    println!(
        "candidate    sidecars  moved  back  halts  of least  moved at halt  halt after s  worth lost: mean  most  out  entries"
    );
    let mut rows = work.iter().zip(&played).peekable();
    while let Some((of, first)) = rows.next() {
        let mut group = vec![first];
        while let Some((_, one)) = rows.next_if(|(other, _)| (other.0, other.1) == (of.0, of.1)) {
            group.push(one);
        }
        let count = |how: &str| group.iter().filter(|one| one.how == how).count();
        let mean = |of: &dyn Fn(&releases::Played) -> f64| {
            group.iter().map(|one| of(one)).sum::<f64>() / group.len() as f64
        };
        let most =
            |of: &dyn Fn(&releases::Played) -> f64| group.iter().map(|one| of(one)).fold(f64::MIN, f64::max);
        println!(
            "{:<12} {:>8} {:>6} {:>5} {:>6} {:>9.2} {:>14.1} {:>13.1} {:>17.4} {:>5.4} {:>4} {:>8.0}",
            first.candidate,
            first.sidecars,
            count("all are moved"),
            count("all are back"),
            group.iter().filter(|one| one.halted.is_some()).count(),
            mean(&|one| one.secs / one.least_secs),
            mean(&|one| one.moved_at_halt as f64),
            mean(&|one| one.halt_after_secs.unwrap_or(0.0)),
            mean(&|one| one.worth_lost),
            most(&|one| one.worth_lost),
            most(&|one| one.most_out as f64),
            mean(&|one| one.entries as f64)
        );
    }
    Ok(true)
}

fn simulate_once(asked: Simulate) -> Result<bool, String> {
    let scenario = Scenario::read(&asked.scenario)?;
    let which: PolicyKind = asked.policy.parse()?;
    let began = Instant::now();
    let outcomes = simulate::play(&scenario, which, asked.seed).outcomes(&asked.policy, asked.seed);
    print!("{}", outcomes.text());
    eprintln!("{} events in {:.2} s", outcomes.events, began.elapsed().as_secs_f64());
    if let Some(path) = asked.out {
        write(&path, &outcomes.json())?;
    }
    Ok(outcomes.broken.is_empty())
}

/// Tells of a run on sockets, and writes its result.
fn told(outcomes: &Outcomes, late_ms: f64, out: Option<PathBuf>) -> Result<bool, String> {
    print!("{}", outcomes.text());
    println!("sending ran {late_ms:.2} ms late at the 99th percentile");
    if let Some(path) = out {
        write(&path, &outcomes.json())?;
    }
    Ok(outcomes.broken.is_empty())
}

fn emulate_once(asked: Emulate) -> Result<bool, String> {
    let scenario = Scenario::read(&asked.scenario)?;
    let (outcomes, late) = emulate::play(&scenario, asked.seed, &asked.sidecar, &asked.folder)?;
    told(&outcomes, late, asked.out)
}

fn load_once(asked: Load) -> Result<bool, String> {
    let scenario = Scenario::read(&asked.scenario)?;
    let read = |at: &str| at.parse().map_err(|_| format!("--to: expected address:port, not '{at}'"));
    let to = asked.to.split(',').map(read).collect::<Result<Vec<_>, _>>()?;
    let faults = Faults::draw(&scenario, asked.seed);
    let loaded = load::run(&scenario, asked.seed, &to, |at| faults.load(at))?;
    let mut outcomes = loaded.counters.outcomes("sidecars on sockets", asked.seed);
    outcomes.broken = load::broken(&loaded);
    told(&outcomes, loaded.late_p99_ms, asked.out)?;
    if loaded.void() {
        println!("VOID: sending ran too late for the figures to say much");
    }
    Ok(outcomes.broken.is_empty())
}

fn report(asked: Report) -> Result<bool, String> {
    let outcomes = Outcomes::read(&asked.result)?;
    print!("{}", outcomes.text());
    if let Some(path) = asked.svg {
        write(&path, &outcomes.svg()?)?;
    }
    Ok(outcomes.broken.is_empty())
}

fn cores() -> usize {
    available_parallelism().map_or(1, usize::from)
}

fn compare(asked: Compare) -> Result<bool, String> {
    let (names, pairs) = match &asked.what[..] {
        [scenario] => {
            let scenario = Scenario::read(scenario)?.grown(asked.size)?;
            let names = if asked.budgets { "parts,cut" } else { &asked.policies };
            let names: Vec<String> = names.split(',').map(str::to_string).collect();
            let [one, other] = &names[..] else { return Err("--policies: expected two".to_string()) };
            let by = |by| {
                let budgets = scenario::Budgets { by, ..scenario.budgets.clone() };
                (scenario::Scenario { budgets, ..scenario.clone() }, PolicyKind::Module)
            };
            let (a, b) = match asked.budgets {
                true => (by(scenario::By::Parts), by(scenario::By::Cut)),
                false => ((scenario.clone(), one.parse()?), (scenario.clone(), other.parse()?)),
            };
            let seeds: Vec<u64> = (1..=asked.seeds).collect();
            let play = |seed: &u64| {
                let of = |(scenario, which): &(Scenario, PolicyKind), name: &str| {
                    simulate::play(scenario, *which, *seed).outcomes(name, *seed)
                };
                (of(&a, one), of(&b, other))
            };
            ([one.clone(), other.clone()], sweep::each(&seeds, cores(), play))
        }
        [one, other] => {
            let mut pairs = Vec::new();
            let named = |e: std::io::Error| format!("{}: {e}", one.display());
            let mut files: Vec<_> = std::fs::read_dir(one)
                .map_err(named)?
                .filter_map(|entry| Some(entry.ok()?.file_name()))
                .collect();
            files.sort();
            for file in
                files.iter().filter(|file| Path::new(file).extension().is_some_and(|end| end == "json"))
            {
                pairs.push((Outcomes::read(&one.join(file))?, Outcomes::read(&other.join(file))?));
            }
            ([one.display().to_string(), other.display().to_string()], pairs)
        }
        _ => return Err("compare: expected a scenario, or two folders of results".to_string()),
    };
    if pairs.is_empty() {
        return Err("compare: nothing to compare".to_string());
    }
    let whole = paired(&pairs.iter().map(|(a, b)| a.whole.goodput() - b.whole.goodput()).collect::<Vec<_>>());
    let p99 = |o: &Outcomes| o.latency_us[2] as f64 / 1e3;
    let slow = paired(&pairs.iter().map(|(a, b)| p99(a) - p99(b)).collect::<Vec<_>>());
    let broken = |of: fn(&(Outcomes, Outcomes)) -> &Outcomes| {
        pairs.iter().filter(|pair| !of(pair).broken.is_empty()).count()
    };
    let (one, other) = (broken(|pair| &pair.0), broken(|pair| &pair.1));
    if asked.json {
        let names = [&names[0], &names[1]];
        println!(
            "{}",
            serde_json::json!({"of": names, "worth": whole, "p99_ms": slow, "broken": [one, other]})
        );
    } else {
        println!("{} less {} (simulated), {} pairs", names[0], names[1], whole.pairs);
        for (what, of) in [("worth served", whole), ("p99 in ms", slow)] {
            println!(
                "{what:<14} mean {:+.4}, spread {:.4}, 95% interval {:+.4} to {:+.4}",
                of.mean, of.spread, of.low, of.high
            );
        }
        println!("runs that broke a rule: {one} and {other}");
        for of in pairs[0].0.uses.keys() {
            let used = |of_pair: fn(&(Outcomes, Outcomes)) -> &Outcomes| {
                let rows: Vec<_> = pairs.iter().map(|pair| of_pair(pair).uses[of]).collect();
                let (most, whole) = (rows.iter().map(|row| row.1).max(), rows[0].0);
                let mean = rows.iter().map(|row| row.2).sum::<f64>() / rows.len() as f64;
                format!("{mean:.3} of {whole}, {} in a window at the most", most.unwrap_or(0))
            };
            println!("{of}: used {}; and {}", used(|pair| &pair.0), used(|pair| &pair.1));
        }
        let worth = |of: fn(&(Outcomes, Outcomes)) -> &Outcomes| {
            pairs.iter().map(|pair| of(pair).whole.goodput()).sum::<f64>() / pairs.len() as f64
        };
        println!("worth served {:.4} and {:.4}", worth(|pair| &pair.0), worth(|pair| &pair.1));
    }
    Ok(one == 0)
}

fn sweep_all(asked: Sweep) -> Result<bool, String> {
    let scenario = Scenario::read(&asked.scenario)?;
    let which: PolicyKind = asked.policy.parse()?;
    let mut work = Vec::new();
    for size in asked.sizes.split(',') {
        let times: usize =
            size.parse().map_err(|_| format!("--sizes: expected whole numbers, not '{size}'"))?;
        let grown = scenario.grown(times).map_err(|what| format!("--sizes: {what}"))?;
        work.extend((1..=asked.seeds).map(|seed| (times, grown.clone(), seed)));
    }
    if let Some(folder) = &asked.out {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let results = sweep::each(&work, asked.workers.unwrap_or_else(cores), |(_, scenario, seed)| {
        simulate::play(scenario, which, *seed).outcomes(&asked.policy, *seed)
    });
    println!("  size  seed   worth  nacked%  p99 ms  events  rules");
    for ((times, _, seed), outcomes) in work.iter().zip(&results) {
        let rejected = outcomes.whole.rejected as f64 / (outcomes.whole.offered as f64).max(1.0) * 100.0;
        let (worth, p99) = (outcomes.whole.goodput(), outcomes.latency_us[2] as f64 / 1e3);
        let rules =
            if outcomes.broken.is_empty() { "kept".to_string() } else { format!("{:?}", outcomes.broken) };
        println!(
            "{times:>6} {seed:>5} {worth:>7.4} {rejected:>8.2} {p99:>7.1} {:>7} {rules}",
            outcomes.events
        );
        if let Some(folder) = &asked.out {
            write(&folder.join(format!("{times}-{seed}.json")), &outcomes.json())?;
        }
    }
    Ok(results.iter().all(|outcomes| outcomes.broken.is_empty()))
}
