//! The command line of the mixer: the subcommands, the location of the configuration and the signal handlers.

#![forbid(unsafe_code)]

use argh::FromArgs;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use wharfhub::config::{Config, InheritedListener};
use wharfhub::net::{handover, Mixer, Signals};

/// Scatter-gather mixer: sends the parts of each query to the servers that hold the data and returns one answer.
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

/// serve clients until SIGTERM; SIGHUP reloads the configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// path of the configuration file; the default is LB_CONFIG
    #[argh(option)]
    config: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// check whether a configuration is valid
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// path of the configuration file; the default is LB_CONFIG
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

/// An error that ends the program, as shown to operators.
type CommandError = Box<dyn std::error::Error>;

fn configuration_path(path: Option<String>) -> Result<String, CommandError> {
    let path = path.or_else(|| std::env::var("LB_CONFIG").ok());
    path.ok_or_else(|| "no configuration: give --config or LB_CONFIG".into())
}

/// Reads the configuration file; environment variables override its keys.
fn read_configuration(path: &str) -> Result<Config, CommandError> {
    let mut config = Config::read(path.as_ref()).map_err(|error| format!("{path}: {error}"))?;
    config.override_by(|name| std::env::var(name).ok());
    Ok(config)
}

/// Validates everything that a start would read, without opening a socket.
fn check_configuration(path: Option<String>) -> Result<(), CommandError> {
    let config = read_configuration(&configuration_path(path)?)?;
    let summary = config.summary();
    config.options()?;
    println!("{summary}");
    Ok(())
}

/// Serves clients until the event loop has shut down.
fn serve(path: Option<String>) -> Result<(), CommandError> {
    // Signal handlers come first, so that an early signal does not kill the process.
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
