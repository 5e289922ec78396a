//! Memory that all connections may use for requests that follow each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for all connections of a listener, in bytes: a twentieth of that of the smallest hosts.
pub const TOTAL_BYTES: usize = 8 << 20;

/// Memory in use, in bytes.
#[derive(Debug, Default)]
pub struct Budget {
    used: AtomicUsize,
}

impl Budget {
    /// Whether memory is left.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.used.load(Ordering::Relaxed) < TOTAL_BYTES
    }

    /// Takes memory that is in use already, even if none is left.
    #[must_use]
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        Charge {
            budget: Arc::clone(self),
            bytes,
        }
    }

    /// Takes memory if it is left.
    #[must_use]
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let charge = self.charge(bytes);
        (self.used.load(Ordering::Relaxed) <= TOTAL_BYTES).then_some(charge)
    }
}

/// Memory in use by one owner, returned on drop.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Charge {
    /// Changes the amount.
    pub fn resize(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.budget.used.fetch_add(bytes, Ordering::Relaxed);
            self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
            self.bytes = bytes;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
