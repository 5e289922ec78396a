//! Which announcements of a target's lives are believed.

use jackdawpulley::membership::target::{Process, Processes, Recency};
use jackdawpulley::units::StartTime;
use proptest::prelude::*;

fn life(born: u64) -> Process {
    Process::new("a", Some(StartTime(born)))
}

/// A daemon that starts beside a target learns its name from its health check, not its birth. The
/// first heartbeat, whatever its count, is of that life.
#[test]
fn birth_is_learnt() {
    let mut lives = Processes::default();
    lives.confirm(&"a".into());
    assert_eq!(lives.observe(&life(5), 1), Recency::Current);
    assert_eq!(lives.observe(&life(4), 9), Recency::Ended);
    assert_eq!(lives.observe(&Process::new("a", None), 9), Recency::Stale);
}

/// A target that did not tell its birth says good-bye; the next life of its name tells one.
#[test]
fn unknown_birth_ends() {
    let mut lives = Processes::default();
    let untold = Process::new("a", None);
    assert_eq!(lives.observe(&untold, 7), Recency::New);
    assert!(lives.deregister(&untold));
    assert_eq!(lives.observe(&Process::new("b", None), 1), Recency::New);
    assert_eq!(lives.observe(&untold, 8), Recency::Ended);
    assert!(lives.may_replace_another(&life(5)));
    assert_eq!(lives.observe(&life(5), 1), Recency::New);
}

/// A life whose farewell was heard before any heartbeat of it does not come in later.
#[test]
fn farewell_goes_first() {
    let mut lives = Processes::default();
    assert_eq!(lives.observe(&life(5), 3), Recency::New);
    assert!(
        lives.deregister(&life(6)),
        "the life that was current has ended as well"
    );
    assert_eq!(lives.observe(&life(6), 1), Recency::Ended);
    assert_eq!(lives.observe(&life(5), 4), Recency::Ended);
    assert_eq!(lives.observe(&life(7), 1), Recency::New);
}

proptest! {
    /// However heartbeats and farewells of the lives of one name are mixed, what is current never
    /// goes back to an earlier life, and a life that said good-bye takes no calls again.
    #[test]
    fn never_back(words in prop::collection::vec((0_u64..6, 1_u64..5, any::<bool>()), 1..60)) {
        let mut lives = Processes::default();
        let (mut newest, mut ended) = (None, None);
        for (born, sequence, farewell) in words {
            if farewell {
                lives.deregister(&life(born));
                ended = ended.max(Some(born));
                newest = newest.max(Some(born));
                continue;
            }
            let standing = lives.observe(&life(born), sequence);
            let taken = matches!(standing, Recency::New | Recency::Current);
            prop_assert!(!taken || newest.is_none_or(|newest| born >= newest));
            prop_assert!(!taken || ended < Some(born) || lives.is_leaving());
            if taken {
                newest = newest.max(Some(born));
            }
        }
    }
}
