//! Error type of the crate.
//!
//! Each message says what failed and what to do about it. Sources are kept, so that a log line can
//! show the whole chain.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::configuration::fault::Fault;
use crate::units::{EditId, Offset, Version};

/// Result of a fallible function of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of this crate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The document is not valid JSON or does not match the schema.
    #[snafu(display("invalid document: {source}; compare it with docs/OPERATORS.md"))]
    Document {
        /// Parser error with line and column.
        source: serde_json::Error,
    },
    /// The document parses but has faults.
    #[snafu(display("the document has {} fault(s); correct them and check again", faults.len()))]
    Faults {
        /// All faults, each with its path and remedy.
        faults: Vec<Fault>,
    },
    /// Another edit was accepted first.
    #[snafu(display(
        "version {current} is active; fetch it, base the edit on it and publish again"
    ))]
    Conflict {
        /// Active version.
        current: Version,
    },
    /// It is not known yet whether the edit took effect.
    #[snafu(display("the outcome of edit {id} is unknown; publish it again with the same id"))]
    OutcomeUnknown {
        /// Identifier of the edit.
        id: EditId,
    },
    /// The platform's log could not be reached or refused the request.
    #[snafu(display("request to the platform's log at {log} failed: {reason}; it is retried"))]
    Log {
        /// Address of the log.
        log: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The requested records have expired.
    #[snafu(display("records before offset {first} have expired; start from a checkpoint"))]
    Expired {
        /// First offset that is still available.
        first: Offset,
    },
    /// The platform's store was restored from an older copy, so earlier offsets name other records.
    #[snafu(display(
        "the platform's store was restored from an older copy; read the newest record of each key"
    ))]
    Rewound,
    /// Records expired before any daemon applied them.
    #[snafu(display(
        "records before offset {first} expired before they were applied, so an edit's base cannot be \
         checked; review the active configuration and publish with --force"
    ))]
    MissingRecords {
        /// First offset that is still available.
        first: Offset,
    },
    /// A peer could not be reached, so it has not seen the request.
    #[snafu(display("cannot reach peer {peer}: {reason}; another peer is tried"))]
    Unreachable {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The operator's command could not reach a daemon.
    #[snafu(display(
        "cannot reach daemon {daemon}: {reason}; check --daemon or use another daemon"
    ))]
    DaemonUnreachable {
        /// Operator address of the daemon.
        daemon: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// A peer failed after it may have seen the request.
    #[snafu(display("request to peer {peer} failed: {reason}; retry it"))]
    Peer {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// A message from a peer cannot be decoded.
    #[snafu(display("invalid frame: {reason}; check that both daemons run the same release"))]
    Frame {
        /// Error of the decoder.
        reason: String,
    },
    /// Applying a delta does not give the document that it describes.
    #[snafu(display("the delta does not produce the expected document; fetch the whole document"))]
    Delta,
    /// Settings conflict with each other or with the host.
    #[snafu(display("invalid settings, {} fault(s):\n{}", faults.len(), faults.join("\n")))]
    Settings {
        /// One line for each fault, with its remedy.
        faults: Vec<String>,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot listen on {address}: {source}; choose a free local address"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[snafu(display("cannot handle signals: {source}; raise the limit of open files"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A server stopped with an error.
    #[snafu(display("the server on {address} stopped: {reason}; restart the daemon"))]
    Serve {
        /// Address that it listened on.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// A daemon refused an operator's request.
    #[snafu(display("daemon {daemon} responded with {status}: {body}"))]
    Refused {
        /// Address of the daemon.
        daemon: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// A file could not be read.
    #[snafu(display("cannot read {path}: {source}; check the path"))]
    File {
        /// Path as given.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
