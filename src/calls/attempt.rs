//! Attempts of a call: one upstream after the other, or two at a time.
//!
//! What an attempt shows of its upstream is learnt here, and what one more of them costs the budget of
//! its service.

use std::sync::Arc;
use std::time::Instant;

use futures_util::future::{Either, select};
use http::{HeaderValue, Response};
use volo_http::body::Body;

use crate::board::Board;
use crate::calls::call::{Call, Part};
use crate::calls::choice::Chooser;
use crate::calls::gate::{Gate, Load};
use crate::calls::outcome::{Fate, OUTCOME, REASON, Reason};
use crate::calls::retry::{Budget, Budgets};
use crate::calls::stream::Held;
use crate::configuration::document::{Ejection, Retry};
use crate::membership::roster::Upstream;
use crate::settings::{Retries, Settings};

/// Part of the time left after which a repeatable call is also sent to a second upstream.
const HEDGE_SHARE: u32 = 2;

/// What an attempt came to.
#[derive(Debug)]
pub enum Attempt {
    /// The target's own answer.
    Answered(Response<Body>),
    /// None, for this reason.
    Failed(Reason),
}

/// Makes attempts on behalf of an entry.
#[derive(Debug)]
pub struct Attempts {
    board: Arc<Board>,
    gate: Arc<Gate>,
    budgets: Budgets,
    /// Who gets them.
    pub chooser: Chooser,
}

impl Attempts {
    /// Attempts that hand local work to `gate`.
    #[must_use]
    pub fn new(board: Arc<Board>, gate: Arc<Gate>) -> Self {
        let Settings {
            retry_reserve,
            shared_reserve,
            ..
        } = board.settings;
        Self {
            chooser: Chooser::new(Arc::clone(&board)),
            budgets: Budgets::new(retry_reserve, shared_reserve),
            board,
            gate,
        }
    }

    /// What a call's service may spend on retries.
    pub fn budget(&self, call: &Call) -> Arc<Budget> {
        let daemons = self.board.roster().members.len();
        self.budgets.of(&call.handover.service, daemons)
    }

    /// Whether the budget pays for one more request to an upstream.
    pub fn afford(&self, rule: &Retry, call: &Call) -> bool {
        let fixed = self.board.settings.retries == Retries::Fixed;
        fixed
            || self
                .budget(call)
                .withdraw_for(rule.budget, call.handover.priority)
    }

    /// Makes an attempt, and for a repeatable call a second one elsewhere when the first is late.
    ///
    /// Guards against a gate or target that is frozen: it takes the request and is silent, and
    /// waiting for the deadline would lose a read that another target could have answered.
    pub async fn race(&self, upstream: &Arc<Upstream>, call: &mut Call) -> Attempt {
        let rule = &Arc::clone(&call.plan).retry;
        let ejection = &Arc::clone(&call.group).ejection;
        let typical = self.chooser.experience.typical(&call.plan.route.name);
        let needs = self.chooser.needs(upstream, &typical);
        let mut first = Box::pin(self.attempt(upstream, call.part(needs), ejection));
        let simple = self.board.settings.retries == Retries::Fixed;
        // The first one counts as made once it has failed or has company.
        let alone = simple || !call.may_hedge() || self.chooser.is_suspect(call);
        if alone || call.made + 2 > rule.attempts {
            return first.await;
        }
        let patience = call.left() / HEDGE_SHARE;
        if let Ok(attempt) = tokio::time::timeout(patience, &mut first).await {
            return attempt;
        }
        call.tried.push(upstream.peer);
        let second = match self.chooser.choose(call) {
            Some(second) if self.afford(rule, call) => second,
            _ => return first.await,
        };
        metrics::counter!("jackdaw_hedges_total").increment(1);
        call.tried.push(second.peer);
        call.made += 1;
        let needs = self.chooser.needs(&second, &typical);
        let second = Box::pin(self.attempt(&second, call.part(needs), ejection));
        let (earlier, other) = match select(first, second).await {
            Either::Left((Attempt::Failed(reason), other)) => (reason, Either::Left(other)),
            Either::Right((Attempt::Failed(reason), other)) => (reason, Either::Right(other)),
            Either::Left((answered, _)) | Either::Right((answered, _)) => return answered,
        };
        match other.await {
            Attempt::Failed(reason) => Attempt::Failed(earlier.followed_by(reason)),
            answered @ Attempt::Answered(_) => answered,
        }
    }

    async fn attempt(&self, upstream: &Arc<Upstream>, part: Part, rule: &Ejection) -> Attempt {
        let own = upstream.track_request();
        let left = part.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Attempt::Failed(Reason::Expired);
        }
        let service = part.handover.service.clone();
        let route = part.handover.route.clone();
        let began = Instant::now();
        let exchange = async {
            if upstream.peer == self.board.settings.identity() {
                Ok(self.gate.run(part.handover, part.request).await)
            } else {
                part.hand_over(upstream).await
            }
        };
        let result = match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Reason::TimedOut),
        };
        let load = result.as_ref().ok();
        let load = load.and_then(|response| Load::of(response.headers()));
        let attempt = result.map_or_else(Attempt::Failed, judge);
        let seen = match &attempt {
            Attempt::Answered(response) => Ok(response),
            Attempt::Failed(reason) => Err(*reason),
        };
        let experience = &self.chooser.experience;
        if experience.learn(upstream, seen, load, began, &route) {
            let roster = self.board.roster();
            let upstreams = roster.upstreams(&service);
            let now = Instant::now();
            let out = upstreams.iter().filter(|other| other.ejected(now)).count();
            upstream.record_failure(now, rule, out, upstreams.len());
        }
        match attempt {
            Attempt::Answered(response) => {
                let (parts, body) = response.into_parts();
                Attempt::Answered(Response::from_parts(parts, Held::wrap(body, own)))
            }
            failed @ Attempt::Failed(_) => failed,
        }
    }
}

/// Reads a gate's answer: the target's own, or a reason.
fn judge(response: Response<Body>) -> Attempt {
    let text = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    let answered = text(OUTCOME).is_some_and(|fate| fate == Fate::Answered.to_string());
    if answered {
        return Attempt::Answered(response);
    }
    let reason = text(REASON).and_then(|reason| reason.parse().ok());
    // A gate that gives no reason we know proves nothing.
    Attempt::Failed(reason.unwrap_or(Reason::Broken))
}
