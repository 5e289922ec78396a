//! Configuration: the active version, how edits are accepted, and how versions are distributed.
//!
//! Operators publish a [`document`], which [`check`] validates. Edits are either decided by every
//! daemon's [`replica`] of the [`log`], or by an external [`control_plane`], whose versions are
//! [normalized](normalize). Daemons send each other accepted versions as [`delta`]s. [`readiness`] keeps
//! a restarted daemon from serving an older version than before.

pub mod check;
pub mod control_plane;
pub mod delta;
pub mod document;
pub mod exchange;
pub mod fault;
pub mod fetches;
pub mod freshness;
pub mod log;
pub mod normalize;
pub mod readiness;
pub mod replica;

pub(crate) mod publish;
pub(crate) mod reader;
pub(crate) mod relay;
pub(crate) mod store;
