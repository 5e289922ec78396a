//! Persistent storage for records of quarantined requests: the platform or its log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::control_plane::ControlPlane;
use crate::configuration::log::{Log, Stream};
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::units::{Millis, Offset};

/// Log records read at startup. Each quarantined request has a few.
const MAX_READ_RECORDS: u64 = 256;

/// Storage from which daemons restore the quarantine when no peer is left.
#[derive(Debug, Clone)]
pub enum Archive {
    /// The platform, which returns the records with its list of daemons.
    Platform(Arc<dyn ControlPlane>),
    /// A stream of the log, for as long as the log retains the records.
    Log(Log),
}

/// A record of the `quarantine` stream.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Fingerprint of the request.
    cause: Fingerprint,
    /// Crashes that the request caused; `None` once it is no longer quarantined.
    #[serde(rename = "note")]
    record: Option<Record>,
}

impl Archive {
    /// Replaces the stored record of a request, or deletes it if `record` is `None`.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::set_quarantine_record`] and [`Log::append`].
    pub async fn store(&self, cause: Fingerprint, record: Option<&Record>) -> Result<()> {
        match self {
            Self::Platform(control_plane) => {
                control_plane.set_quarantine_record(cause, record).await
            }
            Self::Log(log) => {
                let record = record.cloned();
                let entry = Entry { cause, record };
                log.append(Stream::Quarantine, &entry).await.map(|_| ())
            }
        }
    }

    /// Records from the log. Empty for the platform, which returns its own with the list of daemons.
    ///
    /// # Errors
    ///
    /// As [`Log::read`].
    pub async fn load(&self) -> Result<Vec<(Fingerprint, Record)>> {
        let Self::Log(log) = self else {
            return Ok(Vec::new());
        };
        let bounds = log.bounds(Stream::Quarantine).await?;
        let mut next = bounds
            .head
            .0
            .saturating_sub(MAX_READ_RECORDS)
            .max(bounds.first.0);
        let mut records = Vec::new();
        while next < bounds.head.0 {
            let page = log
                .read(Stream::Quarantine, Offset(next), Millis(0))
                .await?;
            let Some(last) = page.records.last() else {
                break;
            };
            next = last.offset.0 + 1;
            for stored in &page.records {
                // Records that can't be parsed were not written by this release.
                let Ok(Entry { cause, record }) = serde_json::from_str(&stored.value) else {
                    continue;
                };
                records.retain(|(known, _)| *known != cause);
                records.extend(record.map(|record| (cause, record)));
            }
        }
        Ok(records)
    }
}
