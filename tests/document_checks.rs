//! Parsing and validation of documents.

mod common;

use common::{group, numbered, route};
use jackdawpulley::Error;
use jackdawpulley::configuration::check;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::{Millis, Percent, Slots};

#[test]
fn unknown_field_is_rejected() {
    let text = br#"{ "routes": [], "groupes": [] }"#;
    let error = Document::parse(text).unwrap_err();
    assert!(matches!(error, Error::Document { .. }));
    assert!(error.to_string().contains("groupes"), "{error}");
}

#[test]
fn all_faults_are_reported_together() {
    let mut document = numbered(1);
    document.routes[0].path = "titles".into();
    document.routes[0].timeout_ms = Millis(0);
    document.routes.push(route("all", "/x", "nowhere"));
    document.groups[0].slots = Some(Slots(0));
    document.groups[0].ejection.max_share = Percent(101);
    document.retries[0].attempts = 0;
    let paths: Vec<String> = check::document(&document)
        .into_iter()
        .map(|fault| fault.path)
        .collect();
    let expected = [
        "routes[1].name",
        "routes[0].path",
        "routes[0].timeout_ms",
        "routes[1].group",
        "groups[0].slots",
        "groups[0].ejection.max_share",
        "retries[0].attempts",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn duplicate_routes_are_a_fault() {
    let mut document = numbered(1);
    document.routes.push(route("again", "/", "shelf"));
    let faults = check::document(&document);
    assert_eq!(faults.len(), 1);
    assert!(faults[0].to_string().contains("remove one of the two"));
}

#[test]
fn order_does_not_change_the_hash() {
    let mut one = numbered(1);
    one.groups.push(group("till"));
    let mut other = one.clone();
    other.groups.reverse();
    assert_eq!(one.sorted().hash(), other.sorted().hash());
    assert_ne!(numbered(1).hash(), numbered(2).hash());
}

#[test]
fn documented_example_is_valid() {
    let page = include_str!("../docs/OPERATORS.md");
    let example = page
        .split("```json")
        .nth(1)
        .and_then(|rest| rest.split("```").next());
    let document = Document::parse(example.expect("there is one").as_bytes()).expect("it is valid");
    assert_eq!(document.routes.len(), 2);
}
