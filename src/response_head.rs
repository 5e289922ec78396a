//! Check of a received response's head.
//!
//! The HTTP library parses a head, but leaves to its user whether the status code is valid and whether the transfer
//! codings were undone: it reads a body whose coding it does not know up to the end of the connection, as RFC 9112,
//! section 6.3, has it. Passed on without its `Transfer-Encoding`, such a body would look complete and not be what
//! the server meant. [`check`] therefore comes before any use of a response.
//!
//! A body that ends with its connection can't be told from one whose field with the length is misspelt. Both are
//! accepted, since the first is valid.
//!
//! ```
//! use http::{HeaderMap, HeaderValue, StatusCode, header};
//! use jackdawpulley::response_head::{self, Fault};
//!
//! let mut headers = HeaderMap::new();
//! headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
//! assert_eq!(response_head::check(StatusCode::OK, &headers), Ok(()));
//! headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("gzip, chunked"));
//! assert_eq!(response_head::check(StatusCode::OK, &headers), Err(Fault::Coding));
//! ```

use std::ops::Range;

use http::{HeaderMap, HeaderValue, StatusCode, header};
use snafu::Snafu;
use strum::IntoStaticStr;

/// Status codes of final responses (RFC 9110, section 15).
const FINAL_STATUS: Range<u16> = 200..600;
/// The only transfer coding that a client accepts if it sends no `TE`.
const CHUNKED: &[u8] = b"chunked";

/// Why a response can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The status code is none of a final response.
    #[snafu(display("the response's status is outside 200 to 599; correct the server"))]
    Status,
    /// The body has another transfer coding than `chunked`.
    #[snafu(display(
        "the response's transfer coding is not `chunked`; correct the server or leave the coding out"
    ))]
    Coding,
    /// The body has several lengths, or a length and a transfer coding.
    #[snafu(display(
        "the response gives the end of its body twice; send either one `Content-Length` or `chunked`"
    ))]
    Length,
}

/// Checks the status and the framing of a response whose head has been parsed.
///
/// # Errors
///
/// The first [`Fault`] of the response, no part of which can be relied on.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
    if !FINAL_STATUS.contains(&status.as_u16()) {
        return Err(Fault::Status);
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next();
    let is_chunked = coding.is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(CHUNKED));
    if !is_chunked || codings.next().is_some() {
        return Err(Fault::Coding);
    }
    let lengths = headers.get_all(header::CONTENT_LENGTH);
    let is_number = |length: &HeaderValue| length.as_bytes().iter().all(u8::is_ascii_digit);
    let ends = lengths.iter().count() + usize::from(coding.is_some());
    // RFC 9112, section 6.3, lets a recipient choose among two ends, but if they differ, it is not known which one
    // the server meant.
    if ends > 1 || !lengths.iter().all(is_number) {
        return Err(Fault::Length);
    }
    Ok(())
}
