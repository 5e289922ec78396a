//! Where notes of requests in quarantine are kept: on the platform, or on its log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::log::{Log, Stream};
use crate::configuration::origin::Origin;
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::units::{Millis, Offset};

/// Records of the log that a start looks at: each of the requests in quarantine has a few.
const MAX_READ_RECORDS: u64 = 256;

/// Keeps notes for daemons that start when nobody else is left.
#[derive(Debug, Clone)]
pub enum Archive {
    /// With the platform, which tells them together with its list of daemons.
    Platform(Arc<dyn Origin>),
    /// As records of the log, for as long as it retains them.
    Log(Log),
}

/// One record of the `quarantine` stream.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// What stays the same when the request is sent again.
    cause: Fingerprint,
    /// What holds of it; nothing once it may run again.
    #[serde(rename = "note")]
    record: Option<Record>,
}

impl Archive {
    /// Keeps a note of a request, in place of what was kept of it; drops that without one.
    ///
    /// # Errors
    ///
    /// As [`Origin::note`] and [`Log::append`].
    pub async fn store(&self, cause: Fingerprint, record: Option<&Record>) -> Result<()> {
        match self {
            Self::Platform(origin) => origin.note(cause, record).await,
            Self::Log(log) => {
                let record = record.cloned();
                let entry = Entry { cause, record };
                log.append(Stream::Quarantine, &entry).await.map(|_| ())
            }
        }
    }

    /// Notes that a start has to ask for; the platform tells its own unasked.
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
                // One that can't be read was not written by a daemon of this release.
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
