//! Choosing whom a daemon joins through.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use crate::units::DataCentre;

/// Peers that a joiner joins through at once.
pub const JOIN_FANOUT: usize = 4;
/// Those among them that are of other data centres, as long as there are others to ask. Each answers
/// with its whole view, and one is enough to hear of what the own data centre does not know.
const REMOTE_SEEDS: usize = 1;

/// Daemons that are listed, with their data centres.
pub type Peers = Vec<(SocketAddr, DataCentre)>;

/// A few of `strangers` to join through, mostly of the data centre `home`.
#[must_use]
pub fn choose_seeds(mut strangers: Peers, home: &DataCentre) -> Vec<SocketAddr> {
    strangers.shuffle(&mut rand::rng());
    let (near, far): (Vec<_>, Vec<_>) = strangers.into_iter().partition(|(_, at)| at == home);
    let few = REMOTE_SEEDS.max(JOIN_FANOUT.saturating_sub(near.len()));
    let near = near
        .into_iter()
        .take(JOIN_FANOUT - REMOTE_SEEDS.min(far.len()));
    near.chain(far.into_iter().take(few))
        .map(|(peer, _)| peer)
        .take(JOIN_FANOUT)
        .collect()
}
