//! The lowest configuration with which a daemon that has just started may serve.
//!
//! A restarted daemon remembers nothing, but callers may have seen it run a recent version. It is
//! ready once it holds what the log's head says; with the log away, once it holds the highest
//! version of several peers in different data centres, who also remember what its address ran.
//!
//! ```
//! use jackdawpulley::configuration::readiness::Requirement;
//! use jackdawpulley::units::{DataCentre, Version};
//!
//! let mut requirement = Requirement::default();
//! requirement.add_peer(&DataCentre::from("eros"), Version(4), Version(0));
//! assert!(!requirement.is_met_by_peers(Version(4), 2), "one data centre is not enough of two");
//! requirement.add_peer(&DataCentre::from("olympia"), Version(6), Version(0));
//! assert!(!requirement.is_met_by_peers(Version(4), 2));
//! assert!(requirement.is_met_by_peers(Version(6), 2));
//! ```

use crate::units::{DataCentre, Offset, Version};

/// Data centres that must be heard without the log, when there are that many.
const MIN_DATA_CENTRES: usize = 2;

/// What a starting daemon has learnt.
#[derive(Debug, Default)]
pub struct Requirement {
    /// Data centres that have spoken, sorted.
    data_centres: Vec<DataCentre>,
    version: Version,
    head: Option<Offset>,
}

impl Requirement {
    /// Notes a peer's version, and the version that this address is known to have run.
    pub fn add_peer(&mut self, data_centre: &DataCentre, version: Version, ran: Version) {
        if let Err(index) = self.data_centres.binary_search(data_centre) {
            self.data_centres.insert(index, data_centre.clone());
        }
        self.version = self.version.max(version).max(ran);
    }

    /// Notes where the log ended when it was first read.
    pub fn set_log_head(&mut self, head: Offset) {
        self.head.get_or_insert(head);
    }

    /// Highest version that anyone has named.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Whether the log's head has been folded, and with it every version of any peer.
    #[must_use]
    pub fn is_met_by_log(&self, have: Version, next: Offset) -> bool {
        self.head.is_some_and(|head| next >= head) && have >= self.version
    }

    /// Whether the peers that have spoken are enough, `known` data centres being there.
    #[must_use]
    pub fn is_met_by_peers(&self, have: Version, known: usize) -> bool {
        !self.data_centres.is_empty()
            && self.data_centres.len() >= known.min(MIN_DATA_CENTRES)
            && have >= self.version
    }
}
