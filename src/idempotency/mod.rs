//! Idempotency: keeps requests with a repeated idempotency key from running twice.
//!
//! The sidecar that owns a key either keeps it in memory and records its intent at another sidecar
//! ([`keys`]), or claims it on the log, whose claims every sidecar evaluates in a [`ledger`].

pub mod keys;
pub mod ledger;

pub(crate) mod claim;
pub(crate) mod deduplicator;
pub(crate) mod replay;
pub(crate) mod sidecars;
