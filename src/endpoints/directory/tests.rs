//! Unit tests of directory.rs.

use super::*;
use miniserde::json;

/// Returns a list entry in discovery's format.
fn entry_json(number: usize, phase: &str) -> String {
    format!(
        r#"{{"id":"server-{number}","host_port":"127.0.0.1:{}","cell":{},"phase":"{phase}","up_since_ms":0}}"#,
        1 + number % 60_000,
        number % 100
    )
}

fn list(is_full: bool, entries: &[String]) -> Value {
    let text = format!(
        r#"{{"revision":1,"complete":{is_full},"members":[{}]}}"#,
        entries.join(",")
    );
    json::from_str(&text).expect("the list is valid JSON")
}

fn complete_list(count: usize) -> Value {
    list(
        true,
        &(0..count)
            .map(|number| entry_json(number, "Ready"))
            .collect::<Vec<_>>(),
    )
}

/// Checks that the indexes agree with the state of every endpoint.
fn assert_indexes_match(directory: &Directory) {
    let endpoints = || directory.endpoints.iter();
    let unready: BTreeSet<ReplicaId> = endpoints()
        .filter(|(_, endpoint)| !endpoint.is_ready)
        .map(|(id, _)| *id)
        .collect();
    let removed: BTreeSet<ReplicaId> = endpoints()
        .filter(|(_, endpoint)| endpoint.is_removed())
        .map(|(id, _)| *id)
        .collect();
    assert_eq!(
        (&directory.unready, &directory.removed),
        (&unready, &removed)
    );
    assert_eq!(
        directory.has_ready(),
        endpoints().any(|(_, endpoint)| endpoint.is_ready)
    );
    assert_eq!(
        directory.listed_count(),
        endpoints()
            .filter(|(_, endpoint)| !endpoint.is_removed())
            .count()
    );
    assert_eq!(directory.unready().count(), unready.len());
    assert!(endpoints().all(|(id, endpoint)| directory.id(&endpoint.name) == Some(*id)));
    assert_eq!(directory.names.len(), directory.endpoints.len());
}

/// Applies changes, complete lists, drain marks and connections in random order; the indexes always match the endpoints.
#[test]
fn indexes_match_the_endpoints_after_any_sequence_of_changes() {
    let mut random = oorandom::Rand64::new(7);
    let mut draw = |below: usize| random.rand_range(0..below as u64) as usize;
    let mut directory = Directory::new(vec!["a".into()]);
    let mut connections = slotmap::SlotMap::<ConnectionKey, ()>::with_key();
    for _ in 0..2000 {
        let phases = ["Ready", "Ready", "Terminating", "Gone", "Unheard-of"];
        let mut entries: Vec<String> = (0..1 + draw(6))
            .map(|_| entry_json(draw(30), phases[draw(phases.len())]))
            .collect();
        match draw(10) {
            0 => drop(directory.read(&list(true, &entries))),
            1 => drop(
                directory.set_drain_marks(
                    (0..draw(5))
                        .map(|_| format!("server-{}", draw(30)))
                        .collect(),
                ),
            ),
            2 => {
                let endpoint = directory.endpoints.values_mut().nth(draw(30));
                endpoint
                    .into_iter()
                    .for_each(|endpoint| match endpoint.connections.pop() {
                        Some(_) => {}
                        None => endpoint.connections.push(connections.insert(())),
                    });
            }
            3 => directory.drop_removed(),
            _ => {
                entries.push(r#"{"id":"server-1","phase":"Ready"}"#.into()); // skipped, because the entry has no cell
                directory.read(&list(false, &entries));
            }
        }
        assert_indexes_match(&directory);
    }
}

/// Lists that exceed former limits on their length: all entries are read, one change returns one entry, drain marks on all
/// replicas return an entry for each, and a complete list without the last replica drops that replica.
#[rstest::rstest]
#[case(1025)]
#[case(5300)]
#[case(10_000)]
fn a_list_of_a_large_fleet_is_read_completely(#[case] count: usize) {
    let mut directory = Directory::new(Vec::new());
    assert_eq!(
        directory
            .read(&complete_list(count))
            .expect("the list is valid")
            .entries
            .len(),
        count
    );
    assert_eq!(
        (directory.listed_count(), directory.unready().count()),
        (count, 0)
    );
    let change = directory
        .read(&list(false, &[entry_json(count - 1, "Terminating")]))
        .expect("the change is valid");
    assert_eq!(change.entries.len(), 1);
    assert_eq!(directory.unready().count(), 1);
    let marks = directory.set_drain_marks(
        (0..count)
            .map(|number| format!("server-{number}"))
            .collect(),
    );
    assert_eq!((marks.len(), directory.has_ready()), (count, false));
    assert!(marks
        .iter()
        .all(|entry| entry.lifecycle == Lifecycle::Draining));
    assert_eq!(directory.set_drain_marks(Vec::new()).len(), count);
    directory.read(&complete_list(count - 1));
    directory.drop_removed();
    assert_eq!(
        (
            directory.count(),
            directory.id(&format!("server-{}", count - 1))
        ),
        (count - 1, None)
    );
    assert_indexes_match(&directory);
}
