//! What a target process says of itself in its responses: a limit to its requests, or that it is
//! leaving.
//!
//! The sidecar reads the target's headers and acts on them. Callers get them unchanged. Each
//! ingress also gets the [`Notice`] with the response and sends it back with its later requests to
//! that sidecar. A sidecar that has restarted thus knows of it before the target's first response.
//!
//! ```
//! use jackdawpulley::calls::notice::{Notice, Tag};
//! use jackdawpulley::units::{Instance, Rate};
//!
//! let process = Tag::new(Some(&Instance::from("a")), None);
//! let notice = Notice { process, limit: Rate::new(7.9), leaving: false };
//! assert_eq!(notice.to_string().parse(), Ok(notice));
//! ```

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Instant;

use http::HeaderMap;
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

use crate::calls::dialect::Dialect;
use crate::units::{Instance, ParseRateError, Rate, StartTime};

/// Maximum number of sidecars whose notices an ingress remembers.
const MAX_REMEMBERED: usize = 1_024;
/// Maximum number of characters of an invalid value in an error.
const MAX_QUOTED_CHARS: usize = 32;

/// Why a target's limit is unreadable. It is passed on, and the limit known before stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Fault {
    /// The value is not text.
    #[snafu(display("the limit has bytes that are not text; send a decimal number"))]
    Encoding,
    /// The value is not a rate.
    #[snafu(display("the limit {text:?} is invalid: {source}"))]
    Value {
        /// Beginning of the value.
        text: String,
        /// What is wrong with it.
        source: ParseRateError,
    },
    /// The response names several limits.
    #[snafu(display("the response names {count} limits; send one"))]
    Repeated {
        /// Number of limits.
        count: usize,
    },
}

/// Identifies a target process to the daemons that call it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tag {
    /// Hash of the instance name; 0 if the target does not send one.
    instance: u64,
    /// When it started, in Unix milliseconds; 0 if not known.
    start_ms: u64,
}

/// Latest notice of a target process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Process that it is about.
    pub process: Tag,
    /// Requests that it accepts from all daemons together.
    pub limit: Option<Rate>,
    /// Whether it accepts no more requests, which is final.
    pub leaving: bool,
}

/// Error of parsing a [`Notice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not a notice: four fields separated by commas are expected"))]
pub struct ParseNoticeError;

/// Limit that one target process names, as of its latest response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NamedLimit {
    rate: Option<Rate>,
    /// When the last response that names a limit arrived.
    named_at: Option<Instant>,
}

/// Notices that an ingress has received, by sidecar.
#[derive(Debug, Default)]
pub struct Memory {
    /// Sorted by peer.
    notices: Vec<(SocketAddr, Notice, Instant)>,
}

/// Reads the limit that a response names.
///
/// # Errors
///
/// [`Fault`] if it is unreadable.
pub fn read_limit(headers: &HeaderMap, dialect: &Dialect) -> Result<Option<Rate>, Fault> {
    let count = headers.get_all(&dialect.limit).iter().count();
    if count > 1 {
        return RepeatedSnafu { count }.fail();
    }
    let Some(value) = headers.get(&dialect.limit) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Fault::Encoding)?;
    let rate = text.trim().parse().map_err(|source| Fault::Value {
        text: text.chars().take(MAX_QUOTED_CHARS).collect(),
        source,
    });
    rate.map(Some)
}

/// Whether a response says that the target is leaving.
#[must_use]
pub fn says_leaving(headers: &HeaderMap, dialect: &Dialect) -> bool {
    let values = headers.get_all(&dialect.leaving);
    values
        .iter()
        .any(|value| value.as_bytes().trim_ascii() == b"1")
}

impl Tag {
    /// Tag of the process with this name and start time.
    #[must_use]
    pub fn new(instance: Option<&Instance>, start_time: Option<StartTime>) -> Self {
        Self {
            instance: instance.map_or(0, |instance| xxh3_64(instance.as_str().as_bytes())),
            start_ms: start_time.map_or(0, |start_time| start_time.0),
        }
    }

    /// Whether both may be the same process: a start time may not be known yet.
    #[must_use]
    pub const fn may_be(self, other: Self) -> bool {
        let same_start =
            self.start_ms == other.start_ms || self.start_ms == 0 || other.start_ms == 0;
        self.instance == other.instance && same_start
    }

    /// Whether it does not tell processes apart.
    #[must_use]
    pub const fn is_anonymous(self) -> bool {
        self.instance == 0 && self.start_ms == 0
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tag { instance, start_ms } = self.process;
        write!(f, "{instance:x},{start_ms:x},{},", u8::from(self.leaving))?;
        self.limit.map_or(Ok(()), |limit| limit.fmt(f))
    }
}

impl FromStr for Notice {
    type Err = ParseNoticeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split(',').collect();
        let [instance, start_ms, leaving, limit] = fields[..] else {
            return Err(ParseNoticeError);
        };
        let number = |text| u64::from_str_radix(text, 16).map_err(|_| ParseNoticeError);
        let limit = (!limit.is_empty()).then(|| limit.parse().map_err(|_| ParseNoticeError));
        Ok(Self {
            process: Tag {
                instance: number(instance)?,
                start_ms: number(start_ms)?,
            },
            limit: limit.transpose()?,
            leaving: leaving == "1",
        })
    }
}

impl NamedLimit {
    /// A limit from the notice of an ingress, in force until the process responds.
    #[must_use]
    pub const fn adopted(rate: Rate) -> Self {
        Self {
            rate: Some(rate),
            named_at: None,
        }
    }

    /// The limit in force.
    #[must_use]
    pub const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Records the limit in a response to a request that was sent at `sent`.
    ///
    /// Responses overtake one another. One without a limit ends it only if its request was sent
    /// after the last response with a limit had arrived, so that it is certainly the later one.
    pub fn record(&mut self, limit: Option<Rate>, sent: Instant, now: Instant) {
        if limit.is_some() {
            self.rate = limit;
            self.named_at = Some(now);
        } else if self.named_at.is_none_or(|named_at| sent > named_at) {
            self.rate = None;
        }
    }
}

impl Memory {
    /// Records the notice in a response of a sidecar, or that it has none.
    ///
    /// A notice of a target that does not name its process is not kept: it would be taken for one
    /// of the next process.
    pub fn record(
        &mut self,
        peer: SocketAddr,
        notice: Option<Notice>,
        sent: Instant,
        now: Instant,
    ) {
        let found = self.notices.binary_search_by_key(&peer, |entry| entry.0);
        let notice = notice.filter(|notice| !notice.process.is_anonymous());
        match (found, notice) {
            (Ok(index), Some(notice)) => self.notices[index] = (peer, notice, now),
            (Ok(index), None) if sent > self.notices[index].2 => {
                self.notices.remove(index);
            }
            (Err(index), Some(notice)) if self.notices.len() < MAX_REMEMBERED => {
                self.notices.insert(index, (peer, notice, now));
            }
            _ => {}
        }
    }

    /// The last notice of a sidecar's target.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<Notice> {
        let found = self.notices.binary_search_by_key(&peer, |entry| entry.0);
        found.ok().map(|index| self.notices[index].1)
    }
}
