//! Plays the recorded byte exchanges of `tests/exchanges/*.txt` against the program and compares the results.
//!
//! A script is executed line by line; empty lines and lines that begin with `#` are skipped. In texts, `\r`, `\n`, `\\` and `\xHH`
//! stand for bytes, and `{x*900}` stands for 900 times `x`. In awaited text, `*` matches any bytes. Steps:
//!
//! - `leaf NAME CELL [opensearch] [prefilter]`: a leaf server that listens and is in the configured list, and may announce that it
//!   supports two-phase queries.
//! - `discovery`: a discovery, played by the script under that name. `another NAME`: another listener of this kind.
//! - `peer NAME`: a node of the store. `udp NAME`: a VRRP router.
//! - `set KEY JSON`: sets a key of the configuration; `@NAME` stands for the address of a party such as `peer NAME` or `udp NAME`, and
//!   `@folder` for the temporary folder.
//!   `edit OLD => NEW`: replaces text in the settings. `unlisted`: the configuration has no list of servers (`known`).
//! - `start`: starts the program, with the leaf servers so far as its known list. `log TEXT`: waits until the program has logged a
//!   line with that text.
//! - `WHO > TEXT`, `WHO < TEXT`: sends bytes; waits until all bytes since the last match are as in the text. For a party that
//!   speaks frames, the text begins with the frame's letter. A name that is not yet a party is a client, and connects on first use:
//!   to the search API if the name begins with `os`, to the admin interface if with `op`, to the store's listener if with `node`,
//!   and otherwise to the platform's front. `{id}` in awaited text captures the text at this place, and `{id}` in text that is sent
//!   inserts it.
//! - `WHO sent`: waits until everything that WHO has sent has arrived at the program's socket, so that what others send later
//!   arrives later.
//! - `WHO raw TEXT`: sends bytes without a frame header. `WHO finds`: waits until bytes are received, and leaves them unread.
//! - `NAME fills`: fills the queue of connections to be accepted, so that no connection to NAME is established and none is refused.
//!   `NAME empties`: empties that queue.
//! - `WHO takes`: accepts the next connection, in place of the present one. `WHO shut`: closes the sending side. `WHO close`: closes
//!   the connection.
//! - `WHO ends`: waits until the program closes the connection, in order or by a reset. `WHO parts`: waits until the program closes
//!   it in order, without a reset. `WHO floods`: sends until the program closes the connection. `NAME refuses`: stops listening.
//! - `NAME tells HEX`, `NAME hears HEX`: sends or awaits a message of a VRRP router. `active`: waits until the program listens for
//!   clients, or for searches where it inherits the other listener.
//! - `hold`: the script opens the listener for clients, and programs inherit it. `beside`: starts another program in parallel with
//!   the present one. The earlier program is `old` from then on: `old log TEXT`, `old term` and `old exits` apply to it, and a client
//!   whose name begins with `oop` connects to its admin interface. `ends now`: kills the newer program, and the old one is the
//!   present one again.
//! - `NAME meets`: connects to the handover socket as a successor does. `NAME awaits`: listens at the handover socket as a
//!   predecessor does.
//! - `stop`: pauses the process. `cont`: resumes it; it then finds everything that arrived during the pause at once.
//! - `rewrite`: writes the configuration file again, with the keys `set` since. `spoil`: writes a file that is not valid JSON.
//! - `hup`: SIGHUP. `term`: SIGTERM. `exits`: waits until the program exits with status 0.
//!
//! The scripts contain no sleeps and assert no times; a wait that takes longer than `MAX_WAIT` is a failure.

mod peer;
mod program;
mod state;
mod steps;
mod text;

use rstest::rstest;
use state::ScriptState;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of every wait of a script.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Timeout after which a connection on this machine counts as impossible, because the listener's queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(300);
/// Settings of a script that sets no others.
const SETTINGS: &str = include_str!("settings.json");

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let script = std::fs::read_to_string(&path).expect("read the script");
    let name = path
        .file_stem()
        .expect("script without a file name")
        .to_string_lossy()
        .into_owned();
    let folder = std::env::temp_dir().join(format!("wharfhub-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let (peers, config_keys) = (BTreeMap::new(), BTreeMap::new());
    let mut state = ScriptState {
        peers,
        program: None,
        old: None,
        held_listener: None,
        folder,
        has_no_known_list: false,
        config_keys,
    };
    let lines = script
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    for (number, line) in lines {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            steps::step(&mut state, &name, line)
        }));
        if let Err(cause) = result {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(|text| text.to_string()));
            let log = state
                .program
                .iter()
                .flat_map(|program| program.log.try_iter())
                .collect::<Vec<_>>()
                .join("\n");
            panic!(
                "{name}:{}: {line}\n{}\n{log}",
                number + 1,
                text.unwrap_or_default()
            );
        }
    }
}
