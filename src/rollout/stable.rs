//! The revision that gets a service's requests while nobody has ordered another one.
//!
//! It is the one that a daemon saw first, and stays that one. A daemon that joins takes it from those that
//! welcome it: it may see as many targets of a new revision as of the old one when their order has not
//! reached it yet.
//!
//! ```
//! use std::time::Instant;
//! use jackdawpulley::rollout::usual::Usual;
//! use jackdawpulley::units::{Revision, Service};
//!
//! let (service, now) = (Service::from("shelf"), Instant::now());
//! let (old, new) = (Revision::from("v1"), Revision::from("v2"));
//! let mut usual = Usual::default();
//! usual.note(now, &service, &[&old]);
//! usual.note(now, &service, &[&new, &old, &new]);
//! assert_eq!(usual.get(&service, now), Some(&old));
//! ```

use std::time::{Duration, Instant};

use crate::units::{Revision, Service};

/// Time for which a revision stays the usual one when no target of it is seen.
///
/// Guards against a daemon that loses sight of the others for a moment, as one that is short of processor time
/// does: whatever it saw then would get its full share from there on. It is several times what a member
/// takes to be suspected, dropped and met again.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The usual revisions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Revisions {
    /// Sorted by service.
    all: Vec<StableRevision>,
    /// Whether another daemon has told what it knows.
    received: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct StableRevision {
    service: Service,
    revision: Revision,
    /// Since when no target of it is seen.
    absent_since: Option<Instant>,
}

impl Revisions {
    /// Notes the revisions of a service's targets, as they are seen at `now`.
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

    /// Notes that nothing is seen of services other than those.
    pub fn mark_absent(&mut self, now: Instant, seen: &[&Service]) {
        let absent = self
            .all
            .iter_mut()
            .filter(|stable| !seen.contains(&&stable.service));
        absent.for_each(|stable| {
            stable.absent_since.get_or_insert(now);
        });
    }

    /// Takes over what another daemon told: the first one's word goes before what is known here, since a
    /// joiner sees a few members before it is welcomed.
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

    /// The usual revision of a service, unless it has been gone for long.
    #[must_use]
    pub fn get(&self, service: &Service, now: Instant) -> Option<&Revision> {
        let stable = &self.all[self.find(service).ok()?];
        let is_over = |since| now.saturating_duration_since(since) >= ABSENCE_TIMEOUT;
        (!stable.absent_since.is_some_and(is_over)).then_some(&stable.revision)
    }

    /// What others are told.
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

/// The revision of most targets; of two that are as frequent the first by name, for all daemons alike.
fn most_frequent<'a>(seen: &[&'a Revision]) -> Option<&'a Revision> {
    let mut seen = seen.to_vec();
    seen.sort_unstable();
    let groups = seen.chunk_by(|a, b| a == b);
    let most = groups.rev().max_by_key(|group| group.len());
    most.map(|group| group[0])
}
