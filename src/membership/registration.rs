//! Registration of a daemon in the control plane's list of daemons.
//!
//! A starting daemon needs a handful of contacts, from which it learns of the other members. Daemons therefore
//! list themselves only until enough of them are listed, so that the load of a start on the control plane does
//! not grow with the fleet.

use std::sync::Arc;

use crate::clock;
use crate::configuration::control_plane::{Contact, ControlPlane, Directory};
use crate::error::Result;
use crate::membership::seeds::Peers;
use crate::shared_state::SharedState;
use crate::units::Millis;

/// Listed daemons with which a list is long enough: many more than a daemon joins through, so that hosts that
/// fail together are not all of them.
const MIN_CONTACTS: usize = 16;

/// Quarantine periods after which a quarantine record is deleted from the control plane. One would do if all
/// hosts' clocks were right.
const RECORD_EXPIRY_PERIODS: u64 = 2;

/// Registration of one daemon.
#[derive(Debug, Clone)]
pub struct Registration {
    shared: Arc<SharedState>,
    control_plane: Arc<dyn ControlPlane>,
}

impl Registration {
    /// Creates the registration of the daemon of `shared` in the list of `origin`.
    #[must_use]
    pub const fn new(shared: Arc<SharedState>, control_plane: Arc<dyn ControlPlane>) -> Self {
        Self {
            shared,
            control_plane,
        }
    }

    /// Reads the list, and lists this daemon if too few are listed.
    ///
    /// Of any two daemons that list themselves, the later one to be listed reads the other.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::directory`] and [`ControlPlane::register`].
    pub async fn discover(&self) -> Result<Peers> {
        let contacts = self.read(MIN_CONTACTS).await?;
        if contacts.len() >= MIN_CONTACTS {
            return Ok(peers(contacts));
        }
        self.register_and_read().await
    }

    /// Lists this daemon, then reads the whole list.
    ///
    /// # Errors
    ///
    /// As [`Registration::discover`].
    pub async fn register_and_read(&self) -> Result<Peers> {
        self.register().await?;
        Ok(peers(self.read(usize::MAX).await?))
    }

    /// Lists this daemon.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::register`].
    pub async fn register(&self) -> Result<()> {
        // The request may succeed although no response arrives.
        self.shared.set_registered();
        self.control_plane.register(&self.contact()).await
    }

    /// Reads the whole list, and lists this daemon if too few of those listed are members.
    ///
    /// # Errors
    ///
    /// As [`Registration::discover`].
    pub async fn maintain(&self) -> Result<Peers> {
        let contacts = self.read(usize::MAX).await?;
        let roster = self.shared.roster();
        let live = contacts.iter().filter(|c| roster.member(c.peer).is_some());
        let too_few = live.count() < MIN_CONTACTS;
        if too_few && !contacts.contains(&self.contact()) && !self.shared.stage().is_stopping() {
            return self.register_and_read().await;
        }
        Ok(peers(contacts))
    }

    /// Removes this daemon from the list if it may be listed.
    ///
    /// # Errors
    ///
    /// As [`ControlPlane::deregister`].
    pub async fn deregister(&self) -> Result<()> {
        if self.shared.is_registered() {
            self.control_plane.deregister(&self.contact()).await?;
        }
        Ok(())
    }

    /// Reads the list, and restores the quarantine records that come with it; deletes outdated ones.
    async fn read(&self, enough: usize) -> Result<Vec<Contact>> {
        let Directory {
            contacts,
            quarantine_records,
        } = self.control_plane.directory(enough).await?;
        let (now, period) = (clock::unix_ms(), self.shared.settings.quarantine_ms);
        self.shared.quarantine.restore(&quarantine_records, now);
        for (cause, record) in quarantine_records {
            if record.age(now) >= Millis(RECORD_EXPIRY_PERIODS * period.0) {
                // A record that cannot be deleted is read again and has no effect.
                let _ = self.control_plane.set_quarantine_record(cause, None).await;
            }
        }
        Ok(contacts)
    }

    fn contact(&self) -> Contact {
        let settings = &self.shared.settings;
        Contact {
            peer: settings.identity(),
            data_centre: settings.data_centre.clone(),
        }
    }
}

fn peers(contacts: Vec<Contact>) -> Peers {
    let contacts = contacts.into_iter();
    contacts.map(|c| (c.peer, c.data_centre)).collect()
}
