//! Whom to probe next.
//!
//! Members are probed in shuffled rounds, so that each waits no longer than a round; those of the own data
//! centre and those of the others have rounds of their own.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::membership::entries::Entries;
use crate::units::DataCentre;

/// One probe in this many goes to another data centre.
///
/// A member is noticed to be gone by those beside it; the probes between data centres carry news
/// and notice when a whole one is gone. Bytes between data centres are dear.
const REMOTE_PROBE_INTERVAL: u64 = 4;

/// The rounds of one daemon.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Members still to be probed: of the own data centre, and of the others.
    remaining: [Vec<SocketAddr>; 2],
    /// Probes so far.
    probes: u64,
}

impl Rounds {
    /// Next member to probe: mostly one of the data centre `home`, now and then one of another.
    pub fn next_peer(
        &mut self,
        entries: &Entries,
        home: &DataCentre,
        rng: &mut SmallRng,
    ) -> Option<SocketAddr> {
        self.probes += 1;
        let far = self.probes.is_multiple_of(REMOTE_PROBE_INTERVAL);
        let first = self.next_from(far, entries, home, rng);
        // Where one side has nobody, the other one gets all probes.
        first.or_else(|| self.next_from(!far, entries, home, rng))
    }

    /// Next member of the own data centre, or of the others: each is probed once in a round.
    fn next_from(
        &mut self,
        far: bool,
        entries: &Entries,
        home: &DataCentre,
        rng: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let left = &mut self.remaining[usize::from(far)];
        let is_live = |peer: SocketAddr| {
            let entry = entries.get(peer);
            entry.is_some_and(|entry| entry.member.health.is_live())
        };
        if !left.iter().any(|peer| is_live(*peer)) {
            let side = entries.live();
            let side = side.filter(|member| (member.data_centre != *home) == far);
            *left = side.map(|member| member.peer).collect();
            left.shuffle(rng);
        }
        while let Some(peer) = left.pop() {
            if is_live(peer) {
                return Some(peer);
            }
        }
        None
    }
}
