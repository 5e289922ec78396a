//! Messages between daemons and collectors.
//!
//! Counts are cumulative, so that a lost or duplicated datagram neither loses nor doubles anything. Each page of a
//! message is complete by itself.

use serde::{Deserialize, Serialize};

use crate::quota::TeamHash;
use crate::units::Millis;

/// Most teams in one datagram. An entry takes at most 32 bytes, so a page stays below 1,100 bytes.
pub const MAX_TEAMS: usize = 33;

/// Cumulative counts of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Team that sent the requests.
    pub team: TeamHash,
    /// Requests that arrived.
    pub asked: i64,
    /// Requests that were admitted and not given back.
    pub admitted: i64,
    /// In sums, requests that the fleet has admitted beyond the quota, as the sender knows it.
    pub debt: u32,
}

/// A message of the quota protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a daemon to its collector.
    Report(Report),
    /// From a collector to a daemon of its data centre.
    Reply(Reply),
    /// From a collector to another one.
    Sums(Sums),
}

/// Counts of a daemon since the start of its session with a collector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identifier of the session; 0 if the report only asks whether the collector replies.
    pub session: u64,
    /// Epoch of the collector; 0 if the daemon does not know it yet.
    pub epoch: u64,
    /// Number of this page, rising within the life of the daemon.
    pub seq: u64,
    /// Time after which the next report is due.
    pub next: Millis,
    /// Teams with counts that have not been acknowledged.
    pub teams: Vec<Counts>,
}

/// Acknowledgement of a report, with the limits in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Epoch of the collector, which changes when it has lost its state.
    pub epoch: u64,
    /// Session of the report; 0 asks the daemon to begin a new one.
    pub session: u64,
    /// Number of the report; 0 if this reply was not asked for.
    pub seq: u64,
    /// Teams that are limited, and those whose limit has just ended.
    pub limits: Vec<Limit>,
}

/// Limit on one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The limited team.
    pub team: TeamHash,
    /// Share of its requests to admit, in 1/10,000.
    pub share: u16,
    /// Time until the share is above 0.
    pub wait: Millis,
}

/// Counts of all daemons that report to one collector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Epoch of the collector, in which the counts are cumulative.
    pub epoch: u64,
    /// Number of this page, rising within the epoch.
    pub seq: u64,
    /// Time since the epoch began.
    pub age: Millis,
    /// Members of the collector's data centre that report to it.
    pub reporting: u32,
    /// Teams with recent changes.
    pub teams: Vec<Counts>,
}

/// Splits entries into pages of one datagram each; one empty page if there are none.
#[must_use]
pub fn pages<T: Clone>(entries: &[T]) -> Vec<Vec<T>> {
    if entries.is_empty() {
        return vec![Vec::new()];
    }
    entries.chunks(MAX_TEAMS).map(<[T]>::to_vec).collect()
}
