//! The sidecars of a service, as the rules of key ownership need them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::idempotency::keys::{Liveness, Peer};
use crate::membership::member::{Health, Member};
use crate::membership::roster::Roster;
use crate::units::Service;

/// The sidecars of a service other than `me`, including those that are gone and not forgotten yet.
/// Those in `leaving` have announced it themselves, whatever the membership view says.
#[must_use]
pub fn others(
    roster: &Roster,
    service: &Service,
    me: SocketAddr,
    leaving: &[SocketAddr],
    now: Instant,
) -> Vec<Peer> {
    let offers = |member: &Member| {
        let offer = member.offer.as_ref();
        offer.is_some_and(|offer| offer.service == *service) && member.peer != me
    };
    let live = roster
        .members
        .iter()
        .filter(|member| offers(member))
        .map(|member| {
            let open = member.offer.as_ref().is_some_and(|offer| offer.open);
            let serving = open && member.stage.takes_calls() && !leaving.contains(&member.peer);
            let liveness = if serving {
                Liveness::Serving
            } else {
                Liveness::Leaving
            };
            Peer {
                address: member.peer,
                liveness,
            }
        });
    let lost = roster
        .gone
        .iter()
        .filter(|departed| offers(&departed.member) && departed.member.health == Health::Gone);
    let lost = lost.map(|departed| {
        let ago = now.saturating_duration_since(departed.since);
        Peer {
            address: departed.member.peer,
            liveness: Liveness::Lost(ago),
        }
    });
    live.chain(lost).collect()
}

/// Sidecars that have handed off all their keys to this one and have not been seen serving since.
#[derive(Debug, Default)]
pub struct ReceivedHandoffs {
    sidecars: Mutex<Vec<SocketAddr>>,
}

impl ReceivedHandoffs {
    /// Records that a sidecar has handed off all its keys.
    pub fn add(&self, sidecar: SocketAddr) {
        let mut sidecars = self.sidecars();
        sidecars.retain(|known| *known != sidecar);
        sidecars.push(sidecar);
    }

    /// Records that a sidecar serves again, in a new daemon process.
    pub fn remove(&self, sidecar: SocketAddr) {
        self.sidecars().retain(|known| *known != sidecar);
    }

    /// Whether a sidecar has handed off all its keys to this one.
    #[must_use]
    pub fn contains(&self, sidecar: SocketAddr) -> bool {
        self.sidecars().contains(&sidecar)
    }

    fn sidecars(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.sidecars.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
