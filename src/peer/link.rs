//! One daemon's connection to another: h2 over TCP.
//!
//! A [`Link`] is one daemon's connection to another. Control messages are single POSTs with
//! bincode bodies; calls are ordinary requests with a [`Metadata`](crate::calls::metadata::Metadata) in a
//! header. Links for calls and links for control are separate connections, so that control bytes
//! can be counted where they are sent.

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
use crate::peer::counted::Counted;
use crate::telemetry::Meter;
use crate::units::Millis;
use crate::wire;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for the answer to a control message.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time without a byte after which a link with waiting calls is asked for a sign of life: longer
/// than most calls, so that a busy link is never asked.
const QUIET: Duration = Duration::from_millis(300);
/// Time for that sign: many times the way there and back.
const PONG: Duration = Duration::from_millis(400);
/// Time for which a peer that went silent is left alone: about as long as processes are frozen.
const SILENCE: Duration = Duration::from_secs(2);
/// Time after which an idle link is closed.
pub const IDLE: Duration = Duration::from_mins(1);

/// Why a call has no answer from its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The gate provably did not process it.
    Unsent,
    /// The gate may have processed it.
    Broken,
}

/// One daemon's connection to another, opened when first needed.
#[derive(Debug)]
pub struct Link {
    peer: SocketAddr,
    home: IpAddr,
    sender: Arc<ArcSwapOption<SendRequest<Bytes>>>,
    /// Calls that wait for the head of their answer.
    waiting: Arc<AtomicU32>,
    /// When the other end went silent last, in milliseconds since 1970.
    silent_ms: Arc<AtomicU64>,
    /// When it was used last, in milliseconds since 1970.
    used_ms: AtomicU64,
    /// Held by callers of this link alone, while one of them connects.
    opening: tokio::sync::Mutex<()>,
}

impl Link {
    /// A link from the address `home` that is not open yet.
    #[must_use]
    pub fn new(peer: SocketAddr, home: IpAddr) -> Self {
        Self {
            peer,
            home,
            sender: Arc::default(),
            waiting: Arc::default(),
            silent_ms: Arc::default(),
            used_ms: AtomicU64::new(0),
            opening: tokio::sync::Mutex::new(()),
        }
    }

    /// Sends a call to the gate and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that tells whether the gate may have processed it.
    pub async fn call(
        &self,
        request: Request<()>,
        body: Body,
    ) -> std::result::Result<Response<RecvStream>, Failure> {
        self.used_ms.store(clock::unix_ms(), Ordering::Relaxed);
        let mut sender = self.sender(None).await.map_err(|_| Failure::Unsent)?;
        let empty = http_body::Body::is_end_stream(&body);
        let held_back = request.headers().contains_key(header::EXPECT);
        // An error here means that no stream was opened, so nothing has left this process.
        let sent = sender.send_request(request, empty);
        let (response, stream) = sent.map_err(|_| Failure::Unsent)?;
        let _waiting = Waiting::begin(&self.waiting);
        let sending = (!empty).then_some((body, stream));
        let answered = answered(response, sending, held_back).await;
        answered.map_err(|error| {
            self.sender.store(None);
            classify(&error)
        })
    }

