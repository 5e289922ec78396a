//! Stored record of a quarantined request.
//!
//! Daemons keep crashes in memory. After the loss of all daemons, those that start read a [`Record`] of each
//! quarantined request; without it, the request would crash as many targets again before it is quarantined.
//!
//! ```
//! use jackdawpulley::quarantine::crash::CrashId;
//! use jackdawpulley::quarantine::record::Record;
//! use jackdawpulley::units::Millis;
//!
//! let now_ms = 1_700_000_000_000;
//! let record = Record::of(&[(CrashId(7), Millis(0)), (CrashId(8), Millis(900))], now_ms);
//! assert_eq!(record.to_string().parse(), Ok(record));
//! ```

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Most crashes in a record. The first and the last ones are kept: they carry as much as all of them.
const MAX_RECORDED_CRASHES: usize = 16;

/// The crashes for which a request is quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Crash ids with Unix times in milliseconds, in the order of time.
    #[serde(rename = "ends")]
    crashes: Vec<(CrashId, u64)>,
}

impl Record {
    /// A record of crashes with the given ages at `now_ms`.
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

    /// The crashes with their ages at `now_ms`; 0 for a crash that lies in the future, since clocks differ.
    #[must_use]
    pub fn to_crashes(&self, cause: Fingerprint, now_ms: u64) -> Vec<Crash> {
        let age = |at_ms: u64| Millis(now_ms.saturating_sub(at_ms));
        let crashes = self.crashes.iter();
        crashes
            .map(|(id, at_ms)| Crash::with_cause(*id, cause, age(*at_ms)))
            .collect()
    }

    /// Time since the last crash.
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
