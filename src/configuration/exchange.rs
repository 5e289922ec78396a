//! What daemons tell each other about the configuration.
//!
//! A [`Digest`] says what is in force; whoever is behind sends a [`Pull`] and gets a [`Reply`].

use lz4_flex::block;
use serde::{Deserialize, Serialize};

use crate::configuration::delta::Delta;
use crate::configuration::document::Document;
use crate::error::{FrameSnafu, Result};
use crate::units::{EditId, Millis, Version};
use crate::wire;

/// What a daemon has in force, in the fewest bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version in force.
    pub version: Version,
    /// Hash of its document.
    pub hash: u64,
}

/// Content on its way to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that it leads to.
    pub version: Version,
    /// The document.
    pub body: Body,
    /// Edits that were accepted on the way, oldest first.
    pub accepted: Vec<Accepted>,
}

/// An edit that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its identifier.
    pub id: EditId,
    /// Version that it got.
    pub version: Version,
}

/// The document of an [`Update`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The changes from a version that the receiver is thought to hold.
    Delta {
        /// Version they start from.
        base: Version,
        /// The changes.
        delta: Delta,
    },
    /// The whole document.
    Whole(Document),
}

/// Asks a peer for what it has in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pull {
    /// Version that the asker holds.
    pub have: Version,
}

/// Answer to a push or a pull.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The receiver holds this now.
    Have(Digest),
    /// The receiver needs another base: what it holds is named.
    Need(Digest),
    /// The content that was asked for.
    Update(CompressedUpdate),
    /// Too many transfers at once; ask again after the given time.
    Busy(Millis),
}

/// An [`Update`], compressed.
///
/// Guards against slow links: a version that brings many routes is sent on four times by each daemon of
/// the tree, and the last daemons would have it seconds after the first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedUpdate(Vec<u8>);

impl CompressedUpdate {
    /// Compresses an update.
    #[must_use]
    pub fn new(update: &Update) -> Self {
        Self(block::compress_prepend_size(&wire::encode(update)))
    }

    /// The update.
    ///
    /// # Errors
    ///
    /// [`Error::Frame`](crate::Error::Frame) for anything else, or for more than a frame may hold.
    pub fn decompress(&self) -> Result<Update> {
        let broken = |reason: String| FrameSnafu { reason }.build();
        let (size, packed) =
            block::uncompressed_size(&self.0).map_err(|error| broken(error.to_string()))?;
        // The size is the sender's word: it must not allocate without bound.
        if size > wire::MAX_FRAME {
            return Err(broken(format!("{size} bytes are more than a frame holds")));
        }
        let bytes = block::decompress(packed, size).map_err(|error| broken(error.to_string()))?;
        wire::decode(&bytes)
    }
}
