//! Tasks of calls that are started early.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, header};
use http_body::{Body as _, Frame};
use http_body_util::Full;
use tokio::task::{JoinError, JoinHandle};
use volo_http::body::Body;

use crate::calls::pipeline::MAX_KEPT_BYTES;
use crate::calls::pipeline::budget::{Budget, Charge};
use crate::calls::stream::{self, BoxError, Buffered};

/// A task that is cancelled on drop.
#[derive(Debug)]
pub struct Task<T>(JoinHandle<T>);

impl<T: Send + 'static> Task<T> {
    /// Starts a task.
    pub fn spawn(work: impl Future<Output = T> + Send + 'static) -> Self {
        Self(tokio::spawn(work))
    }
}

impl<T> Future for Task<T> {
    type Output = Result<T, JoinError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx)
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads a small body into memory, so that the response holds no slot while it waits for its turn.
///
/// A body that is larger, or for which no memory is left, is left as it is.
pub async fn buffer(
    response: Response<Body>,
    budget: Arc<Budget>,
) -> (Response<Body>, Option<Charge>) {
    let (parts, body) = response.into_parts();
    if body.is_end_stream() {
        return (Response::from_parts(parts, Body::empty()), None);
    }
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let length = length.unwrap_or(MAX_KEPT_BYTES);
    let Some(mut charge) = budget
        .try_charge(length)
        .filter(|_| length <= MAX_KEPT_BYTES)
    else {
        return (Response::from_parts(parts, body), None);
    };
    let body = match stream::buffer(body, MAX_KEPT_BYTES).await {
        Ok(Buffered::Whole(bytes)) => {
            charge.resize(bytes.len());
            Body::from_body(Full::new(bytes))
        }
        Ok(Buffered::Partial(body)) => body,
        Err(error) => Body::from_body(Broken(Some(error))),
    };
    (Response::from_parts(parts, body), Some(charge))
}

/// A body that breaks off at once.
#[derive(Debug)]
struct Broken(Option<BoxError>);

impl http_body::Body for Broken {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Poll::Ready(self.0.take().map(Err))
    }
}
