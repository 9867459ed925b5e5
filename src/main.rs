//! The command line of the mixer.
//!
//! This file owns the sub-commands, where the configuration is, and the pipes of the signals. It must hold no decision and
//! open no socket to anyone else.

#![forbid(unsafe_code)]

use argh::FromArgs;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use wharfhub::config::{Config, InheritedListener};
use wharfhub::net::{handover, Mixer, Signals};

/// A scatter-gather mixer: one query in, its parts to the servers that hold them, one answer out.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
}

/// serve clients until SIGTERM; SIGHUP rereads the configuration, which LB_CONFIG names
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration, in place of LB_CONFIG
    #[argh(option)]
    config: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// read a configuration and say whether it can be used
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration, in place of LB_CONFIG
    #[argh(option)]
    config: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Serve(arguments) => serve(arguments.config),
        Command::Version(_) => {
            println!("wharfhub {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(arguments) => check_configuration(arguments.config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfhub: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What ends the program, as it is shown to operators.
type CommandError = Box<dyn std::error::Error>;

fn configuration_path(path: Option<String>) -> Result<String, CommandError> {
    let path = path.or_else(|| std::env::var("LB_CONFIG").ok());
    path.ok_or_else(|| "no configuration: give --config or LB_CONFIG".into())
}

/// Reads the configuration, with the variables of the environment in place of its keys.
fn read_configuration(path: &str) -> Result<Config, CommandError> {
    let mut config = Config::read(path.as_ref()).map_err(|error| format!("{path}: {error}"))?;
    config.override_by(|name| std::env::var(name).ok());
    Ok(config)
}

/// Reads all that a start would read, and listens on nothing.
fn check_configuration(path: Option<String>) -> Result<(), CommandError> {
    let config = read_configuration(&configuration_path(path)?)?;
    let summary = config.summary();
    config.options()?;
    println!("{summary}");
    Ok(())
}

/// Serves clients until the program is to end.
fn serve(path: Option<String>) -> Result<(), CommandError> {
    // Before anything else: a signal that comes early must not end the program.
    let (stop, stop_sender) = UnixStream::pair()?;
    let (reload, reload_sender) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, stop_sender.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, stop_sender.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGHUP, reload_sender.try_clone()?)?;
    let listener = handover::inherited_listener()?;
    let path = configuration_path(path)?;
    let mut options = read_configuration(&path)?.options()?;
    let rendezvous_path = handover::rendezvous_path(&std::env::temp_dir(), &options.name);
    options.inherited = listener.map(|listener| InheritedListener {
        listener,
        rendezvous_path,
    });
    let signals = Signals {
        stop,
        reload,
        config_path: path.into(),
    };
    Mixer::new(options, signals)?.run()?;
    Ok(())
}
