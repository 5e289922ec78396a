//! Replica of a service's claims on the log: the first claim of a key in log order holds it.
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

/// A claim to run a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, with its service.
    pub key: IdempotencyKey,
    /// Sidecar that is about to run it.
    pub holder: Holder,
    /// Sequence number of the claim at its sidecar.
    pub number: u64,
}

/// An entry of a record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Claims a key.
    Claim(Claim),
    /// Releases a claim: its key has provably not run.
    Release(Claim),
}

/// A record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// When it was written, in milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// Claims and releases, in order.
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
struct HeldClaim {
    claim: Claim,
    at_ms: u64,
}

/// The claims that hold after the records applied so far.
#[derive(Debug)]
pub struct Ledger {
    next: Offset,
    /// Sorted by key.
    held: Vec<HeldClaim>,
}

impl Ledger {
    /// An empty ledger that starts at offset `next`.
    #[must_use]
    pub const fn new(next: Offset) -> Self {
        Self {
            next,
            held: Vec::new(),
        }
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Number of held keys.
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

    /// Applies the record at `offset`, unless it was applied already.
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
                    // Only the claim that holds can be released: a late release of a claim that
                    // lost must not free the key of the claim that won.
                    if let Ok(index) = self.find(&claim.key)
                        && self.held[index].claim == *claim
                    {
                        self.held.remove(index);
                    }
                }
            }
        }
    }

    /// Removes claims that were written before `at_ms`, in milliseconds since 1970.
    pub fn forget_before(&mut self, at_ms: u64) {
        self.held.retain(|held| held.at_ms >= at_ms);
    }

    fn find(&self, key: &IdempotencyKey) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.claim.key.cmp(key))
    }
}
