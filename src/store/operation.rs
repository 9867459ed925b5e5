//! The steps of one read or write in the ABD algorithm, each of which needs a majority of the store's nodes.

use crate::store::{Message, Version};
use std::collections::BTreeSet;

/// Result of an operation: the version and value that a majority now has.
#[derive(Clone, Debug, PartialEq)]
pub struct Completed {
    /// Key of the register.
    pub key: String,
    /// Version of the value.
    pub version: Version,
    /// The value; `None` if the key was never written.
    pub value: Option<String>,
}

/// Effect of an answer on an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// More answers are needed, or the answer was ignored.
    Waiting,
    /// The next step has begun, and this message is to be sent to all nodes.
    Send(Message),
    /// The operation is complete.
    Completed(Completed),
}

/// Parameters of an operation.
#[derive(Clone, Copy, Debug)]
pub struct OperationSetup {
    /// Id of the operation, unique on this node.
    pub id: u64,
    /// Id of this node.
    pub node: u32,
    /// Number of nodes, including this one.
    pub node_count: usize,
    /// Minimum counter of a write: the wall clock time (milliseconds). A node that restarted without its registers must not reuse
    /// a version that it stored only at a minority before.
    pub min_counter: u64,
}

/// Step of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    QueryVersions,
    Store,
    Completed,
}

impl Step {
    /// Returns the number of the step in messages. No message has the number of `Completed`.
    fn number(self) -> u32 {
        match self {
            Step::QueryVersions => 1,
            Step::Store => 2,
            Step::Completed => 3,
        }
    }
}

/// An operation in progress. Its messages are sent to all nodes, including this one.
#[derive(Debug)]
pub struct Operation {
    setup: OperationSetup,
    key: String,
    /// Value to write, until a version is assigned to it.
    write: Option<String>,
    step: Step,
    /// Ids of the nodes that have answered in this step.
    answered: BTreeSet<u32>,
    /// Highest version that was read, or the version that is being stored.
    version: Version,
    /// Value of that version.
    value: Option<String>,
}

impl Operation {
    /// Begins a write if a value is given, otherwise a read, and returns the first message. The caller must not run more than one
    /// operation of this node on the same key at the same time.
    pub fn begin(setup: OperationSetup, key: &str, write: Option<String>) -> (Operation, Message) {
        let operation = Operation {
            setup,
            key: key.to_string(),
            write,
            step: Step::QueryVersions,
            answered: BTreeSet::new(),
            version: Version::default(),
            value: None,
        };
        let message = operation.message(None);
        (operation, message)
    }

    fn message(&self, value: Option<String>) -> Message {
        Message {
            operation: self.setup.id,
            step: self.step.number(),
            answer: false,
            key: self.key.clone(),
            version: self.version,
            value,
        }
    }

    /// Handles the answer of a node.
    pub fn handle_answer(&mut self, from: u32, answer: Message) -> Progress {
        // A late answer to the first step, or a second answer of the same node, must not count towards the majority.
        if !answer.answer
            || answer.operation != self.setup.id
            || answer.step != self.step.number()
            || !self.answered.insert(from)
        {
            return Progress::Waiting;
        }
        if self.step == Step::QueryVersions && answer.version > self.version {
            self.version = answer.version;
            self.value = answer.value;
        }
        if self.answered.len() <= self.setup.node_count / 2 {
            return Progress::Waiting;
        }
        if self.step == Step::QueryVersions {
            self.assign_version();
            if self.value.is_some() {
                self.step = Step::Store;
                self.answered = BTreeSet::new();
                return Progress::Send(self.message(self.value.clone()));
            }
        }
        self.step = Step::Completed;
        Progress::Completed(Completed {
            key: self.key.clone(),
            version: self.version,
            value: self.value.clone(),
        })
    }

    /// Assigns a version above all versions that were read to the value to write, if there is one.
    fn assign_version(&mut self) {
        let Some(value) = self.write.take() else {
            return;
        };
        let next_counter = self.version.counter.saturating_add(1);
        self.version = Version {
            counter: self.setup.min_counter.max(next_counter),
            node: self.setup.node,
        };
        self.value = Some(value);
    }
}
