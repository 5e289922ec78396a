//! Normalization of documents that a control plane has accepted.

mod common;

use common::{deterministic_config, group, numbered_document, route};
use jackdawpulley::configuration::check::{self, MAX_NAME_BYTES, MAX_TIMEOUT_MS};
use jackdawpulley::configuration::document::{Document, Share};
use jackdawpulley::configuration::normalize::normalize;
use jackdawpulley::units::{Millis, Service};
use proptest::prelude::*;

fn names(document: &Document) -> Vec<&str> {
    document.routes.iter().map(|r| r.name.as_str()).collect()
}

fn split(weights: &[u32]) -> Vec<Share> {
    let parts = weights.iter().map(|weight| Share {
        group: "shelf".into(),
        weight: *weight,
    });
    parts.collect()
}

#[test]
fn valid_document_is_unchanged() {
    let before = numbered_document(3);
    let (after, faults) = normalize(before.clone());
    assert_eq!(after, before.sorted());
    assert_eq!(faults, []);
}

#[test]
fn renamed_routes_keep_their_paths() {
    let mut document = numbered_document(1);
    let longest = "n".repeat(MAX_NAME_BYTES);
    document.routes = vec![
        route(&longest, "/e", "shelf"),
        route(&longest, "/f", "shelf"),
        route("one", "/a", "shelf"),
        route("one", "/b", "shelf"),
        route("", "/c", "shelf"),
        route(&"é".repeat(100), "/d", "shelf"),
        route("twin", "/a", "shelf"),
    ];
    let (normalized, faults) = normalize(document);
    let mut paths: Vec<&str> = normalized.routes.iter().map(|r| r.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["/a", "/b", "/c", "/d", "/e", "/f"]);
    assert!(
        names(&normalized).contains(&"one#2"),
        "{:?}",
        names(&normalized)
    );
    assert_eq!(faults.len(), 5, "{faults:?}");
    assert_eq!(check::document(&normalized), []);
}

#[test]
fn weights_keep_their_shares() {
    let mut document = numbered_document(1);
    document.routes[0].split = split(&[u32::MAX, u32::MAX, 0, 1]);
    let (normalized, _) = normalize(document.clone());
    let weights: Vec<u32> = normalized.routes[0]
        .split
        .iter()
        .map(|s| s.weight)
        .collect();
    assert_eq!(weights[0], weights[1]);
    assert_eq!((weights[2], weights[3]), (0, 1));
    document.routes[0].split = split(&[0, 0]);
    let (normalized, _) = normalize(document);
    assert_eq!(normalized.routes[0].split, split(&[1, 1]));
}

/// Guards against normalization that hides contradictions, so that an invalid document would be accepted.
#[test]
fn contradictions_stay() {
    let mut document = numbered_document(1);
    document.routes.push(route("lost", "/x", "nowhere"));
    document.routes.push(route("bare", "x", "shelf"));
    let mut endless = route("endless", "/y", "shelf");
    endless.timeout_ms = Millis(MAX_TIMEOUT_MS + 1);
    document.routes.push(endless);
    let (normalized, faults) = normalize(document);
    assert_eq!(faults, []);
    assert_eq!(check::document(&normalized).len(), 3);
}

/// Guards against a part that can't be used and keeps the rest of its version out of force.
#[test]
fn parts_cost_themselves() {
    let mut document = numbered_document(1);
    document.retries[0].attempts = 0;
    let mut never = route("never", "/y", "shelf");
    never.timeout_ms = Millis(0);
    document.routes.push(never);
    let mut unmatched = route("unmatched", "/z", "shelf");
    unmatched.host = Some("a b".into());
    document.routes.push(unmatched);
    let (normalized, faults) = normalize(document.clone());
    assert_eq!(check::document(&normalized), []);
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    let expected = [
        "routes[\"never\"].timeout_ms",
        "routes[\"unmatched\"].host",
        "retries[\"once\"].attempts",
    ];
    assert_eq!(paths, expected);
    assert_eq!(names(&normalized), ["all", "never"]);
    assert_eq!(normalized.routes[0], document.routes[0]);
    assert_eq!(normalized.routes[1].timeout_ms, Millis(1));
}

/// Guards against a service whose name keeps a version out of force, or is taken for another one.
#[test]
fn service_names() {
    let long = |end: &str| format!("{}{end}", "catalogue.".repeat(20));
    let (first, second) = (long("a"), long("b"));
    let mut document = numbered_document(1);
    for name in [first.as_str(), second.as_str(), "à la carte/1", ""] {
        document.routes.push(route(name, &format!("/{name}"), name));
        document.groups.push(group(name));
    }
    document.routes[1].split = vec![Share {
        group: second.clone(),
        weight: 1,
    }];
    let (normalized, faults) = normalize(document);
    assert_eq!(check::document(&normalized), []);
    assert!(faults.len() >= 4, "{faults:?}");
    let path_of = |name: &str| format!("/{name}");
    let service = |path: String| {
        let found = normalized.routes.iter().find(|route| route.path == path);
        let route = found.expect("it is kept");
        let group = normalized.group(&route.group).expect("it has a group");
        group.service.clone()
    };
    for name in [first.as_str(), second.as_str(), "à la carte/1"] {
        assert_eq!(service(path_of(name)), Service::from_name(name));
    }
    assert_ne!(Service::from_name(&first), Service::from_name(&second));
    let split = normalized.routes.iter().find(|r| !r.split.is_empty());
    let part = &split.expect("it is kept").split[0].group;
    let group = normalized.group(part).expect("it has a group");
    assert_eq!(group.service, Service::from_name(&second));
}

proptest! {
    #![proptest_config(deterministic_config(300))]

    /// Guards against a document that is still invalid after normalization, or that a second normalization
    /// changes again.
    #[test]
    fn normalized_document_is_valid(
        routes in prop::collection::vec(("[a-c]{0,1}|x{120,140}", "/[a-b]{0,2}/", any::<[u32; 2]>()), 0..12),
        hosts in prop::collection::vec("[Aa]{0,2}\\.?(:80)?|a b|é", 12),
        services in prop::collection::vec("[a-b]{0,2}|[é /]{1,3}|x{60,140}", 12),
        timeouts in prop::collection::vec(0..=MAX_TIMEOUT_MS, 12),
        attempts in 0_u32..40,
        head in any::<u32>(),
        times in any::<(u64, u64)>(),
    ) {
        let mut document = numbered_document(1);
        document.groups.push(group("shelf"));
        document.retries[0].attempts = attempts;
        document.bounds.max_head = head;
        document.bounds.head_ms = Millis(times.0);
        document.bounds.idle_ms = Millis(times.1);
        document.groups.extend(services.iter().map(|name| group(name)));
        document.routes.clear();
        let targets = services.iter().zip(timeouts);
        for (((name, path, weights), host), (service, timeout)) in routes.iter().zip(hosts).zip(targets) {
            let mut route = route(name, path, service);
            route.timeout_ms = Millis(timeout);
            route.host = Some(host);
            route.split = split(weights);
            document.routes.push(route);
        }
        let (normalized, _) = normalize(document);
        prop_assert_eq!(check::document(&normalized), []);
        let (again, faults) = normalize(normalized.clone());
        prop_assert_eq!(again, normalized);
        prop_assert_eq!(faults, []);
    }
}
