//! Connections between daemons.
//!
//! A [`Link`] carries calls or control messages to one peer, a [`LinkPool`] holds the links for control
//! messages, and the [`server`] receives both.

pub mod link;
pub mod link_pool;
pub mod metered_stream;
pub mod server;

pub use link::{Failure, Link};
pub use link_pool::LinkPool;
