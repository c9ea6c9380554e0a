//! `appledyke-sidecar`: one program for every tier. It takes requests from clients, and carries out what the
//! decision module of the package `appledyke` decides about them. Nothing is decided here.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use appledyke::ids::Places;
use appledyke_sidecar::launch::Launch;
use appledyke_sidecar::logger;
use appledyke_sidecar::sidecar::Sidecar;

/// A sidecar that balances requests over endpoints.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serve until told to leave by SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; without it, the file that BALANCER_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Check a configuration and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; without it, the file that BALANCER_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(Serve { config }) => {
            logger::start(logger::level(std::env::var("BALANCER_LOG").ok().as_deref())?);
            let mut places = Places::default();
            Sidecar::start(Launch::read(config, &mut places)?, places)?.run()
        }
        Command::Check(Check { config }) => Launch::read(config, &mut Places::default()).map(|launch| {
            launch.unmet.iter().chain(&launch.bound).for_each(|line| println!("{line}"));
            println!(
                "{}: listens on {}, room for {} connections",
                launch.fixed.name, launch.fixed.listen, launch.fixed.connections
            );
        }),
        Command::Version(Version {}) => {
            println!("appledyke-sidecar {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(argh::from_env::<Line>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("appledyke-sidecar: {what}");
            ExitCode::FAILURE
        }
    }
}
