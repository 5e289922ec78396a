//! Attempts of a call: at one upstream after the other, or at two at a time.
//!
//! Each attempt updates the statistics of its upstream. Further attempts are paid from the retry
//! budget of the service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use futures_util::future::{Either, select};
use http::Response;
use rand::RngExt;
use volo_http::body::Body;

use crate::calls::balancer::Balancer;
use crate::calls::call::{Attempt, Call};
use crate::calls::notice::Memory;
use crate::calls::observed::{self, Observed, Observer};
use crate::calls::outcome::{self, Reason};
use crate::calls::retry::{Budget, Budgets};
use crate::calls::sidecar::{Load, Sidecar};
use crate::configuration::document::{Ejection, Retry};
use crate::membership::roster::Upstream;
use crate::settings::{Retries, Settings};
use crate::shared_state::SharedState;
use crate::units::Percent;

/// Divisor of the time left: after that part, a repeatable call is also sent to a second upstream.
const HEDGE_DELAY_DIVISOR: u32 = 2;

/// Result of an attempt.
#[derive(Debug)]
pub enum Reply {
    /// The target's own response.
    Answered(Response<Body>),
    /// No response of the target, for this reason.
    Failed(Reason),
}

/// Makes attempts on behalf of an ingress.
#[derive(Debug)]
pub struct Sender {
    shared: Arc<SharedState>,
    sidecar: Arc<Sidecar>,
    budgets: Budgets,
    /// Locked for a few instructions at a time.
    notices: Mutex<Memory>,
    /// Chooses the upstream of each attempt.
    pub balancer: Balancer,
}

