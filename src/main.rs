//! The command line of the mixer. It owns the sub-commands and nothing else: no decision, no socket.

use argh::FromArgs;
use std::process::ExitCode;

/// A scatter-gather mixer: one query in, its parts to the servers that hold them, one answer out.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Version(Version),
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Version(_) => println!("wharfhub {}", env!("CARGO_PKG_VERSION")),
    }
    ExitCode::SUCCESS
}
