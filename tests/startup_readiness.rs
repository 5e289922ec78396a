//! The floor of a daemon that has just started.

use jackdawpulley::configuration::readiness::Requirement;
use jackdawpulley::units::{DataCentre, Offset, Version};

fn eros() -> DataCentre {
    DataCentre::from("eros")
}

/// A daemon runs version 9 and is killed. It comes back while its peers still have version 7; one
/// of them has seen version 9 on its probes. Serving version 7 would take its callers back.
#[test]
fn own_earlier_version_binds() {
    let mut floor = Requirement::default();
    floor.add_peer(&eros(), Version(7), Version(9));
    floor.set_log_head(Offset(7));
    assert!(!floor.is_met_by_log(Version(7), Offset(7)));
    assert!(!floor.is_met_by_peers(Version(7), 1));
    assert!(floor.is_met_by_log(Version(9), Offset(9)));
}

#[test]
fn first_head_counts() {
    let mut floor = Requirement::default();
    assert!(!floor.is_met_by_log(Version(3), Offset(3)));
    floor.set_log_head(Offset(5));
    floor.set_log_head(Offset(8));
    assert!(!floor.is_met_by_log(Version(3), Offset(4)));
    assert!(floor.is_met_by_log(Version(3), Offset(5)));
}

#[test]
fn lone_data_centre_is_enough() {
    let mut floor = Requirement::default();
    assert!(!floor.is_met_by_peers(Version(0), 1), "nobody has spoken");
    floor.add_peer(&eros(), Version(2), Version(0));
    assert!(floor.is_met_by_peers(Version(2), 1));
    assert!(!floor.is_met_by_peers(Version(2), 2));
}
