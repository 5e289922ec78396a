//! Newtypes for identifiers, sizes and times.
//!
//! Each is displayed and parsed as its bare value, so that settings, documents and logs use the same
//! format. Units are part of the type name or of its first line.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

macro_rules! text {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The bare text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.to_owned()))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

number! {
    /// Position of a record in a log stream, counted from zero.
    Offset, u64
}

number! {
    /// Version of the configuration: the offset after its accepted record, so 0 means none.
    Version, u64
}

number! {
    /// Incarnation of a daemon: an entry with a higher one overrides earlier entries of the same address.
    Incarnation, u64
}

number! {
    /// A span of time in milliseconds.
    Millis, u64
}

number! {
    /// When a target process started, in Unix milliseconds.
    StartTime, u64
}

number! {
    /// Number of concurrent requests that a target accepts.
    Slots, u32
}

number! {
    /// Number of requests that a quota allows in addition to its rate.
    Burst, u64
}

number! {
    /// Priority of a request: the lowest value goes first.
    Priority, u8
}

number! {
    /// A share in percent, from 0 to 100.
    Percent, u8
}

number! {
    /// Generation of the platform's store: how often it was restored from an older copy; 0 if not reported.
    Generation, u64
}

text! {
    /// Name of a data centre.
    DataCentre
}

text! {
    /// Version of a target's software.
    Revision
}

text! {
    /// Name of a service that targets offer.
    Service
}

text! {
    /// Identifier of a target process.
    Instance
}

text! {
    /// Identifier of an edit, chosen by its publisher and never reused.
    EditId
}

text! {
    /// Value of a caller's `Idempotency-Key` header.
    IdempotencyKey
}

/// Number of requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// Why a text is not a [`Rate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ParseRateError {
    /// The text is empty.
    #[snafu(display("it is empty; give a decimal number"))]
    Empty,
    /// The text is not a decimal number.
    #[snafu(display("it is not a decimal number; use digits and at most one point"))]
    NotDecimal,
    /// The number is too large.
    #[snafu(display("it is too large; leave it out to name no limit"))]
    TooLarge,
}

impl Rate {
    /// A rate, unless `per_second` is negative or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Number of requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

// A rate is never NaN.
impl Eq for Rate {}

/// A number that is not a [`Rate`].
#[derive(Debug, Clone, Copy, PartialEq, Snafu)]
#[snafu(display("{number} requests per second; use a number of 0 or more"))]
pub struct RateError {
    number: f64,
}

impl TryFrom<f64> for Rate {
    type Error = RateError;

    fn try_from(number: f64) -> Result<Self, Self::Error> {
        Self::new(number).ok_or(RateError { number })
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseRateError::Empty);
        }
        let decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        let number: Option<f64> = text
            .bytes()
            .all(decimal)
            .then(|| text.parse().ok())
            .flatten();
        let per_second = number.ok_or(ParseRateError::NotDecimal)?;
        Self::new(per_second).ok_or(ParseRateError::TooLarge)
    }
}

impl Instance {
    /// Maximum length of a name, in bytes: the membership entries of two hosts, each with two departures, fit into
    /// a datagram.
    pub const MAX: usize = 128;

    /// Whether the name is short enough for membership entries.
    #[must_use]
    pub const fn is_valid(&self) -> bool {
        self.0.len() <= Self::MAX
    }
}

impl Service {
    /// Maximum length of a name, in bytes.
    pub const MAX: usize = 64;
    /// Separates the beginning of a name from its hash.
    const SEPARATOR: &str = "--";
    /// Digits of the hash.
    const HASH_DIGITS: usize = 16;

    /// The service that another system knows by any `name`.
    ///
    /// A valid name is kept. Any other one, since it is part of datagrams and headers, is replaced by a valid one
    /// that begins alike and ends with a hash of the whole name. An empty name stays empty.
    ///
    /// ```
    /// use jackdawpulley::units::Service;
    ///
    /// assert_eq!(Service::from_name("shelf").as_str(), "shelf");
    /// assert_eq!(Service::from_name("shelf à b").as_str(), "shelf___b--0777ed763393d0fb");
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let service = Self::from(name);
        if name.is_empty() || service.is_valid() {
            return service;
        }
        let kept = Self::MAX - Self::SEPARATOR.len() - Self::HASH_DIGITS;
        let plain = |c: char| if Self::is_plain(c) { c } else { '_' };
        let beginning: String = name.chars().take(kept).map(plain).collect();
        let hash = xxh3_64(name.as_bytes());
        Self(format!("{beginning}{}{hash:016x}", Self::SEPARATOR))
    }

    /// Whether the name may have been generated by [`Service::from_name`] for another one.
    #[must_use]
    pub fn is_generated(&self) -> bool {
        let hash = self.0.rsplit_once(Self::SEPARATOR).map(|(_, hash)| hash);
        hash.is_some_and(|hash| {
            hash.len() == Self::HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit())
        })
    }

    /// Whether the name can be used in a path: letters, digits, `.`, `_` and `-`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        (1..=Self::MAX).contains(&self.0.len()) && self.0.chars().all(Self::is_plain)
    }

    const fn is_plain(c: char) -> bool {
        c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
    }
}

impl Offset {
    /// The offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// The version that an edit at `offset` gets when it is accepted.
    #[must_use]
    pub const fn of(offset: Offset) -> Self {
        Self(offset.0 + 1)
    }

    /// The first offset that this version does not include.
    #[must_use]
    pub const fn end(self) -> Offset {
        Offset(self.0)
    }
}

impl Millis {
    /// The same span as a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
