//! Tests of handover.rs that need its privates.

use super::*;

/// What is told must be read as it was meant, the largest numbers too.
#[test]
fn a_state_is_read_as_it_was_told() {
    let settings = br#"{"categories":[{"name":"a","aimS":1.0,"giveUpS":2.0}]}"#;
    let deployment = std::rc::Rc::new(crate::settings::decode(settings).unwrap());
    let mut core = crate::core::Core::new(deployment, 1, 5.0);
    let entry = crate::api::ReplicaEntry { id: ReplicaId(3), started_at: 4.0, ..Default::default() };
    core.list(5.0, true, vec![entry], &mut Vec::new());
    let beliefs = core.beliefs();
    assert_eq!(json::from_str::<Beliefs>(&json::to_string(&beliefs)).unwrap(), beliefs);
    assert_eq!(beliefs.replicas.len(), 1);
}

/// What a process knows of a fleet's servers goes over in one line, within its bound.
#[rstest::rstest]
#[case(1025)]
#[case(5300)]
#[case(10_000)]
fn a_state_of_a_fleets_size_is_within_the_bound_of_a_line(#[case] servers: u32) {
    let class = |number: u32| format!(r#"{{"name":"class-{number}","aimS":1.0,"giveUpS":2.0}}"#);
    let classes: Vec<String> = (0..10).map(class).collect();
    let settings = format!(r#"{{"categories":[{}]}}"#, classes.join(","));
    let deployment = std::rc::Rc::new(crate::settings::decode(settings.as_bytes()).unwrap());
    let mut core = crate::core::Core::new(deployment, 1, 5.0);
    let lines = (0..servers).map(|number| {
        format!(r#"{{"id":"server-{number:08}","host_port":"10.200.200.200:18080","locality":"a","cell":{},"phase":"Ready"}}"#, number / 3)
    });
    let list = format!(r#"{{"members":[{}]}}"#, lines.collect::<Vec<_>>().join(","));
    let mut directory = crate::members::Directory::new(vec!["a".into()]);
    let list = directory.read(&json::from_str(&list).unwrap()).unwrap();
    core.list(1764633600.123456, true, list.entries, &mut Vec::new());
    let state = StateJson {
        lease: None,
        discovery: None,
        list: directory.text(Some(1)),
        names: directory.ids().map(|(name, id)| (id.0, name.clone())).collect(),
        classes: core.believed_classes(),
        tenants: Vec::new(),
        beliefs: core.beliefs(),
        load: LoadJson { ids: Vec::new(), held: 0, clients: 0, leaves: 0, out: Vec::new(), sent: Vec::new() },
        phases: None,
    };
    let text = json::to_string(&state);
    assert!(text.len() < MAX_LINE_BYTES / 2, "{} bytes", text.len());
    println!("{servers} servers: {} bytes", text.len());
}
