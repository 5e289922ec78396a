//! Rollout orders and their outcome.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use strum::{Display, EnumString, VariantNames};

use crate::configuration::control_plane::Position;
use crate::membership::announcement::MAX_REVISION_BYTES;
use crate::units::{Millis, Revision, Service};

/// Longest duration of an order, one day. A longer one is taken for a mistake in the unit.
const MAX_DURATION: Millis = Millis(86_400_000);

/// An operator's order to move a service's traffic to a revision of its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service whose traffic is moved.
    pub service: Service,
    /// Revision that is to receive the traffic.
    pub revision: Revision,
    /// Time within which the rollout completes or is rolled back.
    pub duration: Millis,
}

/// An order, or its withdrawal, as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Position of the change on the platform.
    pub position: Position,
    /// Service of the order.
    pub service: Service,
    /// The order; `None` if it was withdrawn.
    pub order: Option<Order>,
}

/// Reason for which an order is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Fault {
    /// The service name is invalid.
    #[snafu(display(
        "invalid service name {name:?} in a rollout order; use letters, digits, dots, dashes or _"
    ))]
    InvalidService {
        /// The name in the order.
        name: String,
    },
    /// The order is stored under another service.
    #[snafu(display(
        "rollout order for {named} is stored under {key}; store it under its own service"
    ))]
    Misplaced {
        /// Service under which the order is stored.
        key: Service,
        /// Service that the order names.
        named: Service,
    },
    /// The revision is empty or too long.
    #[snafu(display("rollout order for {service} needs a revision of 1 to 64 bytes"))]
    InvalidRevision {
        /// Service of the order.
        service: Service,
    },
    /// The duration is zero or too long.
    #[snafu(display("rollout order for {service} needs a duration from 1 ms to a day"))]
    InvalidDuration {
        /// Service of the order.
        service: Service,
    },
}

impl Order {
    /// Checks an order that is stored under `key`.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(self, key: &Service) -> Result<Self, Fault> {
        let service = &self.service;
        let name = service.as_str();
        ensure!(service.is_valid(), InvalidServiceSnafu { name });
        let named = service.clone();
        ensure!(
            service == key,
            MisplacedSnafu {
                key: key.clone(),
                named
            }
        );
        let length = self.revision.as_str().len();
        let service = service.clone();
        ensure!(
            (1..=MAX_REVISION_BYTES).contains(&length),
            InvalidRevisionSnafu {
                service: service.clone()
            }
        );
        let is_valid_duration = self.duration > Millis(0) && self.duration <= MAX_DURATION;
        ensure!(is_valid_duration, InvalidDurationSnafu { service });
        Ok(self)
    }
}

/// Final verdict on a rollout. An order has one verdict at most.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The revision receives all requests; targets of other revisions may be stopped.
    Completed,
    /// The revision receives no requests any more.
    RolledBack,
}

/// Status of a rollout as the operator sees it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// There is no verdict yet.
    Running,
    /// See [`Verdict::Completed`].
    Completed,
    /// See [`Verdict::RolledBack`].
    RolledBack,
}

impl Status {
    /// The verdict, if there is one.
    #[must_use]
    pub const fn verdict(self) -> Option<Verdict> {
        match self {
            Self::Running => None,
            Self::Completed => Some(Verdict::Completed),
            Self::RolledBack => Some(Verdict::RolledBack),
        }
    }
}

impl From<Option<Verdict>> for Status {
    fn from(verdict: Option<Verdict>) -> Self {
        match verdict {
            None => Self::Running,
            Some(Verdict::Completed) => Self::Completed,
            Some(Verdict::RolledBack) => Self::RolledBack,
        }
    }
}
