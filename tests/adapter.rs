//! The binary on frames: settings, list banks, crash and restart, and bad input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"categories": [{"aimS": 1.0, "giveUpS": 3.0, "name": "any", "surprise": [1]}],
    "familyInfo": {"cells": 1, "inARow": 1}, "permissions": {"cancelling": true}, "newKey": {}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wharfhub-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at a fault; that is no error of the test.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = (body.len() as u32 + 16).to_le_bytes().to_vec();
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(now.to_le_bytes());
    out.extend(body);
    out
}

fn init(instance: u32, settings: &[u8]) -> Vec<u8> {
    let mut out = vec![1];
    out.extend(instance.to_le_bytes());
    out.extend(5u64.to_le_bytes());
    out.extend((settings.len() as u32).to_le_bytes());
    out.extend(settings);
    out
}

fn catalog(bank: u8, replica: u32) -> Vec<u8> {
    let mut out = vec![11, bank];
    out.extend(1u32.to_le_bytes());
    out.extend(replica.to_le_bytes());
    out.extend([0, 0, 0, 0, 1]);
    out.extend(1f32.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out
}

fn endpoints(instance: u32, how: u8, bank: u8) -> Vec<u8> {
    let mut out = vec![2];
    out.extend(instance.to_le_bytes());
    out.push(how);
    out.extend(1u64.to_le_bytes());
    out.push(bank);
    out
}

fn ingress(instance: u32, id: u32, shard: f32, amount: f32) -> Vec<u8> {
    let mut out = vec![3];
    out.extend(instance.to_le_bytes());
    out.extend(id.to_le_bytes());
    out.extend([0; 2]);
    out.extend([0; 4]);
    out.extend([0; 8]);
    out.extend(4f64.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out.extend(9f32.to_le_bytes());
    out.extend(shard.to_le_bytes());
    out.extend(amount.to_le_bytes());
    out.extend([0; 2]);
    out
}

fn crash(instance: u32) -> Vec<u8> {
    let mut out = vec![10];
    out.extend(instance.to_le_bytes());
    out
}

/// Replicas of the ATTEMPT records of a reply made of TIMER and ATTEMPT records.
fn attempts(mut reply: &[u8]) -> Vec<(u32, u32)> {
    let word = |at: &[u8]| u32::from_le_bytes(at[..4].try_into().unwrap());
    let mut out = Vec::new();
    while !reply.is_empty() {
        let length = word(reply) as usize;
        let mut records = &reply[4..length];
        while !records.is_empty() {
            match records[0] {
                1 => out.push((word(&records[1..]), word(&records[9..]))),
                5 => {}
                other => panic!("unexpected action {other}"),
            }
            records = &records[21..];
        }
        reply = &reply[length..];
    }
    out
}

#[test]
fn banks_are_reused_in_a_batch_and_instances_start_again_in_it() {
    let settings = SETTINGS.as_bytes();
    let records = [
        init(1, settings),
        catalog(0, 11),
        endpoints(1, 0, 0),
        init(2, settings),
        catalog(0, 22),
        endpoints(2, 0, 0),
        crash(1),
        init(1, settings),
        catalog(0, 33),
        endpoints(1, 0, 0),
    ];
    let queries = [1, 2].map(|instance| {
        [
            ingress(instance, 7, -1.0, 1.0),
            ingress(instance, 8, 0.0, 1.0),
        ]
        .concat()
    });
    let mut second = frame(1.5, &queries);
    second[4..8].copy_from_slice(&4u32.to_le_bytes());
    let output = run(&[frame(1.0, &[]), frame(1.0, &records), second].concat());
    assert!(output.status.success());
    assert_eq!(attempts(&output.stdout), [(1, 33), (2, 22)]);
}

#[test]
fn a_clean_end_is_a_success_and_bad_input_one_plain_line() {
    assert!(run(&[]).status.success());
    let with = |bytes: &[u8]| frame(1.0, &[bytes.to_vec()]);
    let mut endless = frame(1.0, &[]);
    endless[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut huge = vec![11, 0];
    huge.extend(u32::MAX.to_le_bytes());
    let cases: [(Vec<u8>, &str); 12] = [
        (vec![1, 2], "input ended inside a frame"),
        (frame(1.0, &[])[..10].to_vec(), "input ended inside a frame"),
        (
            u32::MAX.to_le_bytes().to_vec(),
            "input ended inside a frame",
        ),
        (3u32.to_le_bytes().to_vec(), "shorter than its header"),
        (with(&[77, 0, 0, 0, 0]), "unknown event code 77"),
        (with(&[7, 1, 0, 0, 0, 1]), "DEADLINE_HIT"),
        (endless, "record 0 (code)"),
        (with(&huge), "CATALOG"),
        (with(&endpoints(1, 4, 3)), "is not defined"),
        (with(&init(1, b"\xff\xfe")), "UTF-8"),
        (with(&init(1, b"{}")), "categories"),
        ([frame(1.0, &[]), frame(f64::NAN, &[])].concat(), "clock"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{expected}");
        assert!(
            text.contains(expected) && text.lines().count() == 1,
            "{expected}: {text}"
        );
    }
    let mut long = frame(1.0, &[vec![7; 13]]);
    long[4..8].copy_from_slice(&0u32.to_le_bytes());
    assert!(String::from_utf8(run(&long).stderr)
        .unwrap()
        .contains("13 bytes left"));
}
