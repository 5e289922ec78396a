//! Serving HTTP/1 on one address until the daemon stops.
//!
//! volo-http's own accept loop takes SIGHUP for an order to stop and gives up after a fixed time,
//! so its routers are served here, connection by connection, with hyper below it as before.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::{IntoResponse, Router};

use crate::board::Board;
use crate::calls::callers::{self, Callers};
use crate::calls::stream::Held;
use crate::configuration::document::Bounds;
use crate::units::Version;

/// Pause after a failed accept: it is mostly a lack of descriptors, which ends with a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time beyond the idle bound for which a connection is kept, so that a request which a caller
/// sends within the bound does not cross the close.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// How far a server is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes connections.
    Open,
    /// Refuses new connections and still takes requests on those it has.
    Closed,
    /// Ends every connection after the answer that is under way.
    Ending,
}

/// What callers may send, which may change.
#[derive(Debug, Clone)]
pub enum Limits {
    /// Always the same.
    Fixed(Bounds),
    /// Those of the version in force.
    InForce(Arc<Board>),
}

impl Limits {
    fn now(&self) -> Bounds {
        match self {
            Self::Fixed(bounds) => *bounds,
            Self::InForce(board) => board.config().document.bounds,
        }
    }

    /// Waits until larger heads than `largest` are allowed.
    ///
    /// Guards against a connection that was opened at an earlier version: its buffer is fixed, and a request
    /// that the version in force allows would be refused with 431.
    async fn outgrow(&self, largest: u32) {
        if let Self::InForce(board) = self {
            let mut versions = board.versions();
            let allows = |_: &Version| self.now().max_head > largest;
            if versions.wait_for(allows).await.is_ok() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

/// Serves `handler` on `listener` within `limits`; `callers` bounds how many connections there are.
pub async fn serve<H, F>(
    listener: TcpListener,
    callers: Arc<Callers>,
    phases: watch::Receiver<Phase>,
    limits: Limits,
    handler: H,
) where
    H: Fn(Request<Body>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut changes = phases.clone();
    loop {
        // Connections that the host has taken already go first: closing the listener would reset
        // them, and with them requests that have been sent.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = reach(&mut changes, Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = callers.admit().await;
                let handler = Arc::clone(&handler);
                let serving = serve_one(stream, admitted, phases.clone(), limits.clone(), handler);
                tokio::spawn(serving);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_one<H, F>(
    stream: TcpStream,
    mut admitted: callers::Connection,
    mut phases: watch::Receiver<Phase>,
    limits: Limits,
    handler: Arc<H>,
) where
    H: Fn(Request<Body>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let requests = admitted.requests();
    let service = service_fn(move |request: Request<Incoming>| {
        let under_way = requests.begin();
        let answer = handler(request.map(Body::from_incoming));
        async move {
            let (parts, body) = answer.await.into_parts();
            Ok::<_, Infallible>(Response::from_parts(parts, Held::wrap(body, under_way)))
        }
    });
    let bounds = limits.now();
    let mut builder = http1::Builder::new();
    // One clock bounds both a slow head and an idle connection, so it is set to the longer.
    let patience = bounds.head_ms.max(bounds.idle_ms).duration() + IDLE_GRACE;
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(patience)
        .max_buf_size(usize::try_from(bounds.max_head).unwrap_or(usize::MAX));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // Any other error here is the caller's end of the connection; its requests have been dropped with it.
    tokio::select! {
        ended = connection.as_mut() => {
            if ended.is_err_and(|error| error.is_parse()) {
                counter!("jackdaw_unreadable_requests_total").increment(1);
            }
            return;
        }
        () = reach(&mut phases, Phase::Ending) => {}
        () = admitted.evicted() => {}
        () = limits.outgrow(bounds.max_head) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits for a phase; for ever when nobody can bring it about any more.
async fn reach(phases: &mut watch::Receiver<Phase>, wanted: Phase) {
    if phases.wait_for(|phase| *phase >= wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// A handler that asks a router of volo-http.
pub fn routed(
    router: Router,
    address: SocketAddr,
) -> impl Fn(Request<Body>) -> std::pin::Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
    let router = Arc::new(router);
    move |request| {
        let router = Arc::clone(&router);
        Box::pin(async move {
            let mut context = ServerContext::new(Address::from(address));
            router.call(&mut context, request).await.into_response()
        })
    }
}
