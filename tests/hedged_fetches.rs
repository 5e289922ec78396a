//! Number of peers that are asked for a version at the same time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawpulley::configuration::fetches::Fetches;

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn recent_fetch_blocks_another() {
    let fetches = Fetches::default();
    let now = Instant::now();
    let first = fetches.try_begin(peer(1), now);
    assert!(first.is_some());
    assert!(fetches.try_begin(peer(2), now).is_none());
    drop(first);
    assert!(fetches.try_begin(peer(2), now).is_some());
}

/// Guards against a peer that never responds and thereby keeps the other peers from being asked.
#[test]
fn unresponsive_peer_is_hedged() {
    let fetches = Fetches::default();
    let began = Instant::now();
    let _unresponsive = fetches.try_begin(peer(1), began).expect("none in flight");
    let later = began + Duration::from_millis(300);
    assert!(fetches.try_begin(peer(1), later).is_none(), "already asked");
    assert!(fetches.try_begin(peer(2), later).is_some());
}

#[test]
fn number_in_flight_is_bounded() {
    let fetches = Fetches::default();
    let began = Instant::now();
    let at = |number| began + Duration::from_secs(number);
    let fetches_begun: Vec<_> = (1..=20)
        .map(|number| fetches.try_begin(peer(number), at(u64::from(number))))
        .collect();
    assert_eq!(fetches_begun.iter().flatten().count(), 8);
}
