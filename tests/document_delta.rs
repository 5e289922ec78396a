//! Deltas yield exactly the document that they were computed for, or an error.

mod common;

use common::{fixed, group, numbered, route};
use jackdawpulley::Error;
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::Millis;
use proptest::prelude::*;

/// Documents with a few resource names, so that resources are added, removed and changed.
fn document() -> impl Strategy<Value = Document> {
    let routes = prop::collection::btree_map(0_u8..8, 1_u64..4, 0..8);
    let groups = prop::collection::btree_set(0_u8..6, 0..6);
    (routes, groups).prop_map(|(routes, groups)| {
        let mut document = numbered(0);
        for (name, timeout) in routes {
            let mut route = route(&format!("r{name}"), &format!("/{name}"), "shelf");
            route.timeout_ms = Millis(timeout);
            document.routes.push(route);
        }
        document
            .groups
            .extend(groups.into_iter().map(|name| group(&format!("g{name}"))));
        document.sorted()
    })
}

proptest! {
    #![proptest_config(fixed(300))]

    #[test]
    fn leads_from_base_to_version(old in document(), new in document()) {
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old).unwrap(), new);
    }

    /// Guards against a daemon that applies a delta to another base than the sender expected, and then
    /// runs a mix of two documents. The hash covers the whole result, so a mix is rejected.
    #[test]
    fn other_base_never_yields_a_mix(old in document(), new in document(), other in document()) {
        let delta = Delta::between(&old, &new);
        match delta.apply(&other) {
            Ok(result) => prop_assert_eq!(result, new),
            Err(error) => {
                let rejected = matches!(error, Error::Delta);
                prop_assert!(rejected);
            }
        }
    }
}
