//! Caller's session: an HTTP/1.1 connection that stays open until the server closes it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Value of a header; empty if it is missing or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Whether the server closes the connection after this response.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.header(header::CONNECTION.as_str())
            .eq_ignore_ascii_case("close")
    }
}

/// Reason for the lack of a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened: nothing was sent.
    Refused,
    /// The connection broke before the end of the response.
    Cut(String),
    /// No complete response within the time-out.
    Silent,
}

/// Connection that is opened on first use and reopened after it was closed.
#[derive(Debug)]
pub struct Session {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    /// Connections opened so far.
    pub connections: usize,
}

impl Session {
    /// Creates a session with the server at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
            connections: 0,
        }
    }

    /// Directs further requests to another address, over a new connection.
    pub fn reconnect_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.sender = None;
    }

    /// Builds a request.
    ///
    /// # Panics
    ///
    /// When the path or a header is not valid.
    #[must_use]
    pub fn request(
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, "shop");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("trials write valid requests")
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// When there is no complete response within `timeout`.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let result = tokio::time::timeout(timeout, self.exchange(request)).await;
        let result = result.unwrap_or(Err(Failure::Silent));
        match &result {
            Ok(answer) if !answer.closes_connection() => {}
            _ => self.sender = None,
        }
        result
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        // Reopens a connection that the server closed while it was idle, as any client does.
        if self.sender.as_mut().is_none_or(|sender| sender.is_closed()) {
            self.sender = Some(self.open().await?);
            self.connections += 1;
        }
        let sender = self.sender.as_mut().ok_or(Failure::Refused)?;
        let cut = |error: hyper::Error| Failure::Cut(format!("{error:?}"));
        sender.ready().await.map_err(cut)?;
        let response = sender.send_request(request).await.map_err(cut)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(cut)?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| Failure::Refused)?;
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Refused)?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// Sends one request over a new connection.
///
/// # Errors
///
/// When there is no complete response within 15 s.
pub async fn send_once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Answer, Failure> {
    let request = Session::request(method, path, &[], body);
    Session::new(address)
        .send(request, Duration::from_secs(15))
        .await
}
