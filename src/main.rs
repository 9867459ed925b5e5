//! The command line of the mixer. It owns the sub-commands, the reading of the configuration and the
//! signals; it must hold no decision and no socket.

#![forbid(unsafe_code)]

use argh::FromArgs;
use std::process::ExitCode;
use wharfhub::net::Mixer;
use wharfhub::settings::Config;

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

/// serve clients until SIGTERM; LB_CONFIG names the configuration
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
        Command::Serve(serve) => run(serve.config),
        Command::Version(_) => {
            println!("wharfhub {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(check) => check_config(check.config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfhub: {error}");
            ExitCode::FAILURE
        }
    }
}

type Failure = Box<dyn std::error::Error>;

fn read(path: Option<String>) -> Result<Config, Failure> {
    let path = path.or_else(|| std::env::var("LB_CONFIG").ok());
    let path = path.ok_or("no configuration: give --config or LB_CONFIG")?;
    let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
    let mut config = Config::decode(&text).map_err(|error| format!("{path}: {error}"))?;
    config.override_by(|name| std::env::var(name).ok())?;
    Ok(config)
}

/// All that a start would read is read; nothing is listened on.
fn check_config(path: Option<String>) -> Result<(), Failure> {
    let config = read(path)?;
    let summary = config.summary();
    config.options()?;
    println!("{summary}");
    Ok(())
}

fn run(path: Option<String>) -> Result<(), Failure> {
    let config = read(path)?;
    let (stop, asked) = std::os::unix::net::UnixStream::pair()?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::low_level::pipe::register(signal, asked.try_clone()?)?;
    }
    Mixer::new(config.options()?, stop)?.run()?;
    Ok(())
}
