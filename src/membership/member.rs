//! Members: what daemons tell each other about themselves.
//!
//! The protocol that spreads these entries is in [`view`](crate::membership::view).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::units::{DataCentre, Incarnation, Revision, Service, Slots, StartTime};

/// One daemon, as others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for peers, UDP and TCP; identifies the daemon.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Higher wins.
    pub incarnation: Incarnation,
    /// Whether it answers.
    pub health: Health,
    /// Where it is in its life.
    pub stage: Stage,
    /// What its target offers.
    pub offer: Option<Offer>,
}

/// What a target offers through its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service it belongs to.
    pub service: Service,
    /// Calls it takes at the same time.
    pub slots: Slots,
    /// When its life began, where targets tell it.
    #[serde(rename = "born")]
    pub start_time: Option<StartTime>,
    /// Version of its software, where targets tell it.
    pub revision: Option<Revision>,
    /// Whether the target is there; its daemon still remembers its keys when it is not.
    pub open: bool,
}

/// Whether a daemon answers; later variants win within one incarnation.
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
    /// It answers.
    Alive,
    /// It has missed a probe and may refute.
    Suspect,
    /// It has not refuted in time.
    Gone,
    /// It has left as planned, and handed over what it remembered.
    Left,
}

impl Health {
    /// Whether the daemon is thought to be there.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Where a daemon is in its life.
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
    /// Not ready: no floor for the configuration yet.
    Starting,
    /// Takes calls.
    Serving,
    /// Ends its callers' sessions; its target still takes calls through it.
    Leaving,
    /// Takes no new work and ends what is in flight.
    Draining,
}

impl Stage {
    /// Whether its target takes calls through it.
    #[must_use]
    pub const fn takes_calls(self) -> bool {
        matches!(self, Self::Serving | Self::Leaving)
    }

    /// Whether a planned stop is under way.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        matches!(self, Self::Leaving | Self::Draining)
    }
}
