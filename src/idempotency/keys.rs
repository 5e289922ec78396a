//! Idempotency keys: who may run one, and what became of it.
//!
//! A key belongs to the first gate of its service in rendezvous order. That gate, the holder,
//! has another gate note the key before it runs it, and remembers the outcome for a while. When
//! the holder is lost, its notes are with a survivor; whoever follows asks all survivors. A gate
//! that cannot prove that nobody else ran the key does not run it.
//!
//! [`Memory`] and [`ownership`] are pure; the gate carries them out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::units::{IdempotencyKey, Millis};

/// Losses among the gates of a service that its notes survive.
const MAX_TOLERATED_LOSSES: usize = 1;

/// An answer that can be given again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A gate in one of its lives: a restarted daemon is another holder at the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Its address.
    #[serde(rename = "gate")]
    pub sidecar: SocketAddr,
    /// Number drawn when its daemon started.
    #[serde(rename = "life")]
    pub run_id: u64,
}

/// What is remembered of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It runs here now, or is about to.
    Running,
    /// It ran here, with this answer.
    Done(Arc<StoredResponse>),
    /// It may have run here.
    InDoubt,
    /// Another gate was about to run it.
    Intent(Holder),
}

/// A key that a leaving gate hands over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Gate that ran it, or was about to.
    pub holder: Holder,
}

/// Asks a gate to note that a key is about to run elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The key, with its service.
    pub key: IdempotencyKey,
    /// Gate that wants to run it.
    pub holder: Holder,
}

/// What a leaving gate remembers, for those who stay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// The gate that leaves.
    pub from: Holder,
    /// Its keys, or a part of them.
    pub keys: Vec<HandoffKey>,
    /// Whether every part has been taken by all.
    pub complete: bool,
}

/// Answer to a [`Handoff`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffAck;

/// Answer to a [`Intent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentAck {
    /// Whether the key may have run, here or at another gate.
    pub may_have_run: bool,
    /// Time for which the answerer has remembered keys.
    pub age: Millis,
    /// Whether its address belonged to a daemon before.
    pub predecessor_lost: bool,
}

#[derive(Debug)]
struct Entry {
    key: IdempotencyKey,
    state: State,
    expires_at: Instant,
}

/// Keys that ran, or may have, in the recent past.
#[derive(Debug)]
pub struct Memory {
    retention: Duration,
    /// Sorted by key.
    keys: Vec<Entry>,
    next_sweep: Option<Instant>,
}

impl Memory {
    /// A memory that keeps each key for `span` after its last change.
    #[must_use]
    pub const fn new(span: Duration) -> Self {
        Self {
            retention: span,
            keys: Vec::new(),
            next_sweep: None,
        }
    }

    /// Keys that are remembered.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What is remembered of `key`.
    #[must_use]
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<&State> {
        let index = self.find(key).ok()?;
        let found = &self.keys[index];
        (found.expires_at > now || found.state == State::Running).then_some(&found.state)
    }

    /// Remembers `state` for `key`, in place of anything earlier.
    pub fn insert(&mut self, now: Instant, key: &IdempotencyKey, state: State) {
        self.sweep(now);
        let until = now + self.retention;
        match self.find(key) {
            Ok(index) => {
                self.keys[index].state = state;
                self.keys[index].expires_at = until;
            }
            Err(index) => {
                self.keys.insert(
                    index,
                    Entry {
                        key: key.clone(),
                        state,
                        expires_at: until,
                    },
                );
            }
        }
    }

    /// Forgets `key`: it has provably not run.
    pub fn remove(&mut self, key: &IdempotencyKey) {
        if let Ok(index) = self.find(key) {
            self.keys.remove(index);
        }
    }

    /// Notes that `holder` is about to run `key`; `true` when it may have run elsewhere.
    pub fn record_intent(&mut self, now: Instant, key: &IdempotencyKey, holder: Holder) -> bool {
        // Guards against a holder that ran the key, was killed and came back at its address: to
        // itself its note would look like its own next try. Its new life is another holder.
        match self.get(now, key) {
            None => {}
            Some(State::Intent(other)) if *other == holder => {}
            Some(_) => return true,
        }
        self.insert(now, key, State::Intent(holder));
        false
    }

    /// Everything remembered, for whoever follows a gate that leaves as `me`.
    #[must_use]
    pub fn export(&self, now: Instant, me: Holder) -> Vec<HandoffKey> {
        let kept = self.keys.iter().filter(|kept| kept.expires_at > now);
        let hand = |kept: &Entry| HandoffKey {
            key: kept.key.clone(),
            holder: match kept.state {
                State::Intent(holder) => holder,
                State::Running | State::Done(_) | State::InDoubt => me,
            },
        };
        kept.map(hand).collect()
    }

