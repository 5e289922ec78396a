//! What trials are built from: hosts and processes on loopback, the network between them, sessions of callers.

pub mod deployment;
pub mod fleet;
pub mod host;
pub mod loopback;
pub mod net;
pub mod pipe;
pub mod process;
pub mod publish;
pub mod session;
pub mod watch;
