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
//! let (mut baseline, mut slow, fast) = (Baseline::default(), Profile::new(now), Profile::new(now));
//! for _ in 0..50 {
//!     baseline.record(Duration::from_millis(100), 1.0, 1_000);
//!     slow.record_response(now, Duration::from_millis(300), &baseline);
//! }
//! let none = Outstanding::default();
//! let expected = |profile: &Profile| profile.expected_ms(now, none, 18, &baseline);
//! assert!(expected(&slow) > 2.0 * expected(&fast));
//! ```

use std::time::{Duration, Instant};

/// Weight of one answer in a route's averages: some fifty answers, under a second of a busy route.
const BASELINE_WEIGHT: f64 = 0.02;
/// Weight of one answer in an upstream's pace: some twenty answers, so that a target that turns
/// slow is noticed within about as many requests, and one long request does not look like it.
const SLOWDOWN_WEIGHT: f64 = 0.08;
/// Weight of one answer or failure in an upstream's reliability.
const RELIABILITY_WEIGHT: f64 = 0.08;
/// Bounds of a single answer's ratio to the typical time.
const RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);
/// Time in which what was learnt of an upstream fades to a third. Without fresh answers it has to:
/// a target that got a bad name gets no work, and could never show that it is well again.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Time in which a report of load fades to a third, being overtaken by events.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(700);
/// Lowest reliability that is reckoned with.
const MIN_RELIABILITY: f64 = 0.15;
/// What an own request that is younger than the last report counts: others send as well.
const SHARED_LOAD_FACTOR: f64 = 2.0;
/// Part of the slots from which on a target may slow down.
const SATURATION_KNEE: f64 = 0.75;
/// Requests under way whose age counts half: one or two of them may just be long.
const HALF_WEIGHT_COUNT: f64 = 3.0;
/// Time that a route is thought to need before its first answer.
const INITIAL_PROCESSING_MS: f64 = 100.0;

/// What the requests of one route usually need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// Time at a target of ordinary pace, in milliseconds.
    pub processing_ms: f64,
    /// Size of the answer, in bytes.
    pub response_bytes: f64,
    samples: u32,
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            processing_ms: INITIAL_PROCESSING_MS,
            response_bytes: 0.0,
            samples: 0,
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
    pub fn record(&mut self, processing: Duration, slowdown: f64, bytes: usize) {
        self.samples = self.samples.saturating_add(1);
        // The first answers count in full, so that the guess is soon forgotten.
        let weight = (1.0 / f64::from(self.samples)).max(BASELINE_WEIGHT);
        let processing_ms = processing.as_secs_f64() * 1_000.0 / slowdown;
        self.processing_ms += weight * (processing_ms - self.processing_ms);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.response_bytes += weight * (bytes - self.response_bytes);
    }
}

/// Requests of one daemon that are under way at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// How many there are.
    pub count: u32,
    /// Time since they were sent, on the mean.
    pub mean_age: Duration,
}

impl Outstanding {
    /// The factor that was learnt from answers, raised by what has not been answered yet.
    ///
    /// Guards against a target that turns many times slower: its answers, which would tell, take as
    /// long to come, and until then it looks as quick as before and draws its share of requests.
    fn adjusted_slowdown(self, slowdown: f64, baseline: &Baseline) -> f64 {
        let age_ratio = self.mean_age.as_secs_f64() * 1_000.0 / baseline.processing_ms.max(1.0);
        let weight = f64::from(self.count) / (f64::from(self.count) + HALF_WEIGHT_COUNT);
        slowdown + (age_ratio - slowdown).max(0.0) * weight
    }
}

/// How one upstream does.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Logarithm of its time in relation to the typical one.
    ln_slowdown: f64,
    /// Part of the requests that it answers well.
    reliability: f64,
    updated: Instant,
    /// Requests in flight there by its own word, and own ones among them.
    load: f64,
    own_at_report: u32,
    reported_at: Instant,
}

impl Profile {
    /// An upstream of which nothing is known.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            ln_slowdown: 0.0,
            reliability: 1.0,
            updated: now,
            load: 0.0,
            own_at_report: 0,
            reported_at: now,
        }
    }

    /// Notes its own word on its load; `own` requests of this daemon are in flight there.
    pub fn record_load(&mut self, now: Instant, load: u32, own: u32) {
        self.load = f64::from(load);
        self.own_at_report = own;
        self.reported_at = now;
    }

    /// Notes a good answer after `work` at its target.
    pub fn record_response(&mut self, now: Instant, processing: Duration, baseline: &Baseline) {
        self.decay(now);
        let ratio = processing.as_secs_f64() * 1_000.0 / baseline.processing_ms.max(1.0);
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.ln_slowdown += SLOWDOWN_WEIGHT * (ratio.ln() - self.ln_slowdown);
        self.reliability += RELIABILITY_WEIGHT * (1.0 - self.reliability);
    }

    /// Notes a refusal, a failure or a fault: being quick with those does not count as pace.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.reliability -= RELIABILITY_WEIGHT * self.reliability;
    }

    /// Its time in relation to the typical one.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        (self.ln_slowdown * decay_factor(now, self.updated, DECAY_TIME)).exp()
    }

    /// Time until an answer, in milliseconds, with requests of this daemon under way there.
    #[must_use]
    pub fn expected_ms(
        &self,
        now: Instant,
        own: Outstanding,
        slots: u32,
        baseline: &Baseline,
    ) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = self.estimated_load(now, own.count);
        let processing_ms =
            baseline.processing_ms * own.adjusted_slowdown(self.slowdown(now), baseline);
        let utilization = load / slots;
        let contention =
            1.0 + (utilization.min(1.0) - SATURATION_KNEE).max(0.0) / (1.0 - SATURATION_KNEE);
        let wait_ms = processing_ms * (load + 1.0 - slots).max(0.0) / slots;
        let failure_rate = (1.0 - self.reliability) * decay_factor(now, self.updated, DECAY_TIME);
        (processing_ms * contention + wait_ms) / (1.0 - failure_rate).max(MIN_RELIABILITY)
    }

    /// Requests in flight there: its last word, as far as it still holds, and what was sent since.
    fn estimated_load(&self, now: Instant, own: u32) -> f64 {
        let sent_since = f64::from(own.saturating_sub(self.own_at_report)) * SHARED_LOAD_FACTOR;
        let reported = self.load * decay_factor(now, self.reported_at, REPORT_DECAY_TIME);
        (reported + sent_since).max(f64::from(own))
    }

    fn decay(&mut self, now: Instant) {
        let factor = decay_factor(now, self.updated, DECAY_TIME);
        self.ln_slowdown *= factor;
        self.reliability = 1.0 - (1.0 - self.reliability) * factor;
        self.updated = now;
    }
}

fn decay_factor(now: Instant, since: Instant, time_constant: Duration) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    (-age / time_constant.as_secs_f64()).exp()
}
