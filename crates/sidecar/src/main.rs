//! `appledyke-sidecar`, the same program for every tier. It accepts requests from clients and carries out the
//! decisions of the package `appledyke` about them. It makes no load-balancing decisions of its own.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use appledyke::ids::Places;
use appledyke_sidecar::config::Config;
use appledyke_sidecar::logger;
use appledyke_sidecar::sidecar::Sidecar;

/// A sidecar that balances requests over endpoints.
#[derive(FromArgs)]
struct Arguments {
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

/// Serve until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; defaults to the one named by BALANCER_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Check a configuration and print its faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file; defaults to the one named by BALANCER_CONFIG
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
            Sidecar::start(Config::read(config, &mut places)?, places)?.run()
        }
        Command::Check(Check { config }) => Config::read(config, &mut Places::default()).map(|config| {
            config.warnings.iter().chain(&config.restrictions).for_each(|line| println!("{line}"));
            println!(
                "{}: listens on {}, room for {} connections",
                config.startup.name, config.startup.listen, config.startup.connections
            );
        }),
        Command::Version(Version {}) => {
            println!("appledyke-sidecar {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(argh::from_env::<Arguments>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("appledyke-sidecar: {what}");
            ExitCode::FAILURE
        }
    }
}
