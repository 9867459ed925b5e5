//! The file in which a node of the store keeps its registers.

use std::fs;
use std::path::{Path, PathBuf};
use wharfhub::store::{Registers, Version};

const WRITTEN_BY_DADE8DB: &str = include_str!("data/store/registers.json");

/// The key, version and value of each register in the file.
const REGISTERS: [(&str, Version, &str); 3] = [
    (
        "drains",
        Version {
            counter: 1764633600123,
            node: 2,
        },
        r#"["s1"]"#,
    ),
    (
        "members",
        Version {
            counter: 7,
            node: 1,
        },
        "{\"members\":[]}\n",
    ),
    (
        "note/\u{e9}",
        Version {
            counter: 3,
            node: 4294967295,
        },
        "a \\ \"quoted\" line\n",
    ),
];

fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("wharfhub-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("create the folder");
    folder
}

#[test]
fn registers_written_by_release_dade8db_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/data/store");
    let registers = Registers::open(&folder).expect("open the registers");
    for (key, version, value) in REGISTERS {
        assert_eq!(registers.get(key), (version, Some(value)));
    }
}

#[test]
fn registers_are_written_as_by_release_dade8db() {
    let folder = empty_folder("registers");
    let mut registers = Registers::open(&folder).expect("open an empty folder");
    for (key, version, value) in REGISTERS {
        registers
            .put(key, version, value)
            .expect("store a register");
    }
    let written = fs::read_to_string(folder.join("registers.json")).expect("read the written file");
    assert_eq!(written, WRITTEN_BY_DADE8DB);
    fs::remove_dir_all(folder).expect("remove the folder");
}
