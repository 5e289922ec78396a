//! Client of the platform's append-only log.
//!
//! The log's protocol is HTTP. `POST /streams/{stream}` appends the body as a record and returns its
//! offset. `GET /streams/{stream}?from=N&limit=L&wait_ms=W` reads records from an offset on and
//! waits for the first one if there is none yet. An offset before the first retained record gets status 410.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::http_client;
use crate::telemetry::Meter;
use crate::units::{Millis, Offset, Service};

/// Time within which a response must arrive, in addition to the time that a read may wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Most records in one page.
const MAX_PAGE_RECORDS: usize = 64;
/// Estimated size of the heads of a request and its response together, in bytes.
const ESTIMATED_HEADER_BYTES: usize = 260;

/// Streams of the log that the system uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stream {
    /// Edits and checkpoints.
    Config,
    /// Daemons through which others can join.
    Contacts,
    /// Records of quarantined requests.
    Quarantine,
    /// Claims of idempotency keys of one service.
    Claims(Service),
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("config"),
            Self::Contacts => f.write_str("contacts"),
            Self::Quarantine => f.write_str("quarantine"),
            Self::Claims(service) => write!(f, "claims-{service}"),
        }
    }
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next append.
    pub head: Offset,
    /// Records from the requested offset on.
    pub records: Vec<Stored>,
}

/// A record with its offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stored {
    /// Offset in the stream.
    pub offset: Offset,
    /// Text of the record.
    pub value: String,
}

/// Response to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: Offset,
}

/// A client of the platform's log.
#[derive(Debug, Clone)]
pub struct Log {
    address: SocketAddr,
    http: http_client::Client,
    meter: Arc<Meter>,
    disabled: bool,
}

impl Log {
    /// A client of the log at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, meter: Arc<Meter>) -> Self {
        Self {
            address,
            http: http_client::Client::new(),
            meter,
            disabled: false,
        }
    }

    /// A client whose every call fails, for platforms that keep the configuration themselves.
    #[must_use]
    pub fn disabled(address: SocketAddr, meter: Arc<Meter>) -> Self {
        Self {
            disabled: true,
            ..Self::new(address, meter)
        }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] when the append was not confirmed: the record may still have been written.
    pub async fn append<T: Serialize>(&self, stream: Stream, record: &T) -> Result<Offset> {
        let text = serde_json::to_vec(record).map_err(|e| self.log_error(&e.to_string()))?;
        let path = format!("/streams/{stream}");
        let (status, body) = self
            .exchange(Method::POST, &path, text, RESPONSE_TIMEOUT)
            .await?;
        if status != StatusCode::CREATED {
            return Err(self.log_error(&format!("append failed with status {status}")));
        }
        let appended: Appended = self.parse(&body)?;
        Ok(appended.offset)
    }

    /// Reads a page; waits up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] when `from` is no longer retained, [`Error::Log`] when the read failed.
    pub async fn read(&self, stream: Stream, from: Offset, wait: Millis) -> Result<Page> {
        let path = format!("/streams/{stream}?from={from}&limit={MAX_PAGE_RECORDS}&wait_ms={wait}");
        let timeout = RESPONSE_TIMEOUT + wait.duration();
        let (status, body) = self
            .exchange(Method::GET, &path, Vec::new(), timeout)
            .await?;
        match status {
            StatusCode::OK => self.parse(&body),
            StatusCode::GONE => {
                let page: Page = self.parse(&body)?;
                Err(Error::Expired { first: page.first })
            }
            other => Err(self.log_error(&format!("read failed with status {other}"))),
        }
    }

    /// Reads only the first retained offset and the head of the stream.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] when the read failed.
    pub async fn bounds(&self, stream: Stream) -> Result<Page> {
        self.read(stream, Offset(u64::MAX), Millis(0)).await
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Vec<u8>)> {
        if self.disabled {
            return Err(self.log_error("the platform keeps the configuration; publish it there"));
        }
        self.meter.add_log(ESTIMATED_HEADER_BYTES + body.len());
        let response = self
            .http
            .exchange(self.address, method, path, body, timeout)
            .await;
        let response = response.map_err(|reason| self.log_error(&reason))?;
        self.meter.add_log(response.body.len());
        Ok((response.status, response.body))
    }

    fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|e| self.log_error(&e.to_string()))
    }

    fn log_error(&self, reason: &str) -> Error {
        Error::Log {
            log: self.address,
            reason: reason.to_owned(),
        }
    }
}
