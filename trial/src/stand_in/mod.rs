//! Stand-ins for what is outside: the platform's append-only log, and targets.

pub mod log;
pub mod target;
