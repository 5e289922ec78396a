//! Enforces the guards of idempotency keys at a sidecar: each key runs at most once while it is
//! remembered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use futures_util::future::join_all;
use http::Response;
use tokio::sync::watch;
use volo_http::body::Body;

use crate::board::Board;
use crate::calls::executor::{Executor, Received};
use crate::calls::outcome::{Outcome, Reason};
use crate::configuration::document::Guard;
use crate::configuration::log::Log;
use crate::idempotency::claim::Claims;
use crate::idempotency::keys::{
    Handoff, HandoffAck, HandoffKey, Holder, Intent, IntentAck, Liveness, LocalSidecar, Memory,
    Ownership, Peer, State, StoredResponse, ownership, proves_first_run,
};
use crate::idempotency::replay::{replay_response, store_response};
use crate::idempotency::sidecars::{self, ReceivedHandoffs};
use crate::peer::Links;
use crate::units::{IdempotencyKey, Millis, Service};

/// Path of an [`Intent`].
pub const INTENT_PATH: &str = "/control/note";
/// Path of a [`Handoff`].
pub const HANDOFF_PATH: &str = "/control/legacy";
/// Most keys in one [`Handoff`].
const KEYS_PER_HANDOFF: usize = 1_000;

/// The idempotency keys of one sidecar.
#[derive(Debug)]
pub struct Deduplicator {
    board: Arc<Board>,
    links: Arc<Links>,
    log: Log,
    memory: Mutex<Memory>,
    /// Sorted by service.
    claims: Mutex<Vec<(Service, Arc<Claims>)>>,
    /// Number of completed runs; changes whenever a run ends.
    run_ended: watch::Sender<u64>,
    started_at: Instant,
    run_id: u64,
    predecessor_lost: AtomicBool,
    /// Set when the hand-off of the keys begins.
    handed_off: AtomicBool,
    /// Service of the keys; `None` before the first request with a key.
    service: Mutex<Option<Service>>,
    handoffs: ReceivedHandoffs,
}

impl Deduplicator {
    /// A deduplicator that remembers no keys yet.
    #[must_use]
    pub fn new(board: Arc<Board>, links: Arc<Links>, log: Log) -> Self {
        let retention = board.settings.key_memory_ms.duration();
        Self {
            board,
            links,
            log,
            memory: Mutex::new(Memory::new(retention)),
            claims: Mutex::default(),
            run_ended: watch::Sender::new(0),
            started_at: Instant::now(),
            run_id: rand::random(),
            predecessor_lost: AtomicBool::new(false),
            handed_off: AtomicBool::new(false),
            service: Mutex::default(),
            handoffs: ReceivedHandoffs::default(),
        }
    }

    /// Sets whether an earlier daemon at this address was lost with its keys.
    pub fn set_predecessor_lost(&self, lost: bool) {
        self.predecessor_lost.store(lost, Ordering::Release);
    }

