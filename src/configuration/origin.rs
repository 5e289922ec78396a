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
use crate::fingerprint::Fingerprint;
use crate::note::Note;
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

/// What the platform tells a daemon that starts, beside the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// Daemons that are listed.
    pub contacts: Vec<Contact>,
    /// Requests in quarantine.
    pub notes: Vec<(Fingerprint, Note)>,
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

    /// Daemons that are listed, `enough` of them or all there are, some of which may be gone; and the
    /// requests in quarantine, which come with them, so that a start asks no more often.
    fn directory(&self, enough: usize) -> BoxFuture<'_, Result<Directory>>;

    /// Notes a request in quarantine, in place of what was noted of it; drops that note without one.
    fn note<'a>(&'a self, cause: Fingerprint, note: Option<&'a Note>) -> BoxFuture<'a, Result<()>>;
}
