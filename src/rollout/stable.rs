//! The stable revision of each service: the one that receives its requests while no rollout is ordered.
//!
//! It is the revision that a daemon saw first, and it does not change while targets of it are seen. A daemon
//! that joins adopts it from its peers: before the order reaches it, it may see as many targets of a new
//! revision as of the old one.
//!
//! ```
//! use std::time::Instant;
//! use jackdawpulley::rollout::stable::Revisions;
//! use jackdawpulley::units::{Revision, Service};
//!
//! let (service, now) = (Service::from("shelf"), Instant::now());
//! let (old, new) = (Revision::from("v1"), Revision::from("v2"));
//! let mut stable = Revisions::default();
//! stable.observe(now, &service, &[&old]);
//! stable.observe(now, &service, &[&new, &old, &new]);
//! assert_eq!(stable.get(&service, now), Some(&old));
//! ```

use std::time::{Duration, Instant};

use crate::units::{Revision, Service};

/// Time without a target after which a revision is no longer stable.
///
/// Guards against a daemon that loses sight of the others for a moment, for example for lack of processor
/// time: it would send a revision without an order its full share from then on. The time is several times
/// what it takes to suspect a member, drop it and discover it again.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Stable revisions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Revisions {
    /// Sorted by service.
    all: Vec<StableRevision>,
    /// Whether the revisions of another daemon were adopted.
    received: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct StableRevision {
    service: Service,
    revision: Revision,
    /// Since when no target of the revision is seen.
    absent_since: Option<Instant>,
}

impl Revisions {
    /// Records the revisions of a service's targets that are seen at `now`.
    pub fn observe(&mut self, now: Instant, service: &Service, seen: &[&Revision]) {
        let most = most_frequent(seen).cloned();
        match self.find(service) {
            Ok(index) => {
                let stable = &mut self.all[index];
                if seen.contains(&&stable.revision) {
                    stable.absent_since = None;
                    return;
                }
                let since = *stable.absent_since.get_or_insert(now);
                let is_over = now.saturating_duration_since(since) >= ABSENCE_TIMEOUT;
                if let Some(revision) = most.filter(|_| is_over) {
                    stable.revision = revision;
                    stable.absent_since = None;
                }
            }
            Err(index) => {
                let stable = most.map(|revision| StableRevision {
                    service: service.clone(),
                    revision,
                    absent_since: None,
                });
                self.all.splice(index..index, stable);
            }
        }
    }

    /// Records that no targets of other services than `seen` are seen.
    pub fn mark_absent(&mut self, now: Instant, seen: &[&Service]) {
        let absent = self
            .all
            .iter_mut()
            .filter(|stable| !seen.contains(&&stable.service));
        absent.for_each(|stable| {
            stable.absent_since.get_or_insert(now);
        });
    }

    /// Adopts the revisions of another daemon. The first ones replace those known here, since a daemon that
    /// joins sees only a few members before.
    pub fn adopt(&mut self, received: &[(Service, Revision)]) {
        let first = !std::mem::replace(&mut self.received, true);
        for (service, revision) in received {
            let stable = StableRevision {
                service: service.clone(),
                revision: revision.clone(),
                absent_since: None,
            };
            match self.find(service) {
                Ok(index) if first => self.all[index] = stable,
                Ok(_) => {}
                Err(index) => self.all.insert(index, stable),
            }
        }
    }

    /// The stable revision of a service, unless it has been absent for too long.
    #[must_use]
    pub fn get(&self, service: &Service, now: Instant) -> Option<&Revision> {
        let stable = &self.all[self.find(service).ok()?];
        let is_over = |since| now.saturating_duration_since(since) >= ABSENCE_TIMEOUT;
        (!stable.absent_since.is_some_and(is_over)).then_some(&stable.revision)
    }

    /// All revisions, for sending.
    #[must_use]
    pub fn snapshot(&self) -> Vec<(Service, Revision)> {
        let all = self.all.iter();
        all.map(|stable| (stable.service.clone(), stable.revision.clone()))
            .collect()
    }

    fn find(&self, service: &Service) -> Result<usize, usize> {
        self.all
            .binary_search_by(|stable| stable.service.cmp(service))
    }
}

/// The most frequent revision; among equally frequent ones the first by name, so that all daemons choose the
/// same.
fn most_frequent<'a>(seen: &[&'a Revision]) -> Option<&'a Revision> {
    let mut seen = seen.to_vec();
    seen.sort_unstable();
    let groups = seen.chunk_by(|a, b| a == b);
    let most = groups.rev().max_by_key(|group| group.len());
    most.map(|group| group[0])
}
