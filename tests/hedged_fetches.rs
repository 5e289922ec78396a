//! How many peers are asked for a version at the same time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawpulley::configuration::fetches::Fetches;

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn one_is_enough() {
    let fetches = Fetches::default();
    let now = Instant::now();
    let first = fetches.try_begin(peer(1), now);
    assert!(first.is_some());
    assert!(fetches.try_begin(peer(2), now).is_none());
    drop(first);
    assert!(fetches.try_begin(peer(2), now).is_some());
}

/// Guards against a peer that never answers and keeps all others from being asked.
#[test]
fn silent_peer() {
    let fetches = Fetches::default();
    let began = Instant::now();
    let _silent = fetches.try_begin(peer(1), began).expect("nobody was asked");
    let later = began + Duration::from_millis(300);
    assert!(fetches.try_begin(peer(1), later).is_none(), "it was asked");
    assert!(fetches.try_begin(peer(2), later).is_some());
}

#[test]
fn bounded_number() {
    let fetches = Fetches::default();
    let began = Instant::now();
    let at = |number| began + Duration::from_secs(number);
    let tickets: Vec<_> = (1..=20)
        .map(|number| fetches.try_begin(peer(number), at(u64::from(number))))
        .collect();
    assert_eq!(tickets.iter().flatten().count(), 8);
}
