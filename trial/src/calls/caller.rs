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

use crate::calls::history::{Told, Try};
use crate::measure::converge::as_f64;
use crate::rig::session::{Answer, Failure, Session};
use crate::stand_in::target::Echo;

/// Mean time that a target works on a call, in milliseconds.
pub const WORK_MS: f64 = 200.0;
/// Longest time that a target works on a call, in milliseconds.
const MAX_WORK_MS: f64 = 1_600.0;
/// Time that a caller waits for an answer; above every time-out of a route.
const PATIENCE: Duration = Duration::from_secs(8);
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
    pub tries: Mutex<Vec<Try>>,
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
    pub door: usize,
    /// All daemons.
    pub doors: Arc<Vec<SocketAddr>>,
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
        let mut session = Session::new(self.doors[self.door]);
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
            let attempt = Try {
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
                Told::Answered => {
                    let took = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                    times.inside += u64::from(Instant::now() < record.until);
                    let _ = times.answered.record(took);
                    return;
                }
                Told::Unknown | Told::Cut | Told::CutByKill => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    self.next_door(session);
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
    ) -> (Told, String) {
        let mut headers = vec![("x-request", name), ("x-work-ms", work), ("x-size", "300")];
        if keyed {
            headers.push(("idempotency-key", name));
        }
        // A daemon that refuses connections has seen nothing; another one is tried.
        for _ in 0..self.doors.len() {
            let method = if self.kind.once {
                Method::POST
            } else {
                Method::GET
            };
            let request = Session::request(method, self.kind.path, &headers, "{}");
            match session.send(request, PATIENCE).await {
                Ok(answer) => {
                    if answer.closes_connection() {
                        self.next_door(session);
                    }
                    return (judge(&answer, name), answer.header(REASON).to_owned());
                }
                Err(Failure::Refused) => self.next_door(session),
                Err(Failure::Silent) => return (Told::Silent, String::new()),
                Err(Failure::Cut(how)) => {
                    let killed = self.killed.lock().unwrap_or_else(PoisonError::into_inner);
                    let by_kill = killed.contains(&self.doors[self.door]);
                    drop(killed);
                    self.next_door(session);
                    return (if by_kill { Told::CutByKill } else { Told::Cut }, how);
                }
            }
        }
        (Told::NotRun, "no daemon listens".to_owned())
    }

    fn next_door(&mut self, session: &mut Session) {
        self.door = (self.door + 1) % self.doors.len();
        session.reconnect_to(self.doors[self.door]);
    }
}

/// Reads an answer: whose it is, and what it says.
fn judge(answer: &Answer, name: &str) -> Told {
    match answer.header(OUTCOME) {
        "not-run" => Told::NotRun,
        "unknown" => Told::Unknown,
        "answered" => {
            let echo = serde_json::from_slice::<Echo>(&answer.body).ok();
            let own = echo.is_some_and(|echo| echo.request == name && echo.padding.len() == 300);
            if own { Told::Answered } else { Told::Wrong }
        }
        _ => Told::Wrong,
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
