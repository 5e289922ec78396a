//! Transfer of bodies between h2 streams and HTTP/1 connections.
//!
//! Both directions apply back-pressure: a frame is read only when the other side has room. A body
//! that breaks off on one side is aborted on the other, never ended cleanly.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use http::header::{self, HeaderMap, HeaderName};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::Notify;
use volo_http::body::Body;

use crate::calls::overrun::Cut;

/// Error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Flow-control window of a request stream, in bytes.
///
/// It bounds how much of each body is in transit, since small calls to the same host wait behind
/// that.
pub const REQUEST_WINDOW_BYTES: u32 = 8 << 10;
/// Bodies up to this many bytes are sent along with their heads, as they hardly load a link.
const SMALL_BODY_BYTES: u64 = REQUEST_WINDOW_BYTES as u64;

/// Whether a body is large enough to be sent only once the receiver asks for it.
#[must_use]
pub fn is_large(headers: &HeaderMap, body: &Body) -> bool {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let small = length.is_some_and(|length| length <= SMALL_BODY_BYTES);
    !small && !http_body::Body::is_end_stream(body)
}

/// Signal that lets a peer send a body it has deferred (`Expect: 100-continue`).
///
/// Travels inside the daemon as an extension of the request.
#[derive(Debug, Clone, Default)]
pub struct Continue(Arc<Notify>);

impl Continue {
    /// Asks the peer for the body.
    pub fn send(&self) {
        self.0.notify_one();
    }

    /// Waits until the body is asked for.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Names that `Connection` lists as applying to one connection only, but for two that every message needs.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST && *name != header::CONTENT_LENGTH)
}

/// Removes headers that apply to one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_options(headers).collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
}

/// The receiving half of an h2 stream as a body.
#[derive(Debug)]
pub struct Incoming {
    stream: RecvStream,
}

impl Incoming {
    /// Wraps a stream whose headers have been read.
    #[must_use]
    pub const fn new(stream: RecvStream) -> Self {
        Self { stream }
    }

    /// The stream as a [`Body`].
    #[must_use]
    pub fn into_body(self) -> Body {
        if self.stream.is_end_stream() {
            Body::empty()
        } else {
            Body::from_body(self)
        }
    }
}

impl http_body::Body for Incoming {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match ready!(self.stream.poll_data(cx)) {
            Some(Ok(data)) => {
                let released = self.stream.flow_control().release_capacity(data.len());
                Poll::Ready(Some(
                    released.map(|()| Frame::data(data)).map_err(Into::into),
                ))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error.into()))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.stream.is_end_stream()
    }
}

/// A body that owns a value, such as a slot, until it is dropped.
#[derive(Debug)]
pub struct Guarded<T> {
    body: Body,
    _value: T,
}

impl<T: Send + Sync + Unpin + 'static> Guarded<T> {
    /// Wraps a body so that it owns `value`.
    #[must_use]
    pub fn wrap(body: Body, value: T) -> Body {
        Body::from_body(Self {
            body,
            _value: value,
        })
    }
}

impl<T: Unpin> http_body::Body for Guarded<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body read into memory up to a bound.
#[derive(Debug)]
pub enum Buffered {
    /// The whole body.
    Whole(Bytes),
    /// A body beyond the bound: the part read so far, then the rest as it arrives.
    Partial(Body),
}

/// Reads a body into memory, up to about `limit` bytes.
///
/// # Errors
///
/// The error that ended the body early.
pub async fn buffer(mut body: Body, limit: usize) -> Result<Buffered, BoxError> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= limit {
        let Some(frame) = body.frame().await else {
            return Ok(Buffered::Whole(buffered.freeze()));
        };
        if let Ok(data) = frame?.into_data() {
            if buffered.is_empty() && http_body::Body::is_end_stream(&body) {
                return Ok(Buffered::Whole(data));
            }
            buffered.extend_from_slice(&data);
        }
    }
    let partial = Prefixed {
        prefix: Some(buffered.freeze()),
        rest: body,
    };
    Ok(Buffered::Partial(Body::from_body(partial)))
}

/// A body whose first part has been read into memory.
#[derive(Debug)]
struct Prefixed {
    prefix: Option<Bytes>,
    rest: Body,
}

impl http_body::Body for Prefixed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }
}

/// Sends a whole body over an h2 stream as the receiver makes room for it.
///
/// # Errors
///
/// The body's or the stream's error. If the body breaks off, the stream is reset, so that the
/// receiver does not take it for complete.
pub async fn send_body(mut body: Body, mut stream: SendStream<Bytes>) -> Result<(), BoxError> {
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                // Ending the stream here would make a truncated body look complete.
                stream.send_reset(reset_reason(&error));
                return Err(error);
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        // The end goes with the last data if it is known, which saves the receiver one wake-up.
        let last = http_body::Body::is_end_stream(&body);
        send(&mut stream, data, last).await?;
        if last {
            return Ok(());
        }
    }
    Ok(stream.send_data(Bytes::new(), true)?)
}

/// Tells the receiver whether the sender's own source broke off, or its caller did not read in time.
fn reset_reason(error: &BoxError) -> Reason {
    if is_source_failure(error) {
        Reason::INTERNAL_ERROR
    } else {
        Reason::CANCEL
    }
}

/// Whether a body broke off because of its source, and not because its caller did not read in time.
#[must_use]
pub fn is_source_failure(error: &BoxError) -> bool {
    if let Some(cut) = error.downcast_ref::<Cut>() {
        return cut.end.is_source_failure();
    }
    let reset = error.downcast_ref::<h2::Error>();
    reset.is_none_or(|error| error.reason() != Some(Reason::CANCEL))
}

/// Sends a whole message and ends the stream.
///
/// # Errors
///
/// The stream's error.
pub async fn send_message(stream: &mut SendStream<Bytes>, data: Bytes) -> Result<(), BoxError> {
    send(stream, data, true).await
}

/// Sends data as the receiver makes room for it, and ends the stream with it when it is the `last`.
async fn send(stream: &mut SendStream<Bytes>, mut data: Bytes, last: bool) -> Result<(), BoxError> {
    if data.is_empty() && last {
        stream.send_data(data, true)?;
        return Ok(());
    }
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let room = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        match room {
            Some(Ok(room)) => {
                let chunk = data.split_to(room.min(data.len()));
                stream.send_data(chunk, last && data.is_empty())?;
            }
            Some(Err(error)) => return Err(error.into()),
            None => return Err("receiver closed the stream before the end of the body".into()),
        }
    }
    Ok(())
}
