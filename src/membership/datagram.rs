//! Messages of the membership protocol.
//!
//! Probes and updates are sent as a [`Datagram`]. A daemon that starts joins with a [`Join`] request.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration::exchange::Digest;
use crate::configuration::freshness;
use crate::membership::anti_entropy::{Filter, Page};
use crate::membership::member::Member;
use crate::membership::target::Departure;
use crate::quarantine::crash::Crash;
use crate::quota;
use crate::rollout::counters::Report;
use crate::rollout::progress::Progress;
use crate::units::{Generation, Revision, Service, Slots, Version};

/// A membership datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Release of the wire protocol.
    pub release: u8,
    /// Sender's own entry.
    pub from: Member,
    /// Configuration that the sender has active.
    pub digest: Digest,
    /// Position up to which the control plane was read, at which nothing newer was found; none before the
    /// first read.
    pub watermark: Option<freshness::Report>,
    /// Highest generation of the control plane's store that the sender knows.
    pub generation: Generation,
    /// Hash of the target crashes and rollouts that the sender knows; 0 if it knows none.
    pub gossip_hash: u64,
    /// Kind of message, with its content.
    pub message: Message,
    /// Updates about other members.
    pub updates: Vec<Member>,
}

/// Kind and content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a [`Message::Pong`] with the same number.
    Ping {
        /// Number of the probe.
        seq: u64,
    },
    /// Answers a ping.
    Pong {
        /// Number of the probe.
        seq: u64,
    },
    /// Asks another daemon for an indirect probe of `subject`.
    Relay {
        /// Number of the probe.
        seq: u64,
        /// Daemon to probe.
        subject: SocketAddr,
    },
    /// Carries only what every datagram carries.
    Gossip,
    /// Crashes of targets.
    Crashes(Vec<Crash>),
    /// States of rollouts.
    Rollouts(Vec<Progress>),
    /// Report on a target's responses, for the coordinator of a rollout.
    Report(Report),
    /// Counts and limits of teams with a quota.
    Quota(quota::messages::Message),
    /// Requests the entries that are not in the filter.
    Missing(Filter),
    /// Response to [`Message::Missing`].
    Entries(Page),
}

/// Request to become a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// Entry of the joining daemon.
    pub member: Member,
}

/// Response to a [`Join`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Welcome {
    /// All members of the responder's view, the responder first.
    pub members: Vec<Member>,
    /// Configuration that the responder has active.
    pub digest: Digest,
    /// Highest configuration version that the joining daemon's address is known to have run.
    pub highest_version: Version,
    /// Slots that a target offered last through the joining daemon's address.
    pub slots: Option<Slots>,
    /// Latest departures of targets that the joining daemon's address is known to have acknowledged.
    pub departures: Vec<Departure>,
    /// Target crashes that the responder knows.
    pub crashes: Vec<Crash>,
    /// Rollouts that the responder knows.
    pub rollouts: Vec<Progress>,
    /// Highest generation of the control plane's store that the responder knows.
    pub generation: Generation,
    /// Stable revision of each service: the one that gets its requests while no rollout is ordered.
    pub stable_revisions: Vec<(Service, Revision)>,
}
