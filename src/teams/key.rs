//! Keys of callers, which are secrets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Key by which a caller proves its team; formatted as a digest, never as its text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

/// Why a text is not a [`Key`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ParseKeyError {
    /// The text is empty.
    #[snafu(display("the key is empty; use at least one character"))]
    Empty,
}

impl Key {
    /// The secret text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<String> for Key {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseKeyError::Empty);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for Key {
    /// Writes 16 bits of a hash: enough to tell the keys of a team apart, too few to guess one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key-{:04x}", xxh3_64(self.0.as_bytes()) & 0xffff)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
