//! Limit on callers' connections, checked against a reference model.

use std::time::{Duration, Instant};

use jackdawpulley::calls::connections::{Connections, Decision, Id};
use proptest::prelude::*;

const CAPACITY: usize = 4;

/// Guards against idle connections that take all places, so that a new caller times out: the one
/// that has been idle longest must be evicted.
#[test]
fn longest_idle_is_evicted() {
    let now = Instant::now();
    let mut connections = Connections::new(2);
    assert!(matches!(
        connections.open(now),
        Decision::Accept { id: 1, .. }
    ));
    assert!(matches!(
        connections.open(now),
        Decision::Accept { id: 2, .. }
    ));
    assert!(connections.begin(1));
    connections.end(1, now + Duration::from_secs(2));
    let admission = connections.open(now + Duration::from_secs(3));
    let expected = Decision::Accept {
        id: 3,
        evicted: Some(2),
    };
    assert_eq!(admission, expected);
    assert!(!connections.begin(2), "it has been evicted");
}

fn open(connections: &mut Connections, now: Instant) -> (Id, Option<Id>) {
    match connections.open(now) {
        Decision::Accept { id, evicted } => (id, evicted),
        Decision::Full => panic!("a connection is idle or lingers"),
    }
}

/// Guards against responses that are lost since their connections are evicted while they linger,
/// although idle connections could be evicted.
#[test]
fn idle_before_lingering() {
    let now = Instant::now();
    let mut connections = Connections::new(CAPACITY);
    for id in 1..=CAPACITY as Id {
        assert_eq!(open(&mut connections, now), (id, None));
    }
    assert_eq!(connections.linger(1, now), None);
    let (_, evicted) = open(&mut connections, now);
    assert_eq!(evicted, Some(1), "the reserve of one place is in use");
    assert_eq!(open(&mut connections, now).1, Some(2));
}

/// Guards against callers that leave closing connections open and take the places of others.
#[test]
fn lingering_beyond_reserve() {
    let start = Instant::now();
    let mut connections = Connections::new(16);
    for _ in 0..16 {
        open(&mut connections, start);
    }
    for id in [3, 9, 4] {
        let now = start + Duration::from_millis(id);
        assert_eq!(connections.linger(id, now), None, "it keeps its place");
    }
    assert_eq!(open(&mut connections, start).1, Some(3), "longest");
    assert_eq!(open(&mut connections, start).1, Some(4));
    assert_eq!(open(&mut connections, start).1, Some(1), "idle");
}

/// Guards against an evicted connection that may not deliver its last response, and against any
/// number of them.
#[test]
fn lingering_after_eviction() {
    let now = Instant::now();
    let mut connections = Connections::new(16);
    for _ in 0..16 {
        open(&mut connections, now);
    }
    for id in 1..=3 {
        assert_eq!(open(&mut connections, now).1, Some(id));
    }
    for id in 1..=3 {
        let later = now + Duration::from_millis(id);
        let evicted = connections.linger(id, later);
        assert_eq!(evicted, (id == 3).then_some(1));
    }
    assert_eq!(connections.count(), 16 + 2, "the reserve is an eighth");
    assert_eq!(open(&mut connections, now).1, Some(2));
    assert_eq!(connections.count(), 16 + 2);
}

#[derive(Debug, Clone)]
enum Step {
    Open,
    Begin(usize),
    End(usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Open),
        2 => (0_usize..CAPACITY).prop_map(Step::Begin),
        2 => (0_usize..CAPACITY).prop_map(Step::End),
        1 => (0_usize..CAPACITY).prop_map(Step::Close),
    ]
}

/// A connection in the reference model.
#[derive(Debug, Clone, Copy)]
struct Known {
    id: Id,
    requests: u32,
    idle_since: Instant,
}

proptest! {
    #[test]
    fn busy_connections_are_kept(steps in prop::collection::vec(step(), 1..80)) {
        let mut now = Instant::now();
        let mut connections = Connections::new(CAPACITY);
        let mut known: Vec<Known> = Vec::new();
        for step in steps {
            now += Duration::from_millis(1);
            match step {
                Step::Open => match connections.open(now) {
                    Decision::Full => {
                        prop_assert!(known.len() == CAPACITY && known.iter().all(|k| k.requests > 0));
                    }
                    Decision::Accept { id, evicted } => {
                        prop_assert_eq!(evicted.is_some(), known.len() == CAPACITY);
                        if let Some(evicted) = evicted {
                            let idle = known.iter().filter(|k| k.requests == 0);
                            let longest = idle.min_by_key(|k| k.idle_since).map(|k| k.id);
                            prop_assert_eq!(longest, Some(evicted));
                            known.retain(|k| k.id != evicted);
                        }
                        known.push(Known { id, requests: 0, idle_since: now });
                    }
                },
                Step::Begin(index) => if let Some(k) = known.get_mut(index) {
                    k.requests += 1;
                    prop_assert!(connections.begin(k.id));
                },
                Step::End(index) => if let Some(k) = known.get_mut(index) && k.requests > 0 {
                    k.requests -= 1;
                    k.idle_since = now;
                    connections.end(k.id, now);
                },
                Step::Close(index) => if index < known.len() {
                    connections.close(known.remove(index).id);
                },
            }
            prop_assert_eq!(connections.count(), known.len());
        }
    }
}
