//! The command line of the testbed. It owns the sub-commands; it must hold no experiment.

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

/// name all experiments
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// run an experiment; it ends with `result: NAME ok` or `result: NAME short: REASON`
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// which
    #[argh(positional)]
    name: String,
    /// a shorter form, within 40 s
    #[argh(switch)]
    quick: bool,
    /// on sockets, against the daemon, where the experiment can
    #[argh(switch)]
    real: bool,
    /// only this part of it, where the experiment has parts
    #[argh(option)]
    part: Option<String>,
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// where tables and charts go (found)
    #[argh(option, default = "PathBuf::from(\"found\")")]
    out: PathBuf,
}

/// run hollow mixers for a parent that says what on standard input; ends with that input
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
struct Host {}

/// the bench's journal as a table and a chart
#[derive(FromArgs)]
#[argh(subcommand, name = "journal")]
struct Journal {
    /// where it is (journal)
    #[argh(option, default = "PathBuf::from(\"journal\")")]
    from: PathBuf,
    /// the bench's command (real-score)
    #[argh(option, default = "String::from(\"real-score\")")]
    command: String,
    /// what the scenarios' names have in common
    #[argh(option)]
    scenarios: String,
    /// the name of the files that are written
    #[argh(option)]
    name: String,
    /// where they go (found)
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
            "wharfhub-testbed: there is no experiment {:?}; `list` names them",
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
