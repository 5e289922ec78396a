//! How long a request will take at an upstream, learnt from answers.
//!
//! Targets of one service differ in speed, some slow down when they are nearly full, and some
//! refuse or fail for a spell. A [`Baseline`] holds what a route's requests usually need, a
//! [`Profile`] how an upstream compares with that, how full it is and how often it fails. Together
//! they give the time to expect, which [`pick`](crate::calls::pick) compares.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::latency::{Baseline, Outstanding, Profile};
//!
//! let now = Instant::now();
//! let (mut typical, mut slow, fast) = (Baseline::default(), Profile::new(now), Profile::new(now));
//! for _ in 0..50 {
//!     typical.record(Duration::from_millis(100), 1.0, 1_000);
//!     slow.record_response(now, Duration::from_millis(300), &typical);
//! }
//! let none = Outstanding::default();
//! let expected = |pace: &Profile| pace.expected_ms(now, none, 18, &typical);
//! assert!(expected(&slow) > 2.0 * expected(&fast));
//! ```

use std::time::{Duration, Instant};

/// Weight of one answer in a route's averages: some fifty answers, under a second of a busy route.
const TYPICAL_WEIGHT: f64 = 0.02;
/// Weight of one answer in an upstream's pace: some twenty answers, so that a target that turns
/// slow is noticed within about as many requests, and one long request does not look like it.
const PACE_WEIGHT: f64 = 0.08;
/// Weight of one answer or failure in an upstream's reliability.
const RELIABILITY_WEIGHT: f64 = 0.08;
/// Bounds of a single answer's ratio to the typical time.
const RATIO: (f64, f64) = (0.2, 8.0);
/// Time in which what was learnt of an upstream fades to a third. Without fresh answers it has to:
/// a target that got a bad name gets no work, and could never show that it is well again.
const FADING: Duration = Duration::from_secs(4);
/// Time in which a report of load fades to a third, being overtaken by events.
const REPORT_FADING: Duration = Duration::from_millis(700);
/// Lowest reliability that is reckoned with.
const LEAST_RELIABILITY: f64 = 0.15;
/// What an own request that is younger than the last report counts: others send as well.
const CROWD: f64 = 2.0;
/// Part of the slots from which on a target may slow down.
const KNEE: f64 = 0.75;
/// Requests under way whose age counts half: one or two of them may just be long.
const DOUBT: f64 = 3.0;
/// Time that a route is thought to need before its first answer.
const FIRST_GUESS_MS: f64 = 100.0;

/// What the requests of one route usually need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// Time at a target of ordinary pace, in milliseconds.
    pub processing_ms: f64,
    /// Size of the answer, in bytes.
    pub bytes: f64,
    answers: u32,
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            processing_ms: FIRST_GUESS_MS,
            bytes: 0.0,
            answers: 0,
        }
    }
}

impl Baseline {
    /// Time at a target of ordinary pace.
    #[must_use]
    pub fn processing(&self) -> Duration {
        Duration::from_secs_f64(self.processing_ms / 1_000.0)
    }

    /// Notes an answer of an upstream whose pace is `factor`.
    pub fn record(&mut self, work: Duration, factor: f64, bytes: usize) {
        self.answers = self.answers.saturating_add(1);
        // The first answers count in full, so that the guess is soon forgotten.
        let weight = (1.0 / f64::from(self.answers)).max(TYPICAL_WEIGHT);
        let work_ms = work.as_secs_f64() * 1_000.0 / factor;
        self.processing_ms += weight * (work_ms - self.processing_ms);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.bytes += weight * (bytes - self.bytes);
    }
}

/// Requests of one daemon that are under way at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// How many there are.
    pub count: u32,
    /// Time since they were sent, on the mean.
    pub age: Duration,
}

impl Outstanding {
    /// The factor that was learnt from answers, raised by what has not been answered yet.
    ///
    /// Guards against a target that turns many times slower: its answers, which would tell, take as
    /// long to come, and until then it looks as quick as before and draws its share of requests.
    fn raise(self, factor: f64, typical: &Baseline) -> f64 {
        let aged = self.age.as_secs_f64() * 1_000.0 / typical.processing_ms.max(1.0);
        let trust = f64::from(self.count) / (f64::from(self.count) + DOUBT);
        factor + (aged - factor).max(0.0) * trust
    }
}

/// How one upstream does.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Logarithm of its time in relation to the typical one.
    ln_factor: f64,
    /// Part of the requests that it answers well.
    reliability: f64,
    learnt: Instant,
    /// Requests in flight there by its own word, and own ones among them.
    load: f64,
    own: u32,
    reported: Instant,
}

impl Profile {
    /// An upstream of which nothing is known.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            ln_factor: 0.0,
            reliability: 1.0,
            learnt: now,
            load: 0.0,
            own: 0,
            reported: now,
        }
    }

    /// Notes its own word on its load; `own` requests of this daemon are in flight there.
    pub fn report(&mut self, now: Instant, load: u32, own: u32) {
        self.load = f64::from(load);
        self.own = own;
        self.reported = now;
    }

    /// Notes a good answer after `work` at its target.
    pub fn record_response(&mut self, now: Instant, work: Duration, typical: &Baseline) {
        self.fade(now);
        let ratio = work.as_secs_f64() * 1_000.0 / typical.processing_ms.max(1.0);
        let ratio = ratio.clamp(RATIO.0, RATIO.1);
        self.ln_factor += PACE_WEIGHT * (ratio.ln() - self.ln_factor);
        self.reliability += RELIABILITY_WEIGHT * (1.0 - self.reliability);
    }

    /// Notes a refusal, a failure or a fault: being quick with those does not count as pace.
    pub fn failed(&mut self, now: Instant) {
        self.fade(now);
        self.reliability -= RELIABILITY_WEIGHT * self.reliability;
    }

    /// Its time in relation to the typical one.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        (self.ln_factor * faded(now, self.learnt, FADING)).exp()
    }

    /// Time until an answer, in milliseconds, with requests of this daemon under way there.
    #[must_use]
    pub fn expected_ms(
        &self,
        now: Instant,
        own: Outstanding,
        slots: u32,
        typical: &Baseline,
    ) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = self.load(now, own.count);
        let work = typical.processing_ms * own.raise(self.slowdown(now), typical);
        let fill = load / slots;
        let crowded = 1.0 + (fill.min(1.0) - KNEE).max(0.0) / (1.0 - KNEE);
        let wait = work * (load + 1.0 - slots).max(0.0) / slots;
        let lost = (1.0 - self.reliability) * faded(now, self.learnt, FADING);
        (work * crowded + wait) / (1.0 - lost).max(LEAST_RELIABILITY)
    }

    /// Requests in flight there: its last word, as far as it still holds, and what was sent since.
    fn load(&self, now: Instant, own: u32) -> f64 {
        let since = f64::from(own.saturating_sub(self.own)) * CROWD;
        let said = self.load * faded(now, self.reported, REPORT_FADING);
        (said + since).max(f64::from(own))
    }

    fn fade(&mut self, now: Instant) {
        let rest = faded(now, self.learnt, FADING);
        self.ln_factor *= rest;
        self.reliability = 1.0 - (1.0 - self.reliability) * rest;
        self.learnt = now;
    }
}

fn faded(now: Instant, since: Instant, span: Duration) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    (-age / span.as_secs_f64()).exp()
}
