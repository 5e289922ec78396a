//! Attribution of target crashes to requests, from the reports of all sidecars.
//!
//! Every sidecar whose target crashed reports a [`Crash`] with the requests that were running. [`CrashSet`]
//! is the union of all reports, independent of the order of their arrival. A request that was running at
//! [three](MIN_CRASHES) crashes and was never answered is taken for their cause. Crashes that are attributed
//! to one request do not implicate any other.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::quarantine::crash::{Crash, CrashId};
//! use jackdawpulley::quarantine::crash_set::CrashSet;
//! use jackdawpulley::quarantine::fingerprint::Fingerprint;
//!
//! let (crashing, unrelated) = (Fingerprint(1), Fingerprint(2));
//! let mut crashes = CrashSet::new(Duration::from_mins(60));
//! let now = Instant::now();
//! for id in 0..3 {
//!     let running = if id == 0 { vec![crashing, unrelated] } else { vec![crashing] };
//!     let later = now + Duration::from_secs(id);
//!     crashes.merge(later, &Crash::new(CrashId(id), running));
//! }
//! let assessments = crashes.assess();
//! assert!(assessments.of(crashing).quarantined_until.is_some());
//! assert!(assessments.of(unrelated).quarantined_until.is_none());
//! ```

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Crashes at which a request was running before they are attributed to it. A crash implicates as many
/// unrelated requests as the target has slots, and one of these may be retried on the next target that
/// crashes; but every further crash costs a target.
pub const MIN_CRASHES: usize = 3;
/// Crashes after which a request does not run beside another with as many, so that the next crash tells which
/// of them is the cause.
const ISOLATION_CRASHES: usize = MIN_CRASHES - 1;
/// Crashes within this time of the first one count as simultaneous.
///
/// Guards against many targets being killed at once while the same long request runs on several of them,
/// which implicates it in every crash. The window covers the propagation of crash reports and is shorter than
/// the time between two attempts of a request that crashes its targets.
pub const COINCIDENCE_WINDOW: Duration = Duration::from_millis(300);
/// Least number of separate [windows](COINCIDENCE_WINDOW) in which the crashes of a cause happened.
const MIN_DISTINCT_TIMES: usize = 2;
/// Most crashes that are kept, to bound memory: enough for 85 crashing requests at a time.
pub const MAX_CRASHES: usize = 256;

/// What the known crashes say about a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Assessment {
    /// Crashes at which it was running and that are not attributed to another request.
    pub crashes: usize,
    /// When the quarantine ends, if the request is quarantined.
    pub quarantined_until: Option<Instant>,
}

impl Assessment {
    /// Whether it must not run beside another request for which this holds.
    #[must_use]
    pub const fn must_isolate(&self) -> bool {
        self.crashes >= ISOLATION_CRASHES
    }
}

/// Assessments of all implicated requests, for the request path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assessments {
    /// Sorted by fingerprint.
    all: Vec<(Fingerprint, Assessment)>,
}

impl Assessments {
    /// Assessment of one request.
    #[must_use]
    pub fn of(&self, fingerprint: Fingerprint) -> Assessment {
        let found = self
            .all
            .binary_search_by_key(&fingerprint, |(known, _)| *known);
        found.map_or_else(|_| Assessment::default(), |index| self.all[index].1)
    }

    /// Quarantined requests, with the end of each quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, Instant)> {
        let all = self.all.iter();
        all.filter_map(|(fingerprint, assessment)| {
            Some((*fingerprint, assessment.quarantined_until?))
        })
    }
}

/// A crash with its expiry time.
#[derive(Debug, Clone)]
struct Entry {
    crash: Crash,
    until: Instant,
}

/// All crashes that are known.
///
/// The set is a state-based CRDT: merging is commutative, associative and idempotent, so daemons that have
/// received the same reports hold the same set. A crash that another daemon still holds is not added again
/// once it has expired here.
#[derive(Debug)]
pub struct CrashSet {
    /// Sorted by crash id.
    entries: Vec<Entry>,
    retention: Duration,
}

