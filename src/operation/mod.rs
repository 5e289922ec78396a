//! Operators' API of the daemon and the command `jackdawctl`.
//!
//! [`ctl`] is the command; the other modules implement its verbs and the API that it uses.

pub mod ctl;

pub(crate) mod command;
pub(crate) mod operator;
pub(crate) mod state;
pub(crate) mod status;
