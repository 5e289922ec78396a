//! Carries out the guards of idempotency keys at a gate.

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
use crate::idempotency::gates::{self, Heritage};
use crate::idempotency::keys::{
    Answer, Handed, Holder, Memory, Own, Ownership, Peer, Standing, State, ownership, proven,
};
use crate::idempotency::keys::{Legacy, Note, Noted, Taken};
use crate::idempotency::replay::{keep, response};
use crate::peer::Links;
use crate::units::{CallKey, Millis, Service};

/// Path of a [`Note`].
pub const NOTE: &str = "/control/note";
/// Path of a [`Legacy`].
pub const LEGACY: &str = "/control/legacy";
/// Keys in one [`Legacy`].
const LEGACY_PART: usize = 1_000;

/// The keys of one gate.
#[derive(Debug)]
pub struct Keys {
    board: Arc<Board>,
    links: Arc<Links>,
    log: Log,
    memory: Mutex<Memory>,
    /// Sorted by service.
    claims: Mutex<Vec<(Service, Arc<Claims>)>>,
    /// Told whenever a run ends.
    ended: watch::Sender<u64>,
    born: Instant,
    life: u64,
    lived: AtomicBool,
    /// Set once the memory has been handed over.
    closed: AtomicBool,
    /// Service of the keys.
    service: Mutex<Option<Service>>,
    heritage: Heritage,
}

impl Keys {
    /// An empty memory.
    #[must_use]
    pub fn new(board: Arc<Board>, links: Arc<Links>, log: Log) -> Self {
        let span = board.settings.key_memory_ms.duration();
        Self {
            board,
            links,
            log,
            memory: Mutex::new(Memory::new(span)),
            claims: Mutex::default(),
            ended: watch::Sender::new(0),
            born: Instant::now(),
            life: rand::random(),
            lived: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            service: Mutex::default(),
            heritage: Heritage::default(),
        }
    }

    /// Notes whether an earlier daemon at this address was lost with its keys.
    pub fn set_lived(&self, lost: bool) {
        self.lived.store(lost, Ordering::Release);
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.memory().len()
    }

    /// Answers another gate that is about to run a key; nothing once this one has handed over.
    #[must_use]
    pub fn note(&self, note: &Note) -> Option<Noted> {
        if self.closed.load(Ordering::Acquire) {
            return None;
        }
        // A gate that notes keys serves again.
        self.heritage.serves_again(note.holder.gate);
        let known = self.memory().note(Instant::now(), &note.key, note.holder);
        let lived = self.lived.load(Ordering::Acquire);
        let age = Millis::from(self.born.elapsed());
        Some(Noted { known, age, lived })
    }

