//! Tests of the settings and of the configuration file.

use super::*;
use crate::config::configuration::Config;
use crate::store::Registers;
use std::path::Path;

/// A file truncated at any byte is rejected, and so is one that lacks a key of the configuration in use, unless the key takes
/// effect only at a start.
#[test]
fn a_file_that_is_truncated_or_lacks_a_key_in_use_is_rejected() {
    let text = include_str!("../../../examples/config.json");
    for end in 0..text.trim_end().len() {
        assert!(
            Config::decode(&text.as_bytes()[..end]).is_err(),
            "truncated after {end} bytes"
        );
    }
    let key_paths = |text: &str| Config::decode(text.as_bytes()).unwrap().key_paths;
    let without = |line: &str| {
        assert!(text.contains(line), "{line} is not in the file");
        key_paths(&text.replacen(line, "", 1)).check_includes(&key_paths(text))
    };
    for line in [
        "\"mostHeld\": 214,",
        "\"coldFrom\": 0.2, ",
        "\"cells\": 2, ",
        "\"limits\": {\"sockets\": 1024},",
    ] {
        assert!(
            matches!(without(line), Err(SettingsError::RemovedKey(_))),
            "the missing {line} is not detected"
        );
    }
    assert!(without("\"operator\": \"127.0.0.1:7300\",").is_ok());
}

/// The example configurations are accepted, in JSON and YAML, with the values that they contain.
#[test]
fn the_files_under_deploy_are_valid() {
    let yaml = include_str!("../../../deploy/two-phase.yaml");
    let options = Config::decode(yaml.as_bytes()).unwrap().options().unwrap();
    assert_eq!(
        (options.deployment.phases.classes, options.deployment.shards),
        (vec![0], 4)
    );
    assert!(decode_file(include_str!("../../../deploy/operator.json"))
        .deployment()
        .unwrap()
        .phases
        .classes
        .is_empty());
    let sets = Config::decode(include_str!("../../../deploy/sets.yaml").as_bytes())
        .unwrap()
        .options()
        .unwrap();
    let policy = sets.deployment.policy;
    assert_eq!(
        (
            policy.cells,
            policy.replication_factor,
            policy.max_call_parts,
            policy.max_attempts
        ),
        (2, 1, 8, 3)
    );
    assert!(!policy.can_hedge && !policy.must_poll && policy.call_work_s > 0.05);
}

fn decode_file(text: &str) -> SettingsJson {
    Config::decode(text.as_bytes()).unwrap().json.settings
}

/// An invalid value in `phases` is an error that names its key.
#[rstest::rstest]
#[case(
    "\"classes\": [\"nobody\"]",
    "phases.classes: there is no class \"nobody\""
)]
#[case("\"classes\": [\"stem-hold\"]", "\"stem-hold\" is not idempotent")]
#[case("\"classes\": [\"slot-check\", \"slot-check\"]", "is listed twice")]
#[case(
    "\"classes\": [], \"leastParts\": 0",
    "phases.leastParts: 0 is not an integer from 1"
)]
#[case(
    "\"classes\": [], \"tryAgainEvery\": 1.5",
    "phases.tryAgainEvery: 1.5 is not an integer from 1"
)]
#[case(
    "\"classes\": [], \"mostShare\": 0.9",
    "phases.mostShare: 0.9 is not between"
)]
fn an_invalid_setting_of_phases_is_named(#[case] phases: &str, #[case] named: &str) {
    let file = include_str!("../../../deploy/operator.json");
    let file = file.replace(
        "\"settings\": {",
        &format!("\"settings\": {{\"phases\": {{{phases}}},"),
    );
    let error = decode_file(&file).deployment().unwrap_err().to_string();
    assert!(error.contains(named), "{error}");
}

