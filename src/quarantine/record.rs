//! What the platform keeps of a request in quarantine.
//!
//! Daemons remember in memory. When all of them have died at once, those that start read a [`Note`] of each
//! request in quarantine; without it, the request would have to end as many targets again.
//!
//! ```
//! use jackdawpulley::quarantine::crash::CrashId;
//! use jackdawpulley::quarantine::note::Note;
//! use jackdawpulley::units::Millis;
//!
//! let now_ms = 1_700_000_000_000;
//! let record = Record::of(&[(CrashId(7), Millis(0)), (CrashId(8), Millis(900))], now_ms);
//! assert_eq!(note.to_string().parse(), Ok(note));
//! ```

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Ends that are noted at most: the first and the last ones tell as much as all of them.
const MAX_RECORDED_CRASHES: usize = 16;

/// The ends of targets that put a request into quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Each with its time, in Unix milliseconds, the first one first.
    #[serde(rename = "ends")]
    crashes: Vec<(CrashId, u64)>,
}

impl Record {
    /// A note of ends that happened so long before `now_ms`.
    #[must_use]
    pub fn of(crashes: &[(CrashId, Millis)], now_ms: u64) -> Self {
        let crashes = crashes.iter();
        let crashes = crashes.map(|(id, age)| (*id, now_ms.saturating_sub(age.0)));
        let mut crashes: Vec<(CrashId, u64)> = crashes.collect();
        crashes.sort_unstable_by_key(|(_, at_ms)| *at_ms);
        if crashes.len() > MAX_RECORDED_CRASHES {
            crashes.drain(MAX_RECORDED_CRASHES / 2..crashes.len() - MAX_RECORDED_CRASHES / 2);
        }
        Self { crashes }
    }

    /// The ends as they are told at `now_ms`; one of the future counts as one of now, since clocks differ.
    #[must_use]
    pub fn to_crashes(&self, cause: Fingerprint, now_ms: u64) -> Vec<Crash> {
        let age = |at_ms: u64| Millis(now_ms.saturating_sub(at_ms));
        let crashes = self.crashes.iter();
        crashes
            .map(|(id, at_ms)| Crash::with_cause(*id, cause, age(*at_ms)))
            .collect()
    }

    /// Time since the last end.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Millis {
        let last = self.crashes.last().map_or(0, |(_, at_ms)| *at_ms);
        Millis(now_ms.saturating_sub(last))
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (id, at_ms)) in self.crashes.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{id}@{at_ms}")?;
        }
        Ok(())
    }
}

impl FromStr for Record {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_crash = |text: &str| {
            let (id, at_ms) = text.split_once('@').unwrap_or((text, ""));
            Ok((id.parse()?, at_ms.parse()?))
        };
        let crashes: Result<Vec<_>, _> = text.split(',').map(parse_crash).collect();
        Ok(Self { crashes: crashes? })
    }
}
