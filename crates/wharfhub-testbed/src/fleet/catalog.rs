//! Server catalog of the discovery stand-in: the listed servers, the revision at which each last changed, and the JSON of
//! complete lists and of changes.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// Number of changes that are kept. A watch with a revision older than these gets the complete list.
const MAX_REMEMBERED_CHANGES: usize = 50_000;

/// Phase of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The server accepts requests.
    Ready,
    /// The server drains.
    Terminating,
    /// The server no longer exists; only changes name it.
    Removed,
}

impl Phase {
    fn as_str(self) -> &'static str {
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
    /// Name that is unique in the list.
    pub id: String,
    /// Address at which it listens.
    pub address: String,
    /// Name of the zone (`locality` in the JSON).
    pub zone: String,
    /// Number of the cell to which it belongs.
    pub cell: u32,
    /// Phase that the list states.
    pub phase: Phase,
    /// Start time (Unix milliseconds), or 0 if unknown.
    pub started_ms: u64,
}

impl ListedServer {
    /// Creates the entry of a server that does not exist and that no mixer connects to; name, address and zone follow from
    /// its number.
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

/// Whitespace in the JSON of lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Layout {
    /// No whitespace.
    #[default]
    Compact,
    /// A line for each key, indented by two spaces for each level.
    Indented,
}

/// Servers of a discovery and their last changes.
#[derive(Clone, Debug)]
pub struct Catalog {
    revision: u64,
    servers: BTreeMap<String, ListedServer>,
    changed: BTreeMap<(u64, String), ListedServer>, // last change of each server, by revision
    changed_at: HashMap<String, u64>,
    discarded_up_to: u64, // changes after this revision are stored
}

impl Catalog {
    /// Creates a catalog of the given servers at a revision.
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
            discarded_up_to: revision,
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the catalog has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// Applies changes as one new revision, which it returns.
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
        self.discard_oldest_changes();
        self.revision
    }

    fn discard_oldest_changes(&mut self) {
        while self.changed.len() > MAX_REMEMBERED_CHANGES {
            let Some(((revision, id), _)) = self.changed.pop_first() else {
                return;
            };
            self.changed_at.remove(&id);
            self.discarded_up_to = self.discarded_up_to.max(revision);
        }
    }

    /// Returns whether all changes after a revision are stored; otherwise only the complete list can be sent.
    pub fn has_changes_since(&self, since: u64) -> bool {
        (self.discarded_up_to..=self.revision).contains(&since)
    }

    /// Returns the complete list as JSON.
    pub fn complete_list(&self, layout: Layout) -> String {
        render(
            self.revision,
            true,
            self.servers.values(),
            self.servers.len(),
            layout,
        )
    }

    /// Returns the last change of each server after a revision, as JSON.
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
            phase.as_str()
        );
    }
    text.push_str("]}");
    text
}
