//! Interface to an external control plane, which keeps the configuration and lists the daemons.
//!
//! Without a [`ControlPlane`], daemons read the operators' edits from the [`log`](crate::configuration::log)
//! and decide them. With one, the platform has already accepted and ordered the versions: a daemon reads
//! the newest one and what follows it. Delivery between daemons is the same in both cases.

use std::fmt::Debug;
use std::net::SocketAddr;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::configuration::document::Document;
use crate::configuration::fault::Fault;
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::rollout::order::{Change, Order, Status};
use crate::units::{DataCentre, Generation, Millis, Offset, Version};

/// A version that the platform has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Its version.
    pub version: Version,
    /// Its whole content, neither validated nor normalized yet.
    pub document: Document,
    /// What could not be read of it and is left out.
    pub faults: Vec<Fault>,
}

/// Position in the platform's records from which a read continues.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Generation of the platform's store that the offset belongs to: in a later one the offset may
    /// belong to another record.
    #[serde(rename = "era")]
    pub generation: Generation,
    /// Offset of the next record.
    pub offset: Offset,
}

/// Result of reading from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// New versions, the highest one last.
    pub releases: Vec<Release>,
    /// New orders to roll out a revision, the most recent one last.
    pub orders: Vec<Change>,
    /// Position to continue from.
    pub next: Position,
    /// Whether there was no record at `next` at the time of the read.
    pub at_end: bool,
    /// Problems of records that could not be read; the other records are valid regardless.
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

/// What a starting daemon reads from the platform besides the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// Listed daemons.
    pub contacts: Vec<Contact>,
    /// Records of quarantined requests.
    pub quarantine_records: Vec<(Fingerprint, Record)>,
}

/// Access to an external control plane.
pub trait ControlPlane: Debug + Send + Sync {
    /// Reads the newest version.
    fn read_newest(&self) -> BoxFuture<'_, Result<Changes>>;

    /// Reads the records at and after `from`; waits up to `wait` if there are none yet.
    ///
    /// Fails with [`Error::Rewound`](crate::Error::Rewound) in a later generation than that of `from`.
    fn read_from(&self, from: Position, wait: Millis) -> BoxFuture<'_, Result<Changes>>;

    /// Subscribes to the generation of the platform's store, as reported by its responses.
    fn generations(&self) -> watch::Receiver<Generation>;

    /// Adds a daemon to the list, in place of an earlier entry for its address.
    fn register<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Removes a daemon from the list.
    fn deregister<'a>(&'a self, contact: &'a Contact) -> BoxFuture<'a, Result<()>>;

    /// Reads `enough` listed daemons or all there are, some of which may be gone, together with the
    /// quarantined requests, so that a starting daemon needs no further request for them.
    fn directory(&self, enough: usize) -> BoxFuture<'_, Result<Directory>>;

    /// Reports the status of a rollout to the operator, unless there is a verdict already; returns the
    /// status that is recorded now.
    ///
    /// The first verdict on an order is final, whichever daemon reports it and however often.
    fn report_rollout_status<'a>(
        &'a self,
        order: &'a Order,
        status: Status,
    ) -> BoxFuture<'a, Result<Status>>;

    /// Records when a rollout began, in Unix milliseconds, unless that is recorded already; returns the
    /// time that is recorded now.
    fn record_rollout_start<'a>(
        &'a self,
        order: &'a Order,
        begin_ms: u64,
    ) -> BoxFuture<'a, Result<u64>>;

    /// Stores the record of a quarantined request, replacing an earlier one; `None` deletes it.
    fn set_quarantine_record<'a>(
        &'a self,
        cause: Fingerprint,
        note: Option<&'a Record>,
    ) -> BoxFuture<'a, Result<()>>;
}
