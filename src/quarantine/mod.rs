//! Quarantine: requests that end the targets which run them.
//!
//! A request whose content makes a target crash is sent again by its caller, under another identifier and
//! at any daemon, and takes one target after the other with it. A gate knows what was [`running`] when its
//! target ended, and names requests by a [`fingerprint`] of their content.

pub mod evidence;
pub mod fingerprint;
pub mod note;
pub mod running;
pub mod shared;

pub(crate) mod archive;
pub(crate) mod inspect;
pub(crate) mod keeper;
