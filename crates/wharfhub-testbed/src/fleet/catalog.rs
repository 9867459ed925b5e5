//! The servers that a discovery lists, by version, and its answers as text.
//!
//! This file owns which server changed with which version and the JSON of complete lists and of changes. It must never
//! hold a socket, never read a clock, and never decide when a watch is answered.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// Changes that are remembered: a watch from before the oldest of them gets the complete list.
const MAX_REMEMBERED_CHANGES: usize = 50_000;

/// What a list says of a server's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Ready,
    /// It drains.
    Terminating,
    /// It is no longer there.
    Removed,
}

impl Phase {
    fn word(self) -> &'static str {
        match self {
            Phase::Ready => "Ready",
            Phase::Terminating => "Terminating",
            Phase::Removed => "Gone",
        }
    }
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Where it is in its life.
    pub phase: Phase,
    /// When it started (Unix milliseconds), or 0.
    pub started_ms: u64,
}

impl ListedServer {
    /// A server of that number that nobody ever connects to.
    pub fn hollow(number: u32, zones: &[String], cell: u32) -> ListedServer {
        let zone = zones
            .get(number as usize % zones.len().max(1))
            .cloned()
            .unwrap_or_default();
        let address = format!(
            "127.{}.{}.{}:9",
            1 + number / 65_025,
            number / 255 % 255,
            1 + number % 255
        );
        let id = format!("s-{number:08x}");
        ListedServer {
            id,
            address,
            zone,
            cell,
            phase: Phase::Ready,
            started_ms: 0,
        }
    }
}

/// How lists are laid out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Layout {
    /// Without spaces.
    #[default]
    Compact,
    /// A key a line, two spaces a level.
    Indented,
}

/// The servers of a discovery, by version.
#[derive(Clone, Debug)]
pub struct Catalog {
    revision: u64,
    servers: BTreeMap<String, ListedServer>,
    changed: BTreeMap<(u64, String), ListedServer>, // the last change of each server, by version
    changed_at: HashMap<String, u64>,
    forgotten_up_to: u64, // changes after this version are remembered
}

impl Catalog {
    /// A catalog that lists these at that version.
    pub fn new(revision: u64, servers: impl IntoIterator<Item = ListedServer>) -> Catalog {
        let servers = servers
            .into_iter()
            .map(|server| (server.id.clone(), server))
            .collect();
        let (changed, changed_at) = (BTreeMap::new(), HashMap::new());
        Catalog {
            revision,
            servers,
            changed,
            changed_at,
            forgotten_up_to: revision,
        }
    }

    /// Its version.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The servers, by name.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// Takes changes in as one new version; gives that version.
    pub fn apply(&mut self, changes: Vec<ListedServer>) -> u64 {
        self.revision += 1;
        for server in changes {
            if let Some(before) = self.changed_at.insert(server.id.clone(), self.revision) {
                self.changed.remove(&(before, server.id.clone()));
            }
            self.changed
                .insert((self.revision, server.id.clone()), server.clone());
            if server.phase == Phase::Removed {
                self.servers.remove(&server.id);
            } else {
                self.servers.insert(server.id.clone(), server);
            }
        }
        self.forget_oldest_changes();
        self.revision
    }

    fn forget_oldest_changes(&mut self) {
        while self.changed.len() > MAX_REMEMBERED_CHANGES {
            let Some(((revision, id), _)) = self.changed.pop_first() else {
                return;
            };
            self.changed_at.remove(&id);
            self.forgotten_up_to = self.forgotten_up_to.max(revision);
        }
    }

    /// Whether changes since that version can be told; otherwise only the complete list can.
    pub fn has_changes_since(&self, since: u64) -> bool {
        (self.forgotten_up_to..=self.revision).contains(&since)
    }

    /// The complete list as text.
    pub fn complete_list(&self, layout: Layout) -> String {
        render(
            self.revision,
            true,
            self.servers.values(),
            self.servers.len(),
            layout,
        )
    }

    /// The last change of each server since that version, as text.
    pub fn changes_since(&self, since: u64, layout: Layout) -> String {
        let changes = self.changed.range((since + 1, String::new())..);
        let count = changes.clone().count();
        render(
            self.revision,
            false,
            changes.map(|(_, server)| server),
            count,
            layout,
        )
    }
}

fn render<'a>(
    revision: u64,
    complete: bool,
    servers: impl Iterator<Item = &'a ListedServer>,
    count: usize,
    layout: Layout,
) -> String {
    let mut text = String::with_capacity(80 + count * 160);
    let (line, key, colon) = match layout {
        Layout::Compact => ("", "", ""),
        Layout::Indented => ("\n    ", "\n      ", " "),
    };
    let _ = write!(
        text,
        "{{\"revision\":{colon}{revision},\"complete\":{colon}{complete},\"members\":{colon}["
    );
    for (index, server) in servers.enumerate() {
        let comma = if index > 0 { "," } else { "" };
        let ListedServer {
            id,
            address,
            zone,
            cell,
            phase,
            started_ms,
        } = server;
        let _ = write!(
            text,
            "{comma}{line}{{{key}\"id\":{colon}\"{id}\",{key}\"host_port\":{colon}\"{address}\",\
             {key}\"locality\":{colon}\"{zone}\",{key}\"flavor\":{colon}\"m2\",{key}\"cell\":{colon}{cell},\
             {key}\"phase\":{colon}\"{}\",{key}\"size\":{colon}1.0,{key}\"up_since_ms\":{colon}{started_ms}{line}}}",
            phase.word()
        );
    }
    text.push_str("]}");
    text
}
