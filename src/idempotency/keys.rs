//! Idempotency keys: which sidecar may run one, and what became of it.
//!
//! A key belongs to the sidecar of its service that ranks highest for it by rendezvous hashing. That
//! sidecar, the holder, records its intent to run the key at another sidecar, the witness, runs it, and
//! remembers the outcome for a while. If the holder is lost, its successor asks all surviving sidecars
//! for intents. A sidecar that cannot prove that no other one ran the key does not run it.
//!
//! [`Memory`] and [`ownership`] do no I/O; the deduplicator carries out their decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::units::{IdempotencyKey, Millis};

/// Lost sidecars of a service that the recorded intents survive.
const MAX_TOLERATED_LOSSES: usize = 1;

/// A response that can be replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A sidecar in one daemon process: a restarted daemon is another holder at the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Address of the daemon.
    #[serde(rename = "gate")]
    pub sidecar: SocketAddr,
    /// Random identifier of the daemon process, drawn at its start.
    #[serde(rename = "life")]
    pub run_id: u64,
}

/// What a sidecar remembers about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The key is running here, or about to.
    Running,
    /// The key ran here, with this response.
    Done(Arc<StoredResponse>),
    /// The key may have run here, and there is no response to replay.
    InDoubt,
    /// Another sidecar was about to run the key.
    Intent(Holder),
}

/// A key that a leaving sidecar hands off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Sidecar that ran it, or was about to.
    pub holder: Holder,
}

/// Asks a sidecar to record that a key is about to run elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The key, with its service.
    pub key: IdempotencyKey,
    /// Sidecar that is about to run it.
    pub holder: Holder,
}

/// Hands off keys of a leaving sidecar to those that stay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// The leaving sidecar.
    pub from: Holder,
    /// Some of its keys.
    pub keys: Vec<HandoffKey>,
    /// Whether all its keys have been accepted by all receivers.
    pub complete: bool,
}

/// Reply to a [`Handoff`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffAck;

/// Reply to an [`Intent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentAck {
    /// Whether the key may have run, here or at another sidecar.
    pub may_have_run: bool,
    /// Time for which the replying sidecar has remembered keys.
    pub age: Millis,
    /// Whether an earlier daemon at its address was lost with its keys.
    pub predecessor_lost: bool,
}

#[derive(Debug)]
struct Entry {
    key: IdempotencyKey,
    state: State,
    expires_at: Instant,
}

/// Keys that ran, or may have run, in the recent past.
#[derive(Debug)]
pub struct Memory {
    retention: Duration,
    /// Sorted by key.
    keys: Vec<Entry>,
    next_sweep: Option<Instant>,
}

impl Memory {
    /// An empty memory that keeps each key for `retention` after its last change.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            retention,
            keys: Vec::new(),
            next_sweep: None,
        }
    }

    /// Number of remembered keys.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// State of `key`, if it is remembered.
    #[must_use]
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<&State> {
        let index = self.find(key).ok()?;
        let found = &self.keys[index];
        (found.expires_at > now || found.state == State::Running).then_some(&found.state)
    }

    /// Sets the state of `key`, replacing an earlier one.
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

    /// Removes `key`, which has provably not run.
    pub fn remove(&mut self, key: &IdempotencyKey) {
        if let Ok(index) = self.find(key) {
            self.keys.remove(index);
        }
    }

    /// Records that `holder` is about to run `key`; returns whether the key may have run elsewhere.
    pub fn record_intent(&mut self, now: Instant, key: &IdempotencyKey, holder: Holder) -> bool {
        // A repeated intent of the same holder is its own next attempt. A holder that ran the key, was
        // killed and restarted at its address has another `run_id`, so it is another holder.
        match self.get(now, key) {
            None => {}
            Some(State::Intent(other)) if *other == holder => {}
            Some(_) => return true,
        }
        self.insert(now, key, State::Intent(holder));
        false
    }

    /// All remembered keys, for the successors of the leaving sidecar `me`.
    #[must_use]
    pub fn export(&self, now: Instant, me: Holder) -> Vec<HandoffKey> {
        let kept = self.keys.iter().filter(|kept| kept.expires_at > now);
        let handoff_key = |kept: &Entry| HandoffKey {
            key: kept.key.clone(),
            holder: match kept.state {
                State::Intent(holder) => holder,
                State::Running | State::Done(_) | State::InDoubt => me,
            },
        };
        kept.map(handoff_key).collect()
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

/// Another sidecar of the service, as seen by the membership view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is available.
    pub liveness: Liveness,
}