    /// Whether the other end went silent a moment ago.
    ///
    /// A frozen peer's host still takes connections, so that a new one proves nothing: every call
    /// would wait for the silence to be noticed again.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        let ago_ms = clock::unix_ms().saturating_sub(self.silent_ms.load(Ordering::Relaxed));
        ago_ms < Millis::from(SILENCE).0
    }

    /// Closes the connection when no call has begun for a while; calls in flight end first.
    pub fn close_idle(&self) {
        let idle_ms = clock::unix_ms().saturating_sub(self.used_ms.load(Ordering::Relaxed));
        if idle_ms > Millis::from(IDLE).0 {
            self.sender.store(None);
        }
    }

    /// Sends a control message and decodes its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] before it was sent, [`Error::Peer`] or [`Error::Frame`] after.
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
            let request = request.map_err(|e| self.unreachable(&e.to_string()))?;
            let sent = sender.send_request(request, false);
            let (response, mut stream) = sent.map_err(|e| self.unreachable(&e.to_string()))?;
            stream::send_message(&mut stream, body)
                .await
                .map_err(|e| self.failed(&e.to_string()))?;
            let response = response.await.map_err(|e| self.failed(&e.to_string()))?;
            let body = collect(response.into_body()).await;
            wire::decode(&body.map_err(|e| self.failed(&e.to_string()))?)
        };
        let answer = match tokio::time::timeout(PATIENCE, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(self.failed("no answer in time")),
        };
        if answer.is_err() {
            self.sender.store(None);
        }
        answer
    }

    /// A sender with room for one more request, over a connection that is open.
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
        let connecting = tokio::time::timeout(CONNECT, self.connect()).await;
        let stream = match connecting {
            Ok(stream) => stream.map_err(|e| self.unreachable(&e.to_string()))?,
            Err(_) => return Err(self.unreachable("no connection in time")),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| self.unreachable(&e.to_string()))?;
        let counted = Counted::new(stream, meter.cloned());
        let heard = counted.heard();
        let handshake = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(counted);
        let (sender, mut connection) = match tokio::time::timeout(CONNECT, handshake).await {
            Ok(pair) => pair.map_err(|e| self.unreachable(&e.to_string()))?,
            Err(_) => return Err(self.unreachable("no handshake in time")),
        };
        if let Some(pings) = connection.ping_pong() {
            let (waiting, current) = (Arc::clone(&self.waiting), Arc::clone(&self.sender));
            let silent_ms = Arc::clone(&self.silent_ms);
            let watch = watch(pings, heard, waiting);
            tokio::spawn(async move {
                tokio::select! {
                    // However it ended, the next call opens another one.
                    _ = &mut connection => {}
                    () = watch => {
                        current.store(None);
                        silent_ms.store(clock::unix_ms(), Ordering::Relaxed);
                        metrics::counter!("jackdaw_silent_links_total").increment(1);
                        // What is under way may still be answered, and ends with its own time.
                        let _ = connection.await;
                    }
                }
            });
        }
        sender
            .ready()
            .await
            .map_err(|e| self.unreachable(&e.to_string()))
    }

    /// Connects from this daemon's own address, so that peers on hosts with several addresses
    /// see the one they know.
    async fn connect(&self) -> io::Result<TcpStream> {
        let (socket, any) = match self.home {
            IpAddr::V4(_) => (TcpSocket::new_v4()?, self.home.is_unspecified()),
            IpAddr::V6(_) => (TcpSocket::new_v6()?, self.home.is_unspecified()),
        };
        if !any && self.home.is_ipv4() == self.peer.is_ipv4() {
            socket.bind(SocketAddr::new(self.home, 0))?;
        }
        socket.connect(self.peer).await
    }

    fn unreachable(&self, reason: &str) -> Error {
        Error::Unreachable {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }

    fn failed(&self, reason: &str) -> Error {
        Error::Peer {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }
}

/// Sends a body, once it is asked for where it is `held_back`, and waits for the head of the answer.
///
/// Dropped, it sends no more and resets the stream: a body that nobody waits for would keep the link
/// busy to its end.
async fn answered(
    mut response: ResponseFuture,
    sending: Option<(Body, SendStream<Bytes>)>,
    held_back: bool,
) -> std::result::Result<Response<RecvStream>, h2::Error> {
    let Some((body, stream)) = sending else {
        return response.await;
    };
    if held_back {
        let told = std::future::poll_fn(|cx| response.poll_informational(cx)).await;
        if told.transpose()?.is_none() {
            // The answer has come without the body: a refusal.
            return response.await;
        }
    }
    let mut pumping = Box::pin(stream::send_body(body, stream));
    tokio::select! {
        biased;
        answer = &mut response => {
            // The target has answered before it has read the body; it reads the rest later.
            tokio::spawn(pumping);
            answer
        }
        // A body that broke off has reset its stream, which the answer tells.
        _ = &mut pumping => response.await,
    }
}

/// Counts a call that waits, until it is dropped.
struct Waiting(Arc<AtomicU32>);

impl Waiting {
    fn begin(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the other end of a connection has gone silent.
///
/// Guards against a connection that is dead without a reset, or a frozen peer: calls that take it
/// would wait for their whole time. It is asked only while calls wait and nothing was heard for a
/// while, since a ping costs as much as a small call.
async fn watch(mut pings: PingPong, heard: Arc<AtomicU64>, waiting: Arc<AtomicU32>) {
    let mut looks = tokio::time::interval(QUIET);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let quiet_ms = clock::unix_ms().saturating_sub(heard.load(Ordering::Relaxed));
        if waiting.load(Ordering::Relaxed) == 0 || quiet_ms < Millis::from(QUIET).0 {
            continue;
        }
        let pong = tokio::time::timeout(PONG, pings.ping(Ping::opaque())).await;
        let heard_ms = clock::unix_ms().saturating_sub(heard.load(Ordering::Relaxed));
        if !matches!(pong, Ok(Ok(_))) && heard_ms >= Millis::from(PONG).0 {
            return;
        }
    }
}

/// Flow-control window of a stream towards the peer that opened it, in bytes.
pub const WINDOW: u32 = 64 << 10;
/// Flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 1 << 20;

/// Tells whether the gate may have processed a call that failed.
///
/// Only a stream that was refused as such is proof: any other reset and every broken connection
/// may come after the gate has dispatched the call.
fn classify(error: &h2::Error) -> Failure {
    let refused = error.is_reset() && error.is_remote();
    if refused && error.reason() == Some(Reason::REFUSED_STREAM) {
        Failure::Unsent
    } else {
        Failure::Broken
    }
}

/// Collects a control body, bounded by the largest frame.
///
/// # Errors
///
/// What broke, or that the frame is too large.
pub async fn collect(mut stream: RecvStream) -> std::result::Result<Bytes, stream::BoxError> {
    let mut body = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        if body.len() + data.len() > wire::MAX_FRAME {
            return Err("the frame is too large".into());
        }
        body.extend_from_slice(&data);
        stream.flow_control().release_capacity(data.len())?;
    }
    Ok(body.freeze())
}
