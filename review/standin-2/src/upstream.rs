//! An upstream: answers requests, tells its health and sends heartbeats.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::client;
use crate::http::{self, Head};

/// Slots that it announces.
const SLOTS: u32 = 18;
/// Interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub head: Head,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// Writes the answer to a request; `false` closes the connection.
pub type Behaviour = Arc<dyn Fn(&Upstream, &Run, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// An upstream.
pub struct Upstream {
    pub address: SocketAddr,
    pub service: String,
    pub id: String,
    pub is_leaving: AtomicBool,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    behaviour: Behaviour,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(
        address: SocketAddr,
        service: &str,
        id: &str,
        behaviour: Behaviour,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let upstream = Arc::new(Self {
            address,
            service: service.to_owned(),
            id: id.to_owned(),
            is_leaving: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            behaviour,
        });
        let serving = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&serving);
                std::thread::spawn(move || _ = upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Sends heartbeats to a daemon from now on.
    pub fn announce_to(self: &Arc<Self>, control: SocketAddr) {
        let upstream = Arc::clone(self);
        std::thread::spawn(move || {
            loop {
                let state = if upstream.is_leaving.load(Ordering::Relaxed) {
                    "draining"
                } else {
                    "ready"
                };
                upstream.heartbeat(control, state);
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Sends one heartbeat; returns the status, 0 if there was no answer.
    pub fn heartbeat(&self, control: SocketAddr, state: &str) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold-left-s\":0,\"sequence\":{sequence}}}",
            self.service, self.address
        );
        let request = format!(
            "POST /instances/{}/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        client::exchange(control, request.as_bytes(), Duration::from_secs(1))
            .map_or(0, |answer| answer.status)
    }

    /// What has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Head of a sound answer, without its framing.
    pub fn head(&self, run: &Run, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Jackdawpulley-Request-Id: {}\r\nX-Jackdawpulley-Response-Signature: {}.{}\r\n",
            run.id, self.id, run.id
        )
    }

    /// Writes a sound answer.
    pub fn answer(&self, run: &Run, body: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let head = self.head(run, "200 OK");
        stream
            .write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
        Ok(true)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head, false)?;
            if head.word(1) == "/health" {
                let status = if self.is_leaving.load(Ordering::Relaxed) {
                    "503 Leaving"
                } else {
                    "200 OK"
                };
                let id = &self.id;
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Jackdawpulley-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            let id = head
                .get("x-jackdawpulley-request-id")
                .unwrap_or("")
                .to_owned();
            let expected = head.get("x-jackdawpulley-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Jackdawpulley-Request-Id: {id}\r\n\
                     X-Jackdawpulley-Not-Executed: 1\r\nX-Jackdawpulley-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            let run = Run {
                id,
                head,
                body,
                at: Instant::now(),
            };
            self.runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run.clone());
            if !(self.behaviour)(self, &run, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }
}
