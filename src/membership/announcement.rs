//! Announcement of a target, and what makes one invalid.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::membership::target::Process;
use crate::units::{Millis, Revision, Service, Slots, StartTime};

/// Longest lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 60_000;
/// Time by which a start time may be ahead of this host's clock, in milliseconds; clocks differ by seconds at
/// most.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Longest name of a revision, in bytes; it is sent with each target's membership entry.
pub const MAX_REVISION_BYTES: usize = 64;

/// Announcement of a target, the body of `POST /announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Time until it has to renew.
    pub lease_ms: Millis,
    /// Version of its software.
    #[serde(default)]
    pub revision: Option<Revision>,
    /// Time for which it is still slow after its start.
    #[serde(default)]
    pub cold_ms: Millis,
    /// Start of its process, in milliseconds since 1970; distinguishes a restart from a renewal.
    #[serde(default, rename = "born")]
    pub start_time: Option<StartTime>,
}

impl Announcement {
    /// Describes what is wrong with it, with a remedy.
    #[must_use]
    pub fn problem(&self) -> Option<&'static str> {
        if !self.service.is_valid() {
            return Some("service must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if !is_of_host(self.address) {
            return Some(
                "address is none of a host; give the IP address and port that accept calls",
            );
        }
        if self.slots.0 == 0 {
            return Some("slots is 0; give the number of calls that run at the same time");
        }
        if self.lease_ms.0 == 0 || self.lease_ms.0 > MAX_LEASE_MS {
            return Some("lease_ms must be 1 to 60000; renew at a third of it");
        }
        let revision = self.revision.as_ref().map_or("", Revision::as_str);
        if revision.len() > MAX_REVISION_BYTES {
            return Some("revision must have at most 64 bytes");
        }
        if self.cold_ms.0 > MAX_LEASE_MS {
            return Some("cold_ms must be at most 60000; give the time that remains");
        }
        start_problem(self.start_time)
    }
}

/// Whether connections to one host can be opened at an address.
fn is_of_host(address: SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Describes what is wrong with a process, with a remedy.
pub(crate) fn process_problem(process: &Process) -> Option<&'static str> {
    if !process.instance.is_valid() {
        return Some("the name of the instance must have at most 128 bytes");
    }
    start_problem(process.start_time)
}

/// Describes what is wrong with a start time, with a remedy.
fn start_problem(start_time: Option<StartTime>) -> Option<&'static str> {
    let latest = StartTime(clock::unix_ms() + MAX_CLOCK_SKEW_MS);
    let is_future = start_time.is_some_and(|start_time| start_time > latest);
    is_future.then_some("born is in the future; give the start time of the process")
}