impl Sender {
    /// A sender that passes calls for the local target directly to `sidecar`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, sidecar: Arc<Sidecar>) -> Self {
        let Settings {
            retry_window_ms,
            retry_reserve,
            shared_reserve,
            ..
        } = shared.settings;
        Self {
            balancer: Balancer::new(Arc::clone(&shared)),
            budgets: Budgets::new(retry_window_ms.duration(), retry_reserve, shared_reserve),
            notices: Mutex::default(),
            shared,
            sidecar,
        }
    }

    /// The retry budget of a call's service.
    pub fn budget(&self, call: &Call) -> Arc<Budget> {
        let daemons = self.shared.roster().members.len();
        self.budgets.for_service(&call.metadata.service, daemons)
    }

    /// Records a first attempt in the retry budget of a call's service.
    ///
    /// Each level of calls uses half of the ratio, since calls of a repeated request are retries of the service
    /// beneath. A nested call gets the other half as well: this daemon is the sidecar of the target that makes
    /// it, so that it knows the repeated requests there and charges for their calls.
    pub fn deposit_share(&self, rule: &Retry, call: &Call) {
        let now = Instant::now();
        let budget = self.budget(call);
        let route = &call.resolved_route.route.name;
        if self.balancer.statistics.is_nested(route) {
            budget.charge_repeats(self.sidecar.repeats(), now);
            budget.deposit_share(Percent(rule.budget.0.saturating_mul(2)), now);
        } else {
            budget.deposit_share(rule.budget, now);
        }
    }

    /// Withdraws one more request from the retry budget; `false` if the budget does not allow it.
    pub fn withdraw_retry(&self, rule: &Retry, call: &Call) -> bool {
        let fixed = self.shared.settings.retries == Retries::Fixed;
        fixed
            || self.budget(call).withdraw_for(
                rule.budget,
                call.resolved_route.route.rank(),
                Instant::now(),
            )
    }

    /// Makes an attempt, and for a repeatable call a second one elsewhere if the first is late.
    ///
    /// A frozen sidecar or target accepts a request and never responds. Waiting for the deadline
    /// would fail a read that another target could have served.
    pub async fn attempt_hedged(&self, upstream: &Arc<Upstream>, call: &mut Call) -> Reply {
        let rule = &Arc::clone(&call.resolved_route).retry;
        let ejection = &Arc::clone(&call.group).ejection;
        let baseline = self
            .balancer
            .statistics
            .baseline(&call.resolved_route.route.name);
        let expected_time = self.balancer.expected_time(upstream, &baseline);
        let mut first =
            Box::pin(self.attempt(upstream, call.next_attempt(expected_time), ejection));
        let fixed = self.shared.settings.retries == Retries::Fixed;
        // The first attempt is counted once it has failed or a second one starts.
        let alone = fixed || !call.may_hedge() || self.balancer.is_suspect(call);
        if alone || call.attempts + 2 > rule.attempts {
            return first.await;
        }
        let hedge_delay = call.left() / HEDGE_DELAY_DIVISOR;
        if let Ok(reply) = tokio::time::timeout(hedge_delay, &mut first).await {
            return reply;
        }
        call.tried.push(upstream.peer);
        let second = match self.balancer.choose(call) {
            Some(second) if self.withdraw_retry(rule, call) => second,
            _ => return first.await,
        };
        metrics::counter!("jackdaw_hedges_total").increment(1);
        call.tried.push(second.peer);
        call.attempts += 1;
        let expected_time = self.balancer.expected_time(&second, &baseline);
        let second = Box::pin(self.attempt(&second, call.next_attempt(expected_time), ejection));
        let (earlier, other) = match select(first, second).await {
            Either::Left((Reply::Failed(reason), other)) => (reason, Either::Left(other)),
            Either::Right((Reply::Failed(reason), other)) => (reason, Either::Right(other)),
            Either::Left((answered, _)) | Either::Right((answered, _)) => return answered,
        };
        match other.await {
            Reply::Failed(reason) => Reply::Failed(earlier.followed_by(reason)),
            answered @ Reply::Answered(_) => answered,
        }
    }

    async fn attempt(
        &self,
        upstream: &Arc<Upstream>,
        mut attempt: Attempt,
        rule: &Ejection,
    ) -> Reply {
        let in_flight = upstream.track_request();
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Reply::Failed(Reason::Expired);
        }
        let service = attempt.metadata.service.clone();
        let route = attempt.metadata.route.clone();
        let id = attempt.metadata.id.clone();
        let began = Instant::now();
        attempt.metadata.notice = self.notices(|notices| notices.get(upstream.peer));
        let exchange = async {
            if upstream.peer == self.shared.settings.identity() {
                Ok(self.sidecar.run(attempt.metadata, attempt.request).await)
            } else {
                attempt.forward(upstream).await
            }
        };
        let result = match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Reason::TimedOut),
        };
        let load = result.as_ref().ok();
        let load = load.and_then(|response| Load::from_headers(response.headers()));
        let reply = result.map_or_else(Reply::Failed, parse_reply);
        let seen = match &reply {
            Reply::Answered(response) => Ok(response),
            Reply::Failed(reason) => Err(*reason),
        };
        let statistics = &self.balancer.statistics;
        if statistics.record(upstream, seen, load, began, &route) {
            observed::record_failure(&self.shared, upstream, &service, rule);
        }
        self.record_notice(upstream, seen, load.unwrap_or_default(), began);
        match reply {
            Reply::Answered(response) => {
                let observer = Observer {
                    shared: Arc::clone(&self.shared),
                    upstream: Arc::clone(upstream),
                    call: id,
                    service,
                    ejection: rule.clone(),
                };
                Reply::Answered(response.map(|body| Observed::wrap(body, observer, in_flight)))
            }
            failed @ Reply::Failed(_) => failed,
        }
    }
}

impl Sender {
    /// Records what a sidecar reports of its target.
    fn record_notice(
        &self,
        upstream: &Upstream,
        attempt: Result<&Response<Body>, Reason>,
        load: Load,
        began: Instant,
    ) {
        let now = Instant::now();
        let delay = load.token_delay.duration();
        match attempt {
            Ok(_) => {
                upstream.pace().record_response(now, delay);
                if load.notice.is_some_and(|notice| notice.leaving) {
                    // The membership view shows it a moment later.
                    upstream.record_unavailable(now);
                }
                self.notices(|notices| notices.record(upstream.peer, load.notice, began, now));
            }
            Err(Reason::Overloaded) if !delay.is_zero() => {
                let fraction = rand::rng().random_range(0.0..1.0);
                upstream.pace().record_refusal(now, delay, fraction);
                metrics::counter!("jackdaw_token_refusals_total").increment(1);
            }
            Err(_) => {}
        }
    }

    fn notices<T>(&self, access: impl FnOnce(&mut Memory) -> T) -> T {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        access(&mut notices)
    }
}

/// Reads a sidecar's response: the target's own, or a reason.
fn parse_reply(response: Response<Body>) -> Reply {
    match outcome::of_sidecar(response.status(), response.headers()) {
        Ok(()) => Reply::Answered(response),
        Err(reason) => Reply::Failed(reason),
    }
}
