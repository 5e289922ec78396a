//! The gates of a service, as the rules of key ownership see them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::idempotency::keys::{Liveness, Peer};
use crate::membership::member::{Health, Member};
use crate::membership::roster::Roster;
use crate::units::Service;

/// The gates of a service other than `me`, those that were lost not long ago included. Those of
/// `leaving` have said so themselves, whatever the view still has.
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
            let standing = if serving {
                Liveness::Serving
            } else {
                Liveness::Leaving
            };
            Peer {
                address: member.peer,
                liveness: standing,
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

/// Gates that have handed everything over to this one and have not been seen serving since.
#[derive(Debug, Default)]
pub struct ReceivedHandoffs {
    sidecars: Mutex<Vec<SocketAddr>>,
}

impl ReceivedHandoffs {
    /// Notes that a gate has handed everything over.
    pub fn add(&self, gate: SocketAddr) {
        let mut gates = self.sidecars();
        gates.retain(|known| *known != gate);
        gates.push(gate);
    }

    /// Notes that a gate serves again, in another life.
    pub fn remove(&self, gate: SocketAddr) {
        self.sidecars().retain(|known| *known != gate);
    }

    /// Whether this gate remembers what another one knew.
    #[must_use]
    pub fn contains(&self, gate: SocketAddr) -> bool {
        self.sidecars().contains(&gate)
    }

    fn sidecars(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.sidecars.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
