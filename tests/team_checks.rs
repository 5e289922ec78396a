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
    assert_eq!(document.teams.len(), 3, "{:?}", document.teams);
    assert_eq!(document.teams[0].keys, team("", &["d"]).keys);
    assert_eq!(
        document.teams[1..],
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

/// Guards against a version of the platform that is refused for the name of a team, a name that
/// targets receive changed without need, and teams that are taken for one.
#[test]
fn accepted_names_are_sendable() {
    let (long, longest) = ("a".repeat(200), "é".repeat(900));
    let names = [&*long, &longest, "a\r\nb", "a\rb", " a", "a", "Bäcker"];
    let teams = names.map(|name| team(name, &[name])).to_vec();
    let (document, faults) = normalize(document(teams));
    assert_eq!(document.teams.len(), names.len());
    assert_eq!(faults.len(), 4, "{faults:?}");
    assert_eq!(check::document(&document), []);
    for unchanged in [&*long, "a", "Bäcker"] {
        let found = document.teams.iter().find(|team| team.name == unchanged);
        assert_eq!(found.unwrap().keys, team("", &[unchanged]).keys);
    }
}

/// Guards against a name that targets receive changed.
#[test]
fn unsendable_name_is_refused() {
    for name in ["a\nb", "a ", ""] {
        let faults = check::document(&document(vec![team(name, &["k"])]));
        assert_eq!(faults.len(), 1, "{faults:?}");
    }
}

/// Guards against a printed document that is edited and published, which would replace the keys.
#[test]
fn printed_document_is_refused() {
    let printed = document(vec![team("north", &["a-secret-key"])]).masked();
    let text = serde_json::to_string(&printed).unwrap();
    assert!(!text.contains("secret"), "{text}");
    let error = Document::parse(text.as_bytes()).unwrap_err();
    assert!(
        format!("{error:?}").contains("write the key itself"),
        "{error:?}"
    );
}

/// Guards against an error that quotes a key of the wrong type.
#[test]
fn errors_do_not_quote_keys() {
    for keys in [
        "\"a-secret-key\"",
        "[4711]",
        "[\"a\", 4711]",
        "{\"4711\": 1}",
    ] {
        let text = format!("{{\"teams\": [{{\"name\": \"north\", \"keys\": {keys}}}]}}");
        let error = format!("{:?}", Document::parse(text.as_bytes()).unwrap_err());
        assert!(error.contains("list of texts"), "{error}");
        assert!(
            !error.contains("secret") && !error.contains("4711"),
            "{error}"
        );
    }
}
