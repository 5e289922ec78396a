//! Carries out the guards of idempotency keys at a gate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Response, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::sync::watch;
use volo_http::body::Body;

use crate::board::Board;
use crate::claim::Claims;
use crate::document::Guard;
use crate::gate::{Gate, Received};
use crate::keys::{Answer, Holder, Memory, Own, Ownership, Peer, State, ownership, proven};
use crate::log::Log;
use crate::member::Stage;
use crate::outcome::{Fate, Reason};
use crate::peer::Links;
use crate::units::{CallKey, Millis, Service};
use crate::wire::{Note, Noted};

/// Path of a [`Note`].
pub const NOTE: &str = "/control/note";
/// Largest answer that is kept to be given again, in bytes.
const KEPT_ANSWER: usize = 64 << 10;

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
        }
    }

    /// Notes that this address belonged to another daemon not long ago.
    pub fn set_lived(&self) {
        self.lived.store(true, Ordering::Release);
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.memory().len()
    }

    /// Answers another gate that is about to run a key.
    #[must_use]
    pub fn note(&self, note: &Note) -> Noted {
        let known = self.memory().note(Instant::now(), &note.key, note.holder);
        let lived = self.lived.load(Ordering::Acquire);
        Noted {
            known,
            age: Millis::from(self.born.elapsed()),
            lived,
        }
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
        gate: &Arc<Gate>,
    ) -> Result<Response<Body>, Reason> {
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
        let (keys, gate) = (Arc::clone(self), Arc::clone(gate));
        let task = tokio::spawn(async move {
            let result = match received.guard() {
                Guard::Memory => keys.run_noted(&key, received, &gate).await,
                Guard::Claim => keys.run_claimed(&key, received, &gate).await,
            };
            run.settle(result).await
        });
        task.await.unwrap_or(Err(Reason::Broken))
    }

    async fn run_noted(
        &self,
        key: &CallKey,
        received: Received,
        gate: &Gate,
    ) -> Result<Response<Body>, Reason> {
        self.prove(received.service(), key).await?;
        gate.work(received).await
    }

    async fn run_claimed(
        &self,
        key: &CallKey,
        received: Received,
        gate: &Gate,
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
        let result = gate.work(received).await;
        if let Err(reason) = &result
            && reason.fate() == Fate::NotRun
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
    async fn prove(&self, service: &Service, key: &CallKey) -> Result<(), Reason> {
        let own = Own {
            address: self.board.settings.identity(),
            age: self.born.elapsed(),
            lived: self.lived.load(Ordering::Acquire),
        };
        let span = self.board.settings.key_memory_ms.duration();
        let peers = self.peers(service);
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
        let asking = survivors
            .iter()
            .map(|peer| self.links.send::<_, Noted>(*peer, NOTE, note));
        let answers: crate::Result<Vec<Noted>> = join_all(asking).await.into_iter().collect();
        answers.map_err(|_| Reason::KeyInDoubt)
    }

    /// The other gates of a service, those that went not long ago included.
    fn peers(&self, service: &Service) -> Vec<Peer> {
        let now = Instant::now();
        let me = self.board.settings.identity();
        let roster = self.board.roster();
        let offers = |offer: &Option<crate::member::Offer>| {
            offer
                .as_ref()
                .is_some_and(|offer| offer.service == *service)
        };
        let live = roster
            .members
            .iter()
            .filter(|m| offers(&m.offer) && m.peer != me);
        let live = live.filter(|m| m.stage == Stage::Serving);
        let live = live.map(|m| Peer {
            address: m.peer,
            gone: None,
        });
        let gone = roster
            .gone
            .iter()
            .filter(|departed| offers(&departed.member.offer));
        let gone = gone.map(|departed| Peer {
            address: departed.member.peer,
            gone: Some(now.saturating_duration_since(departed.since)),
        });
        live.chain(gone).collect()
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
                let state = (reason.fate() == Fate::Unknown).then_some(State::Doubt);
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

/// Keeps an answer, when it is small enough to be given again.
async fn keep(answered: Response<Body>) -> (State, Result<Response<Body>, Reason>) {
    let length = answered.headers().get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|v| v.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_none_or(|length| length > KEPT_ANSWER) {
        return (State::Doubt, Ok(answered));
    }
    let (parts, body) = answered.into_parts();
    match Limited::new(body, KEPT_ANSWER).collect().await {
        Ok(body) => {
            let answer = Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            };
            let answer = Arc::new(answer);
            let again = response(&answer);
            (State::Done(answer), Ok(again))
        }
        Err(_) => (State::Doubt, Err(Reason::Broken)),
    }
}

fn response(answer: &Answer) -> Response<Body> {
    let body: Bytes = answer.body.clone();
    let mut response = Response::new(Body::from_body(Full::new(body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers.clone();
    response
}
