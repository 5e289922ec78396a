//! What daemons tell each other about who is there.
//!
//! Probes and news travel as a [`Datagram`]; a newcomer asks with a [`Join`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration::exchange::Digest;
use crate::configuration::freshness;
use crate::membership::member::Member;
use crate::quarantine::crash::Crash;
use crate::rollout::progress::Progress;
use crate::rollout::tally::Report;
use crate::units::{Generation, Revision, Service, Slots, Version};

/// A membership datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Release of the protocol.
    pub release: u8,
    /// Sender's own entry.
    pub from: Member,
    /// What the sender has in force.
    pub digest: Digest,
    /// Up to where the platform was read, with nothing newer than that; none before the first read.
    pub watermark: Option<freshness::Report>,
    /// Highest era of the platform that the sender knows.
    pub era: Generation,
    /// Hash of what the sender knows of requests that end targets and of roll-outs; 0 for nothing.
    pub evidence: u64,
    /// What it is about.
    pub probe: Probe,
    /// News about other members.
    pub news: Vec<Member>,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for a [`Probe::Pong`] with the same number.
    Ping {
        /// Number of the probe.
        seq: u64,
    },
    /// Answers a ping.
    Pong {
        /// Number of the probe.
        seq: u64,
    },
    /// Asks a third daemon to probe `subject`.
    Relay {
        /// Number of the probe.
        seq: u64,
        /// Whom to probe.
        subject: SocketAddr,
    },
    /// Carries news only.
    News,
    /// Tells ends of targets.
    Crashes(Vec<Crash>),
    /// Tells roll-outs.
    Rollouts(Vec<Progress>),
    /// Tells one that decides on a roll-out how a target answers.
    Report(Report),
}

/// Asks to become a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// The joiner's entry.
    pub member: Member,
}

/// Answer to a [`Join`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Welcome {
    /// The whole view.
    pub members: Vec<Member>,
    /// What the answerer has in force.
    pub digest: Digest,
    /// Highest version that the joiner's address is known to have run.
    pub ran: Version,
    /// Slots that a target offered last through the joiner's address.
    pub slots: Option<Slots>,
    /// Ends of targets that the answerer knows of.
    pub crashes: Vec<Crash>,
    /// Roll-outs that the answerer knows of.
    pub rollouts: Vec<Progress>,
    /// Highest era of the platform that the answerer knows.
    pub era: Generation,
    /// Revisions that get requests without an order.
    pub usual: Vec<(Service, Revision)>,
}
