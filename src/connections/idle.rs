//! Management of large numbers of idle client connections: the number that each group may have, the order in which idle
//! connections are closed, and the number that is read in one iteration of the event loop.
//!
//! This module defines the settings. `capacity.rs` keeps the counts of each group and decides on admission and eviction;
//! `table.rs` keeps the order of the connections.
//!
//! The caller assigns each connection to a group. Groups are numbered in the order of the settings; the last group contains all
//! connections whose address is in none of the configured address sets.

mod capacity;
mod table;

pub use capacity::{Admission, Capacity};
pub use table::{IdleTable, SlotBatch, Stage};

use thiserror::Error;

/// Settings for idle client connections.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleSettings {
    /// Maximum number of open connections, idle or busy.
    pub max_connections: usize,
    /// Time after which an idle connection is closed (seconds).
    pub idle_s: f64,
    /// Resolution of the times that are recorded for connections (seconds).
    pub step_s: f64,
    /// Shares of the connections for each group except the last, which has the remainder up to 1.
    pub shares: Vec<f64>,
    /// Maximum number of connections that are read in one iteration of the event loop.
    pub max_reads_per_iteration: usize,
    /// Minimum Retry-After sent to a rejected client (seconds).
    pub min_retry_after_s: f64,
    /// Maximum Retry-After sent to a rejected client (seconds).
    pub max_retry_after_s: f64,
    /// Number of new connections that can be accepted per second.
    pub accepts_per_s: f64,
}

impl Default for IdleSettings {
    fn default() -> IdleSettings {
        IdleSettings {
            max_connections: 10_000,
            idle_s: 3600.0,
            step_s: 1.0,
            shares: Vec::new(),
            max_reads_per_iteration: 64,
            min_retry_after_s: 0.1,
            max_retry_after_s: 2.0,
            accepts_per_s: 1000.0,
        }
    }
}

/// Reason for which the settings are rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum IdleSettingsError {
    /// The maximum number of connections, or of reads in an iteration, is 0.
    #[error("no connection could be kept open or read")]
    NoConnections,
    /// A value is not finite or not above 0.
    #[error("{value} is not above 0")]
    NotPositive {
        /// Key of the setting.
        key: &'static str,
        /// Rejected value.
        value: f64,
    },
    /// The maximum Retry-After is below the minimum, or not finite.
    #[error("the maximum is below the minimum or not finite")]
    RetryAfterBounds,
    /// A share is not between 0 and 1, or the sum of the shares exceeds 1.
    #[error("a share is not between 0 and 1, or the sum {sum} of the shares exceeds 1")]
    Shares {
        /// Sum of the shares.
        sum: f64,
    },
}

impl IdleSettingsError {
    /// Returns the key of the invalid setting.
    pub fn key(&self) -> &'static str {
        match self {
            IdleSettingsError::NoConnections => "most",
            IdleSettingsError::NotPositive { key, .. } => key,
            IdleSettingsError::RetryAfterBounds => "comeBackS",
            IdleSettingsError::Shares { .. } => "shares",
        }
    }
}

impl IdleSettings {
    /// Returns an error if a value is invalid.
    pub fn check(&self) -> Result<(), IdleSettingsError> {
        if self.max_connections == 0 || self.max_reads_per_iteration == 0 {
            return Err(IdleSettingsError::NoConnections);
        }
        check_positive("idleS", self.idle_s)?;
        check_positive("stepS", self.step_s)?;
        check_positive("takenASecond", self.accepts_per_s)?;
        check_positive("comeBackS", self.min_retry_after_s)?;
        if self.max_retry_after_s < self.min_retry_after_s || !self.max_retry_after_s.is_finite() {
            return Err(IdleSettingsError::RetryAfterBounds);
        }
        let sum: f64 = self.shares.iter().sum();
        if self.shares.iter().any(|share| !(0.0..=1.0).contains(share)) || sum > 1.0 + 1e-9 {
            return Err(IdleSettingsError::Shares { sum });
        }
        Ok(())
    }

    /// Returns the number of groups, including the last group.
    fn group_count(&self) -> usize {
        self.shares.len() + 1
    }
}

fn check_positive(key: &'static str, value: f64) -> Result<(), IdleSettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(IdleSettingsError::NotPositive { key, value })
    }
}

#[cfg(test)]
mod tests;
