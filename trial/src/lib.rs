//! Stand-ins, fault trials and measurements for jackdawpulley.
//!
//! Everything runs as real processes on loopback: this one binary is the stand-in for the
//! platform's log, the stand-in target, the daemon, the operator's command and the trial that
//! starts and injures all of them.
//!
//! [`rig`] is what all of it is built from; [`calls`], [`load`] and [`path`] are trials, [`measure`] holds
//! measurements, [`stand_in`] what stands in for the outside.

pub mod calls;
pub mod load;
pub mod measure;
pub mod path;
pub mod rig;
pub mod stand_in;