/// Settings in the store's data folder override those of the file.
#[test]
fn stored_settings_override_those_of_the_file() {
    let folder = std::env::temp_dir().join(format!("wharfhub-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings =
        |name: &str| format!(r#"{{"categories":[{{"name":"{name}","aimS":1.0,"giveUpS":2.0}}]}}"#);
    let config = || {
        let store =
            format!(r#"{{"node":1,"listen":"127.0.0.1:0","folder":{folder:?},"peers":[]}}"#);
        let file = settings("file");
        let text = format!(r#"{{"listen":"127.0.0.1:0","store":{store},"settings":{file}}}"#);
        Config::decode(text.as_bytes())
            .unwrap()
            .options()
            .unwrap()
            .deployment
            .classes
    };
    assert_eq!(config(), ["file"]);
    let version = crate::store::Version {
        counter: 1,
        node: 1,
    };
    Registers::open(&folder)
        .unwrap()
        .put("settings", version, &settings("stored"))
        .unwrap();
    assert_eq!(config(), ["stored"]);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A value that has the wrong type, is out of range or is an unknown choice is rejected with its key. A text that is truncated or
/// not JSON is rejected as such.
#[rstest::rstest]
#[case(
    "\"coldFrom\": 0.2",
    "\"coldFrom\": 1.5",
    "rules.coldFrom: 1.5 is not between 0 and 1"
)]
#[case(
    "\"coldFrom\": 0.2",
    "\"coldFrom\": \"cold\"",
    "settings.rules.coldFrom: \"cold\" is not a number"
)]
#[case(
    "\"mostHeld\": 214",
    "\"mostHeld\": -3",
    "settings.permissions.mostHeld: -3 is not an integer within range"
)]
#[case(
    "\"mostHeld\": 214",
    "\"mostHeld\": 0",
    "permissions.mostHeld: 0 is not between 1 and"
)]
#[case(
    "\"cells\": 2",
    "\"cells\": 0",
    "familyInfo.cells: 0 is not between 1 and"
)]
#[case(
    "\"cells\": 2",
    "\"cells\": 2.5",
    "settings.familyInfo.cells: 2.5 is not an integer within range"
)]
#[case(
    "\"cancelling\": true",
    "\"cancelling\": 1",
    "settings.permissions.cancelling: 1 is not a boolean"
)]
#[case(
    "\"replicasOfMe\"",
    "\"discovery\": \"guess\", \"replicasOfMe\"",
    "discovery: \"guess\" is not one of [\"automatic\", \"subscribe\"]"
)]
#[case("\"dedup\"", "\"once\"", "effect: \"once\" is not one of")]
#[case(
    "{\"sockets\": 1024}",
    "{\"sockets\": 16}",
    "limits.sockets: 16 is not between 32 and"
)]
#[case(
    "{\"sockets\": 1024}",
    "{\"sockets\": [1024]}",
    "limits.sockets: [1024] is not a number"
)]
#[case(
    "{\"sockets\": 1024}",
    "1024",
    "limits: 1024 is not an object with the required keys"
)]
#[case("\"categories\"", "\"classes\"", "categories is missing")]
#[case("}", "", "not valid JSON, or truncated")]
fn an_invalid_value_is_named_with_its_key(
    #[case] old: &str,
    #[case] new: &str,
    #[case] named: &str,
) {
    let text = include_str!("../../../examples/config.json");
    assert!(text.contains(old), "{old} is not in the file");
    let options = Config::decode(text.replacen(old, new, 1).as_bytes()).and_then(Config::options);
    let error = options
        .err()
        .expect("the configuration is invalid")
        .to_string();
    assert!(error.contains(named), "{error}");
}

/// A configuration with a long `known` list is decoded from JSON and YAML, and an invalid key elsewhere in it is named.
#[rstest::rstest]
fn a_known_list_of_a_fleet_is_decoded(#[values(1025, 5300, 10_000)] servers: usize) {
    let json = include_str!("../../../examples/config.json");
    let line = r#"    {"id": "box-a", "host_port": "127.0.0.1:7101", "locality": "cardiff-bay", "cell": 0, "phase": "Ready", "up_since_ms": 0},
"#;
    assert!(json.contains(line));
    let json = json.replacen(line, &line.repeat(servers - 1), 1);
    let yaml = include_str!("../../../deploy/two-phase.yaml");
    let entry = "\n    - id: server\n      host_port: \"10.0.0.1:80\"\n      cell: 0\n      phase: Ready\n      up_since_ms: 0\n      \
                 locality: cardiff-bay\n      speaks: frames\n      prefilter: false";
    let yaml = format!(
        "known:\n  revision: 1\n  members:{}\n{}",
        entry.repeat(servers),
        without_known(yaml)
    );
    for text in [&json, &yaml] {
        let options = Config::decode(text.as_bytes())
            .and_then(Config::options)
            .expect("the configuration is valid");
        let mut directory = crate::endpoints::directory::Directory::new(Vec::new());
        let list = directory
            .read(&options.known_list.expect("the configuration has a list"))
            .expect("the list is valid");
        assert_eq!(list.entries.len(), servers, "{} bytes", text.len());
    }
    let wrong = json.replacen("\"coldFrom\": 0.2", "\"coldFrom\": \"cold\"", 1);
    let error = Config::decode(wrong.as_bytes())
        .err()
        .expect("the configuration is invalid")
        .to_string();
    assert!(
        error.contains("settings.rules.coldFrom: \"cold\" is not a number"),
        "{error}"
    );
}

/// Removes the `known` list, which ends before the next line that is not indented.
fn without_known(yaml: &str) -> String {
    let mut known = false;
    let lines = yaml.lines().filter(|line| {
        known = line.starts_with("known:")
            || (known && (line.starts_with(' ') || line.starts_with('-')));
        !known
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// A file above the maximum length is rejected without being read to its end.
#[test]
fn a_file_over_the_bound_is_rejected_without_being_read_to_its_end() {
    let error = Config::read(Path::new("/dev/zero"))
        .err()
        .expect("the file is too long")
        .to_string();
    assert!(error.contains("more than 16777216 bytes"), "{error}");
}
