//! A call on its way between two daemons.
//!
//! A call is an ordinary request with a [`Handover`] in its headers. Names that are the same for
//! many calls go in headers of their own, which the connection's table of headers shrinks to a byte
//! each; the rest is one short text.

use http::{HeaderMap, HeaderValue, Request, Response};
use volo_http::body::Body;

use crate::call::Part;
use crate::error::Result;
use crate::outcome::Reason;
use crate::peer::Failure;
use crate::roster::Upstream;
use crate::stream::Incoming;
use crate::units::Service;
use crate::wire::{self, Handover};

/// Header that carries a [`Handover`].
pub const HANDOVER: &str = "x-jackdaw-handover";
/// Header with the service that is called.
const SERVICE: &str = "x-jackdaw-service";
/// Header with the upstream group of the route.
const GROUP: &str = "x-jackdaw-group";

/// Hands a request to the gate of another host.
///
/// # Errors
///
/// [`Reason::Unreachable`] when the gate has provably not processed it, else [`Reason::Broken`].
pub async fn hand_over(upstream: &Upstream, part: Part) -> Result<Response<Body>, Reason> {
    let (mut parts, body) = part.request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", upstream.peer);
    let mut request = Request::builder().method(parts.method).uri(uri);
    if let Some(headers) = request.headers_mut() {
        std::mem::swap(headers, &mut parts.headers);
        write_handover(headers, part.handover);
    }
    let request = request.body(()).map_err(|_| Reason::Unreachable)?;
    let response = upstream
        .link
        .call(request, body)
        .await
        .map_err(|failure| match failure {
            Failure::Unsent => Reason::Unreachable,
            Failure::Broken => Reason::Broken,
        })?;
    let (parts, stream) = response.into_parts();
    Ok(Response::from_parts(
        parts,
        Incoming::new(stream).into_body(),
    ))
}

/// Writes what the gate needs to know.
fn write_handover(headers: &mut HeaderMap, mut handover: Handover) {
    let names = [
        (SERVICE, &mut handover.service.0),
        (GROUP, &mut handover.group),
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
    let text = wire::to_header(&handover);
    let value = HeaderValue::from_str(&text).expect("base64 is a header value");
    headers.insert(HANDOVER, value);
}

/// Takes what the gate needs to know out of the headers of a call.
///
/// # Errors
///
/// [`Error::Frame`] when it does not decode.
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
    Ok(handover)
}
