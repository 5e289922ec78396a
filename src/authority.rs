//! Names of hosts as requests and documents spell them.
//!
//! A `Host` header may be in any letters, and carry a port or the dot of the root; they name the same host.
//!
//! ```
//! use jackdawpulley::authority;
//!
//! assert_eq!(authority::normalized("Shop.Example.:80"), "shop.example");
//! assert_eq!(authority::plain("[2001:db8::1]:80"), "[2001:db8::1]");
//! ```

use std::net::Ipv6Addr;

/// A host without its port and the dot of the root; compare it whatever its case.
#[must_use]
pub fn plain(host: &str) -> &str {
    let name = match host.rfind(']') {
        // An address in brackets has colons of its own.
        Some(end) => &host[..=end],
        None => host.split(':').next().unwrap_or(host),
    };
    match name.strip_suffix('.') {
        Some(rest) if !rest.is_empty() && !rest.ends_with('.') => rest,
        _ => name,
    }
}

/// The one spelling of a host, in small letters.
#[must_use]
pub fn normalized(host: &str) -> String {
    plain(host).to_ascii_lowercase()
}

/// Whether a text is a host without a port.
#[must_use]
pub fn is_host(text: &str) -> bool {
    match text.strip_prefix('[') {
        Some(rest) => rest
            .strip_suffix(']')
            .is_some_and(|address| address.parse::<Ipv6Addr>().is_ok()),
        None => !text.is_empty() && !text.contains([':', '/', ' ']),
    }
}
