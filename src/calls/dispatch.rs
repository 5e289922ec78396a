//! Sending a request to the co-located target, and telling what a failure proves.
//!
//! Connections to the target are kept here and not by a library's pool: whether a connection may
//! carry a request depends on what the request risks, and an answer that does not belong to its
//! request condemns the connection.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, Request, Response, Uri, Version};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use volo_http::body::Body;

use crate::calls::outcome::Reason;

/// Time to open a connection to the target: it is on the same host, so a later one means that it
/// takes none.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Header in which a target says how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time before that end after which a connection is not used again.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections that are kept to the target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection carries no request that must not be repeated.
///
/// Guards against a target that forgets an idle connection: what is sent on it next is reset and
/// may have run for all that is known. A connection that was in use a moment ago is still known.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_secs(1);
/// Time for which a target that sent bytes nobody asked for gets a fresh connection for each
/// request that must not be repeated.
const SUSPECT_PERIOD: Duration = Duration::from_secs(10);

/// Sends requests to the target, one at a time on each connection.
#[derive(Debug)]
pub struct Dispatcher {
    idle_timeout: Duration,
    pool: Arc<Mutex<Pool>>,
}

#[derive(Debug, Default)]
struct Pool {
    /// The one that was used last comes last.
    idle: Vec<IdleConnection>,
    /// Until when the target counts as one that sends what nobody asked for.
    suspect_until: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection {
    target: SocketAddr,
    sender: SendRequest<Body>,
    idle_since: Instant,
    /// When the target may close it.
    until: Instant,
}

/// A connection that carries one exchange; it is closed unless it is given back.
#[derive(Debug)]
pub struct Connection {
    target: SocketAddr,
    sender: SendRequest<Body>,
    idle_timeout: Duration,
    pool: Arc<Mutex<Pool>>,
}

impl Dispatcher {
    /// A dispatcher that closes connections after `idle`.
    #[must_use]
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            pool: Arc::default(),
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// The lease is to be [kept](Lease::keep) once the whole answer has come and proved to be
    /// the request's own; dropped, it closes its connection, and the target stops the work.
    ///
    /// # Errors
    ///
    /// [`Reason::Unreachable`] when the target has provably seen nothing, otherwise
    /// [`Reason::Broken`].
    pub async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, Connection), Reason> {
        let mut request = origin_form(request);
        while let Some(mut sender) = self.take_idle(target, repeatable) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.connection(target, sender))),
                // The request comes back only if nothing of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Reason::Broken),
                },
            }
        }
        let mut sender = self.connect(target).await?;
        match sender.send_request(request).await {
            Ok(response) => Ok((response, self.connection(target, sender))),
            Err(error) if is_provably_unsent(&error) => Err(Reason::Unreachable),
            Err(_) => Err(Reason::Broken),
        }
    }

    /// Closes the connections that have been idle since before `began`.
    ///
    /// Guards against connections that went silent all at once: each of them would take a request
    /// and its whole time with it, one after the other.
    pub fn close_idle_since_before(&self, began: Instant) {
        lock(&self.pool)
            .idle
            .retain(|idle| idle.idle_since >= began);
    }

    /// Notes that the target sent what nobody asked for, and closes what is kept to it.
    pub fn mark_suspect(&self) {
        let mut pool = lock(&self.pool);
        pool.suspect_until = Some(Instant::now() + SUSPECT_PERIOD);
        pool.idle.clear();
    }

    fn connection(&self, target: SocketAddr, sender: SendRequest<Body>) -> Connection {
        Connection {
            target,
            sender,
            idle_timeout: self.idle_timeout,
            pool: Arc::clone(&self.pool),
        }
    }

    /// The connection that was used last, if it may carry the request.
    fn take_idle(&self, target: SocketAddr, repeatable: bool) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut pool = lock(&self.pool);
        pool.idle
            .retain(|idle| idle.target == target && now < idle.until && idle.sender.is_ready());
        let suspect = pool.suspect_until.is_some_and(|until| now < until);
        let max_idle = if repeatable {
            self.idle_timeout
        } else {
            MAX_IDLE_NON_REPEATABLE
        };
        if suspect && !repeatable {
            return None;
        }
        let last = pool.idle.last()?;
        if now.duration_since(last.idle_since) >= max_idle {
            return None;
        }
        pool.idle.pop().map(|idle| idle.sender)
    }

    async fn connect(&self, target: SocketAddr) -> Result<SendRequest<Body>, Reason> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(Reason::Unreachable);
        };
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Reason::Unreachable)?;
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            let Err(error) = connection.await else {
                return;
            };
            // Bytes that came after a whole answer: hyper closes the connection, and the next
            // ones may carry such bytes just as well.
            if error.is_parse() || error.to_string().contains("unexpected") {
                lock(&pool).suspect_until = Some(Instant::now() + SUSPECT_PERIOD);
            }
        });
        Ok(sender)
    }
}

impl Connection {
    /// Keeps the connection for the next request, once it is free, for as long as an answer with
    /// these headers says.
    pub fn release(self, headers: &HeaderMap) {
        let Self {
            target,
            mut sender,
            idle_timeout,
            pool,
        } = self;
        let idle_timeout =
            keep_alive_timeout(headers).map_or(idle_timeout, |timeout| timeout.min(idle_timeout));
        if sender.is_ready() {
            put_back(&pool, target, sender, idle_timeout);
            return;
        }
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                put_back(&pool, target, sender, idle_timeout);
            }
        });
    }
}

/// Time for which the target keeps an idle connection by its own word, with a margin.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut words = text
        .split(',')
        .filter_map(|word| word.trim().split_once('='));
    let (_, seconds) = words.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn put_back(
    pool: &Mutex<Pool>,
    target: SocketAddr,
    sender: SendRequest<Body>,
    idle_timeout: Duration,
) {
    let mut pool = lock(pool);
    if pool.idle.len() < MAX_IDLE_CONNECTIONS {
        let idle_since = Instant::now();
        pool.idle.push(IdleConnection {
            target,
            sender,
            idle_since,
            until: idle_since + idle_timeout,
        });
    }
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The request as it is written to a server: with path and query alone in its first line.
fn origin_form(request: Request<Body>) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
    parts.version = Version::HTTP_11;
    Request::from_parts(parts, body)
}

/// Whether an error proves that the target has seen nothing of the request.
///
/// The error's own kind does not tell: only causes on this list, each tried against a listener
/// that records what it read, are proof. Everything else may have come after the target read it.
#[must_use]
pub fn is_provably_unsent(error: &(dyn StdError + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(io) = error.downcast_ref::<io::Error>()
            && io.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        if let Some(hyper) = error.downcast_ref::<hyper::Error>()
            && (hyper.is_canceled() || hyper.is_closed())
        {
            return true;
        }
        cause = error.source();
    }
    false
}
