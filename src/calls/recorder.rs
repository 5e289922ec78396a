//! Records of how requests at the co-located target ended: for rollouts, crash detection, metrics and logs.

use std::time::{Duration, Instant};

use http::Response;
use metrics::counter;
use slog::info;

use crate::calls::metadata::Metadata;
use crate::calls::outcome::Reason;
use crate::calls::overrun::Cut;
use crate::calls::stream::Buffered;
use crate::quarantine::running::Completion;
use crate::response_head::Fault;
use crate::rollout::counters;
use crate::shared_state::{SharedState, Target};
use crate::units::{Instance, Millis};

/// Time before the deadline in which a cancelled request counts as a failure of the target.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// How a request at the target finished.
///
/// A server error does not clear the request of suspicion: it may have occurred before the part of
/// the work that would crash the target.
pub fn completion(result: &Result<Response<Buffered>, Reason>) -> Completion {
    match result {
        Ok(response) if !response.status().is_server_error() => Completion::Answered,
        Err(Reason::Broken | Reason::TimedOut) => Completion::Unresolved,
        _ => Completion::Resolved,
    }
}

/// Records the outcome of a request for the rollout of its target's revision.
pub struct Recorder<'a> {
    shared: &'a SharedState,
    route: &'a str,
    began: Instant,
    deadline: Instant,
    is_finished: bool,
}

impl<'a> Recorder<'a> {
    /// Begins to record a request that is about to be sent to the target.
    pub fn begin(shared: &'a SharedState, route: &'a str, deadline: Instant) -> Self {
        shared.rollouts.count_request();
        Self {
            shared,
            route,
            began: Instant::now(),
            deadline,
            is_finished: false,
        }
    }

    /// Records the result of the request.
    pub fn finish(mut self, result: &Result<Response<Buffered>, Reason>) {
        self.is_finished = true;
        let outcome = match result {
            Ok(response) if !response.status().is_server_error() => {
                counters::Outcome::Answered(self.began.elapsed())
            }
            Ok(_) | Err(Reason::Broken | Reason::TimedOut) => counters::Outcome::Failed,
            // The request has not run.
            Err(_) => return,
        };
        self.shared.rollouts.count_response(self.route, outcome);
    }
}

impl Drop for Recorder<'_> {
    fn drop(&mut self) {
        // Counts requests that a silent target held until their callers gave up, which are dropped
        // here. A caller that leaves earlier proves nothing about the target.
        if !self.is_finished && Instant::now() + DEADLINE_MARGIN >= self.deadline {
            self.shared
                .rollouts
                .count_response(self.route, counters::Outcome::Failed);
        }
    }
}

/// Records that the head of a response is malformed.
pub fn record_malformed(shared: &SharedState, metadata: &Metadata, target: &Target, fault: Fault) {
    let kind: &'static str = fault.into();
    counter!("jackdaw_malformed_responses_total", "fault" => kind).increment(1);
    if shared.log_limiter.admit(Instant::now()) {
        info!(shared.logger, "response malformed"; "call" => &metadata.id, "route" => &metadata.route,
            "instance" => target.instance.as_ref().map(Instance::as_str),
            "address" => %target.address, "fault" => %fault);
    }
}

/// Records that the body of a response was given up after its head had been passed on.
pub fn record_cut(shared: &SharedState, metadata: &Metadata, target: &Target, cut: Cut) {
    if cut.end.is_source_failure() {
        // In addition to the head, which has been counted as answered.
        let outcome = counters::Outcome::Failed;
        shared.rollouts.count_response(&metadata.route, outcome);
    }
    if shared.log_limiter.admit(Instant::now()) {
        info!(shared.logger, "response body given up"; "call" => &metadata.id,
            "route" => &metadata.route, "instance" => target.instance.as_ref().map(Instance::as_str),
            "address" => %target.address, "bytes" => cut.bytes,
            "late_ms" => Millis::from(cut.late).0, "end" => %cut.end);
    }
}