/// Whether a sidecar is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts calls.
    Serving,
    /// It accepts no more calls, but still remembers its keys.
    Leaving,
    /// It was lost this long ago, with all its keys.
    Lost(Duration),
}

/// What a sidecar knows about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalSidecar {
    /// Its address.
    pub address: SocketAddr,
    /// Time for which it has remembered keys.
    pub age: Duration,
    /// Whether an earlier daemon at its address was lost with its keys.
    pub predecessor_lost: bool,
}

/// What a sidecar may do with a key that it does not remember.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ownership {
    /// Run it once one of these witnesses, tried in this order, has recorded the intent; without a
    /// witness if there is none.
    Run(Vec<SocketAddr>),
    /// Record the intent at all of these, then run it if [`proves_first_run`] holds for their replies.
    Query {
        /// Sidecars that are serving or leaving.
        survivors: Vec<SocketAddr>,
        /// Number of sidecars known to be lost with their keys.
        losses: usize,
    },
    /// It belongs to another sidecar.
    Moved,
    /// Possibly no surviving sidecar knows whether it ran.
    InDoubt,
    /// Others were lost recently, and none is left as a witness.
    Isolated,
}

/// Decides what a sidecar may do with `key` if keys are remembered for `retention`.
#[must_use]
pub fn ownership(
    key: &IdempotencyKey,
    own: LocalSidecar,
    peers: &[Peer],
    retention: Duration,
) -> Ownership {
    let own_rank = rank(key, own.address);
    let above = |peer: &&Peer| rank(key, peer.address) > own_rank;
    let recent = |peer: &Peer| match peer.liveness {
        Liveness::Serving => false,
        Liveness::Leaving => true,
        Liveness::Lost(ago) => ago < retention,
    };
    if peers
        .iter()
        .filter(above)
        .any(|peer| peer.liveness == Liveness::Serving)
    {
        return Ownership::Moved;
    }
    let lost = |peer: &&Peer| matches!(peer.liveness, Liveness::Lost(ago) if ago < retention);
    let young = own.age < retention;
    let own_loss = usize::from(young && own.predecessor_lost);
    let losses = peers.iter().filter(lost).count() + own_loss;
    let mut live: Vec<&Peer> = peers
        .iter()
        .filter(|peer| !matches!(peer.liveness, Liveness::Lost(_)))
        .collect();
    // Leaving sidecars are the last choice as witnesses.
    live.sort_by_key(|peer| {
        let leaving = peer.liveness == Liveness::Leaving;
        (leaving, std::cmp::Reverse(rank(key, peer.address)))
    });
    let live: Vec<SocketAddr> = live.into_iter().map(|peer| peer.address).collect();
    let inherited = young || peers.iter().filter(above).any(recent);
    if !inherited {
        // The key has belonged to this sidecar for the whole retention, so its own memory is proof.
        // Running without a witness is safe only if no others were lost recently: a network partition
        // looks the same as losses.
        let isolated = live.is_empty() && losses > 0;
        return if isolated {
            Ownership::Isolated
        } else {
            Ownership::Run(live)
        };
    }
    // The intent of a lost sidecar is recorded at one witness. After one loss the witness is among
    // the survivors; after two, the witness may be the second one that was lost.
    if losses > MAX_TOLERATED_LOSSES {
        return Ownership::InDoubt;
    }
    Ownership::Query {
        survivors: live,
        losses,
    }
}

/// Whether the replies of all survivors prove that no sidecar has run the key.
#[must_use]
pub fn proves_first_run(
    own: LocalSidecar,
    losses: usize,
    replies: &[IntentAck],
    retention: Duration,
) -> bool {
    let old = |age: Millis| age.duration() >= retention;
    // A sidecar that was lost and restarted replies like any other, but its recorded intents are lost.
    let restarted = replies
        .iter()
        .filter(|reply| reply.predecessor_lost && !old(reply.age))
        .count();
    let losses = losses + restarted;
    // A lost sidecar that had been the only one has no witness. A sidecar that has been there for the
    // whole retention proves that this was not the case.
    let covered = own.age >= retention || replies.iter().any(|reply| old(reply.age));
    let unknown = replies.iter().all(|reply| !reply.may_have_run);
    unknown && losses <= MAX_TOLERATED_LOSSES && (losses == 0 || covered)
}

/// Rendezvous rank of a sidecar for a key, which belongs to the highest rank.
#[must_use]
pub fn rank(key: &IdempotencyKey, peer: SocketAddr) -> u64 {
    xxh3_64(format!("{key}@{peer}").as_bytes())
}
