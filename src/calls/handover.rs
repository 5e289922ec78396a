//! A call on its way between two daemons.
//!
//! A call is an ordinary request with a [`Handover`] in its headers. Names that are the same for
//! many calls go in headers of their own, which the connection's table of headers shrinks to a byte
//! each; the rest is one short text.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::configuration::document::Guard;
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::{IdempotencyKey, Millis, Priority, Service};
use crate::wire;

/// Header that carries a [`Handover`].
pub const HANDOVER: &str = "x-jackdaw-handover";
/// Header with the service that is called.
const SERVICE: &str = "x-jackdaw-service";
/// Header with the upstream group of the route.
const GROUP: &str = "x-jackdaw-group";

/// Header with the name of the route.
const ROUTE: &str = "x-jackdaw-route";
/// Header with the service on whose host the call began.
const FROM: &str = "x-jackdaw-from";

/// What a gate needs to know of a call, beside the HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Identifier of the call.
    pub id: String,
    /// Service that is called.
    pub service: Service,
    /// Upstream group of the route.
    pub group: String,
    /// Name of the route.
    pub route: String,
    /// Service on whose host the call began; empty where it is not known.
    pub from: Service,
    /// What stays the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// Its rank.
    pub priority: Priority,
    /// When it was sent, by the clock of its sender's host since that started.
    pub sent_ms: u64,
    /// Time left then until the answer's head is due.
    pub remaining: Millis,
    /// Longest wait for a slot with which it is still of use.
    pub tolerance: Millis,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// What keeps the key from running twice.
    pub guard: Guard,
    /// Gates that have told the entry themselves that they take no more calls.
    pub leaving: Vec<SocketAddr>,
}

/// Writes what the gate needs to know.
pub fn write_handover(headers: &mut HeaderMap, mut handover: Handover) {
    let names = [
        (SERVICE, &mut handover.service.0),
        (GROUP, &mut handover.group),
        (ROUTE, &mut handover.route),
        (FROM, &mut handover.from.0),
    ];
    for (header, name) in names {
        // What a caller may have sent under this name must not be taken for ours.
        headers.remove(header);
        // A name that no header can carry stays where it is.
        if let Ok(value) = HeaderValue::from_str(name) {
            headers.insert(header, value);
            name.clear();
        }
    }
    headers.insert(HANDOVER, wire::to_header(&handover));
}

/// Takes what the gate needs to know out of the headers of a call.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) when it does not decode.
pub fn read_handover(headers: &mut HeaderMap) -> Result<Handover> {
    let mut take = |name| {
        let value: Option<HeaderValue> = headers.remove(name);
        value.and_then(|value| value.to_str().ok().map(str::to_owned))
    };
    let mut handover: Handover = wire::from_header(&take(HANDOVER).unwrap_or_default())?;
    if let Some(service) = take(SERVICE) {
        handover.service = Service(service);
    }
    if let Some(group) = take(GROUP) {
        handover.group = group;
    }
    if let Some(route) = take(ROUTE) {
        handover.route = route;
    }
    if let Some(from) = take(FROM) {
        handover.from = Service(from);
    }
    Ok(handover)
}
