//! The evidence of one daemon, shared by its controllers and read on the path of a request.

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

/// Answered requests of one end each that are remembered: as many as run on fifty targets that are killed at
/// once.
const MAX_ANSWERED: usize = 1_024;

/// What is known of requests that end targets.
#[derive(Debug)]
pub struct Quarantine {
    /// Held for as long as it takes to judge, and never by a request that nothing is held against.
    state: Mutex<State>,
    assessments: ArcSwap<Assessments>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    evidence: CrashSet,
    /// Ends of this daemon's own target; those that are forgotten go with the next one.
    local_crashes: Vec<CrashId>,
    /// Requests that were answered here after the one end at which they ran; the first one first.
    answered: VecDeque<(Fingerprint, CrashId)>,
    /// Ends with something that has not been passed on yet.
    updates: Vec<CrashId>,
    hash: u64,
}

impl Quarantine {
    /// Nothing is known yet; what comes is remembered for `memory`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        let state = State {
            evidence: CrashSet::new(retention),
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

    /// What is held against a request.
    #[must_use]
    pub fn assessment(&self, fingerprint: Fingerprint) -> Assessment {
        self.assessments.load().of(fingerprint)
    }

    /// What is held against all requests.
    #[must_use]
    pub fn assessments(&self) -> Arc<Assessments> {
        self.assessments.load_full()
    }

    /// Takes in an end of this daemon's own target.
    pub fn record_local_crash(&self, crash: &Crash) {
        let mut state = self.state();
        let State {
            local_crashes,
            evidence,
            ..
        } = &mut *state;
        local_crashes.retain(|id| evidence.contains(*id));
        local_crashes.push(crash.id);
        drop(state);
        self.merge(std::slice::from_ref(crash));
    }

    /// Whether this daemon's own target ended under a request.
    #[must_use]
    pub fn has_local_crash(&self, cause: Fingerprint) -> bool {
        let state = self.state();
        let crashes = state.evidence.crashes_of(cause, Instant::now());
        crashes
            .iter()
            .any(|(id, _)| state.local_crashes.contains(id))
    }

    /// The ends that accuse a request, with the time since each.
    #[must_use]
    pub fn crashes_of(&self, cause: Fingerprint) -> Vec<(CrashId, Millis)> {
        self.state().evidence.crashes_of(cause, Instant::now())
    }

    /// Takes in what was told of ends.
    pub fn merge(&self, crashes: &[Crash]) {
        let now = Instant::now();
        let mut state = self.state();
        let before = state.updates.len();
        for crash in crashes {
            if state.evidence.merge(now, crash) {
                state.updates.push(crash.id);
            }
        }
        if state.updates.len() > before {
            self.reassess(&mut state);
            self.clear_answered(&mut state);
        }
    }

    /// Takes in notes as they are read at `now_ms`, in Unix milliseconds.
    pub fn restore(&self, records: &[(Fingerprint, Record)], now_ms: u64) {
        for (cause, record) in records {
            self.merge(&record.to_crashes(*cause, now_ms));
        }
    }

    /// Notes that a target has answered a request, which is then not the cause of any end known so far.
    ///
    /// Guards against a request that was under way at the ends of three targets by chance, as one that
    /// many callers send may be: it would be refused everywhere. While it ran at one end only, the answer is
    /// kept here until it matters: told at once, the answers after many ends would flood a fleet.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        let assessment = self.assessment(fingerprint);
        if assessment.crashes == 0 {
            return;
        }
        let mut state = self.state();
        if assessment.must_isolate() {
            self.clear(&mut state, fingerprint, None);
            return;
        }
        let crashes = state.evidence.crashes_of(fingerprint, Instant::now());
        for (id, _) in crashes {
            if state.answered.len() == MAX_ANSWERED {
                state.answered.pop_front();
            }
            state.answered.push_back((fingerprint, id));
        }
    }

    /// Forgets ends that are too long ago.
    pub fn expire(&self) {
        let mut state = self.state();
        if state.evidence.expire(Instant::now()) {
            self.reassess(&mut state);
        }
    }

    /// The same for daemons that know the same; 0 for nothing.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.state().hash
    }

    /// Everything that is known.
    #[must_use]
    pub fn snapshot(&self) -> Vec<Crash> {
        self.state().evidence.snapshot(Instant::now(), None)
    }

    /// What has not been passed on yet, which counts as passed on from now on.
    #[must_use]
    pub fn take_updates(&self) -> Vec<Crash> {
        let mut state = self.state();
        let updates = std::mem::take(&mut state.updates);
        state.evidence.snapshot(Instant::now(), Some(&updates))
    }

    /// Follows changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Takes in the answers that were kept here to requests that ran at another end since.
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

    /// Takes a request out of one end or all ends that are known.
    fn clear(&self, state: &mut State, fingerprint: Fingerprint, id: Option<CrashId>) {
        let cleared = state.evidence.clear(fingerprint, id);
        if !cleared.is_empty() {
            state.updates.extend(cleared);
            self.reassess(state);
        }
    }

    fn reassess(&self, state: &mut State) {
        state.hash = state.evidence.hash();
        self.assessments.store(Arc::new(state.evidence.assess()));
        self.changes.send_modify(|count| *count += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