impl CrashSet {
    /// An empty set that keeps each crash for `retention`.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            entries: Vec::new(),
            retention,
        }
    }

    /// Merges a crash report; returns whether the set changed.
    pub fn merge(&mut self, now: Instant, crash: &Crash) -> bool {
        let remaining = self.retention.saturating_sub(crash.age.duration());
        if remaining.is_zero() {
            return false;
        }
        match self.find(crash.id) {
            Ok(index) => self.entries[index].crash.merge(crash),
            Err(index) => {
                let known = Entry {
                    crash: crash.clone(),
                    until: now + remaining,
                };
                self.entries.insert(index, known);
                self.evict_excess();
                self.contains(crash.id)
            }
        }
    }

    /// Marks a request that a target has answered as not the cause of crash `id`, or of all known crashes;
    /// returns the crashes that implicated it.
    pub fn clear(&mut self, fingerprint: Fingerprint, id: Option<CrashId>) -> Vec<CrashId> {
        let crashes = self.entries.iter_mut().map(|known| &mut known.crash);
        let selected = crashes.filter(|crash| id.is_none_or(|id| crash.id == id));
        selected
            .filter(|crash| crash.implicates(fingerprint))
            .map(|crash| {
                crash.clear(fingerprint);
                crash.id
            })
            .collect()
    }

    /// Removes expired crashes; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries.retain(|known| now < known.until);
        self.entries.len() < before
    }

    /// Whether the crash is known.
    #[must_use]
    pub fn contains(&self, id: CrashId) -> bool {
        self.find(id).is_ok()
    }

    /// Crashes that implicate a request, with their ages.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: Fingerprint, now: Instant) -> Vec<(CrashId, Millis)> {
        let implicating = self
            .entries
            .iter()
            .filter(|known| known.crash.implicates(fingerprint));
        implicating
            .map(|known| (known.crash.id, self.age(known, now)))
            .collect()
    }

    /// Reports of the selected crashes, or of all, for sending.
    #[must_use]
    pub fn snapshot(&self, now: Instant, ids: Option<&[CrashId]>) -> Vec<Crash> {
        let selected = |known: &&Entry| ids.is_none_or(|ids| ids.contains(&known.crash.id));
        let aged = |known: &Entry| Crash {
            age: self.age(known, now),
            ..known.crash.clone()
        };
        self.entries.iter().filter(selected).map(aged).collect()
    }

    /// Hash of the set, equal for equal sets; 0 for an empty one.
    #[must_use]
    pub fn hash(&self) -> u64 {
        if self.entries.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for Entry { crash, .. } in &self.entries {
            hasher.update(&crash.id.0.to_le_bytes());
            for list in [&crash.running, &crash.cleared] {
                hasher.update(&(list.len() as u64).to_le_bytes());
                for fingerprint in list {
                    hasher.update(&fingerprint.0.to_le_bytes());
                }
            }
        }
        hasher.digest()
    }

    /// Assesses all implicated requests.
    ///
    /// Crashes are attributed first to the request that explains most of them, and then implicate no other:
    /// retries of unrelated requests may also be running at several crashes of the same cause.
    #[must_use]
    pub fn assess(&self) -> Assessments {
        let mut unexplained: Vec<&Entry> = self.entries.iter().collect();
        let mut all = Vec::new();
        loop {
            let counts = count_implications(&unexplained);
            let Some((cause, crashes)) = find_cause(&unexplained, &counts) else {
                let assessment = |(fingerprint, crashes)| {
                    (
                        fingerprint,
                        Assessment {
                            crashes,
                            quarantined_until: None,
                        },
                    )
                };
                all.extend(counts.into_iter().map(assessment));
                break;
            };
            // When fewer than [`MIN_CRASHES`] of its crashes will be left.
            let until = expiry_times(&unexplained, cause)
                .iter()
                .rev()
                .nth(MIN_CRASHES - 1)
                .copied();
            all.push((
                cause,
                Assessment {
                    crashes,
                    quarantined_until: until,
                },
            ));
            unexplained.retain(|known| !known.crash.implicates(cause));
        }
        all.sort_unstable_by_key(|(fingerprint, _)| *fingerprint);
        Assessments { all }
    }

    fn age(&self, known: &Entry, now: Instant) -> Millis {
        let remaining = known.until.saturating_duration_since(now);
        self.retention.saturating_sub(remaining).into()
    }

    fn find(&self, id: CrashId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&id, |known| known.crash.id)
    }

    /// Evicts the oldest crashes above [`MAX_CRASHES`], first those that no quarantine depends on.
    fn evict_excess(&mut self) {
        while self.entries.len() > MAX_CRASHES {
            let assessments = self.assess();
            let causes: Vec<Fingerprint> =
                assessments.quarantined().map(|(cause, _)| cause).collect();
            let needed = |known: &Entry| causes.iter().any(|cause| known.crash.implicates(*cause));
            let ranked = self.entries.iter().enumerate();
            let first = ranked.min_by_key(|(_, known)| (needed(known), known.until));
            let Some((index, _)) = first else {
                return;
            };
            self.entries.remove(index);
        }
    }
}

