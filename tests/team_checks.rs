//! Teams in a document: validation, normalization, deltas and secrecy of their keys.

use jackdawpulley::configuration::check;
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::configuration::normalize::normalize;
use jackdawpulley::teams::key::Key;
use jackdawpulley::teams::team::Team;
use jackdawpulley::units::Rate;

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| Key::from((*key).to_owned()))
            .collect(),
        ..Team::default()
    }
}

fn document(teams: Vec<Team>) -> Document {
    Document {
        teams,
        ..Document::default()
    }
}

/// Guards against a key whose team depends on the order of the teams.
#[test]
fn shared_key_is_refused() {
    let document = document(vec![team("north", &["a", "b"]), team("south", &["b"])]);
    let faults = check::document(&document);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].path, "teams[1].keys[0]");
    assert_eq!(faults[0].remedy, "give each team keys of its own");
}

/// Guards against a request without a key that is taken for one with an empty key.
#[test]
fn empty_key_is_refused() {
    let faults = check::document(&document(vec![team("north", &[""])]));
    assert_eq!(faults.len(), 1, "{faults:?}");
}

/// Guards against a quota that no bucket can hold.
#[test]
fn negative_rate_is_refused() {
    let text = br#"{"teams": [{"name": "north", "keys": ["a"], "rate": -1}]}"#;
    let error = Document::parse(text).unwrap_err();
    assert!(error.to_string().contains("0 or more"), "{error}");
}

/// Guards against a version of the platform that is refused for one faulty team.
#[test]
fn accepted_teams_are_normalized() {
    let teams = vec![
        team("north", &["a", ""]),
        team("south", &["a", "b"]),
        team("north", &["c"]),
        team("", &["d"]),
    ];
    let (document, faults) = normalize(document(teams));
    assert_eq!(
        document.teams,
        [team("north", &["a", "c"]), team("south", &["b"])]
    );
    assert!(faults.len() >= 4, "{faults:?}");
    assert_eq!(check::document(&document), []);
}

/// Guards against a daemon that misses a changed key, since it got a delta.
#[test]
fn delta_carries_teams() {
    let old = document(vec![team("north", &["a"]), team("south", &["b"])]);
    let mut limited = team("north", &["c"]);
    limited.rate = Rate::new(40.0).unwrap();
    let new = document(vec![limited]);
    let delta = Delta::between(&old, &new);
    assert_eq!(delta.apply(&old).unwrap(), new);
    assert_eq!(delta.summary(), ["set team north", "remove team south"]);
}

/// Guards against keys in logs, errors and dumps.
#[test]
fn keys_are_not_formatted() {
    let team = team("north", &["a-secret-key"]);
    assert!(!format!("{team:?} {}", team.keys[0]).contains("secret"));
}
