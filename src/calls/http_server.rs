//! Serving HTTP/1 on one address until the daemon stops.
//!
//! volo-http's own accept loop stops on SIGHUP and gives up after a fixed time, so its routers are
//! served here on hyper, connection by connection.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioTimer;
use metrics::counter;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::{IntoResponse, Router};

use crate::calls::callers::{self, Callers};
use crate::calls::pipeline::budget::Budget;
use crate::calls::pipeline::connection::{Connection, Handler};
use crate::calls::pipeline::reader::Reader;
use crate::calls::stream::BoxError;
use crate::configuration::document::Bounds;
use crate::linger::{self, End, Linger};
use crate::shared_state::SharedState;
use crate::units::Version;

/// Delay after a failed accept, which is mostly due to a lack of file descriptors. Some become free
/// when a connection closes.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time beyond the idle bound for which a connection is kept, so that a request sent within the
/// bound does not arrive on a closed connection.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Phase of a server's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts connections.
    Open,
    /// Refuses new connections, but serves requests on existing ones.
    Closed,
    /// Closes each connection after the response in progress.
    Ending,
}

/// Source of the bounds on requests, which may change with the configuration.
#[derive(Debug, Clone)]
pub enum BoundsSource {
    /// Constant bounds.
    Fixed(Bounds),
    /// Bounds of the active configuration.
    Active(Arc<SharedState>),
}

impl BoundsSource {
    fn current(&self) -> Bounds {
        match self {
            Self::Fixed(bounds) => *bounds,
            Self::Active(shared) => shared.config().document.bounds,
        }
    }

