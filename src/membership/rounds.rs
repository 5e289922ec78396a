//! Order in which members are probed.
//!
//! Members are probed in shuffled rounds, so that each waits no longer than a round. The members of the local
//! data centre and those of the others have separate rounds.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::membership::entries::Entries;
use crate::units::DataCentre;

/// One probe in this many goes to another data centre.
///
/// Failed members are detected within their own data centre. Probes between data centres only carry
/// updates and detect the loss of a whole data centre, and traffic between data centres is expensive.
const REMOTE_PROBE_INTERVAL: u64 = 4;

/// Probe rounds of one daemon.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Members still to be probed in this round: of the local data centre, and of the others.
    remaining: [Vec<SocketAddr>; 2],
    /// Number of probes so far.
    probes: u64,
}

impl Rounds {
    /// Returns the next member to probe, mostly one in the data centre `local`.
    pub fn next_peer(
        &mut self,
        entries: &Entries,
        local: &DataCentre,
        rng: &mut SmallRng,
    ) -> Option<SocketAddr> {
        self.probes += 1;
        let remote = self.probes.is_multiple_of(REMOTE_PROBE_INTERVAL);
        let first = self.next_from(remote, entries, local, rng);
        // If one side has no live members, the other one gets all probes.
        first.or_else(|| self.next_from(!remote, entries, local, rng))
    }

    /// Returns the next member of the local data centre, or of the others; each is probed once in a round.
    fn next_from(
        &mut self,
        remote: bool,
        entries: &Entries,
        local: &DataCentre,
        rng: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let remaining = &mut self.remaining[usize::from(remote)];
        let is_live = |peer: SocketAddr| {
            let entry = entries.get(peer);
            entry.is_some_and(|entry| entry.member.health.is_live())
        };
        if !remaining.iter().any(|peer| is_live(*peer)) {
            let members = entries.live();
            let members = members.filter(|member| (member.data_centre != *local) == remote);
            *remaining = members.map(|member| member.peer).collect();
            remaining.shuffle(rng);
        }
        while let Some(peer) = remaining.pop() {
            if is_live(peer) {
                return Some(peer);
            }
        }
        None
    }
}
