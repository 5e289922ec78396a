//! Test rig: hosts and processes on loopback, the network between them, and sessions of callers.

pub mod deployment;
pub mod fleet;
pub mod host;
pub mod loopback;
pub mod monitor;
pub mod network;
pub mod process;
pub mod proxy;
pub mod publish;
pub mod session;