/// The request that is the cause of most crashes, with their number.
fn find_cause(
    unexplained: &[&Entry],
    counts: &[(Fingerprint, usize)],
) -> Option<(Fingerprint, usize)> {
    let frequent = counts
        .iter()
        .copied()
        .filter(|(_, crashes)| *crashes >= MIN_CRASHES);
    let attributed = frequent
        .filter(|(fingerprint, _)| {
            count_distinct_times(&expiry_times(unexplained, *fingerprint)) >= MIN_DISTINCT_TIMES
        })
        .filter(|(fingerprint, crashes)| {
            !is_ambiguous(unexplained, counts, *fingerprint, *crashes)
        });
    attributed.max_by_key(|(_, crashes)| *crashes)
}

/// Whether another request is implicated in as many crashes, some of them the same.
///
/// The crashes do not tell which of the two is the cause. Neither is quarantined yet: they run on separate
/// targets, and the next crash tells.
fn is_ambiguous(
    unexplained: &[&Entry],
    counts: &[(Fingerprint, usize)],
    fingerprint: Fingerprint,
    crashes: usize,
) -> bool {
    let crash_count = |other: Fingerprint| {
        let found = counts.binary_search_by_key(&other, |(known, _)| *known);
        found.map_or(0, |index| counts[index].1)
    };
    let implicating = unexplained
        .iter()
        .filter(|known| known.crash.implicates(fingerprint));
    let mut others = implicating.flat_map(|known| known.crash.running.iter());
    others.any(|other| *other != fingerprint && crash_count(*other) == crashes)
}

/// Expiry times of the crashes that implicate a request, in the order of the crashes.
fn expiry_times(unexplained: &[&Entry], fingerprint: Fingerprint) -> Vec<Instant> {
    let implicating = unexplained
        .iter()
        .filter(|known| known.crash.implicates(fingerprint));
    let mut times: Vec<Instant> = implicating.map(|known| known.until).collect();
    times.sort_unstable();
    times
}

/// Number of windows that the sorted times fall into.
fn count_distinct_times(times: &[Instant]) -> usize {
    let mut began = None;
    let mut count = 0;
    for time in times {
        if began.is_none_or(|began| *time - began >= COINCIDENCE_WINDOW) {
            began = Some(*time);
            count += 1;
        }
    }
    count
}

/// Number of crashes that implicate each request, sorted by fingerprint.
fn count_implications(unexplained: &[&Entry]) -> Vec<(Fingerprint, usize)> {
    let implicated = unexplained
        .iter()
        .flat_map(|known| known.crash.running.iter().copied());
    let mut implicated: Vec<Fingerprint> = implicated.collect();
    implicated.sort_unstable();
    let same = implicated.chunk_by(|a, b| a == b);
    same.map(|same| (same[0], same.len())).collect()
}
