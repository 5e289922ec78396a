//! The lowest configuration version with which a starting daemon may become ready.
//!
//! A restarted daemon has no state, but callers may have seen it run a recent version. It is ready
//! once it has applied the log up to its head. If the log is unavailable, it is ready once it holds
//! the highest version reported by peers in several data centres; the peers also report which
//! version the daemon's own address ran before.
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

/// Data centres whose peers must have reported while the log is unavailable, if there are that many.
const MIN_DATA_CENTRES: usize = 2;

/// Versions and log head that a starting daemon has learnt so far.
#[derive(Debug, Default)]
pub struct Requirement {
    /// Data centres of the peers that have reported, sorted.
    data_centres: Vec<DataCentre>,
    version: Version,
    head: Option<Offset>,
}

impl Requirement {
    /// Records a peer's active version, and the version that it knows this daemon's address ran.
    pub fn add_peer(&mut self, data_centre: &DataCentre, version: Version, ran: Version) {
        if let Err(index) = self.data_centres.binary_search(data_centre) {
            self.data_centres.insert(index, data_centre.clone());
        }
        self.version = self.version.max(version).max(ran);
    }

    /// Records the log's head; only the first call has an effect.
    pub fn set_log_head(&mut self, head: Offset) {
        self.head.get_or_insert(head);
    }

    /// Highest version that any peer has reported.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Whether the log has been applied up to its head, and `have` is no older than any reported version.
    #[must_use]
    pub fn is_met_by_log(&self, have: Version, next: Offset) -> bool {
        self.head.is_some_and(|head| next >= head) && have >= self.version
    }

    /// Whether enough of the `known` data centres have reported, and `have` is no older than any
    /// reported version.
    #[must_use]
    pub fn is_met_by_peers(&self, have: Version, known: usize) -> bool {
        !self.data_centres.is_empty()
            && self.data_centres.len() >= known.min(MIN_DATA_CENTRES)
            && have >= self.version
    }
}
