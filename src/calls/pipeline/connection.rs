//! What the reader and the service of one connection share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};
use std::time::Instant;

use futures_util::future::{Either, FutureExt, TryFutureExt};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use tokio::task::JoinError;
use volo_http::body::Body;

use crate::calls::callers::{ActiveRequest, RequestCounter};
use crate::calls::pipeline::Stop;
use crate::calls::pipeline::budget::{Budget, Charge};
use crate::calls::pipeline::splitter::Ahead;
use crate::calls::pipeline::task::{Task, buffer};
use crate::calls::pipeline::turns::{Ending, Progress, Turns};
use crate::calls::stream::Guarded;
use crate::shared_state::{InFlight, SharedState};

/// Serves the requests of connections.
pub trait Handler: Send + Sync + 'static {
    /// Whether requests that follow each other may be started early.
    const READS_AHEAD: bool = false;

    /// Serves one request.
    fn respond(
        self: Arc<Self>,
        request: Request<Body>,
    ) -> impl Future<Output = Response<Body>> + Send + 'static;

    /// Decides whether a request may be started before its turn.
    fn admit_early(&self, _request: &mut Request<Body>) -> bool {
        false
    }
}

impl<H, F> Handler for H
where
    H: Fn(Request<Body>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    fn respond(
        self: Arc<Self>,
        request: Request<Body>,
    ) -> impl Future<Output = Response<Body>> + Send + 'static {
        self(request)
    }
}

/// Extension of a response that closes its connection unless requests stand behind it.
#[derive(Debug, Clone, Copy)]
pub struct CloseIfLast;

/// State that the reader and the service of one connection share.
#[derive(Debug)]
pub struct Connection<H> {
    handler: Arc<H>,
    shared: Arc<SharedState>,
    requests: RequestCounter,
    budget: Arc<Budget>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    turns: Turns<Started>,
    /// Woken after a response if bytes are kept behind its request.
    reader: Option<Waker>,
    /// Counts the connection as in flight while a response is complete and not yet written.
    writing: Option<InFlight>,
    /// When everything had last been written.
    written_at: Option<Instant>,
    /// Whether the close of the connection is all that ends the response in progress.
    ends_by_close: bool,
}

/// A call that was started early.
#[derive(Debug)]
struct Started {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: Task<(Response<Body>, Held)>,
    active: ActiveRequest,
    /// Memory of the call.
    charge: Charge,
}

/// What a response that waits for its turn holds until it has been written.
type Held = (InFlight, Option<Charge>);

impl<H: Handler> Connection<H> {
    /// A new connection.
    #[must_use]
    pub fn new(
        handler: Arc<H>,
        shared: Arc<SharedState>,
        requests: RequestCounter,
        budget: Arc<Budget>,
    ) -> Arc<Self> {
        Arc::new(Self {
            handler,
            shared,
            requests,
            budget,
            state: Mutex::default(),
        })
    }

    /// Memory for all connections.
    #[must_use]
    pub const fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Starts no further calls early.
    pub fn close(&self) {
        self.state().turns.close();
    }

