//! Measurements for the capacity page.

pub mod converge;
pub mod fleet;
pub mod overhead;
pub mod scale;
