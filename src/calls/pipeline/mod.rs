//! Requests that follow each other on a connection (HTTP pipelining).
//!
//! hyper starts a request after the last byte of the preceding response. A [`reader`] between the
//! socket and hyper passes on one request at a time. Its [`splitter`] finds where each request ends,
//! from its [`head`] and its chunks. Requests behind the one in service that may run early are started, and wait
//! in [`turns`] until hyper has read them as well. hyper remains the authoritative parser: a call
//! started early answers a request only if hyper has read the same one. A [`connection`] connects
//! the reader with the service, and a [`budget`] bounds the memory of all connections.

pub mod budget;
mod chunks;
pub(crate) mod connection;
pub mod head;
pub(crate) mod reader;
pub mod splitter;
pub(crate) mod task;
pub mod turns;

use strum::Display;

/// Largest number of requests of a connection that are started early.
pub const MAX_STARTED: usize = 16;
/// Largest number of bytes of a connection that are kept behind the request in service, and largest
/// response body that is buffered until its turn.
pub const MAX_KEPT_BYTES: usize = 64 << 10;

/// Why no further request of a connection is started early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stop {
    /// The next request has a body or too large a head, or asks for something beyond its response.
    Unusual,
    /// It is not clear where the next request ends.
    Unclear,
    /// hyper has read a request differently.
    Differs,
    /// As many requests as allowed have been started.
    Requests,
    /// As many bytes as allowed are kept.
    Bytes,
    /// All connections together use as much memory as allowed.
    Memory,
}

impl Stop {
    /// Counts one occurrence.
    pub(crate) fn count(self) {
        let reason = self.to_string();
        metrics::counter!("jackdaw_read_ahead_stopped_total", "reason" => reason).increment(1);
    }
}
