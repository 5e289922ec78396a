//! Connection from one daemon to another: h2 over TCP.
//!
//! Control messages are single POST requests with bincode bodies; calls are ordinary requests with a
//! [`Metadata`](crate::calls::metadata::Metadata) in a header. Links for calls and links for control
//! are separate connections, so that control bytes can be counted where they are sent.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::{Bytes, BytesMut};
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use http::{Method, Request, Response, header};
use serde::de::DeserializeOwned;
use tokio::net::{TcpSocket, TcpStream};
use volo_http::body::Body;

use crate::calls::stream;
use crate::clock;
use crate::error::{Error, Result};
use crate::peer::metered_stream::MeteredStream;
use crate::telemetry::Meter;
use crate::units::Millis;
use crate::wire;

/// Longest time to open a connection, and for its h2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to exchange a control message, connecting included.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without received data after which a link with waiting calls is pinged: longer than most calls,
/// so that a busy link is never pinged.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Longest wait for the reply to a ping: many times the round-trip time.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a link counts as silent after a ping without reply: about as long as processes
/// freeze.
const SILENT_PERIOD: Duration = Duration::from_secs(2);
/// Time without use after which a link is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Why a call has no response from the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The sidecar provably did not process it.
    Unsent,
    /// The sidecar may have processed it.
    Broken,
}

/// Connection from one daemon to another, opened on demand.
#[derive(Debug)]
pub struct Link {
    peer: SocketAddr,
    local: IpAddr,
    sender: Arc<ArcSwapOption<SendRequest<Bytes>>>,
    /// Number of calls that wait for the head of their response.
    waiting: Arc<AtomicU32>,
    /// When the peer last failed to reply to a ping, in Unix milliseconds.
    silent_ms: Arc<AtomicU64>,
    /// When the last call began, in Unix milliseconds.
    used_ms: AtomicU64,
    /// Held while connecting, so that concurrent users of the link open one connection.
    opening: tokio::sync::Mutex<()>,
}

impl Link {
    /// Creates a link that will connect from the address `local`.
    #[must_use]
    pub fn new(peer: SocketAddr, local: IpAddr) -> Self {
        Self {
            peer,
            local,
            sender: Arc::default(),
            waiting: Arc::default(),
            silent_ms: Arc::default(),
            used_ms: AtomicU64::new(0),
            opening: tokio::sync::Mutex::new(()),
        }
    }

    /// Sends a call to the sidecar and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that says whether the sidecar may have processed the call.
    pub async fn call(
        &self,
        request: Request<()>,
        body: Body,
    ) -> std::result::Result<Response<RecvStream>, Failure> {
        self.used_ms.store(clock::unix_ms(), Ordering::Relaxed);
        let mut sender = self.sender(None).await.map_err(|_| Failure::Unsent)?;
        let empty = http_body::Body::is_end_stream(&body);
        let deferred = request.headers().contains_key(header::EXPECT);
        // An error here means that no stream was opened, so nothing was sent.
        let sent = sender.send_request(request, empty);
        let (response, stream) = sent.map_err(|_| Failure::Unsent)?;
        let _waiting = WaitingGuard::begin(&self.waiting);
        let sending = (!empty).then_some((body, stream));
        let result = exchange_call(response, sending, deferred).await;
        result.map_err(|error| {
            self.sender.store(None);
            classify(&error)
        })
    }

