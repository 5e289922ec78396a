//! Connections between daemons.
//!
//! A [`Link`] carries calls or control messages to one peer, [`Links`] keep those for control, and
//! the [`server`] answers them.

pub mod counted;
pub mod link;
pub mod links;
pub mod server;

pub use link::{Failure, Link};
pub use links::Links;
