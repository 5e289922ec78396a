//! One end of a target without a word, and what ran there.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Requests that one end names at most, so that it fits into a datagram.
pub const MAX_RUNNING: usize = 128;

/// Name of one end of a target, drawn at random.
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

/// A target's end without a word, as daemons tell each other of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which one.
    pub id: CrashId,
    /// Time since then, when it was told.
    pub age: Millis,
    /// Requests that ran there and may have caused it, sorted.
    pub running: Vec<Fingerprint>,
    /// Others that ran there, which a target has answered since, sorted.
    pub cleared: Vec<Fingerprint>,
}

impl Crash {
    /// An end that has just happened.
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

    /// The same end as one told `age` ago, as far as it accuses one request.
    #[must_use]
    pub fn with_cause(id: CrashId, cause: Fingerprint, age: Millis) -> Self {
        Self {
            age,
            ..Self::new(id, vec![cause])
        }
    }

    /// Whether a request may have caused it.
    #[must_use]
    pub fn implicates(&self, fingerprint: Fingerprint) -> bool {
        contains(&self.running, fingerprint)
    }

    /// Adds what another told of the same end; whether any of it was news.
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

    /// Notes that a request is not the cause; whether that was news.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.running.retain(|other| *other != fingerprint);
        insert(&mut self.cleared, fingerprint)
    }
}

fn contains(list: &[Fingerprint], fingerprint: Fingerprint) -> bool {
    list.binary_search(&fingerprint).is_ok()
}

/// Adds one to a sorted list within its bound; whether it was not there.
fn insert(list: &mut Vec<Fingerprint>, fingerprint: Fingerprint) -> bool {
    match list.binary_search(&fingerprint) {
        Err(index) if list.len() < MAX_RUNNING => {
            list.insert(index, fingerprint);
            true
        }
        _ => false,
    }
}