    /// Whether the peer recently failed to reply to a ping.
    ///
    /// The host of a frozen peer still accepts connections, so a new one does not prove that the peer
    /// responds: each call would wait until the silence is detected again.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        let ago_ms = clock::unix_ms().saturating_sub(self.silent_ms.load(Ordering::Relaxed));
        ago_ms < Millis::from(SILENT_PERIOD).0
    }

    /// Closes the connection if no call has begun within the idle time-out; calls in flight end first.
    pub fn close_idle(&self) {
        let idle_ms = clock::unix_ms().saturating_sub(self.used_ms.load(Ordering::Relaxed));
        if idle_ms > Millis::from(IDLE_TIMEOUT).0 {
            self.sender.store(None);
        }
    }

    /// Sends a control message and decodes the response.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the message was not sent, [`Error::Peer`] or [`Error::Frame`] if it may
    /// have been.
    pub async fn exchange<T: DeserializeOwned>(
        &self,
        meter: &Arc<Meter>,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let exchange = async {
            let mut sender = self.sender(Some(meter)).await?;
            let uri = format!("http://{}{path}", self.peer);
            let request = Request::builder().method(Method::POST).uri(uri).body(());
            let request = request.map_err(|e| self.unreachable_error(&e.to_string()))?;
            let sent = sender.send_request(request, false);
            let (response, mut stream) =
                sent.map_err(|e| self.unreachable_error(&e.to_string()))?;
            stream::send_message(&mut stream, body)
                .await
                .map_err(|e| self.peer_error(&e.to_string()))?;
            let response = response
                .await
                .map_err(|e| self.peer_error(&e.to_string()))?;
            let body = read_body(response.into_body()).await;
            wire::decode(&body.map_err(|e| self.peer_error(&e.to_string()))?)
        };
        let response = match tokio::time::timeout(CONTROL_TIMEOUT, exchange).await {
            Ok(response) => response,
            Err(_) => Err(self.peer_error("no response within 3 s")),
        };
        if response.is_err() {
            self.sender.store(None);
        }
        response
    }

    /// A sender with capacity for one more request; connects if necessary.
    async fn sender(&self, meter: Option<&Arc<Meter>>) -> Result<SendRequest<Bytes>> {
        if let Some(sender) = self.ready().await {
            return Ok(sender);
        }
        let _opening = self.opening.lock().await;
        if let Some(sender) = self.ready().await {
            return Ok(sender);
        }
        let sender = self.open(meter).await?;
        self.sender.store(Some(Arc::new(sender.clone())));
        Ok(sender)
    }

    async fn ready(&self) -> Option<SendRequest<Bytes>> {
        let sender = SendRequest::clone(self.sender.load_full()?.as_ref());
        sender.ready().await.ok()
    }

    async fn open(&self, meter: Option<&Arc<Meter>>) -> Result<SendRequest<Bytes>> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let stream = match connecting {
            Ok(stream) => stream.map_err(|e| self.unreachable_error(&e.to_string()))?,
            Err(_) => return Err(self.unreachable_error("no connection within 500 ms")),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| self.unreachable_error(&e.to_string()))?;
        let stream = MeteredStream::new(stream, meter.cloned());
        let last_received = stream.last_received();
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(stream);
        let (sender, mut connection) = match tokio::time::timeout(CONNECT_TIMEOUT, handshake).await
        {
            Ok(pair) => pair.map_err(|e| self.unreachable_error(&e.to_string()))?,
            Err(_) => return Err(self.unreachable_error("no h2 handshake within 500 ms")),
        };
        if let Some(pings) = connection.ping_pong() {
            let (waiting, current) = (Arc::clone(&self.waiting), Arc::clone(&self.sender));
            let silent_ms = Arc::clone(&self.silent_ms);
            let silence = wait_until_silent(pings, last_received, waiting);
            tokio::spawn(async move {
                tokio::select! {
                    // However the connection ended, the next call opens a new one.
                    _ = &mut connection => {}
                    () = silence => {
                        current.store(None);
                        silent_ms.store(clock::unix_ms(), Ordering::Relaxed);
                        metrics::counter!("jackdaw_silent_links_total").increment(1);
                        // Calls in flight may still be answered, and are bounded by their own time-outs.
                        let _ = connection.await;
                    }
                }
            });
        }
        sender
            .ready()
            .await
            .map_err(|e| self.unreachable_error(&e.to_string()))
    }

    /// Connects from this daemon's own address, so that on a host with several addresses peers see the
    /// one that they know.
    async fn connect(&self) -> io::Result<TcpStream> {
        let (socket, any) = match self.local {
            IpAddr::V4(_) => (TcpSocket::new_v4()?, self.local.is_unspecified()),
            IpAddr::V6(_) => (TcpSocket::new_v6()?, self.local.is_unspecified()),
        };
        if !any && self.local.is_ipv4() == self.peer.is_ipv4() {
            socket.bind(SocketAddr::new(self.local, 0))?;
        }
        socket.connect(self.peer).await
    }

    fn unreachable_error(&self, reason: &str) -> Error {
        Error::Unreachable {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }

    fn peer_error(&self, reason: &str) -> Error {
        Error::Peer {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }
}

/// Sends a body and waits for the head of the response; a `deferred` body is sent only after an
/// informational response (100 Continue).
///
/// Dropping the future stops sending and resets the stream: otherwise a body that is no longer needed
/// would keep the link busy to its end.
async fn exchange_call(
    mut response: ResponseFuture,
    sending: Option<(Body, SendStream<Bytes>)>,
    deferred: bool,
) -> std::result::Result<Response<RecvStream>, h2::Error> {
    let Some((body, stream)) = sending else {
        return response.await;
    };
    if deferred {
        let informational = std::future::poll_fn(|cx| response.poll_informational(cx)).await;
        if informational.transpose()?.is_none() {
            // The final response arrived before the body was requested: a refusal.
            return response.await;
        }
    }
    let mut sending_body = Box::pin(stream::send_body(body, stream));
    tokio::select! {
        biased;
        response = &mut response => {
            // The target responded before it had read the whole body; the rest is still sent.
            tokio::spawn(sending_body);
            response
        }
        // A body that fails resets its stream, which the response reports.
        _ = &mut sending_body => response.await,
    }
}

/// Counts a waiting call until dropped.
struct WaitingGuard(Arc<AtomicU32>);

impl WaitingGuard {
    fn begin(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the peer of a connection no longer replies to pings.
///
/// Guards against a connection that is dead without a reset, or a frozen peer: calls on it would wait
/// until they time out. Pings are sent only while calls wait and no data has been received for a
/// while, since a ping costs as much as a small call.
async fn wait_until_silent(
    mut pings: PingPong,
    last_received: Arc<AtomicU64>,
    waiting: Arc<AtomicU32>,
) {
    let mut checks = tokio::time::interval(QUIET_PERIOD);
    checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let quiet_ms = clock::unix_ms().saturating_sub(last_received.load(Ordering::Relaxed));
        if waiting.load(Ordering::Relaxed) == 0 || quiet_ms < Millis::from(QUIET_PERIOD).0 {
            continue;
        }
        let pong = tokio::time::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await;
        let heard_ms = clock::unix_ms().saturating_sub(last_received.load(Ordering::Relaxed));
        if !matches!(pong, Ok(Ok(_))) && heard_ms >= Millis::from(PONG_TIMEOUT).0 {
            return;
        }
    }
}

/// Flow-control window of a stream for data towards the peer that opened it, in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;

/// Classifies by whether the sidecar may have processed a failed call.
///
/// Only a reset with `REFUSED_STREAM` proves that it has not: any other reset or a broken connection
/// may follow the dispatch of the call.
fn classify(error: &h2::Error) -> Failure {
    let refused = error.is_reset() && error.is_remote();
    if refused && error.reason() == Some(Reason::REFUSED_STREAM) {
        Failure::Unsent
    } else {
        Failure::Broken
    }
}

/// Reads the body of a control message, up to the maximum frame size.
///
/// # Errors
///
/// The error of the stream, or that the message is too large.
pub async fn read_body(mut stream: RecvStream) -> std::result::Result<Bytes, stream::BoxError> {
    let mut body = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        if body.len() + data.len() > wire::MAX_FRAME {
            return Err("the message exceeds 8 MiB".into());
        }
        body.extend_from_slice(&data);
        stream.flow_control().release_capacity(data.len())?;
    }
    Ok(body.freeze())
}
