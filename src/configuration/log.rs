//! The client of the platform's append-only log.
//!
//! The log speaks HTTP: `POST /streams/{stream}` appends the body as a record and answers with its
//! offset; `GET /streams/{stream}?from=N&limit=L&wait_ms=W` reads records from an offset on, waiting
//! for the first one if there is none yet. Records before the first retained one answer 410.

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

/// Time for an answer, beside the time that a read may wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Most records in one page.
const MAX_PAGE_RECORDS: usize = 64;
/// Estimate for the heads of a request and its answer, in bytes.
const ESTIMATED_HEADER_BYTES: usize = 260;

/// Streams that the system keeps on the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stream {
    /// Edits and checkpoints.
    Config,
    /// Daemons to join through.
    Contacts,
    /// Notes of requests in quarantine.
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

/// A run of records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// First offset that is still there.
    pub first: Offset,
    /// Offset that the next append will get.
    pub head: Offset,
    /// Records from the offset that was asked for.
    pub records: Vec<Stored>,
}

/// A record with its place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stored {
    /// Its place.
    pub offset: Offset,
    /// Its text.
    pub value: String,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Place of the new record.
    pub offset: Offset,
}

/// A connection to the platform log.
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

    /// A log that takes part in nothing: the platform keeps the configuration itself.
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
    /// [`Error::Log`] when no answer came: the record may or may not be there.
    pub async fn append<T: Serialize>(&self, stream: Stream, record: &T) -> Result<Offset> {
        let text = serde_json::to_vec(record).map_err(|e| self.log_error(&e.to_string()))?;
        let path = format!("/streams/{stream}");
        let (status, body) = self
            .exchange(Method::POST, &path, text, RESPONSE_TIMEOUT)
            .await?;
        if status != StatusCode::CREATED {
            return Err(self.log_error(&format!("append answered {status}")));
        }
        let appended: Appended = self.parse(&body)?;
        Ok(appended.offset)
    }

    /// Reads a page; waits up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] when `from` is no longer there, [`Error::Log`] when no answer came.
    pub async fn read(&self, stream: Stream, from: Offset, wait: Millis) -> Result<Page> {
        let path = format!("/streams/{stream}?from={from}&limit={MAX_PAGE_RECORDS}&wait_ms={wait}");
        let patience = RESPONSE_TIMEOUT + wait.duration();
        let (status, body) = self
            .exchange(Method::GET, &path, Vec::new(), patience)
            .await?;
        match status {
            StatusCode::OK => self.parse(&body),
            StatusCode::GONE => {
                let page: Page = self.parse(&body)?;
                Err(Error::Expired { first: page.first })
            }
            other => Err(self.log_error(&format!("read answered {other}"))),
        }
    }

    /// Reads only where the stream begins and ends.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] when no answer came.
    pub async fn bounds(&self, stream: Stream) -> Result<Page> {
        self.read(stream, Offset(u64::MAX), Millis(0)).await
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<(StatusCode, Vec<u8>)> {
        if self.disabled {
            return Err(self.log_error("the platform keeps the configuration: publish it there"));
        }
        self.meter.log(ESTIMATED_HEADER_BYTES + body.len());
        let answer = self
            .http
            .exchange(self.address, method, path, body, patience)
            .await;
        let answer = answer.map_err(|reason| self.log_error(&reason))?;
        self.meter.log(answer.body.len());
        Ok((answer.status, answer.body))
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
