//! Quarantine state of one daemon: updated by its controllers, read on the request path.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::crash_set::{Assessment, Assessments, CrashSet};
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::units::Millis;

/// Answered requests, one entry per crash, that are kept: as many as run on fifty targets that are killed at
/// once.
const MAX_ANSWERED: usize = 1_024;

/// The known crashes and the requests that they implicate.
#[derive(Debug)]
pub struct Quarantine {
    /// Held during an assessment; not taken for requests that no crash implicates.
    state: Mutex<State>,
    assessments: ArcSwap<Assessments>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    crash_set: CrashSet,
    /// Crashes of this daemon's own target. Expired ones are removed when the next one is added.
    local_crashes: Vec<CrashId>,
    /// Requests that were answered here after the only crash that implicates them, the oldest first.
    answered: VecDeque<(Fingerprint, CrashId)>,
    /// Crashes with changes that have not been sent to peers.
    updates: Vec<CrashId>,
    hash: u64,
}

impl Quarantine {
    /// An empty quarantine that keeps each crash for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        let state = State {
            crash_set: CrashSet::new(retention),
            local_crashes: Vec::new(),
            answered: VecDeque::new(),
            updates: Vec::new(),
            hash: 0,
        };
        Self {
            state: Mutex::new(state),
            assessments: ArcSwap::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Assessment of one request.
    #[must_use]
    pub fn assessment(&self, fingerprint: Fingerprint) -> Assessment {
        self.assessments.load().of(fingerprint)
    }

    /// Assessments of all implicated requests.
    #[must_use]
    pub fn assessments(&self) -> Arc<Assessments> {
        self.assessments.load_full()
    }

    /// Adds a crash of this daemon's own target.
    pub fn record_local_crash(&self, crash: &Crash) {
        let mut state = self.state();
        let State {
            local_crashes,
            crash_set,
            ..
        } = &mut *state;
        local_crashes.retain(|id| crash_set.contains(*id));
        local_crashes.push(crash.id);
        drop(state);
        self.merge(std::slice::from_ref(crash));
    }

    /// Whether the request is implicated in a crash of this daemon's own target.
    #[must_use]
    pub fn has_local_crash(&self, cause: Fingerprint) -> bool {
        let state = self.state();
        let crashes = state.crash_set.crashes_of(cause, Instant::now());
        crashes
            .iter()
            .any(|(id, _)| state.local_crashes.contains(id))
    }

    /// Crashes that implicate a request, with their ages.
    #[must_use]
    pub fn crashes_of(&self, cause: Fingerprint) -> Vec<(CrashId, Millis)> {
        self.state().crash_set.crashes_of(cause, Instant::now())
    }

    /// Merges crash reports.
    pub fn merge(&self, crashes: &[Crash]) {
        let now = Instant::now();
        let mut state = self.state();
        let before = state.updates.len();
        for crash in crashes {
            if state.crash_set.merge(now, crash) {
                state.updates.push(crash.id);
            }
        }
        if state.updates.len() > before {
            self.reassess(&mut state);
            self.clear_answered(&mut state);
        }
    }

    /// Merges stored records that were read at `now_ms`, a Unix time in milliseconds.
    pub fn restore(&self, records: &[(Fingerprint, Record)], now_ms: u64) {
        for (cause, record) in records {
            self.merge(&record.to_crashes(*cause, now_ms));
        }
    }

    /// Records that a target has answered a request, which therefore did not cause any crash known so far.
    ///
    /// Guards against quarantining a request that many callers send and that was running at three crashes by
    /// chance. While only one crash implicates the request, this is kept locally until another does:
    /// sending it for all requests after many crashes would flood the fleet.
    pub fn record_answered(&self, fingerprint: Fingerprint) {
        let assessment = self.assessment(fingerprint);
        if assessment.crashes == 0 {
            return;
        }
        let mut state = self.state();
        if assessment.must_isolate() {
            self.clear(&mut state, fingerprint, None);
            return;
        }
        let crashes = state.crash_set.crashes_of(fingerprint, Instant::now());
        for (id, _) in crashes {
            if state.answered.len() == MAX_ANSWERED {
                state.answered.pop_front();
            }
            state.answered.push_back((fingerprint, id));
        }
    }

    /// Removes expired crashes.
    pub fn expire(&self) {
        let mut state = self.state();
        if state.crash_set.expire(Instant::now()) {
            self.reassess(&mut state);
        }
    }

    /// Hash of the known crashes, equal for daemons that know the same; 0 for none.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.state().hash
    }

    /// Reports of all known crashes, for sending.
    #[must_use]
    pub fn snapshot(&self) -> Vec<Crash> {
        self.state().crash_set.snapshot(Instant::now(), None)
    }

    /// Returns the changes that have not been sent to peers and marks them as sent.
    #[must_use]
    pub fn take_updates(&self) -> Vec<Crash> {
        let mut state = self.state();
        let updates = std::mem::take(&mut state.updates);
        state.crash_set.snapshot(Instant::now(), Some(&updates))
    }

    /// Subscribes to changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Clears the requests answered here that another crash implicates by now.
    fn clear_answered(&self, state: &mut State) {
        let assessments = self.assessments();
        let is_relevant = |known: &(Fingerprint, CrashId)| assessments.of(known.0).must_isolate();
        let relevant: Vec<_> = state.answered.iter().copied().filter(is_relevant).collect();
        if relevant.is_empty() {
            return;
        }
        state.answered.retain(|known| !is_relevant(known));
        for (fingerprint, id) in relevant {
            self.clear(state, fingerprint, Some(id));
        }
    }

    /// Marks a request as not the cause of one crash or of all that are known.
    fn clear(&self, state: &mut State, fingerprint: Fingerprint, id: Option<CrashId>) {
        let cleared = state.crash_set.clear(fingerprint, id);
        if !cleared.is_empty() {
            state.updates.extend(cleared);
            self.reassess(state);
        }
    }

    fn reassess(&self, state: &mut State) {
        state.hash = state.crash_set.hash();
        self.assessments.store(Arc::new(state.crash_set.assess()));
        self.changes.send_modify(|count| *count += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
