//! Decisions on the keys of requests: which team holds a key, what needs one, and how teams rank.

use http::HeaderValue;
use jackdawpulley::teams::directory::{Caller, Directory, Unauthenticated};
use jackdawpulley::teams::key::Key;
use jackdawpulley::teams::team::Team;
use jackdawpulley::units::{Burst, Priority, Rate};

fn team(name: &str, keys: &[&str], priority: u8) -> Team {
    Team {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| Key::from((*key).to_owned()))
            .collect(),
        priority: Some(Priority(priority)),
        ..Team::default()
    }
}

fn directory() -> Directory {
    Directory::compile(&[
        team("south", &["s"], 1),
        team("north", &["n1", "n2", "å"], 0),
        team("idle", &[], 3),
    ])
}

fn identify<'a>(directory: &'a Directory, keys: &[&'static str]) -> Caller<'a> {
    let values: Vec<HeaderValue> = keys
        .iter()
        .map(|key| HeaderValue::from_bytes(key.as_bytes()).unwrap())
        .collect();
    directory.identify(values.iter())
}

/// Guards against a key that is found under another team, or only in part.
#[test]
fn key_has_one_holder() {
    let directory = directory();
    let holder = |key: &str| {
        directory
            .find(key.as_bytes())
            .map(|team| team.name.as_str())
    };
    let found = ["n1", "n2", "å", "s"].map(holder);
    assert_eq!(
        found,
        [Some("north"), Some("north"), Some("north"), Some("south")]
    );
    assert_eq!(["", "n", "n11", "N1", "north"].map(holder), [None; 5]);
}

/// Guards against a request that runs without the key of a team.
#[test]
fn private_route_needs_a_key() {
    let directory = directory();
    for keys in [&[][..], &[""], &["n"], &["n1", "s"], &["n1", "n1"]] {
        let caller = identify(&directory, keys);
        assert_eq!(caller.authorize(false), Err(Unauthenticated), "{keys:?}");
        assert_eq!(caller.authorize(true), Ok(None), "{keys:?}");
    }
    let team = identify(&directory, &["n1"]).authorize(false).unwrap();
    assert_eq!(team.unwrap().name, "north");
}

/// Guards against a call on a public route that counts towards a team.
#[test]
fn public_route_has_no_team() {
    assert_eq!(identify(&directory(), &["n1"]).authorize(true), Ok(None));
}

/// Guards against a configuration without teams that asks for keys, and one whose teams have lost
/// their last key that does not.
#[test]
fn teams_make_keys_necessary() {
    let without_teams = Directory::default();
    let caller = identify(&without_teams, &["n1"]);
    assert_eq!(caller.authorize(false), Ok(None));
    let last_key_removed = Directory::compile(&[team("north", &[], 0)]);
    let caller = identify(&last_key_removed, &["n1"]);
    assert_eq!(caller.authorize(false), Err(Unauthenticated));
}

/// Guards against a route that overtakes a team, and a call without a key that overtakes any.
#[test]
fn team_ranks_before_route() {
    let directory = directory();
    let rank = |team: Option<&str>, route| {
        let team = team.and_then(|name| directory.team(name));
        directory.rank(team.map(AsRef::as_ref), Priority(route)).0
    };
    assert_eq!(rank(Some("north"), 2), 2);
    assert_eq!(rank(Some("north"), 200), 15);
    assert_eq!(rank(Some("south"), 0), 16);
    assert_eq!(rank(None, 1), 49);
    let last = Directory::compile(&[team("last", &["k"], 200)]);
    assert_eq!(last.rank(None, Priority(0)), Priority(255));
    assert_eq!(
        Directory::default().rank(None, Priority(200)),
        Priority(200)
    );
}

/// Guards against a limit of 0 that stops a team.
#[test]
fn zero_rate_is_no_quota() {
    let mut limited = team("north", &["n"], 0);
    limited.rate = Rate::new(40.0).unwrap();
    limited.burst = Burst(3);
    let mut unlimited = team("south", &["s"], 0);
    unlimited.burst = Burst(3);
    let directory = Directory::compile(&[limited, unlimited]);
    let quota = directory.team("north").unwrap().quota.unwrap();
    assert_eq!((quota.rate.per_second(), quota.burst), (40.0, Burst(3)));
    assert_eq!(directory.team("south").unwrap().quota, None);
}
