//! Anti-entropy: a daemon asks a random member for the entries that it lacks.
//!
//! Updates on probes spread a few changes quickly, but each datagram has room for a few entries only, and
//! most of them are known to the receiver already. When many members change at once, a daemon sends a
//! [`Filter`] of the entries that it knows, and the receiver responds with [`Page`]s of those that are not
//! in it. What a daemon receives thus grows with the number of changes, and the number of rounds with the
//! logarithm of the fleet. The [`Schedule`] sends requests while they bring news and rarely otherwise, and
//! the [`Allowance`] bounds the bytes of the responses.
//!
//! ```
//! use jackdawpulley::membership::anti_entropy::Filter;
//!
//! let known = [17, 4_711];
//! let filters = Filter::divide(&known, 9, None);
//! assert!(known.iter().all(|fingerprint| filters[0].contains(*fingerprint)));
//! ```

use std::time::{Duration, Instant};

use lz4_flex::block;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{FrameSnafu, Result};
use crate::membership::member::Member;
use crate::units::Millis;
use crate::wire;

/// Bits of a filter for each entry; one unknown entry in a hundred is taken for a known one.
const BITS_PER_ENTRY: usize = 10;
/// Bits that are set for each entry.
const HASHES: u64 = 4;
/// Entries in one filter at most, so that it fits into a datagram.
const MAX_FILTER_ENTRIES: usize = 800;
/// Most bytes of a filter.
const MAX_FILTER_BYTES: usize = MAX_FILTER_ENTRIES * BITS_PER_ENTRY / 8;
/// Entries that are compressed together.
const ENTRIES_PER_PAGE: usize = 48;
/// Most entries of a response: more than the allowance ever lets through.
pub const MAX_RESPONSE_ENTRIES: usize = 192;
/// Largest page, in bytes; the rest of a datagram is for the sender's own entry.
const MAX_PAGE_BYTES: usize = 1_150;
/// Largest page when decompressed, in bytes: several times that of a full one.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 10;
/// Shortest time between two requests.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two requests.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Entries learnt since the last request that are worth another one: about as many as a probe carries.
const MIN_NEWS: usize = 8;
/// Bytes of responses that a daemon sends in a second.
const RESPONSE_RATE: f64 = 12_000.0;
/// Bytes of responses that a daemon sends at once.
const RESPONSE_BURST: f64 = 3_000.0;

/// Identifies the state of a member: its address, incarnation and health.
#[must_use]
pub fn fingerprint(member: &Member) -> u64 {
    xxh3_64(&wire::encode(&(
        member.peer,
        member.incarnation,
        member.health,
    )))
}

/// A Bloom filter of the entries that a daemon knows, or of a part of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Makes each filter miss other entries.
    salt: u64,
    /// Number of parts that the entries are divided into.
    parts: u32,
    /// Part that the filter covers.
    part: u32,
    /// Age of the changes that are requested; all if not given.
    max_age: Option<Millis>,
    bits: Vec<u8>,
}

impl Filter {
    /// Creates filters that cover all `fingerprints`, one for each datagram.
    #[must_use]
    pub fn divide(fingerprints: &[u64], salt: u64, max_age: Option<Duration>) -> Vec<Self> {
        let parts = fingerprints.len().div_ceil(MAX_FILTER_ENTRIES).max(1);
        let entries = fingerprints.len().div_ceil(parts).max(1);
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        let empty = |part| Self {
            salt,
            parts,
            part,
            max_age: max_age.map(Millis::from),
            bits: vec![0; (entries * BITS_PER_ENTRY).div_ceil(8)],
        };
        let mut filters: Vec<Self> = (0..parts).map(empty).collect();
        for fingerprint in fingerprints {
            let part = usize::try_from(fingerprint % u64::from(parts)).unwrap_or(0);
            filters[part].insert(*fingerprint);
        }
        filters
    }

    /// Whether a received filter can be used.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.part < self.parts && (1..=MAX_FILTER_BYTES).contains(&self.bits.len())
    }

    /// Whether an entry belongs to the part that the filter covers.
    #[must_use]
    pub fn covers(&self, fingerprint: u64) -> bool {
        fingerprint % u64::from(self.parts.max(1)) == u64::from(self.part)
    }

    /// Whether the sender knows an entry; wrong for a few that it does not know.
    #[must_use]
    pub fn contains(&self, fingerprint: u64) -> bool {
        let is_set = |index: usize| {
            let byte = self.bits.get(index / 8);
            byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
        };
        self.indexes(fingerprint).all(is_set)
    }

    /// Age of the changes that are requested; `None` for all.
    #[must_use]
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age.map(Millis::duration)
    }

    fn insert(&mut self, fingerprint: u64) {
        for index in self.indexes(fingerprint) {
            self.bits[index / 8] |= 1 << (index % 8);
        }
    }

    fn indexes(&self, fingerprint: u64) -> impl Iterator<Item = usize> + use<> {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&fingerprint.to_le_bytes());
        key[8..].copy_from_slice(&self.salt.to_le_bytes());
        let hash = xxh3_64(&key);
        // Double hashing: the indexes are an arithmetic sequence from two halves of one hash.
        let (first, step) = (hash >> 32, (hash & u64::from(u32::MAX)) | 1);
        let length = u64::try_from(self.bits.len() * 8).unwrap_or(1).max(1);
        (0..HASHES).map(move |index| {
            let index = (first + index * step) % length;
            usize::try_from(index).unwrap_or(0)
        })
    }
}

