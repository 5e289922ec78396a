//! Metadata of a call that one daemon forwards to another.
//!
//! A forwarded call is an ordinary request with [`Metadata`] in its headers. Names that many calls
//! share have headers of their own, which HPACK's table compresses to a byte each; the rest is one
//! short text.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::calls::notice::Notice;
use crate::configuration::document::Guard;
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::{IdempotencyKey, Millis, Priority, Service};
use crate::wire;

/// Header that carries the [`Metadata`].
pub const METADATA: &str = "x-jackdaw-handover";
/// Header with the service that is called.
const SERVICE: &str = "x-jackdaw-service";
/// Header with the upstream group of the route.
const GROUP: &str = "x-jackdaw-group";
/// Header with the name of the route.
const ROUTE: &str = "x-jackdaw-route";
/// Header with the service on whose host the call began.
const CALLER_SERVICE: &str = "x-jackdaw-from";
/// Header with the name of the caller's team; its own because few teams send most requests.
const TEAM: &str = "x-jackdaw-for-team";
/// Header with the [`Notice`]; a release of the sidecar that does not know it ignores it.
const NOTICE: &str = "x-jackdaw-notice";
/// Header of a repeated attempt; a release of the sidecar that does not know it ignores it.
const REPEAT: &str = "x-jackdaw-repeat";

/// What a sidecar needs to know about a call beside the HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Identifier of the call.
    pub id: String,
    /// Service that is called.
    pub service: Service,
    /// Upstream group of the route.
    pub group: String,
    /// Name of the route.
    pub route: String,
    /// Service on whose host the call began; empty where it is not known.
    pub caller_service: Service,
    /// Hash that stays the same when the caller sends the request again.
    pub fingerprint: Fingerprint,
    /// Priority in the queue for a slot.
    pub priority: Priority,
    /// When the request was sent, in milliseconds since the sender's host booted.
    pub sent_ms: u64,
    /// Time left, when it was sent, until the response head is due.
    pub remaining: Millis,
    /// Longest expected wait for a slot with which the request is admitted.
    pub max_wait: Millis,
    /// Whether the request may safely run twice.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// How requests with the same key are kept from running twice.
    pub guard: Guard,
    /// Name of the team for which the call is made; empty if there is none.
    #[serde(skip)]
    pub team: String,
    /// Sidecars that have told the ingress that they accept no more calls.
    pub draining: Vec<SocketAddr>,
    /// Last notice of the sidecar's target that the ingress has received.
    #[serde(skip)]
    pub notice: Option<Notice>,
    /// Whether an earlier attempt may have reached a target.
    #[serde(skip)]
    pub repeat: bool,
}

/// Writes the metadata into the headers of a call.
pub fn write_metadata(headers: &mut HeaderMap, mut metadata: Metadata) {
    let names = [
        (SERVICE, &mut metadata.service.0),
        (GROUP, &mut metadata.group),
        (ROUTE, &mut metadata.route),
        (CALLER_SERVICE, &mut metadata.caller_service.0),
    ];
    for (header, name) in names {
        // A header that the caller sent under this name must not be taken for metadata.
        headers.remove(header);
        // A name that is not a valid header value stays in the metadata itself.
        if let Ok(value) = HeaderValue::from_str(name) {
            headers.insert(header, value);
            name.clear();
        }
    }
    headers.remove(TEAM);
    // The bytes of any checked name are a header value, also beyond ASCII.
    let team = HeaderValue::from_bytes(metadata.team.as_bytes());
    if let Some(team) = team.ok().filter(|team| !team.is_empty()) {
        headers.insert(TEAM, team);
    }
    headers.remove(NOTICE);
    let notice = metadata.notice.map(|notice| notice.to_string());
    if let Some(Ok(value)) = notice.map(HeaderValue::try_from) {
        headers.insert(NOTICE, value);
    }
    headers.remove(REPEAT);
    if metadata.repeat {
        headers.insert(REPEAT, HeaderValue::from_static("1"));
    }
    headers.insert(METADATA, wire::to_header(&metadata));
}

/// Removes the metadata from the headers of a call and decodes it.
///
/// # Errors
///
/// [`Error::Frame`](crate::Error::Frame) when it does not decode.
pub fn read_metadata(headers: &mut HeaderMap) -> Result<Metadata> {
    let team = headers.remove(TEAM);
    let mut take = |name| {
        let value: Option<HeaderValue> = headers.remove(name);
        value.and_then(|value| value.to_str().ok().map(str::to_owned))
    };
    let mut metadata: Metadata = wire::from_header(&take(METADATA).unwrap_or_default())?;
    if let Some(service) = take(SERVICE) {
        metadata.service = Service(service);
    }
    if let Some(group) = take(GROUP) {
        metadata.group = group;
    }
    if let Some(route) = take(ROUTE) {
        metadata.route = route;
    }
    if let Some(service) = take(CALLER_SERVICE) {
        metadata.caller_service = Service(service);
    }
    let team = team.and_then(|team| String::from_utf8(team.as_bytes().to_vec()).ok());
    metadata.team = team.unwrap_or_default();
    // Without it the request is still complete.
    metadata.notice = take(NOTICE).and_then(|notice| notice.parse().ok());
    metadata.repeat = take(REPEAT).is_some();
    Ok(metadata)
}
