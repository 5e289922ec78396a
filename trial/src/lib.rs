//! Stand-ins, fault injection and measurements for jackdawpulley.
//!
//! Trials start real processes on loopback. One binary is the stand-in for the platform's log, the
//! stand-in target, the daemon, the operator's command, and the trial that starts the others and
//! injects faults.
//!
//! [`rig`] holds the shared test rig; [`calls`], [`load`] and [`path`] are trials, [`measure`] holds
//! measurements, and [`stand_in`] replaces external systems.

pub mod calls;
pub mod load;
pub mod measure;
pub mod path;
pub mod rig;
pub mod stand_in;
