//! The server for other daemons: control messages and calls handed over.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason as H2Reason, RecvStream};
use http::{Request, Response, StatusCode, header};
use slog::debug;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use volo_http::body::Body;

use crate::board::Board;
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
use crate::peer::counted::Counted;
use crate::peer::link::{CONNECTION_WINDOW, collect};
use crate::units::Millis;
use crate::{clock, wire};

/// Path of a [`Join`].
pub const JOIN: &str = "/control/join";
/// Requests that one connection may have open.
const MAX_STREAMS: u32 = 1_024;
/// Largest head of a request, in bytes.
const MAX_HEAD: u32 = 64 << 10;

/// Everything that peers can ask for.
#[derive(Debug)]
pub struct Server {
    /// The blackboard.
    pub board: Arc<Board>,
    /// Takes calls.
    pub gate: Arc<Sidecar>,
    /// Takes notes of keys.
    pub keys: Arc<Deduplicator>,
    /// Takes and serves content.
    pub relay: Arc<Relay>,
    /// Lets joiners in.
    pub membership: Arc<Membership>,
}

impl Server {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) when the address can't be had.
    pub async fn listen(&self) -> Result<TcpListener> {
        let address = self.board.settings.peer_addr;
        TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })
    }

    /// Accepts connections for as long as the daemon runs.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            // An error here is one connection's or a lack of descriptors; the listener is kept.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let server = Arc::clone(&self);
            tokio::spawn(async move {
                if let Err(error) = server.connection(stream).await {
                    debug!(server.board.logger, "connection ended"; "error" => %error);
                }
            });
        }
    }

    async fn connection(self: &Arc<Self>, stream: TcpStream) -> Result<(), h2::Error> {
        let _ = stream.set_nodelay(true);
        let counted = Counted::new(stream, Some(Arc::clone(&self.board.meter)));
        let calls = counted.calls();
        let transit = Arc::new(Estimator::default());
        let mut connection = h2::server::Builder::new()
            .initial_window_size(REQUEST_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEAD)
            .handshake(counted)
            .await?;
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            let server = Arc::clone(self);
            if request.headers().contains_key(METADATA) {
                calls.store(true, Ordering::Relaxed);
                let transit = Arc::clone(&transit);
                tokio::spawn(async move { server.call(request, respond, &transit).await });
            } else {
                tokio::spawn(async move { server.control(request, respond).await });
            }
        }
        Ok(())
    }

    /// Answers one control message; a faulty one is reset, and the connection goes on.
    async fn control(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let path = request.uri().path().to_owned();
        let answer = match collect(request.into_body()).await {
            Ok(body) => self.answer(&path, &body).await,
            Err(error) => FrameSnafu {
                reason: error.to_string(),
            }
            .fail(),
        };
        match answer {
            Ok(answer) => {
                if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
                    let _ = stream::send_message(&mut stream, answer).await;
                }
            }
            Err(error) => {
                metrics::counter!("jackdaw_bad_frames_total").increment(1);
                debug!(self.board.logger, "bad frame"; "path" => path, "error" => %error);
                respond.send_reset(H2Reason::PROTOCOL_ERROR);
            }
        }
    }

    async fn answer(&self, path: &str, body: &[u8]) -> Result<Bytes> {
        match path {
            PUSH_PATH => Ok(wire::encode(
                &self.relay.accept_push(wire::decode::<Reply>(body)?),
            )),
            PULL_PATH => Ok(self.relay.answer_pull(&wire::decode::<Pull>(body)?).await),
            JOIN => Ok(wire::encode(
                &self.membership.welcome(&wire::decode::<Join>(body)?),
            )),
            INTENT_PATH => self.note(&wire::decode::<Intent>(body)?),
            HANDOFF_PATH => Ok(wire::encode(&self.keys.accept_handoff(&wire::decode::<
                Handoff,
            >(
                body
            )?))),
            _ => FrameSnafu {
                reason: format!("nothing is served at {path}"),
            }
            .fail(),
        }
    }

    fn note(&self, note: &Intent) -> Result<Bytes> {
        let reason = "this gate has handed its keys over".to_owned();
        let noted = self.keys.record_intent(note);
        noted
            .map(|noted| wire::encode(&noted))
            .ok_or(Error::Frame { reason })
    }

    /// Runs one call that an entry handed over.
    async fn call(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        transit: &Estimator,
    ) {
        let (mut parts, stream) = request.into_parts();
        let Ok(mut handover) = read_metadata(&mut parts.headers) else {
            metrics::counter!("jackdaw_bad_frames_total").increment(1);
            respond.send_reset(H2Reason::REFUSED_STREAM);
            return;
        };
        // Guards against work for callers that have left: on a full link a call is on its way for most of a
        // second, and its caller's time runs out meanwhile. By what its entry wrote it would run all the
        // same, and the target would get more time than there is. The gate refuses what came too late.
        let late = Millis::from(transit.excess(handover.sent_ms, clock::boot_ms()));
        handover.remaining.0 = handover.remaining.0.saturating_sub(late.0);
        handover.max_wait.0 = handover.max_wait.0.saturating_sub(late.0);
        let held_back = Continue::default();
        if parts.headers.contains_key(header::EXPECT) {
            parts.extensions.insert(held_back.clone());
        }
        let request = Request::from_parts(parts, Incoming::new(stream).into_body());
        let mut run = pin!(self.gate.run(handover, request));
        let response = loop {
            tokio::select! {
                // What nobody waits for is not begun where its end has come with it.
                biased;
                // The entry has given up: dropping the run closes its connection to the target.
                _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return,
                response = &mut run => break response,
                () = held_back.wait() => {
                    let mut go_on = Response::new(());
                    *go_on.status_mut() = StatusCode::CONTINUE;
                    // An error means that the entry has gone, which the reset tells as well.
                    let _ = respond.send_informational(go_on);
                }
            }
        };
        send(response, respond).await;
    }
}

async fn send(response: Response<Body>, mut respond: SendResponse<Bytes>) {
    let (parts, body) = response.into_parts();
    let empty = http_body::Body::is_end_stream(&body);
    // On an error the entry has gone, and there is nobody to tell.
    if let Ok(stream) = respond.send_response(Response::from_parts(parts, ()), empty)
        && !empty
    {
        let _ = stream::send_body(body, stream).await;
    }
}
