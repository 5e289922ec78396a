//! Follows what the co-located target says of itself in its responses, and paces requests by it.
//!
//! All requests to the target pass this daemon, so the rate is kept here alone, without any
//! agreement between daemons.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use http::HeaderMap;
use slog::{info, warn};

use crate::calls::admission::Queue;
use crate::calls::notice::{self, Fault, NamedLimit, Notice, Tag};
use crate::calls::outcome::Reason;
use crate::shared_state::{SharedState, Target};
use crate::units::Rate;

/// Applies a target's notices to its queue.
#[derive(Debug)]
pub struct Throttle {
    shared: Arc<SharedState>,
    queue: Arc<Queue>,
    /// Locked for a few instructions at a time.
    known: Mutex<Known>,
}

/// What is known of the current target process.
#[derive(Debug, Default)]
struct Known {
    process: Tag,
    limit: NamedLimit,
    has_responded: bool,
}

impl Throttle {
    /// Creates a throttle for the requests in `queue`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, queue: Arc<Queue>) -> Self {
        Self {
            shared,
            queue,
            known: Mutex::default(),
        }
    }

    /// Prepares for a request to `target`, whose ingress has received this notice from it.
    ///
    /// A limit in the notice counts until the process has responded to this daemon. Guards against
    /// a burst after a restart of this daemon: it has forgotten the limit, and the first response
    /// that names it comes only after all slots have been filled.
    ///
    /// # Errors
    ///
    /// [`Reason::NoTarget`] if the ingress knows that the process is leaving.
    pub fn prepare(&self, target: &Target, notice: Option<Notice>) -> Result<(), Reason> {
        let mut known = self.known();
        self.follow(&mut known, target.tag());
        let notice = notice.filter(|notice| notice.process.may_be(target.tag()));
        if notice.is_some_and(|notice| notice.leaving) {
            return Err(Reason::NoTarget);
        }
        let Some(limit) = notice.and_then(|notice| notice.limit) else {
            return Ok(());
        };
        if !known.has_responded && known.limit.rate() != Some(limit) {
            known.limit = NamedLimit::adopted(limit);
            self.queue.set_rate(Some(limit));
        }
        Ok(())
    }

    /// Records a response of `target` to a request that was sent at `sent`; returns the notice for
    /// the ingress, if there is anything to say.
    ///
    /// A target that refuses a request without running it may leave out the limit.
    pub fn record(
        &self,
        target: &Target,
        headers: &HeaderMap,
        has_run: bool,
        sent: Instant,
    ) -> Option<Notice> {
        let process = target.tag();
        let leaving = notice::says_leaving(headers, &self.shared.dialect);
        if leaving && self.shared.retire_target(target) {
            info!(self.shared.logger, "target is leaving, by its response";
                "instance" => target.instance.as_ref().map(ToString::to_string));
        }
        let named = notice::read_limit(headers, &self.shared.dialect);
        let mut known = self.known();
        if !known.process.may_be(process) {
            return leaving.then_some(Notice {
                process,
                limit: None,
                leaving,
            });
        }
        let before = known.limit.rate();
        match named {
            Ok(limit) if limit.is_some() || has_run => {
                known.limit.record(limit, sent, Instant::now());
                known.has_responded = true;
            }
            Ok(_) => {}
            Err(fault) => self.log_fault(&fault),
        }
        let limit = known.limit.rate();
        if limit != before {
            self.queue.set_rate(limit);
            self.log_change(target, limit);
        }
        let is_notable = leaving || limit.is_some();
        is_notable.then_some(Notice {
            process,
            limit,
            leaving,
        })
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<Rate> {
        self.known().limit.rate()
    }

    /// Forgets what the previous process has said once there is another.
    fn follow(&self, known: &mut Known, process: Tag) {
        if known.process.may_be(process) {
            known.process = process;
            return;
        }
        if known.limit.rate().is_some() {
            self.queue.set_rate(None);
        }
        *known = Known {
            process,
            ..Known::default()
        };
    }

    fn log_change(&self, target: &Target, limit: Option<Rate>) {
        if self.shared.log_limiter.admit(Instant::now()) {
            info!(self.shared.logger, "target limits its requests";
                "instance" => target.instance.as_ref().map(ToString::to_string),
                "per_second" => limit.map(Rate::per_second));
        }
    }

    fn log_fault(&self, fault: &Fault) {
        metrics::counter!("jackdaw_bad_limits_total").increment(1);
        if self.shared.log_limiter.admit(Instant::now()) {
            warn!(self.shared.logger, "unreadable limit of the target"; "problem" => %fault);
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
