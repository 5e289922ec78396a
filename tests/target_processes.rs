//! Which announcements of a target's lives are believed.

use jackdawpulley::membership::target::{Life, Lives, Standing};
use jackdawpulley::units::Birth;
use proptest::prelude::*;

fn life(born: u64) -> Life {
    Life::new("a", Some(Birth(born)))
}

/// A daemon that starts beside a target learns its name from its health check, not its birth. The
/// first heartbeat, whatever its count, is of that life.
#[test]
fn birth_is_learnt() {
    let mut lives = Lives::default();
    lives.prove(&"a".into());
    assert_eq!(lives.hear(&life(5), 1), Standing::Current);
    assert_eq!(lives.hear(&life(4), 9), Standing::Past);
    assert_eq!(lives.hear(&Life::new("a", None), 9), Standing::Stale);
}

/// A target that did not tell its birth says good-bye; the next life of its name tells one.
#[test]
fn unknown_birth_ends() {
    let mut lives = Lives::default();
    let untold = Life::new("a", None);
    assert_eq!(lives.hear(&untold, 7), Standing::New);
    assert!(lives.close(&untold));
    assert_eq!(lives.hear(&Life::new("b", None), 1), Standing::New);
    assert_eq!(lives.hear(&untold, 8), Standing::Past);
    assert!(lives.contest(&life(5)));
    assert_eq!(lives.hear(&life(5), 1), Standing::New);
}

/// A life whose farewell was heard before any heartbeat of it does not come in later.
#[test]
fn farewell_goes_first() {
    let mut lives = Lives::default();
    assert_eq!(lives.hear(&life(5), 3), Standing::New);
    assert!(
        lives.close(&life(6)),
        "the life that was current has ended as well"
    );
    assert_eq!(lives.hear(&life(6), 1), Standing::Past);
    assert_eq!(lives.hear(&life(5), 4), Standing::Past);
    assert_eq!(lives.hear(&life(7), 1), Standing::New);
}

proptest! {
    /// However heartbeats and farewells of the lives of one name are mixed, what is current never
    /// goes back to an earlier life, and a life that said good-bye takes no calls again.
    #[test]
    fn never_back(words in prop::collection::vec((0_u64..6, 1_u64..5, any::<bool>()), 1..60)) {
        let mut lives = Lives::default();
        let (mut newest, mut ended) = (None, None);
        for (born, sequence, farewell) in words {
            if farewell {
                lives.close(&life(born));
                ended = ended.max(Some(born));
                newest = newest.max(Some(born));
                continue;
            }
            let standing = lives.hear(&life(born), sequence);
            let taken = matches!(standing, Standing::New | Standing::Current);
            prop_assert!(!taken || newest.is_none_or(|newest| born >= newest));
            prop_assert!(!taken || ended < Some(born) || lives.leaving());
            if taken {
                newest = newest.max(Some(born));
            }
        }
    }
}