    /// Number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.memory().len()
    }

    /// Records another sidecar's intent to run a key; `None` once this one hands off its keys.
    #[must_use]
    pub fn record_intent(&self, intent: &Intent) -> Option<IntentAck> {
        if self.handed_off.load(Ordering::Acquire) {
            return None;
        }
        // A sidecar that sends intents serves again.
        self.handoffs.remove(intent.holder.sidecar);
        let may_have_run = self
            .memory()
            .record_intent(Instant::now(), &intent.key, intent.holder);
        let predecessor_lost = self.predecessor_lost.load(Ordering::Acquire);
        let age = Millis::from(self.started_at.elapsed());
        Some(IntentAck {
            may_have_run,
            age,
            predecessor_lost,
        })
    }

    /// Runs a request unless its key has run or may have run; a repeat gets the stored response.
    ///
    /// # Errors
    ///
    /// The reason why there is no response.
    pub async fn run_once(
        self: &Arc<Self>,
        key: IdempotencyKey,
        received: Received,
        work: &Arc<Executor>,
    ) -> Result<Response<Body>, Reason> {
        let service = received.service().clone();
        *self.service.lock().unwrap_or_else(PoisonError::into_inner) = Some(service);
        loop {
            let mut ended = self.run_ended.subscribe();
            match self.begin(&key)? {
                Admission::Run => break,
                Admission::Replay(stored) => return Ok(replay_response(&stored)),
                Admission::Wait => {
                    let waiting =
                        tokio::time::timeout_at(received.deadline().into(), ended.changed());
                    if waiting.await.is_err() {
                        return Err(Reason::TimedOut);
                    }
                }
            }
        }
        // The run continues when its caller disconnects, so that a repeat gets its outcome.
        let run = Run {
            keys: Arc::clone(self),
            key: key.clone(),
            settled: false,
        };
        let (keys, work) = (Arc::clone(self), Arc::clone(work));
        let task = tokio::spawn(async move {
            let result = match received.guard() {
                Guard::Memory => keys.run_with_intent(&key, received, &work).await,
                Guard::Claim => keys.run_with_claim(&key, received, &work).await,
            };
            run.settle(result).await
        });
        task.await.unwrap_or(Err(Reason::Broken))
    }

    async fn run_with_intent(
        &self,
        key: &IdempotencyKey,
        received: Received,
        work: &Executor,
    ) -> Result<Response<Body>, Reason> {
        self.ensure_first_run(&received, key).await?;
        work.run(received).await
    }

    async fn run_with_claim(
        &self,
        key: &IdempotencyKey,
        received: Received,
        work: &Executor,
    ) -> Result<Response<Body>, Reason> {
        let claims = self.claims(received.service());
        let timeout = received
            .deadline()
            .saturating_duration_since(Instant::now());
        // A claim that is not confirmed in time may still be written; it is released then, since its
        // key has not run.
        let claiming = claims.claim(key);
        let claim = tokio::time::timeout(timeout, claiming).await;
        let claim = claim.unwrap_or(Err(Reason::LogAway))?;
        let result = work.run(received).await;
        if let Err(reason) = &result
            && reason.outcome() == Outcome::NotRun
        {
            claims.release(claim);
        }
        result
    }

    /// The claims of a service, started on first use.
    fn claims(&self, service: &Service) -> Arc<Claims> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        match claims.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => Arc::clone(&claims[index].1),
            Err(index) => {
                let (board, log) = (Arc::clone(&self.board), self.log.clone());
                let started = Claims::start(board, log, service.clone(), self.holder());
                claims.insert(index, (service.clone(), Arc::clone(&started)));
                started
            }
        }
    }

    /// This sidecar in the current daemon process.
    fn holder(&self) -> Holder {
        Holder {
            sidecar: self.board.settings.identity(),
            run_id: self.run_id,
        }
    }

    fn begin(&self, key: &IdempotencyKey) -> Result<Admission, Reason> {
        let now = Instant::now();
        let mut memory = self.memory();
        match memory.get(now, key) {
            None => {
                memory.insert(now, key, State::Running);
                Ok(Admission::Run)
            }
            Some(State::Running) => Ok(Admission::Wait),
            Some(State::Done(stored)) => Ok(Admission::Replay(Arc::clone(stored))),
            Some(State::InDoubt) => Err(Reason::KeyInDoubt),
            Some(State::Intent(holder)) => {
                let is_member = self.board.roster().member(holder.sidecar).is_some();
                Err(if is_member {
                    Reason::Moved
                } else {
                    Reason::KeyInDoubt
                })
            }
        }
    }

    /// Ensures that no other sidecar has run the key, and that the intent to run it is recorded.
    async fn ensure_first_run(
        &self,
        received: &Received,
        key: &IdempotencyKey,
    ) -> Result<(), Reason> {
        let (service, leaving) = (received.service(), received.draining());
        let own = LocalSidecar {
            address: self.board.settings.identity(),
            age: self.started_at.elapsed(),
            predecessor_lost: self.predecessor_lost.load(Ordering::Acquire),
        };
        let retention = self.board.settings.key_memory_ms.duration();
        let peers = self.peers(service, leaving);
        let intent = Intent {
            key: key.clone(),
            holder: self.holder(),
        };
        match ownership(key, own, &peers, retention) {
            Ownership::Moved => Err(Reason::Moved),
            Ownership::InDoubt => Err(Reason::KeyInDoubt),
            Ownership::Isolated => Err(Reason::NoWitness),
            Ownership::Run(witnesses) if witnesses.is_empty() => Ok(()),
            Ownership::Run(witnesses) => self.send_intent_to_any(&witnesses, &intent).await,
            Ownership::Query { survivors, losses } => {
                let replies = self.send_intent_to_all(&survivors, &intent).await?;
                let first = proves_first_run(own, losses, &replies, retention);
                if first {
                    Ok(())
                } else {
                    Err(Reason::KeyInDoubt)
                }
            }
        }
    }

    async fn send_intent_to_any(
        &self,
        witnesses: &[SocketAddr],
        intent: &Intent,
    ) -> Result<(), Reason> {
        for witness in witnesses {
            match self
                .links
                .send::<_, IntentAck>(*witness, INTENT_PATH, intent)
                .await
            {
                Ok(reply) if reply.may_have_run => return Err(Reason::KeyInDoubt),
                Ok(_) => return Ok(()),
                Err(_) => {}
            }
        }
        Err(Reason::NoWitness)
    }

    async fn send_intent_to_all(
        &self,
        survivors: &[SocketAddr],
        intent: &Intent,
    ) -> Result<Vec<IntentAck>, Reason> {
        let requests = survivors.iter().map(|peer| async move {
            (
                *peer,
                self.links
                    .send::<_, IntentAck>(*peer, INTENT_PATH, intent)
                    .await,
            )
        });
        let mut replies = Vec::new();
        for (peer, reply) in join_all(requests).await {
            match reply {
                Ok(reply) => replies.push(reply),
                // It has handed off its keys, and this sidecar remembers them.
                Err(_) if self.handoffs.contains(peer) => {}
                Err(_) => return Err(Reason::KeyInDoubt),
            }
        }
        Ok(replies)
    }

    /// Hands off all remembered keys to the serving sidecars of the service.
    ///
    /// Returns whether all of them accepted; `true` as well if there are no keys, `false` if there are keys but
    /// no such sidecar.
    ///
    /// From now on no intent is recorded here, since it would be lost with this sidecar.
    pub async fn hand_off(&self) -> bool {
        self.handed_off.store(true, Ordering::Release);
        let keys = self.memory().export(Instant::now(), self.holder());
        let service = self
            .service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(service) = service.filter(|_| !keys.is_empty()) else {
            return true;
        };
        let peers = self.peers(&service, &[]);
        let serving = peers
            .iter()
            .filter(|peer| peer.liveness == Liveness::Serving);
        let receivers: Vec<SocketAddr> = serving.map(|peer| peer.address).collect();
        for part in keys.chunks(KEYS_PER_HANDOFF) {
            if !self.send_handoff(&receivers, part, false).await {
                return false;
            }
        }
        !receivers.is_empty() && self.send_handoff(&receivers, &[], true).await
    }

    async fn send_handoff(
        &self,
        receivers: &[SocketAddr],
        keys: &[HandoffKey],
        complete: bool,
    ) -> bool {
        let handoff = Handoff {
            from: self.holder(),
            keys: keys.to_vec(),
            complete,
        };
        let requests = receivers.iter().map(|peer| {
            self.links
                .send::<_, HandoffAck>(*peer, HANDOFF_PATH, &handoff)
        });
        join_all(requests).await.iter().all(crate::Result::is_ok)
    }

    /// Accepts keys of a leaving sidecar.
    #[must_use]
    pub fn accept_handoff(&self, handoff: &Handoff) -> HandoffAck {
        let now = Instant::now();
        let mut memory = self.memory();
        for handed in &handoff.keys {
            memory.record_intent(now, &handed.key, handed.holder);
        }
        drop(memory);
        if handoff.complete {
            self.handoffs.add(handoff.from.sidecar);
        }
        HandoffAck
    }

    fn peers(&self, service: &Service, leaving: &[SocketAddr]) -> Vec<Peer> {
        let me = self.board.settings.identity();
        sidecars::others(&self.board.roster(), service, me, leaving, Instant::now())
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a request with a key proceeds.
enum Admission {
    Run,
    Wait,
    Replay(Arc<StoredResponse>),
}

/// A run of a key, which is in doubt if this is dropped before the run is settled.
struct Run {
    keys: Arc<Deduplicator>,
    key: IdempotencyKey,
    settled: bool,
}

impl Run {
    async fn settle(
        mut self,
        result: Result<Response<Body>, Reason>,
    ) -> Result<Response<Body>, Reason> {
        match result {
            Ok(response) => {
                let (state, response) = store_response(response).await;
                self.end(Some(state));
                response
            }
            Err(reason) => {
                let state = (reason.outcome() == Outcome::Unknown).then_some(State::InDoubt);
                self.end(state);
                Err(reason)
            }
        }
    }

    fn end(&mut self, state: Option<State>) {
        self.settled = true;
        let mut memory = self.keys.memory();
        match state {
            Some(state) => memory.insert(Instant::now(), &self.key, state),
            None => memory.remove(&self.key),
        }
        drop(memory);
        self.keys.run_ended.send_modify(|count| *count += 1);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.settled {
            self.end(Some(State::InDoubt));
        }
    }
}
