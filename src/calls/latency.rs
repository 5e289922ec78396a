//! Expected latency of a request at an upstream, estimated from earlier responses.
//!
//! Targets of one service differ in speed, some slow down near saturation, and some refuse or fail
//! requests for a while. A [`Baseline`] holds the usual processing time of a route, a [`Profile`]
//! the relative slowdown, the load and the reliability of one upstream. Together they give the
//! expected latency, which [`pick`](crate::calls::pick) compares.
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

/// Weight of one response in a route's averages: they cover about fifty responses, less than a
/// second on a busy route.
const BASELINE_WEIGHT: f64 = 0.02;
/// Weight of one response in an upstream's slowdown: it covers about twenty responses, so that a
/// target that becomes slow is detected within about as many, and not from one long request.
const SLOWDOWN_WEIGHT: f64 = 0.08;
/// Weight of one response or failure in an upstream's reliability.
const RELIABILITY_WEIGHT: f64 = 0.08;
/// Bounds of the ratio of one response's processing time to the baseline.
const RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);
/// Time constant with which the slowdown and the failure rate decay (to about a third). Without
/// decay, an upstream with a bad profile would get no requests and could never show its recovery.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Time constant with which a load report decays (to about a third), since the load changes.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(700);
/// Lower bound of the reliability, by which the expected latency is divided.
const MIN_RELIABILITY: f64 = 0.15;
/// Load that each own request sent since the last report stands for, since other daemons send
/// requests too.
const SHARED_LOAD_FACTOR: f64 = 2.0;
/// Utilization above which a target may slow down.
const SATURATION_KNEE: f64 = 0.75;
/// Number of outstanding requests at which their age has half its weight: one or two of them may
/// just be long.
const HALF_WEIGHT_COUNT: f64 = 3.0;
/// Assumed processing time of a route before its first response.
const INITIAL_PROCESSING_MS: f64 = 100.0;

/// Usual processing time and response size of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// Processing time at a target of average speed, in milliseconds.
    pub processing_ms: f64,
    /// Size of the response, in bytes.
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
    /// Processing time at a target of average speed.
    #[must_use]
    pub fn processing(&self) -> Duration {
        Duration::from_secs_f64(self.processing_ms / 1_000.0)
    }

    /// Records a response of an upstream with this `slowdown`.
    pub fn record(&mut self, processing: Duration, slowdown: f64, bytes: usize) {
        self.samples = self.samples.saturating_add(1);
        // The first responses are averaged with equal weight, which replaces the initial guess.
        let weight = (1.0 / f64::from(self.samples)).max(BASELINE_WEIGHT);
        let processing_ms = processing.as_secs_f64() * 1_000.0 / slowdown;
        self.processing_ms += weight * (processing_ms - self.processing_ms);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.response_bytes += weight * (bytes - self.response_bytes);
    }
}

/// Outstanding requests of this daemon at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// Number of requests.
    pub count: u32,
    /// Mean time since they were sent.
    pub mean_age: Duration,
}

impl Outstanding {
    /// Raises the slowdown learnt from responses by the age of outstanding requests.
    ///
    /// A target that becomes many times slower would otherwise keep its share of requests until
    /// its first slow responses arrive.
    fn adjusted_slowdown(self, slowdown: f64, baseline: &Baseline) -> f64 {
        let age_ratio = self.mean_age.as_secs_f64() * 1_000.0 / baseline.processing_ms.max(1.0);
        let weight = f64::from(self.count) / (f64::from(self.count) + HALF_WEIGHT_COUNT);
        slowdown + (age_ratio - slowdown).max(0.0) * weight
    }
}

/// Slowdown, reliability and load of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Natural logarithm of the slowdown.
    ln_slowdown: f64,
    /// Share of successful requests.
    reliability: f64,
    updated: Instant,
    /// Requests in flight there, as last reported.
    load: f64,
    /// Own requests outstanding there at the time of the report.
    own_at_report: u32,
    reported_at: Instant,
}

impl Profile {
    /// Creates the profile of an upstream without history.
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

    /// Records a load report; `own` requests of this daemon are outstanding there.
    pub fn record_load(&mut self, now: Instant, load: u32, own: u32) {
        self.load = f64::from(load);
        self.own_at_report = own;
        self.reported_at = now;
    }

    /// Records a successful response after `processing` at the target.
    pub fn record_response(&mut self, now: Instant, processing: Duration, baseline: &Baseline) {
        self.decay(now);
        let ratio = processing.as_secs_f64() * 1_000.0 / baseline.processing_ms.max(1.0);
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.ln_slowdown += SLOWDOWN_WEIGHT * (ratio.ln() - self.ln_slowdown);
        self.reliability += RELIABILITY_WEIGHT * (1.0 - self.reliability);
    }

    /// Records a refusal or failure. Its latency is ignored, so that failing fast does not make an
    /// upstream look fast.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.reliability -= RELIABILITY_WEIGHT * self.reliability;
    }

    /// Processing time relative to the baseline.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        (self.ln_slowdown * decay_factor(now, self.updated, DECAY_TIME)).exp()
    }

    /// Expected time until a response in milliseconds, given this daemon's outstanding requests.
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

    /// Estimated requests in flight: the decayed report plus what was sent since.
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
