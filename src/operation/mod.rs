//! Operation: what operators see and do.
//!
//! [`ctl`] is their command; the rest serves what it asks.

pub mod ctl;

pub(crate) mod command;
pub(crate) mod operator;
pub(crate) mod state;
pub(crate) mod status;
