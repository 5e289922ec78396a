//! Idempotency: what keeps a repeated key from running twice.
//!
//! The [`keys`] of a gate are remembered and noted elsewhere, or claimed on the log, whose fold is the
//! [`ledger`].

pub mod keys;
pub mod ledger;

pub(crate) mod claim;
pub(crate) mod deduplicator;
pub(crate) mod replay;
pub(crate) mod sidecars;
