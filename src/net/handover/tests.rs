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
