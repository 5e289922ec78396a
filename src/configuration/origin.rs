//! Where the configuration comes from when a platform keeps it, and where daemons are listed.
//!
//! A daemon without an [`Origin`] folds the operators' own edits from the [`log`](crate::log).
//! With one, the platform has accepted and ordered the versions already: the daemon only reads
//! the newest and follows. Delivery between daemons is the same for both.

use std::fmt::Debug;
use std::net::SocketAddr;

use futures_util::future::BoxFuture;

use crate::document::Document;
use crate::error::Result;
use crate::units::{DataCentre, Millis, Offset, Version};

/// A version that the platform has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Its version.
    pub version: Version,
    /// Its whole content, not checked yet.
    pub document: Document,
}

/// What a read of the platform found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The newest version, if any is there that was not read before.
    pub release: Option<Release>,
    /// Where to read on.
    pub next: Offset,
    /// What was wrong with records that could not be read; the others hold all the same.
    pub faults: Vec<String>,
}

/// A daemon as listed on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Address to join through.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The platform, as a daemon needs it.
pub trait Origin: Debug + Send + Sync {
    /// Reads the newest version.
    fn newest(&self) -> BoxFuture<'_, Result<Found>>;

    /// Reads what follows `from`; waits up to `wait` for it.
    fn follow(&self, from: Offset, wait: Millis) -> BoxFuture<'_, Result<Found>>;

    /// Lists a daemon, in place of what was listed for its address.
    fn list<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Takes a daemon off the list.
    fn unlist<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Daemons that are listed, `enough` of them or all there are; some may be gone.
    fn contacts(&self, enough: usize) -> BoxFuture<'_, Result<Vec<Contact>>>;
}