    /// Waits until heads larger than `largest` are allowed.
    ///
    /// A connection's buffer is fixed when it is opened. Without this, a connection opened under an
    /// earlier version would refuse with 431 a request that the active version allows.
    async fn wait_for_larger_head(&self, largest: u32) {
        if let Self::Active(shared) = self {
            let mut versions = shared.versions();
            let allows = |_: &Version| self.current().max_head > largest;
            if versions.wait_for(allows).await.is_ok() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

/// Serves `handler` on `listener` within the bounds of `bounds_source`.
///
/// `callers` limits the number of connections. Responses count as in flight until they have been
/// written and, on a connection that closes, delivered.
pub async fn serve<H: Handler>(
    shared: Arc<SharedState>,
    listener: TcpListener,
    callers: Arc<Callers>,
    phases: watch::Receiver<Phase>,
    bounds_source: BoundsSource,
    handler: Arc<H>,
) {
    let budget = Arc::new(Budget::default());
    let mut changes = phases.clone();
    loop {
        // Connections that the kernel has accepted are served before the listener closes, which
        // would reset them and lose requests already sent on them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut changes, Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = callers.admit().await;
                let requests = admitted.requests();
                let connection = Connection::new(
                    Arc::clone(&handler),
                    Arc::clone(&shared),
                    requests,
                    Arc::clone(&budget),
                );
                let serving = serve_connection(
                    stream,
                    admitted,
                    phases.clone(),
                    bounds_source.clone(),
                    connection,
                );
                tokio::spawn(serving);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    admitted: callers::Connection,
    phases: watch::Receiver<Phase>,
    bounds_source: BoundsSource,
    shared: Arc<Connection<H>>,
) {
    let _ = stream.set_nodelay(true);
    let bounds = bounds_source.current();
    let max_head = usize::try_from(bounds.max_head).unwrap_or(usize::MAX);
    let reader = Reader::new(stream, Arc::clone(&shared), max_head);
    let served = Arc::clone(&shared);
    let service = service_fn(move |request: Request<Incoming>| Arc::clone(&served).serve(request));
    let mut builder = http1::Builder::new();
    // One timer bounds both slow heads and idle connections, so it is set to the longer bound.
    let read_timeout = bounds.head_ms.max(bounds.idle_ms).duration() + IDLE_GRACE;
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(max_head);
    let mut connection = builder.serve_connection(reader, service);
    let mut refused_at = None;
    let mut looks_complete = false;
    {
        let closing = wait_for_closing(&admitted, phases, &bounds_source, bounds);
        // Any other error means that the caller closed the connection; its requests were dropped
        // with it.
        if let Err(error) = run(&mut connection, closing, &shared).await {
            if error.is_parse() {
                counter!("jackdaw_unreadable_requests_total").increment(1);
                // hyper has refused the request itself.
                refused_at = Some(Instant::now());
            }
            looks_complete = error.is_user() && shared.ends_by_close();
        }
    }
    let _closing = shared.track();
    let written_at = refused_at.or_else(|| shared.written_at());
    drop(shared);
    let stream = connection.into_parts().io.into_stream();
    if looks_complete {
        // Only a reset tells the caller that its response broke off.
        let _ = stream.set_zero_linger();
        return;
    }
    close(stream, &admitted, written_at).await;
}

/// Waits until a connection is to be closed after the response in progress.
async fn wait_for_closing(
    admitted: &callers::Connection,
    mut phases: watch::Receiver<Phase>,
    bounds_source: &BoundsSource,
    bounds: Bounds,
) {
    tokio::select! {
        () = wait_for_phase(&mut phases, Phase::Ending) => {}
        () = admitted.evicted() => {}
        () = bounds_source.wait_for_larger_head(bounds.max_head) => {}
    }
}

/// Serves a connection until it ends or, once `closing` is ready, the response in progress and those
/// of calls started early are written.
async fn run<H, S, B>(
    connection: &mut http1::Connection<Reader<H>, S>,
    closing: impl Future<Output = ()>,
    shared: &Connection<H>,
) -> hyper::Result<()>
where
    H: Handler,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<BoxError>,
    B: http_body::Body + 'static,
    B::Error: Into<BoxError>,
{
    tokio::select! {
        ended = &mut *connection => return ended,
        () = closing => {}
    }
    // hyper closes after the response in progress, so calls started early are answered first. They
    // leave the queue only while the connection is polled, in this task.
    shared.close();
    let taken = std::future::poll_fn(|_| {
        if shared.is_waiting() {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    });
    tokio::select! {
        biased;
        ended = &mut *connection => return ended,
        () = taken => {}
    }
    Pin::new(&mut *connection).graceful_shutdown();
    connection.await
}

/// Closes a connection on which everything has been written, the last response at `written_at`.
///
/// A request that the caller sent before it could know of the close would otherwise reset the
/// connection, and responses that are still being delivered would be lost. What is discarded has
/// not run.
async fn close(mut stream: TcpStream, admitted: &callers::Connection, written_at: Option<Instant>) {
    let idle = written_at.map_or(Duration::MAX, |at| at.elapsed());
    if stream.shutdown().await.is_err() {
        // The caller has closed the connection, or it was lost.
        return;
    }
    if !linger::is_needed(idle, linger::queued(&stream)) {
        return;
    }
    admitted.linger();
    let mut linger = Linger::new(&stream);
    let end = tokio::select! {
        end = std::future::poll_fn(|cx| linger.poll(&mut stream, cx)) => end,
        () = admitted.evicted() => End::Evicted,
    };
    counter!("jackdaw_lingering_closes_total", "end" => <&str>::from(end)).increment(1);
}

/// Waits for a phase, forever if its sender is gone.
pub async fn wait_for_phase(phases: &mut watch::Receiver<Phase>, wanted: Phase) {
    if phases.wait_for(|phase| *phase >= wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// A handler that passes requests to a volo-http router.
pub fn router_handler(
    router: Router,
    address: SocketAddr,
) -> impl Fn(Request<Body>) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
    let router = Arc::new(router);
    move |request| {
        let router = Arc::clone(&router);
        Box::pin(async move {
            let mut context = ServerContext::new(Address::from(address));
            router.call(&mut context, request).await.into_response()
        })
    }
}
