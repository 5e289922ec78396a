//! The version that a starting daemon must hold before it is ready.

use jackdawpulley::configuration::readiness::Requirement;
use jackdawpulley::units::{DataCentre, Offset, Version};

fn eros() -> DataCentre {
    DataCentre::from("eros")
}

/// Guards against a daemon that ran version 9, is killed and restarts while its peers still have version 7;
/// one of them has seen version 9 on its probes. Serving version 7 would take its callers back.
#[test]
fn own_earlier_version_is_required() {
    let mut requirement = Requirement::default();
    requirement.add_peer(&eros(), Version(7), Version(9));
    requirement.set_log_head(Offset(7));
    assert!(!requirement.is_met_by_log(Version(7), Offset(7)));
    assert!(!requirement.is_met_by_peers(Version(7), 1));
    assert!(requirement.is_met_by_log(Version(9), Offset(9)));
}

#[test]
fn first_log_head_counts() {
    let mut requirement = Requirement::default();
    assert!(!requirement.is_met_by_log(Version(3), Offset(3)));
    requirement.set_log_head(Offset(5));
    requirement.set_log_head(Offset(8));
    assert!(!requirement.is_met_by_log(Version(3), Offset(4)));
    assert!(requirement.is_met_by_log(Version(3), Offset(5)));
}

#[test]
fn only_data_centre_is_enough() {
    let mut requirement = Requirement::default();
    assert!(
        !requirement.is_met_by_peers(Version(0), 1),
        "no peer has reported"
    );
    requirement.add_peer(&eros(), Version(2), Version(0));
    assert!(requirement.is_met_by_peers(Version(2), 1));
    assert!(!requirement.is_met_by_peers(Version(2), 2));
}
