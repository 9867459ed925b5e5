//! The keys of the settings and of the configuration that contains them: each is read under its name of release dade8db.

use miniserde::json::{self, Array, Value};
use rstest::rstest;
use wharfhub::config::{decode, Config};

const SETTINGS: &str = r#"{
    "categories": [{"name": "slot", "aimS": 0.5, "giveUpS": 2.0, "effect": "dedup", "lateWorth": 0.3, "windowS": 1.0, "worth": 2.0}],
    "tenants": [{"name": "acme", "share": 1.0, "allowancePerS": 100.0}],
    "zones": ["a"], "myZone": 0, "replicasOfMe": 1, "roundS": 0.005, "discovery": "subscribe",
    "overShareWorth": 0.2, "worthBy": "work",
    "familyInfo": {"cells": 2, "slabs": 4, "inARow": 1, "perCall": 1, "perCallWorkS": 0.001, "classPartial": [0.9],
        "completeFrom": [1.0], "floorByClass": [1.0], "followUp": [0]},
    "permissions": {"cancelling": true, "connIdleS": 15.0, "connectTimeoutS": 5.0, "maxRetryAfterS": 2.0, "mostHeld": 6,
        "probes": false, "retryAfter": true, "secondCopies": true, "sendCap": 4, "streamsPerConn": 32},
    "rules": {"askWithinS": 10.0, "coldFrom": 0.2, "coldS": 14.0, "drainGraceS": 0.5, "fallMultiple": 2.5,
        "overloadForS": 1.5, "extraFloor": 4.0, "furtherRatio": 0.2, "ratioSpanS": 10.0},
    "phases": {"classes": [], "leastParts": 4, "mostShare": 0.4, "tryAgainEvery": 100}
}"#;

/// Returns the JSON with a value of a wrong type at the key `path`, which a decoder that reads this key rejects.
fn with_wrong_value(settings: &str, path: &[&str]) -> String {
    let mut complete: Value = json::from_str(settings).expect("JSON");
    let mut value = &mut complete;
    for step in path {
        value = match value {
            Value::Object(object) => object.get_mut(*step).expect("key not in the JSON"),
            Value::Array(entries) => &mut entries[0],
            _ => panic!("{path:?} continues below a plain value"),
        };
    }
    *value = Value::Array([Value::Array(Array::new())].into_iter().collect());
    json::to_string(&complete)
}

#[test]
fn the_settings_with_every_key_are_accepted() {
    decode(SETTINGS.as_bytes()).expect("settings rejected");
}

#[rstest]
#[case::class(&["name", "aimS", "giveUpS", "effect", "lateWorth", "windowS", "worth"], &["categories", "0"])]
#[case::tenant(&["name", "share", "allowancePerS"], &["tenants", "0"])]
#[case::top(&["categories", "tenants", "zones", "myZone", "replicasOfMe", "roundS", "discovery", "overShareWorth", "worthBy",
    "familyInfo", "permissions", "rules", "phases"], &[])]
#[case::family(&["cells", "slabs", "inARow", "perCall", "perCallWorkS", "classPartial", "completeFrom", "floorByClass",
    "followUp"], &["familyInfo"])]
#[case::permissions(&["cancelling", "connIdleS", "connectTimeoutS", "maxRetryAfterS", "mostHeld", "probes", "retryAfter",
    "secondCopies", "sendCap", "streamsPerConn"], &["permissions"])]
#[case::rules(&["askWithinS", "coldFrom", "coldS", "drainGraceS", "fallMultiple", "overloadForS", "extraFloor",
    "furtherRatio", "ratioSpanS"], &["rules"])]
#[case::phases(&["classes", "leastParts", "mostShare", "tryAgainEvery"], &["phases"])]
fn every_key_of_the_settings_is_read(#[case] keys: &[&str], #[case] parent: &[&str]) {
    for key in keys {
        let path: Vec<&str> = parent.iter().copied().chain([*key]).collect();
        let error = decode(with_wrong_value(SETTINGS, &path).as_bytes())
            .expect_err(key)
            .to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
}

/// The configuration file, to which `LB_CONFIG` or `--config` refers, contains the settings.
#[rstest]
#[case("name")]
#[case("listen")]
#[case("discovery")]
#[case("seed")]
#[case("operator")]
#[case("drain_s")]
#[case("limits")]
#[case("limits.memory_mb")]
#[case("limits.sockets")]
#[case("search")]
#[case("search.listen")]
#[case("search.tenant")]
#[case("store")]
#[case("store.node")]
#[case("store.listen")]
#[case("store.peers")]
#[case("store.folder")]
#[case("vrrp")]
#[case("vrrp.router")]
#[case("vrrp.priority")]
#[case("vrrp.interval_cs")]
#[case("vrrp.preempt")]
#[case("vrrp.listen")]
#[case("vrrp.addresses")]
#[case("vrrp.peers")]
fn every_key_of_the_configuration_is_read(#[case] key: &str) {
    let config = format!(
        r#"{{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7", "operator": "127.0.0.1:0",
            "drain_s": 1.0, "limits": {{"memory_mb": 64, "sockets": 512}}, "settings": {SETTINGS},
            "search": {{"listen": "127.0.0.1:0", "tenant": "acme"}},
            "store": {{"node": 1, "listen": "127.0.0.1:0", "peers": [], "folder": "/nowhere"}},
            "vrrp": {{"router": 1, "priority": 100, "interval_cs": 100, "preempt": true, "listen": "127.0.0.1:0",
                "addresses": ["127.0.0.9"], "peers": []}}}}"#
    );
    Config::decode(config.as_bytes()).expect("configuration rejected");
    let path: Vec<&str> = key.split('.').collect();
    let Err(error) = Config::decode(with_wrong_value(&config, &path).as_bytes()) else {
        panic!("{key} is not read")
    };
    let last = path.last().expect("empty path");
    assert!(error.to_string().contains(last), "{key}: {error}");
}
