//! Encoding of messages between daemons.
//!
//! Every message is encoded with bincode: probes are sent as single UDP datagrams, other messages as
//! bodies of h2 requests. [`decode`] bounds the memory that a malicious length prefix can allocate.
//! The messages themselves are defined beside their senders:
//! [`exchange`](crate::configuration::exchange), [`datagram`](crate::membership::datagram) and
//! [`keys`](crate::idempotency::keys).

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use http::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{FrameSnafu, Result};

/// Release of the protocol; a message of another release is rejected.
pub const RELEASE: u8 = 7;
/// Maximum size of a message in an h2 body, in bytes.
pub const MAX_FRAME: usize = 8 << 20;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_400;

/// Encodes a message.
///
/// # Panics
///
/// Never for the messages of this crate: bincode can encode all their types.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    Bytes::from(bytes.expect("wire types always encode"))
}

/// Decodes a message and rejects trailing bytes.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) if the input is not exactly one message.
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

/// Encodes a message as a header value.
///
/// # Panics
///
/// Never: the encoded text has only letters, digits, `-` and `_`.
#[must_use]
pub fn to_header<T: Serialize>(message: &T) -> HeaderValue {
    let text = URL_SAFE_NO_PAD.encode(encode(message));
    HeaderValue::try_from(text).expect("base64 is a header value")
}

/// Decodes a message from the text of a header value.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) if the text is not exactly one encoded message.
pub fn from_header<T: DeserializeOwned>(text: &str) -> Result<T> {
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|e| {
        FrameSnafu {
            reason: e.to_string(),
        }
        .build()
    })?;
    decode(&bytes)
}
