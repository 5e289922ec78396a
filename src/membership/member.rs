//! Entries that daemons exchange about themselves.
//!
//! The protocol that spreads them is in [`view`](crate::membership::view).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::membership::target::Departure;
use crate::units::{DataCentre, Incarnation, Revision, Service, Slots, StartTime};

/// Entry of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for peers, UDP and TCP; identifies the daemon.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Entries of a higher incarnation replace those of a lower one.
    pub incarnation: Incarnation,
    /// Health, as its peers see it.
    pub health: Health,
    /// Lifecycle stage.
    pub stage: Stage,
    /// What its target offers.
    pub offer: Option<Offer>,
    /// Latest departures of its target's processes, returned to it when it restarts.
    pub departures: Vec<Departure>,
}

/// What a target offers through its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service it belongs to.
    pub service: Service,
    /// Calls it takes at the same time.
    pub slots: Slots,
    /// Start of its process, if targets report it.
    #[serde(rename = "born")]
    pub start_time: Option<StartTime>,
    /// Version of its software, if targets report it.
    pub revision: Option<Revision>,
    /// Whether the target is available; if not, its daemon still remembers its idempotency keys.
    pub open: bool,
}

/// Health of a daemon; within one incarnation, later variants take precedence.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// Responds to probes.
    Alive,
    /// Missed a probe and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time, or stopped without handing over its idempotency keys.
    Gone,
    /// Stopped as planned, after handing over its idempotency keys.
    Left,
}

impl Health {
    /// Whether the daemon counts as a live member.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Lifecycle stage of a daemon.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Not ready: the configuration is not recent enough yet.
    Starting,
    /// Accepts calls.
    Serving,
    /// Closes its callers' sessions; its target still accepts calls through it.
    Leaving,
    /// Accepts no new requests and finishes those in flight.
    Draining,
}

impl Stage {
    /// Whether its target accepts calls through it.
    #[must_use]
    pub const fn takes_calls(self) -> bool {
        matches!(self, Self::Serving | Self::Leaving)
    }

    /// Whether a planned stop is in progress.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        matches!(self, Self::Leaving | Self::Draining)
    }
}