    /// Whether calls started early wait for their turn.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.state().turns.is_waiting()
    }

    /// Drops all calls that were started early.
    pub fn cancel_started(&self) {
        // Dropped without the lock: what a call holds may take other locks.
        let started = self.state().turns.clear();
        drop(started);
    }

    /// State of a request that hyper has got.
    #[must_use]
    pub fn progress(&self, number: u64) -> Progress {
        self.state().turns.progress(number)
    }

    /// Counts the connection as in flight until the guard is dropped.
    #[must_use]
    pub fn track(&self) -> InFlight {
        self.shared.track_call()
    }

    /// Records that everything has been written to the socket.
    pub fn record_written(&self) {
        let mut state = self.state();
        let written = state.writing.take();
        if written.is_some() {
            state.written_at = Some(Instant::now());
        }
        drop(state);
        drop(written);
    }

    /// When the last response had been written to the socket; `None` if there was none.
    #[must_use]
    pub fn written_at(&self) -> Option<Instant> {
        self.state().written_at
    }

    /// Whether the close of the connection is all that ends the response in progress: a caller of HTTP/1.0 gets no
    /// chunks.
    #[must_use]
    pub fn ends_by_close(&self) -> bool {
        self.state().ends_by_close
    }

    /// Wakes the reader after the next response, since bytes are kept behind its request.
    pub fn wake_after_response(&self, cx: &Context<'_>) {
        let mut state = self.state();
        match &mut state.reader {
            Some(reader) => reader.clone_from(cx.waker()),
            None => state.reader = Some(cx.waker().clone()),
        }
    }

    /// Why the next request may not be started early, if so.
    #[must_use]
    pub fn refusal_of_start(&self) -> Option<Stop> {
        if !self.state().turns.has_room() {
            Some(Stop::Requests)
        } else if !self.budget.has_room() {
            Some(Stop::Memory)
        } else {
            None
        }
    }

    /// Whether the connection closes after the calls that have been started.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.state().turns.is_closing()
    }

    /// Starts a request before its turn, if the handler allows it.
    pub fn start(&self, ahead: Ahead) {
        let Ahead {
            number,
            length,
            request,
        } = ahead;
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let headers = request.headers().clone();
        let mut request = request.map(|()| Body::empty());
        if !self.handler.admit_early(&mut request) {
            return;
        }
        metrics::counter!("jackdaw_requests_started_early_total").increment(1);
        let response = Arc::clone(&self.handler).respond(request);
        let (shared, budget) = (Arc::clone(&self.shared), Arc::clone(&self.budget));
        let work = response.then(|response| async move {
            // The response's own guards are dropped once its body is buffered, but a shutdown has
            // to wait until it has been written.
            let in_flight = shared.track_call();
            let (response, charge) = buffer(response, budget).await;
            (response, (in_flight, charge))
        });
        // The call and the comparison with what hyper reads hold the head once each.
        let charge = self.budget.charge(size_of_val(&work) + 2 * length);
        let started = Started {
            method,
            uri,
            headers,
            task: Task::spawn(work),
            active: self.requests.begin(),
            charge,
        };
        self.state().turns.start(number, started);
    }

    /// Serves a request that hyper has read.
    pub fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, JoinError>> {
        let started = self.take(&request);
        let has_chunks = request.version() > Version::HTTP_10;
        let connection = Arc::clone(&self);
        // Combinators, since an async block would hold the handler's large future twice.
        let responding = if let Some(started) = started {
            let Started {
                task,
                active,
                charge,
                ..
            } = started;
            Either::Left(task.map_ok(move |(response, held)| {
                let early = Some(Box::new((held, charge)));
                (response, (active, early))
            }))
        } else {
            let active = self.requests.begin();
            let request = request.map(Body::from_incoming);
            let response = Arc::clone(&self.handler).respond(request);
            Either::Right(response.map(move |response| Ok((response, (active, None)))))
        };
        responding.map_ok(move |(mut response, guards)| {
            self.decide_closing(&mut response);
            self.state().ends_by_close = !has_chunks && !has_length(&response);
            let (parts, body) = response.into_parts();
            let turn = Turn {
                writing: Some(connection.track()),
                connection,
            };
            Response::from_parts(parts, Guarded::wrap(body, (guards, turn)))
        })
    }

    /// The call of a request if it was started early.
    fn take(&self, request: &Request<Incoming>) -> Option<Started> {
        let started = self.state().turns.take()?;
        let is_same = started.method == *request.method()
            && started.uri == *request.uri()
            && started.headers == *request.headers();
        if !is_same {
            Stop::Differs.count();
            self.close();
            self.cancel_started();
        }
        is_same.then_some(started)
    }

    fn decide_closing(&self, response: &mut Response<Body>) {
        let close_if_last = response.extensions_mut().remove::<CloseIfLast>();
        let headers = response.headers_mut();
        let asked = headers.get(header::CONNECTION);
        let ending = if asked.is_some_and(|value| value == "close") {
            headers.remove(header::CONNECTION);
            Ending::Close
        } else if close_if_last.is_some() {
            Ending::CloseIfLast
        } else {
            Ending::Stay
        };
        let mut state = self.state();
        let is_followed = state.reader.is_some();
        if state.turns.closes(ending, is_followed) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn has_length(response: &Response<Body>) -> bool {
    let is_named = response.headers().contains_key(header::CONTENT_LENGTH);
    is_named || response.body().size_hint().exact().is_some()
}

/// Turn of a request, which ends when hyper has taken the whole response.
struct Turn<H: Handler> {
    connection: Arc<Connection<H>>,
    writing: Option<InFlight>,
}

impl<H: Handler> Drop for Turn<H> {
    fn drop(&mut self) {
        let mut state = self.connection.state();
        state.turns.answer();
        let earlier = std::mem::replace(&mut state.writing, self.writing.take());
        let reader = state.reader.take();
        drop(state);
        drop(earlier);
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}
