//! Choice of the seeds: peers that a daemon joins through.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use crate::units::DataCentre;

/// Seeds that a daemon sends a join request to at once.
pub const JOIN_FANOUT: usize = 4;
/// Seeds in other data centres, as long as there are enough in the local one. Each responds with its whole
/// view, and one is enough to learn what the local data centre does not know.
const REMOTE_SEEDS: usize = 1;

/// Addresses of daemons, with their data centres.
pub type Peers = Vec<(SocketAddr, DataCentre)>;

/// Chooses a few of `peers` at random, mostly in the data centre `local`.
#[must_use]
pub fn choose_seeds(mut peers: Peers, local: &DataCentre) -> Vec<SocketAddr> {
    peers.shuffle(&mut rand::rng());
    let (local_peers, remote_peers): (Vec<_>, Vec<_>) =
        peers.into_iter().partition(|(_, at)| at == local);
    let remote_count = REMOTE_SEEDS.max(JOIN_FANOUT.saturating_sub(local_peers.len()));
    let local_peers = local_peers
        .into_iter()
        .take(JOIN_FANOUT - REMOTE_SEEDS.min(remote_peers.len()));
    local_peers
        .chain(remote_peers.into_iter().take(remote_count))
        .map(|(peer, _)| peer)
        .take(JOIN_FANOUT)
        .collect()
}
