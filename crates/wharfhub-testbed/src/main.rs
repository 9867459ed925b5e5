//! Command line of the testbed.

#![forbid(unsafe_code)]

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use wharfhub_testbed::experiments::{Options, ALL};
use wharfhub_testbed::fleet::host;
use wharfhub_testbed::journal;

/// Experiments on wharfhub, in virtual time and on loopback sockets.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
    Run(Run),
    Journal(Journal),
    Host(Host),
}

/// list all experiments
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// run an experiment; the last line is `result: NAME ok` or `result: NAME short: REASON`
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// name of the experiment
    #[argh(positional)]
    name: String,
    /// run a shorter form, within 40 s
    #[argh(switch)]
    quick: bool,
    /// run on sockets against the daemon, if the experiment supports this
    #[argh(switch)]
    real: bool,
    /// run only this part, if the experiment has parts
    #[argh(option)]
    part: Option<String>,
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// directory for tables and charts (default: found)
    #[argh(option, default = "PathBuf::from(\"found\")")]
    out: PathBuf,
}

/// run hollow mixers for a parent process that sends the setup on standard input; exits when that input is closed
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
struct Host {}

/// show the benchmark journal as a table and a chart
#[derive(FromArgs)]
#[argh(subcommand, name = "journal")]
struct Journal {
    /// directory of the journal (default: journal)
    #[argh(option, default = "PathBuf::from(\"journal\")")]
    from: PathBuf,
    /// benchmark command of the runs (default: real-score)
    #[argh(option, default = "String::from(\"real-score\")")]
    command: String,
    /// text that the names of the scenarios contain
    #[argh(option)]
    scenarios: String,
    /// name of the written files, without extension
    #[argh(option)]
    name: String,
    /// directory of the written files (default: found)
    #[argh(option, default = "PathBuf::from(\"found\")")]
    out: PathBuf,
}

fn show(journal: &Journal) -> ExitCode {
    let Journal {
        from,
        command,
        scenarios,
        name,
        out,
    } = journal;
    let shown = std::fs::create_dir_all(out)
        .map_err(Into::into)
        .and_then(|()| journal::show(from, command, scenarios, name, out));
    match shown {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfhub-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_host() -> ExitCode {
    match host::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfhub-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let run = match argh::from_env::<Arguments>().command {
        Command::List(_) => {
            ALL.iter().for_each(|experiment| {
                println!("{:<12} {}", experiment.name, experiment.description)
            });
            return ExitCode::SUCCESS;
        }
        Command::Journal(journal) => return show(&journal),
        Command::Host(_) => return run_host(),
        Command::Run(run) => run,
    };
    let Some(experiment) = ALL.iter().find(|experiment| experiment.name == run.name) else {
        eprintln!(
            "wharfhub-testbed: unknown experiment {:?}; `list` shows all names",
            run.name
        );
        return ExitCode::FAILURE;
    };
    let Run {
        quick,
        real,
        seed,
        out,
        part,
        ..
    } = run;
    let options = Options {
        quick,
        seed,
        out,
        real,
        part,
    };
    let result = std::fs::create_dir_all(&options.out)
        .map_err(Into::into)
        .and_then(|()| (experiment.run)(&options));
    match result {
        Ok(None) => {
            println!("result: {} ok", experiment.name);
            ExitCode::SUCCESS
        }
        Ok(Some(reason)) => {
            println!("result: {} short: {reason}", experiment.name);
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("result: {} short: {error}", experiment.name);
            ExitCode::FAILURE
        }
    }
}
