//! Bringing what a platform has accepted within limits.

mod common;

use common::{fixed, group, numbered, route};
use jackdawpulley::configuration::check;
use jackdawpulley::configuration::document::{Document, Share};
use jackdawpulley::configuration::normalize::normalize;
use jackdawpulley::units::Millis;
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
fn fitting_one_stays() {
    let before = numbered(3);
    let (after, faults) = normalize(before.clone());
    assert_eq!(after, before.sorted());
    assert_eq!(faults, []);
}

#[test]
fn routes_keep_their_requests() {
    let mut document = numbered(1);
    document.routes = vec![
        route("one", "/a", "shelf"),
        route("one", "/b", "shelf"),
        route("", "/c", "shelf"),
        route(&"é".repeat(100), "/d", "shelf"),
        route("twin", "/a", "shelf"),
    ];
    let (fitted, faults) = normalize(document);
    let mut paths: Vec<&str> = fitted.routes.iter().map(|r| r.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["/a", "/b", "/c", "/d"]);
    assert!(names(&fitted).contains(&"one#2"), "{:?}", names(&fitted));
    assert_eq!(faults.len(), 4, "{faults:?}");
    assert_eq!(check::document(&fitted), []);
}

#[test]
fn weights_keep_their_shares() {
    let mut document = numbered(1);
    document.routes[0].split = split(&[u32::MAX, u32::MAX, 0, 1]);
    let (fitted, _) = normalize(document.clone());
    let weights: Vec<u32> = fitted.routes[0].split.iter().map(|s| s.weight).collect();
    assert_eq!(weights[0], weights[1]);
    assert_eq!((weights[2], weights[3]), (0, 1));
    document.routes[0].split = split(&[0, 0]);
    let (fitted, _) = normalize(document);
    assert_eq!(fitted.routes[0].split, split(&[1, 1]));
}

/// Guards against a document that contradicts itself and is taken since it was brought within limits.
#[test]
fn contradictions_stay() {
    let mut document = numbered(1);
    document.routes.push(route("lost", "/x", "nowhere"));
    document.routes.push(route("bare", "x", "shelf"));
    let mut never = route("never", "/y", "shelf");
    never.timeout_ms = Millis(0);
    document.routes.push(never);
    let (fitted, faults) = normalize(document);
    assert_eq!(faults, []);
    assert_eq!(check::document(&fitted).len(), 3);
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Guards against a version that is still refused, or changes again, after it was brought within limits.
    #[test]
    fn fitted_is_valid(
        routes in prop::collection::vec(("[a-c]{0,1}|x{120,140}", "/[a-b]{0,2}/", any::<[u32; 2]>()), 0..12),
        hosts in prop::collection::vec("[Aa]{1,2}\\.?(:80)?", 12),
        attempts in 1_u32..40,
        head in any::<u32>(),
        times in any::<(u64, u64)>(),
    ) {
        let mut document = numbered(1);
        document.groups.push(group("shelf"));
        document.retries[0].attempts = attempts;
        document.bounds.max_head = head;
        document.bounds.head_ms = Millis(times.0);
        document.bounds.idle_ms = Millis(times.1);
        document.routes.clear();
        for ((name, path, weights), host) in routes.iter().zip(hosts) {
            let mut route = route(name, path, "shelf");
            route.host = Some(host);
            route.split = split(weights);
            document.routes.push(route);
        }
        let (fitted, _) = normalize(document);
        prop_assert_eq!(check::document(&fitted), []);
        let (again, faults) = normalize(fitted.clone());
        prop_assert_eq!(again, fitted);
        prop_assert_eq!(faults, []);
    }
}
