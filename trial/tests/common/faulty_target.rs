//! A target that violates HTTP or its time-outs on purpose, written on raw sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use jackdaw_trial::rig::host::Host;
use jackdaw_trial::rig::session;
use jackdawpulley::membership::announcement::Announcement;
use jackdawpulley::units::{Millis, Slots};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the target does with a request after reading it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Closes the connection.
    CloseAfterReading,
    /// Announces a body of 1,000 bytes and closes the connection after 100.
    CutShort,
    /// Announces a body larger than the sidecar buffers and closes the connection in the middle.
    CutLong,
    /// Refuses with a header that proves that the request did not run.
    Refuse,
    /// Responds with the request's name; to the request named `slow`, only after its time-out.
    Late,
}

/// A misbehaving target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Number of requests read.
    pub read: Arc<AtomicUsize>,
}

impl Target {
    /// Listens on the host's address and announces itself to the host's daemon.
    pub async fn start(host: &Host, behaviour: Behaviour) -> Self {
        let address = SocketAddr::new(host.ip, 7_105);
        let listener = TcpListener::bind(address).await.expect("the port is free");
        let target = Self {
            read: Arc::default(),
        };
        let counter = Arc::clone(&target.read);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                tokio::spawn(async move { serve(stream, behaviour, &counter).await });
            }
        });
        announce(host, address).await;
        target
    }

    /// Number of requests read so far.
    pub fn count(&self) -> usize {
        self.read.load(Ordering::Acquire)
    }
}

/// Announces a target at `address` to the host's daemon.
pub async fn announce(host: &Host, address: SocketAddr) {
    let announcement = Announcement {
        service: host
            .placement
            .service
            .clone()
            .expect("the host has a service"),
        address,
        slots: Slots(20),
        lease_ms: Millis(60_000),
        revision: None,
        cold_ms: Millis(0),
        start_time: None,
    };
    let body = serde_json::to_string(&announcement).expect("plain data is JSON");
    let daemon = SocketAddr::new(host.ip, 7_003);
    let response = session::send_once(daemon, Method::POST, "/announce", &body).await;
    assert!(
        response.is_ok_and(|response| response.status.is_success()),
        "the daemon accepts the announcement"
    );
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour, counter: &AtomicUsize) {
    while let Some(name) = read_request(&mut stream).await {
        counter.fetch_add(1, Ordering::AcqRel);
        let response = match behaviour {
            Behaviour::CloseAfterReading => return,
            Behaviour::CutShort => {
                let _ = stream.write_all(part(1_000, 100).as_bytes()).await;
                return;
            }
            Behaviour::CutLong => {
                let _ = stream.write_all(part(1_000_000, 500_000).as_bytes()).await;
                return;
            }
            Behaviour::Refuse => {
                "HTTP/1.1 503 Busy\r\nx-jackdaw-refused: busy\r\ncontent-length: 0\r\n\r\n"
                    .to_owned()
            }
            Behaviour::Late => {
                tokio::time::sleep(Duration::from_millis(if name == "slow" { 600 } else { 0 }))
                    .await;
                format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{name}",
                    name.len()
                )
            }
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Response whose body ends after `sent` of `promised` bytes.
fn part(promised: usize, sent: usize) -> String {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {promised}\r\n\r\n");
    head + &"x".repeat(sent)
}

/// Reads the head of a request without a body and returns its `x-request` header.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request:"));
    Some(line.unwrap_or_default().trim().to_owned())
}
