//! The platform's list of daemons, as one daemon reads it and stands on it.
//!
//! A newcomer needs a handful of contacts, and the membership tells it of the rest. So daemons list
//! themselves only until enough of them are listed: what a start asks of the platform does not grow
//! with the fleet.

use std::sync::Arc;

use crate::board::Board;
use crate::clock;
use crate::configuration::control_plane::{Contact, ControlPlane, Directory};
use crate::error::Result;
use crate::membership::greeters::Listed;
use crate::units::Millis;

/// Listed daemons with which a list is long enough: many more than a newcomer joins through, so that
/// hosts that are lost together are not all of them.
const ENOUGH: usize = 16;

/// Spans of the quarantine after which a note of it is taken off the platform: one would do, but for hosts
/// whose clock is wrong.
const FORGOTTEN: u64 = 2;

/// One daemon's dealings with the list.
#[derive(Debug, Clone)]
pub struct Listing {
    board: Arc<Board>,
    origin: Arc<dyn ControlPlane>,
}

impl Listing {
    /// The list of `origin`, for the daemon of `board`.
    #[must_use]
    pub const fn new(board: Arc<Board>, origin: Arc<dyn ControlPlane>) -> Self {
        Self { board, origin }
    }

    /// Reads who is listed, and lists this daemon where those are too few.
    ///
    /// Of any two daemons that list themselves, the later one to be listed reads the other.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::directory`] and [`ControlPlane::register`].
    pub async fn consult(&self) -> Result<Listed> {
        let contacts = self.read(ENOUGH).await?;
        if contacts.len() >= ENOUGH {
            return Ok(listed(contacts));
        }
        self.enter().await
    }

    /// Lists this daemon, then reads everybody who is listed.
    ///
    /// # Errors
    ///
    /// As [`Listing::consult`].
    pub async fn enter(&self) -> Result<Listed> {
        self.list().await?;
        Ok(listed(self.read(usize::MAX).await?))
    }

    /// Lists this daemon.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::register`].
    pub async fn list(&self) -> Result<()> {
        // It may be done although no answer comes.
        self.board.set_listed();
        self.origin.register(&self.contact()).await
    }

    /// Reads everybody who is listed, and lists this daemon where too few of them are members.
    ///
    /// # Errors
    ///
    /// As [`Listing::consult`].
    pub async fn tend(&self) -> Result<Listed> {
        let contacts = self.read(usize::MAX).await?;
        let roster = self.board.roster();
        let there = contacts.iter().filter(|c| roster.member(c.peer).is_some());
        let few = there.count() < ENOUGH;
        if few && !contacts.contains(&self.contact()) && !self.board.stage().is_stopping() {
            return self.enter().await;
        }
        Ok(listed(contacts))
    }

    /// Takes this daemon off the list, where it may stand on it.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::deregister`].
    pub async fn leave(&self) -> Result<()> {
        if self.board.is_listed() {
            self.origin.deregister(&self.contact()).await?;
        }
        Ok(())
    }

    /// Reads who is listed, and takes in what the platform keeps of requests in quarantine.
    async fn read(&self, enough: usize) -> Result<Vec<Contact>> {
        let Directory {
            contacts,
            quarantine_records,
        } = self.origin.directory(enough).await?;
        let (now, memory) = (clock::unix_ms(), self.board.settings.quarantine_ms);
        self.board.quarantine.recall(&quarantine_records, now);
        for (cause, note) in quarantine_records {
            if note.age(now) >= Millis(FORGOTTEN * memory.0) {
                // One that stays is read once more, and counts for nothing.
                let _ = self.origin.set_quarantine_record(cause, None).await;
            }
        }
        Ok(contacts)
    }

    fn contact(&self) -> Contact {
        let settings = &self.board.settings;
        Contact {
            peer: settings.identity(),
            data_centre: settings.data_centre.clone(),
        }
    }
}

fn listed(contacts: Vec<Contact>) -> Listed {
    let contacts = contacts.into_iter();
    contacts.map(|c| (c.peer, c.data_centre)).collect()
}
