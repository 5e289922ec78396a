//! Newtypes for identifiers, sizes and times.
//!
//! Each prints and parses as the bare value, so that settings, documents and logs agree on one
//! spelling. Units are part of the type name or of its first line.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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
    /// Version of the configuration: the offset after its accepted record, so zero means none.
    Version, u64
}

number! {
    /// Incarnation of a daemon: higher wins over any earlier word about the same address.
    Incarnation, u64
}

number! {
    /// A span of time in milliseconds.
    Millis, u64
}

number! {
    /// When a life of a target began, in Unix milliseconds.
    StartTime, u64
}

number! {
    /// Calls that a target takes at the same time.
    Slots, u32
}

number! {
    /// Rank of a request: the lowest goes first.
    Priority, u8
}

number! {
    /// A share in percent, from 0 to 100.
    Percent, u8
}

number! {
    /// How often the platform's store has come back from an older copy; 0 where it does not tell.
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
    /// Identifier of one life of a target, from its start to its end.
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

impl Service {
    /// Longest name, in bytes.
    pub const MAX: usize = 64;

    /// Whether the name can stand in a path: letters, digits, `.`, `_` and `-`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        (1..=Self::MAX).contains(&self.0.len()) && self.0.bytes().all(plain)
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

    /// The first offset that this version has not folded.
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
