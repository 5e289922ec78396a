//! Callers that call at random times, and what they collect.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use jackdawpulley::calls::outcome::{OUTCOME, REASON};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::calls::history::{Attempt, Outcome};
use crate::measure::converge::as_f64;
use crate::rig::session::{Answer, Failure, Session};
use crate::stand_in::target::Echo;

/// Mean time that a target works on a call, in milliseconds.
pub const WORK_MS: f64 = 200.0;
/// Longest time that a target works on a call, in milliseconds.
const MAX_WORK_MS: f64 = 1_600.0;
/// Time that a caller waits for an answer; above every time-out of a route.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Tries of a caller that repeats a key.
const KEY_TRIES: usize = 3;

/// One kind of call that callers make.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its path.
    pub path: &'static str,
    /// Whether it may run once at most.
    pub once: bool,
    /// Whether a person waits for it.
    pub interactive: bool,
    /// Calls a second, over all sessions.
    pub rate: f64,
    /// Sessions that make them.
    pub sessions: usize,
}

/// What callers collect.
#[derive(Debug)]
pub struct Record {
    /// Every try.
    pub tries: Mutex<Vec<Attempt>>,
    /// By kind.
    pub times: Vec<Mutex<Times>>,
    /// When callers stop sending.
    until: Instant,
    names: AtomicU64,
}

/// The calls of one kind.
#[derive(Debug)]
pub struct Times {
    /// Calls sent.
    pub sent: u64,
    /// Times to a whole answer, in microseconds.
    pub answered: Histogram<u64>,
    /// Answers that came while callers were sending: what a span of time has room for can only be
    /// compared with what came in it.
    pub inside: u64,
}

/// One caller with one session.
#[derive(Debug)]
pub struct Caller {
    /// What it calls.
    pub kind: Kind,
    /// Place of its kind in the record.
    pub kind_index: usize,
    /// The daemon that it begins with.
    pub ingress: usize,
    /// All daemons.
    pub ingresses: Arc<Vec<SocketAddr>>,
    /// What callers collect.
    pub record: Arc<Record>,
    /// Daemons that were killed.
    pub killed: Arc<Mutex<Vec<SocketAddr>>>,
    /// Draws times and sizes.
    pub rng: SmallRng,
}

impl Caller {
    /// Calls at random times, as fast on average as its kind asks for.
    pub async fn run(mut self, length: Duration) {
        let mean_s = as_f64(self.kind.sessions as u64) / self.kind.rate;
        let mut session = Session::new(self.ingresses[self.ingress]);
        let began = Instant::now();
        let mut due = began;
        loop {
            due += Duration::from_secs_f64(mean_s * -self.rng.random_range(f64::EPSILON..1.0).ln());
            if due - began >= length {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
            self.call(&mut session).await;
        }
    }

    /// Makes one call; repeats its key elsewhere while its fate is unknown.
    async fn call(&mut self, session: &mut Session) {
        let name = format!("r{}", self.record.names.fetch_add(1, Ordering::Relaxed));
        // Half of the calls that may run once carry a key.
        let keyed = self.kind.once && self.rng.random_bool(0.5);
        let work = (-WORK_MS * self.rng.random_range(f64::EPSILON..1.0).ln()).min(MAX_WORK_MS);
        let work = format!("{work:.0}");
        let began = Instant::now();
        let record = Arc::clone(&self.record);
        let times = &record.times[self.kind_index];
        times.lock().unwrap_or_else(PoisonError::into_inner).sent += 1;
        for _ in 0..if keyed { KEY_TRIES } else { 1 } {
            let (told, reason) = self.attempt(session, &name, &work, keyed).await;
            let attempt = Attempt {
                request: name.clone(),
                once: self.kind.once,
                told,
                reason,
            };
            self.record
                .tries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(attempt);
            match told {
                Outcome::Answered => {
                    let took = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                    times.inside += u64::from(Instant::now() < record.until);
                    let _ = times.answered.record(took);
                    return;
                }
                Outcome::Unknown | Outcome::Cut | Outcome::CutByKill => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    self.use_next_ingress(session);
                }
                _ => return,
            }
        }
    }

    async fn attempt(
        &mut self,
        session: &mut Session,
        name: &str,
        work: &str,
        keyed: bool,
    ) -> (Outcome, String) {
        let mut headers = vec![("x-request", name), ("x-work-ms", work), ("x-size", "300")];
        if keyed {
            headers.push(("idempotency-key", name));
        }
        // A daemon that refuses connections has seen nothing; another one is tried.
        for _ in 0..self.ingresses.len() {
            let method = if self.kind.once {
                Method::POST
            } else {
                Method::GET
            };
            let request = Session::request(method, self.kind.path, &headers, "{}");
            match session.send(request, TIMEOUT).await {
                Ok(answer) => {
                    if answer.closes_connection() {
                        self.use_next_ingress(session);
                    }
                    return (classify(&answer, name), answer.header(REASON).to_owned());
                }
                Err(Failure::Refused) => self.use_next_ingress(session),
                Err(Failure::Silent) => return (Outcome::Silent, String::new()),
                Err(Failure::Cut(how)) => {
                    let killed = self.killed.lock().unwrap_or_else(PoisonError::into_inner);
                    let by_kill = killed.contains(&self.ingresses[self.ingress]);
                    drop(killed);
                    self.use_next_ingress(session);
                    return (
                        if by_kill {
                            Outcome::CutByKill
                        } else {
                            Outcome::Cut
                        },
                        how,
                    );
                }
            }
        }
        (Outcome::NotRun, "no daemon listens".to_owned())
    }

    fn use_next_ingress(&mut self, session: &mut Session) {
        self.ingress = (self.ingress + 1) % self.ingresses.len();
        session.reconnect_to(self.ingresses[self.ingress]);
    }
}

/// Reads an answer: whose it is, and what it says.
fn classify(answer: &Answer, name: &str) -> Outcome {
    match answer.header(OUTCOME) {
        "not-run" => Outcome::NotRun,
        "unknown" => Outcome::Unknown,
        "answered" => {
            let echo = serde_json::from_slice::<Echo>(&answer.body).ok();
            let own = echo.is_some_and(|echo| echo.request == name && echo.padding.len() == 300);
            if own {
                Outcome::Answered
            } else {
                Outcome::Wrong
            }
        }
        _ => Outcome::Wrong,
    }
}

impl Record {
    /// A record of callers that send until `until`.
    ///
    /// # Panics
    ///
    /// Never: the histograms' precision is fixed.
    #[must_use]
    pub fn new(kinds: &[Kind], until: Instant) -> Self {
        let times = || Times {
            sent: 0,
            answered: Histogram::new(3).expect("three digits are valid"),
            inside: 0,
        };
        Self {
            tries: Mutex::default(),
            times: kinds.iter().map(|_| Mutex::new(times())).collect(),
            until,
            names: AtomicU64::new(0),
        }
    }
}
