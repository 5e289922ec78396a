//! Route lookup.

mod common;

use common::{group, numbered, route};
use jackdawpulley::calls::route::Table;
use jackdawpulley::configuration::document::Document;

fn document() -> Document {
    let mut document = numbered(1);
    document.groups.push(group("till"));
    document.routes.push(route("rentals", "/rentals", "till"));
    let mut host = route("studio", "/rentals", "shelf");
    host.host = Some("studio.example".into());
    document.routes.push(host);
    let mut method = route("post", "/rentals/", "shelf");
    method.method = Some("POST".into());
    document.routes.push(method);
    document.sorted()
}

fn found_route(method: &str, host: Option<&str>, path: &str) -> String {
    let table = Table::compile(&document());
    table
        .find(method, host, path)
        .map(|resolved| resolved.route.name.clone())
        .unwrap_or_default()
}

#[test]
fn longest_prefix_wins_by_segments() {
    assert_eq!(found_route("GET", None, "/rentals/7"), "rentals");
    assert_eq!(found_route("GET", None, "/rentalsale"), "all");
    assert_eq!(found_route("GET", None, "/"), "all");
}

#[test]
fn named_host_goes_before_method() {
    assert_eq!(
        found_route("POST", Some("studio.example:80"), "/rentals"),
        "studio"
    );
    assert_eq!(
        found_route("POST", Some("shop.example"), "/rentals"),
        "post"
    );
}

#[test]
fn route_without_group_is_left_out() {
    let mut document = document();
    document.groups.retain(|group| group.name != "till");
    let table = Table::compile(&document);
    let resolved = table.find("GET", None, "/rentals/7").expect("the fallback");
    assert_eq!(resolved.route.name, "all");
}

/// Guards against a 404 for a host that is spelled differently than in the document.
#[test]
fn hosts_match_in_any_equivalent_spelling() {
    let mut document = numbered(1);
    document.routes.clear();
    for (name, host) in [("plain", "Shop.Example"), ("six", "[2001:db8::1]")] {
        let mut route = route(name, "/", "shelf");
        route.host = Some(host.into());
        document.routes.push(route);
    }
    let table = Table::compile(&document.sorted());
    let found = |host| {
        let resolved = table.find("GET", Some(host), "/x");
        resolved
            .map(|resolved| resolved.route.name.clone())
            .unwrap_or_default()
    };
    for host in [
        "shop.example",
        "SHOP.EXAMPLE",
        "shop.example.",
        "Shop.Example:80",
        "shop.example.:80",
    ] {
        assert_eq!(found(host), "plain", "{host}");
    }
    assert_eq!(found("[2001:DB8::1]:80"), "six");
    assert_eq!(found("[2001:db8::1]"), "six");
    for host in ["shop", "shop.example..", "xshop.example", "", ":80", "."] {
        assert_eq!(found(host), "", "{host:?}");
    }
}
