//! Which requests end targets, by what all gates have seen.
//!
//! Each gate whose target ended tells a [`Crash`]: what ran there. [`Evidence`] is the union of what all of
//! them told, the same on every daemon in whatever order it came, and judges requests by it: one that ran
//! at [three](ENDS) ends of targets and was never answered is the cause of them. Ends that have a cause
//! count against nobody else.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::quarantine::crash::{Crash, CrashId};
//! use jackdawpulley::quarantine::evidence::Evidence;
//! use jackdawpulley::quarantine::fingerprint::Fingerprint;
//!
//! let (fatal, bystander) = (Fingerprint(1), Fingerprint(2));
//! let mut evidence = Evidence::new(Duration::from_mins(60));
//! let now = Instant::now();
//! for id in 0..3 {
//!     let running = if id == 0 { vec![fatal, bystander] } else { vec![fatal] };
//!     let later = now + Duration::from_secs(id);
//!     evidence.merge(later, &Crash::new(CrashId(id), running));
//! }
//! let verdicts = evidence.verdicts();
//! assert!(verdicts.of(fatal).until.is_some());
//! assert!(verdicts.of(bystander).until.is_none());
//! ```

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Millis;

/// Ends of targets at which a request ran that is taken for their cause. One end has as many bystanders as
/// the target has slots, and one of them may be repeated onto the next target; each end more costs a target.
pub const MIN_CRASHES: usize = 3;
/// Ends after which a request is kept apart from others under the same suspicion: the next end tells which
/// of them it was.
const ISOLATION_CRASHES: usize = MIN_CRASHES - 1;
/// Time within which ends count as one moment.
///
/// Guards against many targets that are killed at once, with the same long request under way on several of
/// them: nothing but the kill connects them. It covers the time that news of an end take, and is shorter
/// than the time between two attempts of a request that ends its targets.
pub const COINCIDENCE_WINDOW: Duration = Duration::from_millis(300);
/// Moments that the ends of a cause belong to at least.
const MIN_DISTINCT_TIMES: usize = 2;
/// Ends that are remembered at most, so that memory is bounded: enough for 85 fatal requests at a time.
pub const MAX_CRASHES: usize = 256;

/// What is held against a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Assessment {
    /// Ends of targets that nothing else explains, at which it ran.
    pub crashes: usize,
    /// Until when it must not run, if it is taken for the cause.
    pub quarantined_until: Option<Instant>,
}

impl Assessment {
    /// Whether it has to run apart from others of which this is true.
    #[must_use]
    pub const fn must_isolate(&self) -> bool {
        self.crashes >= ISOLATION_CRASHES
    }
}

/// What is held against each request, for the path of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assessments {
    /// Sorted.
    all: Vec<(Fingerprint, Assessment)>,
}

impl Assessments {
    /// What is held against one request.
    #[must_use]
    pub fn of(&self, fingerprint: Fingerprint) -> Assessment {
        let found = self
            .all
            .binary_search_by_key(&fingerprint, |(known, _)| *known);
        found.map_or_else(|_| Assessment::default(), |index| self.all[index].1)
    }

    /// Requests that must not run, with the time at which they may again.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, Instant)> {
        let all = self.all.iter();
        all.filter_map(|(fingerprint, assessment)| {
            Some((*fingerprint, assessment.quarantined_until?))
        })
    }
}

/// An end with the time at which it will be forgotten.
#[derive(Debug, Clone)]
struct Entry {
    crash: Crash,
    until: Instant,
}

/// All ends that are remembered.
///
/// A union of what was told: merging is commutative, associative and idempotent, so daemons that have heard
/// the same hold the same. What expires at one a moment earlier is not taken in again there.
#[derive(Debug)]
pub struct CrashSet {
    /// Sorted by identifier.
    entries: Vec<Entry>,
    retention: Duration,
}

impl CrashSet {
    /// No ends yet; each will be remembered for `memory`.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            entries: Vec::new(),
            retention,
        }
    }

    /// Takes in what was told of an end; whether any of it was news.
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

    /// Notes that a target has answered a request, which did not cause the end `id`, or any of those known
    /// so far; the ends that accused it.
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

    /// Forgets ends that are too long ago; whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries.retain(|known| now < known.until);
        self.entries.len() < before
    }

    /// Whether an end is remembered.
    #[must_use]
    pub fn contains(&self, id: CrashId) -> bool {
        self.find(id).is_ok()
    }

    /// The ends at which a request ran that was not answered since, with the time since each.
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

    /// What is to be told of some ends, or of all.
    #[must_use]
    pub fn snapshot(&self, now: Instant, ids: Option<&[CrashId]>) -> Vec<Crash> {
        let selected = |known: &&Entry| ids.is_none_or(|ids| ids.contains(&known.crash.id));
        let aged = |known: &Entry| Crash {
            age: self.age(known, now),
            ..known.crash.clone()
        };
        self.entries.iter().filter(selected).map(aged).collect()
    }

    /// The same for daemons that know the same; 0 for none.
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

    /// Judges all requests.
    ///
    /// The request that explains most ends is judged first, and the ends that it explains count against
    /// nobody else: bystanders repeat as well, and meet the cause on more than one target.
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
            // When too few of its ends will be remembered.
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

    /// Keeps to the bound: forgets the oldest end that no verdict rests on, else the oldest.
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

/// The request that is taken for the cause of most ends, with their number, if any is.
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

/// Whether another request ran at as many ends and at some of the same ones.
///
/// Ends alone don't tell the two apart, and one of them is a bystander. Neither is accused yet: they run
/// apart, and one more end tells which it is.
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

/// When the ends will be forgotten that accuse a request, in the order in which they happened.
fn expiry_times(unexplained: &[&Entry], fingerprint: Fingerprint) -> Vec<Instant> {
    let implicating = unexplained
        .iter()
        .filter(|known| known.crash.implicates(fingerprint));
    let mut times: Vec<Instant> = implicating.map(|known| known.until).collect();
    times.sort_unstable();
    times
}

/// Moments to which sorted times belong.
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

/// How many of some ends accuse each request, sorted by request.
fn count_implications(unexplained: &[&Entry]) -> Vec<(Fingerprint, usize)> {
    let implicated = unexplained
        .iter()
        .flat_map(|known| known.crash.running.iter().copied());
    let mut implicated: Vec<Fingerprint> = implicated.collect();
    implicated.sort_unstable();
    let same = implicated.chunk_by(|a, b| a == b);
    same.map(|same| (same[0], same.len())).collect()
}