    fn find(&self, key: &IdempotencyKey) -> Result<usize, usize> {
        self.keys
            .binary_search_by(|remembered| remembered.key.cmp(key))
    }

    fn sweep(&mut self, now: Instant) {
        if self.next_sweep.is_none_or(|due| due <= now) {
            self.next_sweep = Some(now + self.retention / 4);
            self.keys
                .retain(|kept| kept.expires_at > now || kept.state == State::Running);
        }
    }
}

/// Another gate of the service, as the view has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is there.
    pub liveness: Liveness,
}

/// Whether a gate is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It takes calls.
    Serving,
    /// It takes no more calls, but still knows what it ran.
    Leaving,
    /// It was lost this long ago, with everything that it knew.
    Lost(Duration),
}

/// What a gate knows of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalSidecar {
    /// Its address.
    pub address: SocketAddr,
    /// Time for which it has remembered keys.
    pub age: Duration,
    /// Whether its address belonged to a daemon before.
    pub predecessor_lost: bool,
}

/// What a gate may do with a key that it does not remember.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ownership {
    /// Run it once one of these, in this order, has noted it; alone when there is none.
    Run(Vec<SocketAddr>),
    /// Have all of these note it, then run it if that is [`proves_first_run`] to be the first time.
    Query {
        /// Gates that are there.
        survivors: Vec<SocketAddr>,
        /// Memories known to be lost.
        losses: usize,
    },
    /// It belongs to another gate.
    Moved,
    /// No gate may be left that would know.
    InDoubt,
    /// Others have just been lost and none is left to note it.
    Isolated,
}

/// Decides what a gate may do with `key`, when keys are remembered for `span`.
#[must_use]
pub fn ownership(
    key: &IdempotencyKey,
    own: LocalSidecar,
    peers: &[Peer],
    span: Duration,
) -> Ownership {
    let mine = rank(key, own.address);
    let above = |peer: &&Peer| rank(key, peer.address) > mine;
    let recent = |peer: &Peer| match peer.liveness {
        Liveness::Serving => false,
        Liveness::Leaving => true,
        Liveness::Lost(ago) => ago < span,
    };
    if peers
        .iter()
        .filter(above)
        .any(|peer| peer.liveness == Liveness::Serving)
    {
        return Ownership::Moved;
    }
    let lost = |peer: &&Peer| matches!(peer.liveness, Liveness::Lost(ago) if ago < span);
    let young = own.age < span;
    let earlier_life = usize::from(young && own.predecessor_lost);
    let losses = peers.iter().filter(lost).count() + earlier_life;
    let mut live: Vec<&Peer> = peers
        .iter()
        .filter(|peer| !matches!(peer.liveness, Liveness::Lost(_)))
        .collect();
    // Those who leave are the last to be asked for a note.
    live.sort_by_key(|peer| {
        let leaving = peer.liveness == Liveness::Leaving;
        (leaving, std::cmp::Reverse(rank(key, peer.address)))
    });
    let live: Vec<SocketAddr> = live.into_iter().map(|peer| peer.address).collect();
    let inherited = young || peers.iter().filter(above).any(recent);
    if !inherited {
        // It was this gate's for the whole span, so its own memory is proof. Running it without
        // a note is safe only while nobody could later be missed: a cut looks like losses.
        let alone = live.is_empty() && losses > 0;
        return if alone {
            Ownership::Isolated
        } else {
            Ownership::Run(live)
        };
    }
    // Guards against running a lost gate's key again: its note is with one other gate. With one
    // loss that other gate is among the survivors; with two it may be the second one lost.
    if losses > MAX_TOLERATED_LOSSES {
        return Ownership::InDoubt;
    }
    Ownership::Query {
        survivors: live,
        losses,
    }
}

/// Whether the answers of all survivors prove that nobody ran the key.
#[must_use]
pub fn proves_first_run(
    own: LocalSidecar,
    losses: usize,
    answers: &[IntentAck],
    span: Duration,
) -> bool {
    let old = |age: Millis| age.duration() >= span;
    // A gate that was lost and came back answers like any other, but its notes are gone.
    let returned = answers
        .iter()
        .filter(|noted| noted.predecessor_lost && !old(noted.age))
        .count();
    let losses = losses + returned;
    // Guards against a lost gate that was alone: nobody has its note. A gate that was there all
    // the time proves that it was not.
    let whole = own.age >= span || answers.iter().any(|noted| old(noted.age));
    let unknown = answers.iter().all(|noted| !noted.may_have_run);
    unknown && losses <= MAX_TOLERATED_LOSSES && (losses == 0 || whole)
}

/// Rendezvous rank of a gate for a key; the highest holds it.
#[must_use]
pub fn rank(key: &IdempotencyKey, peer: SocketAddr) -> u64 {
    xxh3_64(format!("{key}@{peer}").as_bytes())
}
