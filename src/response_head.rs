//! Check of a received response's head.
//!
//! The HTTP library parses a head, but leaves to its user whether the transfer codings were undone: it reads a body
//! whose coding it does not know up to the end of the connection, as RFC 9112, section 6.3, has it. Passed on
//! without its `Transfer-Encoding`, such a body would look complete and not be what the server meant. [`check`]
//! therefore comes before any use of a response.
//!
//! A body that ends with its connection can't be told from one whose field with the length is misspelt. Both are
//! accepted, since the first is valid.
//!
//! ```
//! use http::{HeaderMap, HeaderValue, header};
//! use jackdawpulley::response_head::{self, Fault};
//!
//! let mut headers = HeaderMap::new();
//! headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
//! assert_eq!(response_head::check(&headers), Ok(()));
//! headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("gzip, chunked"));
//! assert_eq!(response_head::check(&headers), Err(Fault::Coding));
//! ```

use http::{HeaderMap, header};
use snafu::Snafu;
use strum::IntoStaticStr;

/// The only transfer coding that a client accepts if it sends no `TE`.
const CHUNKED: &[u8] = b"chunked";

/// Why a response can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The body has another transfer coding than `chunked`.
    #[snafu(display(
        "the response's transfer coding is not `chunked`; correct the server or leave the coding out"
    ))]
    Coding,
}

/// Checks the framing of a response whose head has been parsed.
///
/// # Errors
///
/// The first [`Fault`] of the response, no part of which can be relied on.
pub fn check(headers: &HeaderMap) -> Result<(), Fault> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next();
    let is_chunked = coding.is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(CHUNKED));
    if !is_chunked || codings.next().is_some() {
        return Err(Fault::Coding);
    }
    Ok(())
}
