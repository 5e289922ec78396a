//! Callers that send requests at random times, and the record of their results.

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

/// Mean processing time of a call at its target, in milliseconds.
pub const WORK_MS: f64 = 200.0;
/// Longest processing time of a call at its target, in milliseconds.
const MAX_WORK_MS: f64 = 1_600.0;
/// Time that a caller waits for a response; longer than the time-out of every route.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Most attempts of a call with an idempotency key.
const KEY_TRIES: usize = 3;

/// Kind of call.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Path of the request.
    pub path: &'static str,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Whether the route's class is interactive.
    pub interactive: bool,
    /// Calls per second, over all sessions.
    pub rate: f64,
    /// Number of sessions that make these calls.
    pub sessions: usize,
}

/// Results of all callers.
#[derive(Debug)]
pub struct Record {
    /// All attempts.
    pub tries: Mutex<Vec<Attempt>>,
    /// Response times of each kind of call.
    pub times: Vec<Mutex<Times>>,
    /// Time at which callers stop sending.
    until: Instant,
    names: AtomicU64,
}

/// Response times of one kind of call.
#[derive(Debug)]
pub struct Times {
    /// Calls sent.
    pub sent: u64,
    /// Times to a complete response, in microseconds.
    pub answered: Histogram<u64>,
    /// Number of responses that arrived while callers were still sending. Only these compare with the
    /// capacity of that time span.
    pub inside: u64,
}

/// Caller with one session.
#[derive(Debug)]
pub struct Caller {
    /// Kind of call that it makes.
    pub kind: Kind,
    /// Index of the kind in the record.
    pub kind_index: usize,
    /// Index of the daemon that it sends to.
    pub ingress: usize,
    /// Addresses of all daemons.
    pub ingresses: Arc<Vec<SocketAddr>>,
    /// Results of all callers.
    pub record: Arc<Record>,
    /// Addresses of daemons that the trial has killed.
    pub killed: Arc<Mutex<Vec<SocketAddr>>>,
    /// Random generator of pauses, keys and processing times.
    pub rng: SmallRng,
}

impl Caller {
    /// Makes calls at random times, at the average rate of the kind.
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

    /// Makes one call; while its outcome is unknown, a call with a key is repeated through another
    /// daemon.
    async fn call(&mut self, session: &mut Session) {
        let name = format!("r{}", self.record.names.fetch_add(1, Ordering::Relaxed));
        // Half of the calls that must run at most once carry a key.
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
        // A daemon that refuses the connection has not received the request, so another one is tried.
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

/// Outcome that a response reports, checked against the request's name.
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
    /// Creates the record of callers that send until `until`.
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
