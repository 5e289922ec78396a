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
    verdicts: ArcSwap<Assessments>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    evidence: CrashSet,
    /// Ends of this daemon's own target; those that are forgotten go with the next one.
    seen: Vec<CrashId>,
    /// Requests that were answered here after the one end at which they ran; the first one first.
    answered: VecDeque<(Fingerprint, CrashId)>,
    /// Ends with something that has not been passed on yet.
    news: Vec<CrashId>,
    hash: u64,
}

impl Quarantine {
    /// Nothing is known yet; what comes is remembered for `memory`.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        let state = State {
            evidence: CrashSet::new(memory),
            seen: Vec::new(),
            answered: VecDeque::new(),
            news: Vec::new(),
            hash: 0,
        };
        Self {
            state: Mutex::new(state),
            verdicts: ArcSwap::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// What is held against a request.
    #[must_use]
    pub fn standing(&self, fingerprint: Fingerprint) -> Assessment {
        self.verdicts.load().of(fingerprint)
    }

    /// What is held against all requests.
    #[must_use]
    pub fn verdicts(&self) -> Arc<Assessments> {
        self.verdicts.load_full()
    }

    /// Takes in an end of this daemon's own target.
    pub fn see(&self, crash: &Crash) {
        let mut state = self.state();
        let State { seen, evidence, .. } = &mut *state;
        seen.retain(|id| evidence.contains(*id));
        seen.push(crash.id);
        drop(state);
        self.merge(std::slice::from_ref(crash));
    }

    /// Whether this daemon's own target ended under a request.
    #[must_use]
    pub fn has_seen(&self, cause: Fingerprint) -> bool {
        let state = self.state();
        let ends = state.evidence.crashes_of(cause, Instant::now());
        ends.iter().any(|(id, _)| state.seen.contains(id))
    }

    /// The ends that accuse a request, with the time since each.
    #[must_use]
    pub fn ends_of(&self, cause: Fingerprint) -> Vec<(CrashId, Millis)> {
        self.state().evidence.crashes_of(cause, Instant::now())
    }

    /// Takes in what was told of ends.
    pub fn merge(&self, crashes: &[Crash]) {
        let now = Instant::now();
        let mut state = self.state();
        let before = state.news.len();
        for crash in crashes {
            if state.evidence.merge(now, crash) {
                state.news.push(crash.id);
            }
        }
        if state.news.len() > before {
            self.judge(&mut state);
            self.clear_answered(&mut state);
        }
    }

    /// Takes in notes as they are read at `now_ms`, in Unix milliseconds.
    pub fn recall(&self, notes: &[(Fingerprint, Record)], now_ms: u64) {
        for (cause, note) in notes {
            self.merge(&note.told(*cause, now_ms));
        }
    }

    /// Notes that a target has answered a request, which is then not the cause of any end known so far.
    ///
    /// Guards against a request that was under way at the ends of three targets by chance, as one that
    /// many callers send may be: it would be refused everywhere. While it ran at one end only, the answer is
    /// kept here until it matters: told at once, the answers after many ends would flood a fleet.
    pub fn answered(&self, fingerprint: Fingerprint) {
        let standing = self.standing(fingerprint);
        if standing.ends == 0 {
            return;
        }
        let mut state = self.state();
        if standing.must_isolate() {
            self.clear(&mut state, fingerprint, None);
            return;
        }
        let ends = state.evidence.crashes_of(fingerprint, Instant::now());
        for (id, _) in ends {
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
            self.judge(&mut state);
        }
    }

    /// The same for daemons that know the same; 0 for nothing.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.state().hash
    }

    /// Everything that is known.
    #[must_use]
    pub fn told(&self) -> Vec<Crash> {
        self.state().evidence.snapshot(Instant::now(), None)
    }

    /// What has not been passed on yet, which counts as passed on from now on.
    #[must_use]
    pub fn take_news(&self) -> Vec<Crash> {
        let mut state = self.state();
        let news = std::mem::take(&mut state.news);
        state.evidence.snapshot(Instant::now(), Some(&news))
    }

    /// Follows changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Takes in the answers that were kept here to requests that ran at another end since.
    fn clear_answered(&self, state: &mut State) {
        let verdicts = self.verdicts();
        let matters = |known: &(Fingerprint, CrashId)| verdicts.of(known.0).must_isolate();
        let matter: Vec<_> = state.answered.iter().copied().filter(matters).collect();
        if matter.is_empty() {
            return;
        }
        state.answered.retain(|known| !matters(known));
        for (fingerprint, id) in matter {
            self.clear(state, fingerprint, Some(id));
        }
    }

    /// Takes a request out of one end or all ends that are known.
    fn clear(&self, state: &mut State, fingerprint: Fingerprint, id: Option<CrashId>) {
        let cleared = state.evidence.clear(fingerprint, id);
        if !cleared.is_empty() {
            state.news.extend(cleared);
            self.judge(state);
        }
    }

    fn judge(&self, state: &mut State) {
        state.hash = state.evidence.hash();
        self.verdicts.store(Arc::new(state.evidence.assess()));
        self.changes.send_modify(|count| *count += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
