//! Response bodies that tell how their upstream finished.
//!
//! The head of a response counts as a success of its upstream. A target whose bodies break off, or do not end,
//! would keep its share of requests if nothing else counted.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use slog::info;
use volo_http::body::Body;

use crate::calls::stream::{self, BoxError};
use crate::configuration::document::Ejection;
use crate::membership::roster::{RequestGuard, Upstream};
use crate::shared_state::SharedState;
use crate::units::Service;

/// Where a response came from.
#[derive(Debug)]
pub struct Observer {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Upstream that responded.
    pub upstream: Arc<Upstream>,
    /// Identifier of the call.
    pub call: String,
    /// Service that was called.
    pub service: Service,
    /// When failures eject an upstream.
    pub ejection: Ejection,
}

/// A body whose end is observed.
#[derive(Debug)]
pub struct Observed {
    body: Body,
    observer: Observer,
    _in_flight: RequestGuard,
}

impl Observed {
    /// Wraps the body of a response, whose request counts as outstanding until the body is dropped.
    #[must_use]
    pub fn wrap(body: Body, observer: Observer, in_flight: RequestGuard) -> Body {
        Body::from_body(Self {
            body,
            observer,
            _in_flight: in_flight,
        })
    }
}

impl http_body::Body for Observed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Err(error))) = &polled {
            self.observer.record_break(error);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Observer {
    /// Records that the body broke off, which counts as a failure unless the caller is the cause.
    fn record_break(&self, error: &BoxError) {
        let failed = stream::is_source_failure(error);
        if failed {
            self.upstream.latency().record_failure(Instant::now());
            record_failure(&self.shared, &self.upstream, &self.service, &self.ejection);
        }
        if self.shared.log_limiter.admit(Instant::now()) {
            info!(self.shared.logger, "response broke off"; "call" => &self.call,
                "upstream" => %self.upstream.peer, "failed" => failed, "error" => %error);
        }
    }
}

/// Records a failure of an upstream for the outlier detection of its service.
pub fn record_failure(
    shared: &SharedState,
    upstream: &Upstream,
    service: &Service,
    rule: &Ejection,
) {
    let roster = shared.roster();
    let upstreams = roster.upstreams(service);
    let now = Instant::now();
    let ejected = upstreams.iter().filter(|other| other.ejected(now)).count();
    upstream.record_failure(now, rule, ejected, upstreams.len());
}
