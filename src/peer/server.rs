//! Server for other daemons: control messages and forwarded calls.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason as H2Reason, RecvStream};
use http::{Request, Response, StatusCode, header};
use slog::debug;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo_http::body::Body;

use crate::calls::http_server::{self, Phase};
use crate::calls::metadata::{METADATA, read_metadata};
use crate::calls::sidecar::Sidecar;
use crate::calls::stream::{self, Continue, Incoming, REQUEST_WINDOW_BYTES};
use crate::calls::transit_delay::Estimator;
use crate::configuration::exchange::{Pull, Reply};
use crate::configuration::relay::{PULL_PATH, PUSH_PATH, Relay};
use crate::error::{Error, FrameSnafu, ListenSnafu, Result};
use crate::idempotency::deduplicator::{Deduplicator, HANDOFF_PATH, INTENT_PATH};
use crate::idempotency::keys::{Handoff, Intent};
use crate::membership::controller::Membership;
use crate::membership::datagram::Join;
use crate::peer::link::{CONNECTION_WINDOW_BYTES, read_body};
use crate::peer::metered_stream::MeteredStream;
use crate::shared_state::{InFlight, SharedState};
use crate::units::Millis;
use crate::{clock, linger, wire};

/// Path of a [`Join`].
pub const JOIN_PATH: &str = "/control/join";
/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 1_024;
/// Maximum size of a request's header list, in bytes.
const MAX_HEADER_BYTES: u32 = 64 << 10;

/// Serves requests of other daemons.
#[derive(Debug)]
pub struct Server {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Runs forwarded calls.
    pub sidecar: Arc<Sidecar>,
    /// Records intents and handoffs of idempotency keys.
    pub keys: Arc<Deduplicator>,
    /// Receives and serves configuration updates.
    pub relay: Arc<Relay>,
    /// Replies to joining daemons.
    pub membership: Arc<Membership>,
    /// Closes the connections before the process ends.
    pub phase: watch::Receiver<Phase>,
}

/// A connection that is being closed.
struct Closing {
    /// Keeps the process until the peer has received everything; `None` if nothing was sent to it
    /// lately, since a peer that is gone must not delay the end of the process.
    _in_flight: Option<InFlight>,
    deadline: Instant,
}

impl Closing {
    /// Waits until the peer may be given up.
    async fn expired(closing: Option<&Self>) {
        match closing {
            Some(closing) => tokio::time::sleep_until(closing.deadline.into()).await,
            None => std::future::pending().await,
        }
    }
}

