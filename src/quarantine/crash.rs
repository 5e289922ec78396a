//! Reports of target crashes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Most requests that a report lists, so that it fits into a datagram.
pub const MAX_RUNNING: usize = 128;

/// Random identifier of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CrashId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The unannounced end of a target process, as daemons report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the crash.
    pub id: CrashId,
    /// Time since the crash, at the time of sending.
    pub age: Millis,
    /// Requests that were running and may have caused the crash, sorted.
    pub running: Vec<Fingerprint>,
    /// Requests that were running but that a target has answered since, sorted.
    pub cleared: Vec<Fingerprint>,
}

impl Crash {
    /// A crash that has just happened.
    #[must_use]
    pub fn new(id: CrashId, mut running: Vec<Fingerprint>) -> Self {
        running.truncate(MAX_RUNNING);
        running.sort_unstable();
        running.dedup();
        Self {
            id,
            age: Millis(0),
            running,
            cleared: Vec::new(),
        }
    }

    /// A crash of the given age that implicates only `cause`.
    #[must_use]
    pub fn with_cause(id: CrashId, cause: Fingerprint, age: Millis) -> Self {
        Self {
            age,
            ..Self::new(id, vec![cause])
        }
    }

    /// Whether the request may have caused the crash.
    #[must_use]
    pub fn implicates(&self, fingerprint: Fingerprint) -> bool {
        contains(&self.running, fingerprint)
    }

    /// Merges another report of the same crash; returns whether this one changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let cleared = other
            .cleared
            .iter()
            .map(|fingerprint| self.clear(*fingerprint));
        let cleared = cleared.filter(|is_new| *is_new).count() > 0;
        let running = other
            .running
            .iter()
            .filter(|fingerprint| !contains(&self.cleared, **fingerprint));
        let running: Vec<Fingerprint> = running.copied().collect();
        let added = running
            .iter()
            .map(|fingerprint| insert(&mut self.running, *fingerprint));
        added.filter(|is_new| *is_new).count() > 0 || cleared
    }

    /// Marks a request as not the cause; returns whether it was not marked before.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.running.retain(|other| *other != fingerprint);
        insert(&mut self.cleared, fingerprint)
    }
}

fn contains(list: &[Fingerprint], fingerprint: Fingerprint) -> bool {
    list.binary_search(&fingerprint).is_ok()
}

/// Inserts into a sorted list of at most [`MAX_RUNNING`]; returns whether the list changed.
fn insert(list: &mut Vec<Fingerprint>, fingerprint: Fingerprint) -> bool {
    match list.binary_search(&fingerprint) {
        Err(index) if list.len() < MAX_RUNNING => {
            list.insert(index, fingerprint);
            true
        }
        _ => false,
    }
}