    /// Runs a request unless its key has run, or may have.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn guard(
        self: &Arc<Self>,
        key: CallKey,
        received: Received,
        work: &Arc<Executor>,
    ) -> Result<Response<Body>, Reason> {
        let service = received.service().clone();
        *self.service.lock().unwrap_or_else(PoisonError::into_inner) = Some(service);
        loop {
            let mut ended = self.ended.subscribe();
            match self.begin(&key)? {
                Begin::Run => break,
                Begin::Repeat(answer) => return Ok(response(&answer)),
                Begin::Join => {
                    let waiting =
                        tokio::time::timeout_at(received.deadline().into(), ended.changed());
                    if waiting.await.is_err() {
                        return Err(Reason::TimedOut);
                    }
                }
            }
        }
        // The run goes on when its caller leaves, so that a repeat meets its outcome.
        let run = Run {
            keys: Arc::clone(self),
            key: key.clone(),
            settled: false,
        };
        let (keys, work) = (Arc::clone(self), Arc::clone(work));
        let task = tokio::spawn(async move {
            let result = match received.guard() {
                Guard::Memory => keys.run_noted(&key, received, &work).await,
                Guard::Claim => keys.run_claimed(&key, received, &work).await,
            };
            run.settle(result).await
        });
        task.await.unwrap_or(Err(Reason::Broken))
    }

    async fn run_noted(
        &self,
        key: &CallKey,
        received: Received,
        work: &Executor,
    ) -> Result<Response<Body>, Reason> {
        self.prove(&received, key).await?;
        work.run(received).await
    }

    async fn run_claimed(
        &self,
        key: &CallKey,
        received: Received,
        work: &Executor,
    ) -> Result<Response<Body>, Reason> {
        let claims = self.claims(received.service());
        let patience = received
            .deadline()
            .saturating_duration_since(Instant::now());
        // A claim without an answer in time may still be written; it is given back then, since
        // its key has not run.
        let claiming = claims.claim(key);
        let claim = tokio::time::timeout(patience, claiming).await;
        let claim = claim.unwrap_or(Err(Reason::LogAway))?;
        let result = work.run(received).await;
        if let Err(reason) = &result
            && reason.outcome() == Outcome::NotRun
        {
            claims.release(claim);
        }
        result
    }

    /// The claims of a service, begun when first needed.
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

    /// This gate in its present life.
    fn holder(&self) -> Holder {
        Holder {
            gate: self.board.settings.identity(),
            life: self.life,
        }
    }

    fn begin(&self, key: &CallKey) -> Result<Begin, Reason> {
        let now = Instant::now();
        let mut memory = self.memory();
        match memory.recall(now, key) {
            None => {
                memory.remember(now, key, State::Running);
                Ok(Begin::Run)
            }
            Some(State::Running) => Ok(Begin::Join),
            Some(State::Done(answer)) => Ok(Begin::Repeat(Arc::clone(answer))),
            Some(State::Doubt) => Err(Reason::KeyInDoubt),
            Some(State::Noted(holder)) => {
                let there = self.board.roster().member(holder.gate).is_some();
                Err(if there {
                    Reason::Moved
                } else {
                    Reason::KeyInDoubt
                })
            }
        }
    }

    /// Makes sure that nobody else ran the key, and that this run will be known.
    async fn prove(&self, received: &Received, key: &CallKey) -> Result<(), Reason> {
        let (service, leaving) = (received.service(), received.draining());
        let own = Own {
            address: self.board.settings.identity(),
            age: self.born.elapsed(),
            lived: self.lived.load(Ordering::Acquire),
        };
        let span = self.board.settings.key_memory_ms.duration();
        let peers = self.peers(service, leaving);
        let note = Note {
            key: key.clone(),
            holder: self.holder(),
        };
        match ownership(key, own, &peers, span) {
            Ownership::Moved => Err(Reason::Moved),
            Ownership::Doubt => Err(Reason::KeyInDoubt),
            Ownership::Alone => Err(Reason::NoWitness),
            Ownership::Run(witnesses) if witnesses.is_empty() => Ok(()),
            Ownership::Run(witnesses) => self.tell_one(&witnesses, &note).await,
            Ownership::Ask { survivors, losses } => {
                let answers = self.tell_all(&survivors, &note).await?;
                let first = proven(own, losses, &answers, span);
                if first {
                    Ok(())
                } else {
                    Err(Reason::KeyInDoubt)
                }
            }
        }
    }

    async fn tell_one(&self, witnesses: &[SocketAddr], note: &Note) -> Result<(), Reason> {
        for witness in witnesses {
            match self.links.send::<_, Noted>(*witness, NOTE, note).await {
                Ok(noted) if noted.known => return Err(Reason::KeyInDoubt),
                Ok(_) => return Ok(()),
                Err(_) => {}
            }
        }
        Err(Reason::NoWitness)
    }

    async fn tell_all(&self, survivors: &[SocketAddr], note: &Note) -> Result<Vec<Noted>, Reason> {
        let asking = survivors.iter().map(|peer| async move {
            (*peer, self.links.send::<_, Noted>(*peer, NOTE, note).await)
        });
        let mut answers = Vec::new();
        for (peer, answer) in join_all(asking).await {
            match answer {
                Ok(noted) => answers.push(noted),
                // It has handed over what it knew, and this gate remembers it.
                Err(_) if self.heritage.covers(peer) => {}
                Err(_) => return Err(Reason::KeyInDoubt),
            }
        }
        Ok(answers)
    }

    /// Hands everything remembered to the other gates of the service; whether all took it.
    ///
    /// From now on no note is taken: it would be lost with this gate.
    pub async fn hand_over(&self) -> bool {
        self.closed.store(true, Ordering::Release);
        let keys = self.memory().hand_over(Instant::now(), self.holder());
        let service = self
            .service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(service) = service.filter(|_| !keys.is_empty()) else {
            return true;
        };
        let peers = self.peers(&service, &[]);
        let stay = peers
            .iter()
            .filter(|peer| peer.standing == Standing::Serving);
        let stay: Vec<SocketAddr> = stay.map(|peer| peer.address).collect();
        for part in keys.chunks(LEGACY_PART) {
            if !self.bequeath(&stay, part, false).await {
                return false;
            }
        }
        !stay.is_empty() && self.bequeath(&stay, &[], true).await
    }

    async fn bequeath(&self, stay: &[SocketAddr], keys: &[Handed], complete: bool) -> bool {
        let legacy = Legacy {
            from: self.holder(),
            keys: keys.to_vec(),
            complete,
        };
        let sending = stay
            .iter()
            .map(|peer| self.links.send::<_, Taken>(*peer, LEGACY, &legacy));
        join_all(sending).await.iter().all(crate::Result::is_ok)
    }

    /// Takes what a leaving gate remembered.
    #[must_use]
    pub fn inherit(&self, legacy: &Legacy) -> Taken {
        let now = Instant::now();
        let mut memory = self.memory();
        for handed in &legacy.keys {
            memory.note(now, &handed.key, handed.holder);
        }
        drop(memory);
        if legacy.complete {
            self.heritage.took_over(legacy.from.gate);
        }
        Taken
    }

    fn peers(&self, service: &Service, leaving: &[SocketAddr]) -> Vec<Peer> {
        let me = self.board.settings.identity();
        gates::others(&self.board.roster(), service, me, leaving, Instant::now())
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What becomes of a request with a key.
enum Begin {
    Run,
    Join,
    Repeat(Arc<Answer>),
}

/// A run of a key; it is in doubt when dropped before its end.
struct Run {
    keys: Arc<Keys>,
    key: CallKey,
    settled: bool,
}

impl Run {
    async fn settle(
        mut self,
        result: Result<Response<Body>, Reason>,
    ) -> Result<Response<Body>, Reason> {
        match result {
            Ok(answered) => {
                let (state, answered) = keep(answered).await;
                self.end(Some(state));
                answered
            }
            Err(reason) => {
                let state = (reason.outcome() == Outcome::Unknown).then_some(State::Doubt);
                self.end(state);
                Err(reason)
            }
        }
    }

    fn end(&mut self, state: Option<State>) {
        self.settled = true;
        let mut memory = self.keys.memory();
        match state {
            Some(state) => memory.remember(Instant::now(), &self.key, state),
            None => memory.forget(&self.key),
        }
        drop(memory);
        self.keys.ended.send_modify(|count| *count += 1);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.settled {
            self.end(Some(State::Doubt));
        }
    }
}
