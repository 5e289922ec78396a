//! Where notes of requests in quarantine are kept: on the platform, or on its log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::control_plane::ControlPlane;
use crate::configuration::log::{Log, Stream};
use crate::error::Result;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::note::Note;
use crate::units::{Millis, Offset};

/// Records of the log that a start looks at: each of the requests in quarantine has a few.
const RECALLED: u64 = 256;

/// Keeps notes for daemons that start when nobody else is left.
#[derive(Debug, Clone)]
pub enum Archive {
    /// With the platform, which tells them together with its list of daemons.
    Platform(Arc<dyn ControlPlane>),
    /// As records of the log, for as long as it retains them.
    Log(Log),
}

/// One record of the `quarantine` stream.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// What stays the same when the request is sent again.
    cause: Fingerprint,
    /// What holds of it; nothing once it may run again.
    note: Option<Note>,
}

impl Archive {
    /// Keeps a note of a request, in place of what was kept of it; drops that without one.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::set_quarantine_record`] and [`Log::append`].
    pub async fn note(&self, cause: Fingerprint, note: Option<&Note>) -> Result<()> {
        match self {
            Self::Platform(origin) => origin.set_quarantine_record(cause, note).await,
            Self::Log(log) => {
                let note = note.cloned();
                let record = Record { cause, note };
                log.append(Stream::Quarantine, &record).await.map(|_| ())
            }
        }
    }

    /// Notes that a start has to ask for; the platform tells its own unasked.
    ///
    /// # Errors
    ///
    /// As [`Log::read`].
    pub async fn recall(&self) -> Result<Vec<(Fingerprint, Note)>> {
        let Self::Log(log) = self else {
            return Ok(Vec::new());
        };
        let bounds = log.bounds(Stream::Quarantine).await?;
        let mut next = bounds.head.0.saturating_sub(RECALLED).max(bounds.first.0);
        let mut notes = Vec::new();
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
                let Ok(Record { cause, note }) = serde_json::from_str(&stored.value) else {
                    continue;
                };
                notes.retain(|(known, _)| *known != cause);
                notes.extend(note.map(|note| (cause, note)));
            }
        }
        Ok(notes)
    }
}
