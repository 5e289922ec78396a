//! Messages between daemons and their encoding.
//!
//! Every message is bincode: probes travel as single UDP datagrams, the rest as bodies of h2
//! requests. [`decode`] bounds what a hostile length prefix can allocate.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::delta::Delta;
use crate::document::{Document, Guard};
use crate::error::{FrameSnafu, Result};
use crate::keys::{Handed, Holder};
use crate::member::Member;
use crate::units::{CallKey, EditId, Millis, Priority, Service, Slots, Version};

/// Release of the protocol; a frame of another release is refused.
pub const RELEASE: u8 = 1;
/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 8 << 20;
/// Largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_400;

/// What a daemon has in force, in the fewest bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version in force.
    pub version: Version,
    /// Hash of its document.
    pub hash: u64,
}

/// A membership datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Release of the protocol.
    pub release: u8,
    /// Sender's own entry.
    pub from: Member,
    /// What the sender has in force.
    pub digest: Digest,
    /// What it is about.
    pub probe: Probe,
    /// News about other members.
    pub news: Vec<Member>,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for a [`Probe::Pong`] with the same number.
    Ping {
        /// Number of the probe.
        seq: u64,
    },
    /// Answers a ping.
    Pong {
        /// Number of the probe.
        seq: u64,
    },
    /// Asks a third daemon to probe `subject`.
    Relay {
        /// Number of the probe.
        seq: u64,
        /// Whom to probe.
        subject: SocketAddr,
    },
    /// Carries news only.
    News,
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
    Update(Box<Update>),
    /// Too many transfers at once; ask again after the given time.
    Busy(Millis),
}

/// Asks to become a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// The joiner's entry.
    pub member: Member,
}

/// Answer to a [`Join`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Welcome {
    /// The whole view.
    pub members: Vec<Member>,
    /// What the answerer has in force.
    pub digest: Digest,
    /// Highest version that the joiner's address is known to have run.
    pub ran: Version,
    /// Slots that a target offered last through the joiner's address.
    pub slots: Option<Slots>,
}

/// Asks a gate to note that a key is about to run elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The key, with its service.
    pub key: CallKey,
    /// Gate that wants to run it.
    pub holder: Holder,
}

/// What a leaving gate remembers, for those who stay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Legacy {
    /// The gate that leaves.
    pub from: Holder,
    /// Its keys, or a part of them.
    pub keys: Vec<Handed>,
    /// Whether every part has been taken by all.
    pub complete: bool,
}

/// Answer to a [`Legacy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken;

/// Answer to a [`Note`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Noted {
    /// Whether the key may have run, here or at another gate.
    pub known: bool,
    /// Time for which the answerer has remembered keys.
    pub age: Millis,
    /// Whether its address belonged to a daemon before.
    pub lived: bool,
}

/// What a gate needs to know of a call, beside the HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Identifier of the call.
    pub id: String,
    /// Service that is called.
    pub service: Service,
    /// Upstream group of the route.
    pub group: String,
    /// Its rank.
    pub priority: Priority,
    /// Time left until the answer's head is due.
    pub remaining: Millis,
    /// Longest wait for a slot with which it is still of use.
    pub tolerance: Millis,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<CallKey>,
    /// What keeps the key from running twice.
    pub guard: Guard,
    /// Gates that have told the entry themselves that they take no more calls.
    pub leaving: Vec<SocketAddr>,
}

/// Encodes a message.
///
/// # Panics
///
/// Never for the types of this module: they hold nothing that bincode can't encode.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    Bytes::from(bytes.expect("wire types always encode"))
}

/// Decodes a message and refuses trailing bytes.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) for anything that is not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    let (message, used) = decoded.map_err(|e| {
        FrameSnafu {
            reason: e.to_string(),
        }
        .build()
    })?;
    if used == bytes.len() {
        Ok(message)
    } else {
        FrameSnafu {
            reason: format!("{} bytes follow the message", bytes.len() - used),
        }
        .fail()
    }
}

/// Encodes a message as text for a header value.
#[must_use]
pub fn to_header<T: Serialize>(message: &T) -> String {
    URL_SAFE_NO_PAD.encode(encode(message))
}

/// Decodes a message from the text of a header value.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) for anything else.
pub fn from_header<T: DeserializeOwned>(text: &str) -> Result<T> {
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|e| {
        FrameSnafu {
            reason: e.to_string(),
        }
        .build()
    })?;
    decode(&bytes)
}
