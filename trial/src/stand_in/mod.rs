//! Stand-ins for external systems: the platform's append-only log, and targets.

pub mod log;
pub mod target;
