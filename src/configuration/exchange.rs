//! Messages with which daemons exchange the configuration.
//!
//! A [`Digest`] identifies the active version; a daemon that is behind sends a [`Pull`] and gets a
//! [`Reply`].

use lz4_flex::block;
use serde::{Deserialize, Serialize};

use crate::configuration::delta::Delta;
use crate::configuration::document::Document;
use crate::error::{FrameSnafu, Result};
use crate::units::{EditId, Millis, Version};
use crate::wire;

/// Identifies a daemon's active configuration in a few bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Active version.
    pub version: Version,
    /// Hash of its document.
    pub hash: u64,
}

/// Content of a version, sent to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version after the update.
    pub version: Version,
    /// The document, or the changes that lead to it.
    pub body: Body,
    /// Edits accepted since the base version, oldest first.
    pub accepted: Vec<Accepted>,
}

/// An edit that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its identifier.
    pub id: EditId,
    /// Version that it created.
    pub version: Version,
}

/// The document of an [`Update`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The changes from a version that the receiver is expected to hold.
    Delta {
        /// Version that the changes apply to.
        base: Version,
        /// The changes.
        delta: Delta,
    },
    /// The whole document.
    Whole(Document),
}

/// Requests a peer's active configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pull {
    /// Version that the sender holds.
    pub have: Version,
}

/// Reply to a push or a pull.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The sender of the reply holds this now.
    Have(Digest),
    /// The pushed delta does not apply; the sender of the reply holds this.
    Need(Digest),
    /// The requested content.
    Update(CompressedUpdate),
    /// Too many concurrent transfers; retry after the given time.
    Busy(Millis),
}

/// A compressed [`Update`].
///
/// Each daemon of the tree sends a version to four others by default. Over slow links an uncompressed
/// version with many routes would reach the last daemons seconds after the first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedUpdate(Vec<u8>);

impl CompressedUpdate {
    /// Compresses an update.
    #[must_use]
    pub fn new(update: &Update) -> Self {
        Self(block::compress_prepend_size(&wire::encode(update)))
    }

    /// Decompresses and decodes the update.
    ///
    /// # Errors
    ///
    /// [`Error::Frame`](crate::Error::Frame) when the bytes do not decode to an update, or decompress to
    /// more than [`wire::MAX_FRAME`] bytes.
    pub fn decompress(&self) -> Result<Update> {
        let invalid = |reason: String| FrameSnafu { reason }.build();
        let (size, compressed) =
            block::uncompressed_size(&self.0).map_err(|error| invalid(error.to_string()))?;
        // The size comes from the sender and must not cause an unbounded allocation.
        if size > wire::MAX_FRAME {
            return Err(invalid(format!(
                "{size} bytes exceed the size limit of a frame"
            )));
        }
        let bytes =
            block::decompress(compressed, size).map_err(|error| invalid(error.to_string()))?;
        wire::decode(&bytes)
    }
}
