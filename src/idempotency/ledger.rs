//! The fold of a service's claims on the log: the first claim of a key in log order holds.
//!
//! ```
//! use jackdawpulley::idempotency::keys::Holder;
//! use jackdawpulley::idempotency::ledger::{Claim, Entry, Ledger};
//! use jackdawpulley::units::Offset;
//!
//! let claim = |run_id| Claim {
//!     key: "till/k1".into(),
//!     holder: Holder { sidecar: "127.0.0.1:7001".parse().unwrap(), run_id },
//!     number: 1,
//! };
//! let mut ledger = Ledger::new(Offset(0));
//! ledger.apply(Offset(0), 1_000, &[Entry::Claim(claim(1)), Entry::Claim(claim(2))]);
//! assert_eq!(ledger.holder(&claim(1).key), Some(&claim(1)));
//! ledger.apply(Offset(1), 1_010, &[Entry::Release(claim(1)), Entry::Claim(claim(2))]);
//! assert_eq!(ledger.holder(&claim(2).key), Some(&claim(2)));
//! ```

use serde::{Deserialize, Serialize};

use crate::idempotency::keys::Holder;
use crate::units::{IdempotencyKey, Offset};

/// One wish to run a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, with its service.
    pub key: IdempotencyKey,
    /// Gate that wants to run it.
    pub holder: Holder,
    /// Number of the claim at its gate.
    pub number: u64,
}

/// What a record of the `claims` stream is made of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Claims a key.
    Claim(Claim),
    /// Gives a claim back: its key has provably not run.
    Release(Claim),
}

/// A record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// When it was written, in milliseconds since 1970 by its writer's clock.
    pub at_ms: u64,
    /// Claims and releases, in order.
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
struct HeldClaim {
    claim: Claim,
    at_ms: u64,
}

/// Claims that hold, as far as the records have been folded.
#[derive(Debug)]
pub struct Ledger {
    next: Offset,
    /// Sorted by key.
    held: Vec<HeldClaim>,
}

impl Ledger {
    /// A ledger that starts at `next` and knows nothing of earlier records.
    #[must_use]
    pub const fn new(next: Offset) -> Self {
        Self {
            next,
            held: Vec::new(),
        }
    }

    /// First offset not folded yet.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Keys that are held.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The claim that holds a key.
    #[must_use]
    pub fn holder(&self, key: &IdempotencyKey) -> Option<&Claim> {
        let index = self.find(key).ok()?;
        Some(&self.held[index].claim)
    }

    /// Folds the record at `offset`, unless it is folded already.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, entries: &[Entry]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        for entry in entries {
            match entry {
                Entry::Claim(claim) => {
                    if let Err(index) = self.find(&claim.key) {
                        self.held.insert(
                            index,
                            HeldClaim {
                                claim: claim.clone(),
                                at_ms,
                            },
                        );
                    }
                }
                Entry::Release(claim) => {
                    // Only the claim that holds can be given back: a late release of a claim
                    // that lost must not free the key of the one that won.
                    if let Ok(index) = self.find(&claim.key)
                        && self.held[index].claim == *claim
                    {
                        self.held.remove(index);
                    }
                }
            }
        }
    }

    /// Forgets claims that were written before `at_ms`.
    pub fn forget_before(&mut self, at_ms: u64) {
        self.held.retain(|held| held.at_ms >= at_ms);
    }

    fn find(&self, key: &IdempotencyKey) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.claim.key.cmp(key))
    }
}
