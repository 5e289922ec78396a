//! What stays the same when a request is sent again.
//!
//! A repeat has another identifier and comes in at another daemon; method, host, path with its query, and
//! body are the same. Requests with the same fingerprint are taken for repeats of one another.
//!
//! ```
//! use jackdawpulley::quarantine::fingerprint::{Content, Fingerprint};
//!
//! let titles = Fingerprint::of("GET", "shop", "/titles?page=1", Content::Whole(b""));
//! assert_eq!(titles, Fingerprint::of("GET", "shop", "/titles?page=1", Content::Whole(b"")));
//! assert_ne!(titles, Fingerprint::of("GET", "shop", "/titles?page=2", Content::Whole(b"")));
//! assert_eq!(titles.to_string().parse(), Ok(titles));
//! ```

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::authority;

/// A hash of what stays the same when a request is sent again, printed in hexadecimal.
///
/// 64 bits: with one fingerprint in quarantine and 710,000 other requests a second, another request would
/// meet it by chance once in 800,000 years.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// The body of a request, as far as it is known before it is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content<'a> {
    /// All of it.
    Whole(&'a [u8]),
    /// A body that is passed on as it comes, by the length that its sender gives.
    Stream(Option<&'a [u8]>),
}

impl Fingerprint {
    /// The fingerprint of a request; `path` includes the query.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, content: Content<'_>) -> Self {
        let mut hasher = Xxh3::new();
        let (kind, body) = match content {
            Content::Whole(body) => ([0], body),
            Content::Stream(length) => ([1], length.unwrap_or_default()),
        };
        let host = authority::normalized(host);
        for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // The length first, so that no two lists of fields read alike.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(&kind);
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
