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
