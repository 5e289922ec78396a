//! Where the configuration comes from when a platform keeps it, and where daemons are listed.
//!
//! A daemon without an [`Origin`] folds the operators' own edits from the [`log`](crate::configuration::log).
//! With one, the platform has accepted and ordered the versions already: the daemon only reads
//! the newest and follows. Delivery between daemons is the same for both.

use std::fmt::Debug;
use std::net::SocketAddr;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::configuration::document::Document;
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::rollout::order::{Change, Order, Status};
use crate::units::{DataCentre, Era, Millis, Offset, Version};

/// A version that the platform has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Its version.
    pub version: Version,
    /// Its whole content, neither checked nor brought within bounds yet.
    pub document: Document,
}

/// Where a read goes on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the platform in which the offset holds: in a later one it may be another record's.
    pub era: Era,
    /// Offset of the next record.
    pub offset: Offset,
}

/// What a read of the platform found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// Versions that were not read before, the highest one last.
    pub releases: Vec<Release>,
    /// Orders to roll out a revision that were not read before, the last one last.
    pub orders: Vec<Change>,
    /// Where to read on.
    pub next: Position,
    /// Whether nothing followed that when it was read.
    pub at_end: bool,
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
    pub notes: Vec<(Fingerprint, Record)>,
}

/// The platform, as a daemon needs it.
pub trait Origin: Debug + Send + Sync {
    /// Reads the newest version.
    fn newest(&self) -> BoxFuture<'_, Result<Found>>;

    /// Reads what follows `from`; waits up to `wait` for it.
    ///
    /// Fails with [`Error::Rewound`](crate::Error::Rewound) in a later era than that of `from`.
    fn follow(&self, from: Position, wait: Millis) -> BoxFuture<'_, Result<Found>>;

    /// Follows the eras of the platform, as its answers tell them.
    fn eras(&self) -> watch::Receiver<Era>;

    /// Lists a daemon, in place of what was listed for its address.
    fn list<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Takes a daemon off the list.
    fn unlist<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Daemons that are listed, `enough` of them or all there are, some of which may be gone; and the
    /// requests in quarantine, which come with them, so that a start asks no more often.
    fn directory(&self, enough: usize) -> BoxFuture<'_, Result<Directory>>;

    /// Tells the operator how a roll-out stands, unless there is a verdict already; what stands now.
    ///
    /// The first verdict on an order counts, whoever tells it and however often.
    fn tell<'a>(&'a self, order: &'a Order, status: Status) -> BoxFuture<'a, Result<Status>>;

    /// Notes when a roll-out began, in Unix milliseconds, unless that is noted already; what is noted now.
    fn note_begin<'a>(&'a self, order: &'a Order, begin_ms: u64) -> BoxFuture<'a, Result<u64>>;

    /// Notes a request in quarantine, in place of what was noted of it; drops that note without one.
    fn note<'a>(
        &'a self,
        cause: Fingerprint,
        note: Option<&'a Record>,
    ) -> BoxFuture<'a, Result<()>>;
}