/// Entries of a response, compressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page(Vec<u8>);

impl Page {
    /// Divides entries into pages that fit into one datagram each.
    #[must_use]
    pub fn divide(members: &[Member]) -> Vec<Self> {
        let chunks = members.chunks(ENTRIES_PER_PAGE);
        chunks.flat_map(Self::compress).collect()
    }

    /// Decompresses and decodes the entries.
    ///
    /// # Errors
    ///
    /// [`Error::Frame`](crate::Error::Frame) if the bytes do not decode to entries, or claim to be larger than
    /// any page.
    pub fn members(&self) -> Result<Vec<Member>> {
        let invalid = |reason: String| FrameSnafu { reason }.build();
        let (size, compressed) =
            block::uncompressed_size(&self.0).map_err(|error| invalid(error.to_string()))?;
        // The size comes from the sender and must not cause a large allocation.
        if size > MAX_DECOMPRESSED_BYTES {
            return Err(invalid(format!(
                "{size} bytes exceed the size limit of a page"
            )));
        }
        let bytes =
            block::decompress(compressed, size).map_err(|error| invalid(error.to_string()))?;
        wire::decode(&bytes)
    }

    /// Size in a datagram, in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.0.len()
    }

    fn compress(members: &[Member]) -> Vec<Self> {
        let page = Self(block::compress_prepend_size(&wire::encode(&members)));
        if page.size() <= MAX_PAGE_BYTES {
            return vec![page];
        }
        if members.len() <= 1 {
            return Vec::new();
        }
        let (first, second) = members.split_at(members.len() / 2);
        let mut pages = Self::compress(first);
        pages.extend(Self::compress(second));
        pages
    }
}

/// When a daemon sends its next request.
#[derive(Debug)]
pub struct Schedule {
    interval: Duration,
    last: Option<Instant>,
    /// Entries learnt since the last request.
    news: usize,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            interval: MAX_INTERVAL,
            last: None,
            news: 0,
        }
    }
}

/// A request that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// For a part of the recent changes: the next request follows soon.
    Part,
    /// For all recent changes.
    Recent,
    /// For all entries.
    All,
}

impl Schedule {
    /// Records that the daemon learnt of a change.
    pub const fn record_news(&mut self) {
        self.news += 1;
    }

    /// Whether a request is due at `now`; it then counts as sent.
    ///
    /// While requests bring news, the next one follows at once. Otherwise the interval doubles.
    pub fn take_due(&mut self, now: Instant) -> Option<Due> {
        let last = *self.last.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        let has_news = self.news >= MIN_NEWS;
        if elapsed < MIN_INTERVAL || !has_news && elapsed < self.interval {
            return None;
        }
        let due = match has_news {
            true => Due::Part,
            false if self.interval < MAX_INTERVAL => Due::Recent,
            false => Due::All,
        };
        self.interval = if has_news {
            MIN_INTERVAL
        } else {
            (2 * self.interval).min(MAX_INTERVAL)
        };
        self.last = Some(now);
        self.news = 0;
        Some(due)
    }
}

/// Bytes of responses that a daemon may still send.
#[derive(Debug)]
pub struct Allowance {
    bytes: f64,
    updated: Option<Instant>,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            bytes: RESPONSE_BURST,
            updated: None,
        }
    }
}

impl Allowance {
    /// Takes as many of `pages` as may be sent at `now`.
    pub fn take(&mut self, now: Instant, mut pages: Vec<Page>) -> Vec<Page> {
        let since = self.updated.replace(now).unwrap_or(now);
        let refill = now.saturating_duration_since(since).as_secs_f64() * RESPONSE_RATE;
        self.bytes = (self.bytes + refill).min(RESPONSE_BURST);
        let fitting = pages.iter().take_while(|page| {
            let size = f64::from(u32::try_from(page.size()).unwrap_or(u32::MAX));
            let fits = size <= self.bytes;
            if fits {
                self.bytes -= size;
            }
            fits
        });
        let count = fitting.count();
        pages.truncate(count);
        pages
    }
}
