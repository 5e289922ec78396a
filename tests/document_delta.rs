//! Deltas lead exactly to the document they promise.

mod common;

use common::{fixed, group, numbered, route};
use jackdawpulley::Error;
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::Millis;
use proptest::prelude::*;

/// Documents over a few names, so that resources come, go and change.
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

    /// A daemon whose base is not what the sender thinks applies the changes all the same, and
    /// runs a mix of two documents. The hash covers the whole result, so a mix is refused.
    #[test]
    fn never_yields_a_mix(old in document(), new in document(), other in document()) {
        let delta = Delta::between(&old, &new);
        match delta.apply(&other) {
            Ok(result) => prop_assert_eq!(result, new),
            Err(error) => {
                let refused = matches!(error, Error::Delta);
                prop_assert!(refused);
            }
        }
    }
}
