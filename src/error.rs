//! The error type of the crate.
//!
//! Every kind names what failed and what to do about it. Sources are kept, so that a log line
//! shows the whole chain.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::configuration::fault::Fault;
use crate::units::{EditId, Offset, Version};

/// Result of a fallible function of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Everything that can go wrong, by kind.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The document is not JSON of the expected shape.
    #[snafu(display("the document can't be read: {source}; compare it with docs/OPERATORS.md"))]
    Document {
        /// What the parser found, with line and column.
        source: serde_json::Error,
    },
    /// The document contradicts itself.
    #[snafu(display("the document has {} fault(s); mend each and check again", faults.len()))]
    Faults {
        /// All faults, each with its path and remedy.
        faults: Vec<Fault>,
    },
    /// Another edit was accepted first.
    #[snafu(display(
        "version {current} is in force; fetch it, redo the edit on it, publish again"
    ))]
    Conflict {
        /// Version that is current.
        current: Version,
    },
    /// Whether the edit took effect is not known yet.
    #[snafu(display("the fate of edit {id} is unknown; publish it again under the same id"))]
    Undecided {
        /// Edit to ask about.
        id: EditId,
    },
    /// The platform log could not be reached or refused.
    #[snafu(display("the platform log at {log} failed: {reason}; it is retried"))]
    Log {
        /// Address of the log.
        log: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The records asked for have expired.
    #[snafu(display("records before offset {first} have expired; start from a checkpoint"))]
    Expired {
        /// First offset that is still there.
        first: Offset,
    },
    /// The platform has come back from an older copy, so an offset of before names another record.
    #[snafu(display("the platform came back from an older copy; read the newest of each key"))]
    Rewound,
    /// Records expired before any daemon folded them.
    #[snafu(display(
        "records before offset {first} were never folded, so no base can be judged; look at what \
         is in force and publish with --force"
    ))]
    Gapped {
        /// First offset that is still there.
        first: Offset,
    },
    /// A peer could not be reached, so it has seen nothing of the request.
    #[snafu(display("peer {peer} can't be reached: {reason}; another one is tried"))]
    Unreachable {
        /// Address of the peer.
        peer: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// A daemon could not be reached by an operator.
    #[snafu(display(
        "daemon {daemon} can't be reached: {reason}; check --daemon, or name another"
    ))]
    NoDaemon {
        /// Operator address of the daemon.
        daemon: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// A peer failed after it may have seen the request.
    #[snafu(display("peer {peer} failed: {reason}; ask again"))]
    Peer {
        /// Address of the peer.
        peer: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// Bytes from a peer do not decode.
    #[snafu(display("a frame does not decode: {reason}; check that both ends run one release"))]
    Frame {
        /// What the decoder found.
        reason: String,
    },
    /// A delta does not lead to the content it promises.
    #[snafu(display("the delta does not lead to what it promises; take the whole document"))]
    Delta,
    /// Settings contradict each other or the host.
    #[snafu(display("{} setting(s) are wrong:\n{}", faults.len(), faults.join("\n")))]
    Settings {
        /// One line for each, with its remedy.
        faults: Vec<String>,
    },
    /// A socket could not be opened.
    #[snafu(display("can't listen on {address}: {source}; choose a free local address"))]
    Listen {
        /// Address that was wanted.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A server ended with an error.
    #[snafu(display("the server on {address} ended: {reason}; restart the daemon"))]
    Serve {
        /// Address it listened on.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// A daemon refused an operator's request.
    #[snafu(display("{daemon} answered {status}: {body}"))]
    Refused {
        /// Address of the daemon.
        daemon: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        body: String,
    },
    /// A file could not be read.
    #[snafu(display("can't read {path}: {source}; check the path"))]
    File {
        /// Path as given.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
}