impl Server {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) if the address cannot be bound.
    pub async fn listen(&self) -> Result<TcpListener> {
        let address = self.shared.settings.peer_addr;
        TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })
    }

    /// Accepts connections for as long as the daemon runs.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            // An error concerns one connection or a lack of file descriptors; the listener stays open.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let server = Arc::clone(&self);
            tokio::spawn(async move {
                if let Err(error) = server.connection(stream).await {
                    debug!(server.shared.logger, "connection ended"; "error" => %error);
                }
            });
        }
    }

    async fn connection(self: &Arc<Self>, stream: TcpStream) -> Result<(), h2::Error> {
        let _ = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream, Some(Arc::clone(&self.shared.meter))).lingering();
        let (carries_calls, last_sent) = (stream.carries_calls(), stream.last_sent());
        let transit_delay = Arc::new(Estimator::default());
        let mut connection = h2::server::Builder::new()
            .initial_window_size(REQUEST_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .handshake(stream)
            .await?;
        let mut phase = self.phase.clone();
        let mut closing: Option<Closing> = None;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = http_server::wait_for_phase(&mut phase, Phase::Ending), if closing.is_none() => {
                    // The peer closes the connection after its last stream.
                    connection.graceful_shutdown();
                    closing = Some(self.begin_close(&last_sent));
                    continue;
                }
                () = Closing::expired(closing.as_ref()) => return Ok(()),
            };
            let Some(accepted) = accepted else {
                return Ok(());
            };
            let (request, respond) = accepted?;
            let server = Arc::clone(self);
            if request.headers().contains_key(METADATA) {
                carries_calls.store(true, Ordering::Relaxed);
                let transit_delay = Arc::clone(&transit_delay);
                tokio::spawn(async move { server.call(request, respond, &transit_delay).await });
            } else {
                tokio::spawn(async move { server.control(request, respond).await });
            }
        }
    }

    fn begin_close(&self, last_sent: &AtomicU64) -> Closing {
        let sent_ms = last_sent.load(Ordering::Relaxed);
        let idle = Duration::from_millis(clock::unix_ms().saturating_sub(sent_ms));
        Closing {
            _in_flight: linger::is_needed(idle, None).then(|| self.shared.track_call()),
            deadline: Instant::now() + linger::STALL_TIMEOUT,
        }
    }

    /// Answers one control message; resets the stream of an invalid one, but keeps the connection.
    async fn control(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let path = request.uri().path().to_owned();
        let response = match read_body(request.into_body()).await {
            Ok(body) => self.handle_control(&path, &body).await,
            Err(error) => FrameSnafu {
                reason: error.to_string(),
            }
            .fail(),
        };
        match response {
            Ok(response) => {
                if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
                    let _ = stream::send_message(&mut stream, response).await;
                }
            }
            Err(error) => {
                metrics::counter!("jackdaw_bad_frames_total").increment(1);
                debug!(self.shared.logger, "invalid control message"; "path" => path, "error" => %error);
                respond.send_reset(H2Reason::PROTOCOL_ERROR);
            }
        }
    }

    async fn handle_control(&self, path: &str, body: &[u8]) -> Result<Bytes> {
        match path {
            PUSH_PATH => Ok(wire::encode(
                &self.relay.accept_push(wire::decode::<Reply>(body)?),
            )),
            PULL_PATH => Ok(self.relay.answer_pull(&wire::decode::<Pull>(body)?).await),
            JOIN_PATH => Ok(wire::encode(
                &self.membership.welcome(&wire::decode::<Join>(body)?),
            )),
            INTENT_PATH => self.record_intent(&wire::decode::<Intent>(body)?),
            HANDOFF_PATH => Ok(wire::encode(&self.keys.accept_handoff(&wire::decode::<
                Handoff,
            >(
                body
            )?))),
            _ => FrameSnafu {
                reason: format!("unknown path {path}"),
            }
            .fail(),
        }
    }

    fn record_intent(&self, intent: &Intent) -> Result<Bytes> {
        let reason = "this sidecar has handed off its keys".to_owned();
        let ack = self.keys.record_intent(intent);
        ack.map(|ack| wire::encode(&ack))
            .ok_or(Error::Frame { reason })
    }

    /// Runs one call that an ingress forwarded.
    async fn call(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        transit_delay: &Estimator,
    ) {
        let (mut parts, stream) = request.into_parts();
        let Ok(mut metadata) = read_metadata(&mut parts.headers) else {
            metrics::counter!("jackdaw_bad_frames_total").increment(1);
            respond.send_reset(H2Reason::REFUSED_STREAM);
            return;
        };
        // Guards against running calls whose callers have given up: on a congested link a call can be in
        // transit for most of a second, which the remaining time written by its ingress does not include.
        // Without the correction the target would get more time than is left; the sidecar refuses a call
        // that arrives too late.
        let excess = Millis::from(transit_delay.excess(metadata.sent_ms, clock::boot_ms()));
        metadata.remaining.0 = metadata.remaining.0.saturating_sub(excess.0);
        metadata.max_wait.0 = metadata.max_wait.0.saturating_sub(excess.0);
        let body_request = Continue::default();
        if parts.headers.contains_key(header::EXPECT) {
            parts.extensions.insert(body_request.clone());
        }
        let request = Request::from_parts(parts, Incoming::new(stream).into_body());
        let mut run = pin!(self.sidecar.run(metadata, request));
        let response = loop {
            tokio::select! {
                // Checks for a reset first, so that a call that was reset on arrival does not begin.
                biased;
                // The ingress has given up: dropping `run` closes its connection to the target.
                _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return,
                response = &mut run => break response,
                () = body_request.wait() => {
                    let mut response = Response::new(());
                    *response.status_mut() = StatusCode::CONTINUE;
                    // An error means that the ingress has gone, which the reset reports as well.
                    let _ = respond.send_informational(response);
                }
            }
        };
        send(response, respond).await;
    }
}

async fn send(response: Response<Body>, mut respond: SendResponse<Bytes>) {
    let (parts, body) = response.into_parts();
    let empty = http_body::Body::is_end_stream(&body);
    // An error means that the ingress has gone, so there is nobody to report it to.
    if let Ok(stream) = respond.send_response(Response::from_parts(parts, ()), empty)
        && !empty
    {
        let _ = stream::send_body(body, stream).await;
    }
}
