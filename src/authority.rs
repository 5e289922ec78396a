//! Normalization of host names in requests and documents.
//!
//! A `Host` header may differ from a configured name in case, and have a port or a trailing dot, and still
//! name the same host.
//!
//! ```
//! use jackdawpulley::authority;
//!
//! assert_eq!(authority::normalize("Shop.Example.:80"), "shop.example");
//! assert_eq!(authority::without_port("[2001:db8::1]:80"), "[2001:db8::1]");
//! ```

use std::net::Ipv6Addr;

/// Strips the port and the trailing dot from a host; the result is compared case-insensitively.
#[must_use]
pub fn without_port(host: &str) -> &str {
    let name = match host.rfind(']') {
        // An IPv6 address in brackets contains colons.
        Some(end) => &host[..=end],
        None => host.split(':').next().unwrap_or(host),
    };
    match name.strip_suffix('.') {
        Some(rest) if !rest.is_empty() && !rest.ends_with('.') => rest,
        _ => name,
    }
}

/// Normalizes a host to lower case without port and trailing dot.
#[must_use]
pub fn normalize(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

/// Whether a text is a host name or address without a port.
#[must_use]
pub fn is_host(text: &str) -> bool {
    match text.strip_prefix('[') {
        Some(rest) => rest
            .strip_suffix(']')
            .is_some_and(|address| address.parse::<Ipv6Addr>().is_ok()),
        None => !text.is_empty() && !text.contains([':', '/', ' ']),
    }
}
