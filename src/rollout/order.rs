//! What an operator orders, and what became of it.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use strum::{Display, EnumString, VariantNames};

use crate::configuration::origin::Position;
use crate::membership::announce::MAX_REVISION_BYTES;
use crate::units::{Millis, Revision, Service};

/// Longest time that an order may give, a day: a longer one is taken for a slip of the unit.
const LONGEST: Millis = Millis(86_400_000);

/// An order to move a service's traffic to a revision of its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service whose traffic moves.
    pub service: Service,
    /// Revision that is to get it.
    pub revision: Revision,
    /// Time in which that is to be done, or undone.
    pub duration: Millis,
}

/// An order as it was found on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Where it stands.
    pub at: Position,
    /// Service that it is about.
    pub service: Service,
    /// What is ordered; nothing when the order was taken away.
    pub order: Option<Order>,
}

/// What is wrong with an order.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Fault {
    /// It names no service that there can be.
    #[snafu(display("the order names service {name:?}; use letters, digits, dots, dashes or _"))]
    Name {
        /// The name as written.
        name: String,
    },
    /// It stands under another service's name.
    #[snafu(display("the order for {named} stands under {key}; write it under its own service"))]
    Misplaced {
        /// Service under whose name it stands.
        key: Service,
        /// Service that it names.
        named: Service,
    },
    /// It names no revision.
    #[snafu(display("the order for {service} names no revision of 1 to 64 bytes; name one"))]
    NoRevision {
        /// Service that it is about.
        service: Service,
    },
    /// Its time is none.
    #[snafu(display("the order for {service} gives no time from 1 ms to a day; give one"))]
    NoTime {
        /// Service that it is about.
        service: Service,
    },
}

impl Order {
    /// An order that stands under the name of `key`, if it can be carried out.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn check(self, key: &Service) -> Result<Self, Fault> {
        let service = &self.service;
        let name = service.as_str();
        ensure!(service.is_valid(), NameSnafu { name });
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
            NoRevisionSnafu {
                service: service.clone()
            }
        );
        let timed = self.duration > Millis(0) && self.duration <= LONGEST;
        ensure!(timed, NoTimeSnafu { service });
        Ok(self)
    }
}

/// How a roll-out ended. There is one verdict for an order, and it is final.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The revision has all requests; targets of others may be stopped.
    Completed,
    /// The revision gets no request any more.
    RolledBack,
}

/// What the operator is told of a roll-out.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It is under way.
    Running,
    /// As [`Verdict::Completed`].
    Completed,
    /// As [`Verdict::RolledBack`].
    RolledBack,
}

impl Status {
    /// The verdict that it tells, if any.
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
