//! Keys of callers, which are secrets.

use std::fmt;
use std::str::FromStr;

use serde::de::{Error as _, IgnoredAny};
use serde::{Deserialize, Deserializer, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Begins the text that stands for a key in a printed document; the [`Digest`] follows.
const MASK: &str = "hidden ";
/// Begins a [`Digest`].
const DIGEST: &str = "key-";

/// Key by which a caller proves its team; formatted as a digest, never as its text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

/// Short hash of a key: enough to tell the keys of a team apart, too few bits to guess one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(u16);

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

    /// What stands for the key in a printed document.
    #[must_use]
    pub fn masked(&self) -> Self {
        Self(format!("{MASK}{}", self.digest()))
    }

    /// Whether this is what stands for a key in a printed document, and not a key.
    #[must_use]
    pub fn is_masked(&self) -> bool {
        let rest = self.0.strip_prefix(MASK);
        rest.is_some_and(|digest| digest.starts_with(DIGEST))
    }

    /// Digest by which operators may refer to the key.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

impl Digest {
    /// Digest of a key's text.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "16 bits are kept")]
    pub fn of(text: &[u8]) -> Self {
        Self(xxh3_64(text) as u16)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST}{:04x}", self.0)
    }
}

/// Reads a list of keys; an error does not quote what was found.
///
/// # Errors
///
/// The value is not a list of texts.
pub fn deserialize_list<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Key>, D::Error> {
    // Errors of the usual reading quote a value of the wrong type, such as a key outside a list.
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Value {
        List(Option<Vec<Key>>),
        Other(IgnoredAny),
    }
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    match Value::deserialize(deserializer)? {
        Value::List(keys) => Ok(keys.unwrap_or_default()),
        Value::Other(_) => Err(D::Error::custom("keys must be a list of texts")),
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest().fmt(f)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
