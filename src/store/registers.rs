//! The registers of one node, in memory or persisted in a data folder. The field names are part of the file format.
//!
//! With a data folder, a value can be read only once it is durable.

use crate::store::{is_storable, Message, StoreError, Version, MAX_KEY_BYTES};
use miniserde::json;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Maximum total length of all keys and values of a node (bytes). This is less than the sum of the limits on single values.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of keys.
const MAX_KEYS: usize = 256;
/// Name of the file in the data folder.
pub(super) const FILE_NAME: &str = "registers.json";

#[derive(Clone, Debug, PartialEq, miniserde::Serialize, miniserde::Deserialize)]
struct Register {
    key: String,
    version: Version,
    value: String,
}

/// Contents of the file.
#[derive(miniserde::Serialize, miniserde::Deserialize)]
struct Contents {
    checksum: u32,
    /// JSON of the registers, which the checksum covers.
    registers: String,
}

/// The registers of one node.
#[derive(Debug, Default)]
pub struct Registers {
    registers: BTreeMap<String, Register>,
    /// Data folder, if the registers are persisted.
    pub(super) folder: Option<PathBuf>,
}

impl Registers {
    /// Creates empty registers that are kept in memory only.
    pub fn in_memory() -> Registers {
        Registers::default()
    }

    /// Opens registers that are persisted in a data folder, and loads an existing file. A damaged file is an error.
    pub fn open(folder: &Path) -> Result<Registers, StoreError> {
        let text = match fs::read_to_string(folder.join(FILE_NAME)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            text => Some(text?),
        };
        let mut registers = BTreeMap::new();
        if let Some(text) = text {
            let contents: Contents = json::from_str(&text).map_err(|_| StoreError::Damaged)?;
            // A truncated or modified file is rejected completely, because partial state is worse than none.
            if crc32fast::hash(contents.registers.as_bytes()) != contents.checksum {
                return Err(StoreError::Damaged);
            }
            let list: Vec<Register> =
                json::from_str(&contents.registers).map_err(|_| StoreError::Damaged)?;
            registers = list
                .into_iter()
                .map(|register| (register.key.clone(), register))
                .collect();
        }
        Ok(Registers {
            registers,
            folder: Some(folder.to_path_buf()),
        })
    }

    /// Returns the version and value of a register; the version is zero if the key was never written.
    pub fn get(&self, key: &str) -> (Version, Option<&str>) {
        match self.registers.get(key) {
            Some(register) => (register.version, Some(&register.value)),
            None => (Version::default(), None),
        }
    }

    /// Stores a value if its version is newer than the stored one. With a data folder, the value is durable once this function
    /// returns.
    pub fn put(&mut self, key: &str, version: Version, value: &str) -> Result<(), StoreError> {
        if self.get(key).0 >= version {
            return Ok(());
        }
        if !is_storable(key, value) || !self.has_capacity_for(key, value) {
            return Err(StoreError::Limits);
        }
        let register = Register {
            key: key.to_string(),
            version,
            value: value.to_string(),
        };
        let old = self.registers.insert(key.to_string(), register);
        let saved = self.save();
        if saved.is_err() {
            // A value that is not on disk must not be readable.
            match old {
                Some(old) => drop(self.registers.insert(key.to_string(), old)),
                None => drop(self.registers.remove(key)),
            }
        }
        saved
    }

    /// Returns whether the value fits into the limits together with all other registers.
    fn has_capacity_for(&self, key: &str, value: &str) -> bool {
        let others = || {
            self.registers
                .values()
                .filter(|register| register.key != key)
        };
        let bytes: usize = others()
            .map(|register| register.key.len() + register.value.len())
            .sum();
        others().count() < MAX_KEYS && bytes + key.len() + value.len() <= MAX_TOTAL_BYTES
    }

    /// Writes all registers to the file, if there is a data folder. The file is replaced atomically, so that a crash leaves
    /// either the old or the new file.
    fn save(&self) -> Result<(), StoreError> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        let registers = json::to_string(&self.registers.values().cloned().collect::<Vec<_>>());
        let checksum = crc32fast::hash(registers.as_bytes());
        let contents = Contents {
            checksum,
            registers,
        };
        let temporary = folder.join(format!("{FILE_NAME}.next"));
        let mut file = File::create(&temporary)?;
        file.write_all(json::to_string(&contents).as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary, folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()?;
        Ok(())
    }

    /// Handles a request of a peer or of this node, and returns the answer. Returns `None` if the message is not a valid request
    /// or the value cannot be stored.
    pub fn serve(&mut self, request: &Message) -> Option<Message> {
        if request.answer || request.key.len() > MAX_KEY_BYTES {
            return None;
        }
        let mut answer = Message {
            answer: true,
            ..request.clone()
        };
        match &request.value {
            None => {
                let (version, value) = self.get(&request.key);
                answer.version = version;
                answer.value = value.map(String::from);
            }
            // A value that could not be stored is not acknowledged.
            Some(value) => {
                self.put(&request.key, request.version, value).ok()?;
                answer.value = None;
            }
        }
        Some(answer)
    }
}
