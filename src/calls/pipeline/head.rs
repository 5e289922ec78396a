//! Reading the head of a request far enough to find where the request ends.
//!
//! The same parser as in hyper finds the end of the head. Everything beyond the plainest ways of
//! stating the length of a body counts as unclear, so that no request is found in bytes that hyper
//! reads as part of another one.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header};

/// Largest number of headers, as in hyper.
const MAX_HEADERS: usize = 100;
/// Largest number of digits of a content length, so that it cannot overflow.
const MAX_LENGTH_DIGITS: usize = 18;

/// What the first bytes of a request say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scan {
    /// The head is not complete.
    Partial,
    /// The head is complete, and it is clear where the request ends.
    Complete(Extent),
    /// The bytes are not a request, or it is not clear where it ends.
    Unclear,
}

/// Extent of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// Length of the head, in bytes.
    pub head: usize,
    /// Length of the body.
    pub body: Length,
    /// Whether the request has no body and asks for nothing beyond its response.
    pub is_plain: bool,
}

/// Length of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// This many bytes.
    Known(u64),
    /// The body is chunked.
    Chunked,
}

/// Scans `bytes`, which begin with the head of a request.
#[must_use]
pub fn scan(bytes: &[u8]) -> Scan {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => Scan::Partial,
        Ok(httparse::Status::Complete(length)) => {
            extent(&request, length).map_or(Scan::Unclear, Scan::Complete)
        }
        Err(_) => Scan::Unclear,
    }
}

/// Whether a head that was incomplete after `from` bytes may be complete now.
///
/// A line feed that ends an empty line is searched for, which is cheaper than parsing the whole
/// head for each packet of a slow caller.
#[must_use]
pub fn may_be_complete(bytes: &[u8], from: usize) -> bool {
    let start = from.saturating_sub(2);
    let new = bytes.get(start..).unwrap_or_default();
    new.windows(2).any(|pair| pair == b"\n\n") || new.windows(3).any(|three| three == b"\n\r\n")
}

/// Builds the request of a plain head, as hyper does; `None` if it can't be built.
#[must_use]
pub fn build(head: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed
        .parse(head)
        .ok()
        .filter(httparse::Status::is_complete)?;
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() =
        Uri::from_maybe_shared(Bytes::copy_from_slice(parsed.path?.as_bytes())).ok()?;
    *request.version_mut() = Version::HTTP_11;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}

/// Extent of a parsed request; `None` if it is unclear, or if the connection does not continue as
/// HTTP/1.1 after it.
fn extent(request: &httparse::Request<'_, '_>, head: usize) -> Option<Extent> {
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return None;
    }
    let mut length = None;
    let mut is_plain = request.path.is_some_and(|path| path.starts_with('/'));
    for header in request.headers.iter() {
        let is = |name: &header::HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if is(&header::UPGRADE) {
            return None;
        } else if is(&header::TRANSFER_ENCODING) || is(&header::CONTENT_LENGTH) {
            let stated = if is(&header::CONTENT_LENGTH) {
                Length::Known(content_length(header.value)?)
            } else if header.value.eq_ignore_ascii_case(b"chunked") {
                Length::Chunked
            } else {
                return None;
            };
            if length.replace(stated).is_some() {
                return None;
            }
        } else if is(&header::CONNECTION) {
            if !header.value.eq_ignore_ascii_case(b"keep-alive") {
                return None;
            }
        } else if is(&header::EXPECT) {
            is_plain = false;
        }
    }
    let body = length.unwrap_or(Length::Known(0));
    Some(Extent {
        head,
        body,
        is_plain: is_plain && body == Length::Known(0),
    })
}

fn content_length(value: &[u8]) -> Option<u64> {
    let is_number = value.iter().all(u8::is_ascii_digit) && value.len() <= MAX_LENGTH_DIGITS;
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}
