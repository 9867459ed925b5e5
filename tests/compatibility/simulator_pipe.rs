//! The simulator's pipe: the adapter reads batches of events and writes replies.
//!
//! The recorded run has two instances with different settings, slow and failing replicas, every outcome, a drain, a restart with a slow
//! start, a failed call to discovery, clients that disconnect, and an instance that is killed. The test checks that the format of both
//! directions is unchanged and that the same events lead to the same decisions.

use std::io::Write;
use std::process::{Command, Stdio};

const BATCHES: &[u8] = include_bytes!("data/adapter-input.bin");
const REPLIES_OF_DADE8DB: &[u8] = include_bytes!("data/adapter-output.bin");

#[test]
fn a_recorded_run_gets_the_replies_of_release_dade8db() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_wharfhub-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    let mut input = adapter.stdin.take().expect("piped");
    let writer = std::thread::spawn(move || input.write_all(BATCHES));
    let output = adapter.wait_with_output().expect("wait for the adapter");
    writer
        .join()
        .expect("writer panicked")
        .expect("write the batches");
    assert!(output.status.success());
    let differs_at = output
        .stdout
        .iter()
        .zip(REPLIES_OF_DADE8DB)
        .position(|(got, expected)| got != expected);
    assert_eq!(differs_at, None, "index of the first different byte");
    assert_eq!(output.stdout.len(), REPLIES_OF_DADE8DB.len());
}
