//! Tests of the adapter binary through its frames: settings, numbered endpoint lists, crash and restart of
//! instances, and invalid input.

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
    // The write fails if the adapter stops reading at invalid input, which some tests expect.
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

fn catalog(list_number: u8, replica: u32) -> Vec<u8> {
    let mut out = vec![11, list_number];
    out.extend(1u32.to_le_bytes());
    out.extend(replica.to_le_bytes());
    out.extend([0, 0, 0, 0, 1]);
    out.extend(1f32.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out
}

fn endpoints(instance: u32, kind: u8, list_number: u8) -> Vec<u8> {
    let mut out = vec![2];
    out.extend(instance.to_le_bytes());
    out.push(kind);
    out.extend(1u64.to_le_bytes());
    out.push(list_number);
    out
}

fn ingress(instance: u32, id: u32, shard: f32, weight: f32) -> Vec<u8> {
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
    out.extend(weight.to_le_bytes());
    out.extend([0; 2]);
    out
}

fn crash(instance: u32) -> Vec<u8> {
    let mut out = vec![10];
    out.extend(instance.to_le_bytes());
    out
}

/// Returns the instance and the replica of each ATTEMPT record in replies that consist of TIMER and ATTEMPT records.
fn attempts(mut reply: &[u8]) -> Vec<(u32, u32)> {
    let u32_at = |bytes: &[u8]| u32::from_le_bytes(bytes[..4].try_into().unwrap());
    let mut out = Vec::new();
    while !reply.is_empty() {
        let length = u32_at(reply) as usize;
        let mut records = &reply[4..length];
        while !records.is_empty() {
            match records[0] {
                1 => out.push((u32_at(&records[1..]), u32_at(&records[9..]))),
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
fn a_batch_may_redefine_lists_and_restart_instances() {
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
fn the_end_of_input_is_a_success_and_invalid_input_prints_one_line() {
    assert!(run(&[]).status.success());
    let frame_with_record = |bytes: &[u8]| frame(1.0, &[bytes.to_vec()]);
    let mut too_many_records = frame(1.0, &[]);
    too_many_records[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
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
        (
            frame_with_record(&[77, 0, 0, 0, 0]),
            "unknown event code 77",
        ),
        (frame_with_record(&[7, 1, 0, 0, 0, 1]), "DEADLINE_HIT"),
        (too_many_records, "record 0 (code)"),
        (frame_with_record(&huge), "CATALOG"),
        (frame_with_record(&endpoints(1, 4, 3)), "is not defined"),
        (frame_with_record(&init(1, b"\xff\xfe")), "UTF-8"),
        (frame_with_record(&init(1, b"{}")), "categories"),
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
    let mut unread_bytes = frame(1.0, &[vec![7; 13]]);
    unread_bytes[4..8].copy_from_slice(&0u32.to_le_bytes());
    assert!(String::from_utf8(run(&unread_bytes).stderr)
        .unwrap()
        .contains("13 bytes left"));
}
