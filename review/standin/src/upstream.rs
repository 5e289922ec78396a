//! An application upstream, as PROTOCOL.md describes it: it sends heartbeats, names its instance, echoes
//! the id of each request, signs its answers, and sheds what it can't queue.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};
use crate::record::Record;

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that run at the same time, and those that may wait.
pub const SLOTS: usize = 18;
const QUEUE: usize = 72;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub began: Instant,
    /// When the whole answer had been handed to the kernel; none if it could not be.
    pub answered: Option<Instant>,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    runs: Vec<Run>,
    /// Whether it has deregistered, and sends no more heartbeats.
    is_leaving: bool,
    /// Whether its health check passes all the same.
    has_false_health: bool,
    /// Whether its process has ended.
    has_ended: bool,
    connections: Vec<TcpStream>,
}

/// An upstream beside a daemon.
#[derive(Clone)]
pub struct Upstream {
    instance: String,
    address: SocketAddr,
    control: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Upstream {
    /// Serves on `address` and sends heartbeats to `control`, until the process exits.
    pub fn start(
        address: SocketAddr,
        control: SocketAddr,
        service: &str,
        zone: &str,
        instance: &str,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let upstream = Self {
            instance: instance.to_owned(),
            address,
            control,
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = serving.state.0.lock().expect("not poisoned");
                if state.has_ended {
                    return;
                }
                state.connections.extend(stream.try_clone());
                drop(state);
                let upstream = serving.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let beating = upstream.clone();
        let (instance, service, zone) = (instance.to_owned(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                if beating.state.0.lock().expect("not poisoned").is_leaving {
                    return;
                }
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold-left-s\":0,\"sequence\":{sequence}}}"
                );
                // Without an acknowledgement the next heartbeat follows soon.
                let path = format!("/instances/{instance}/heartbeat");
                let is_acknowledged = post(control, &path, &body).is_some();
                thread::sleep(if is_acknowledged {
                    HEARTBEAT
                } else {
                    Duration::from_millis(300)
                });
            }
        });
        Ok(upstream)
    }

    /// Deregisters, and goes on serving, with a health check that is right or falsely passes. Returns when that
    /// was acknowledged.
    pub fn leave(&self, has_false_health: bool) -> Option<Instant> {
        let mut state = self.state.0.lock().expect("not poisoned");
        state.is_leaving = true;
        state.has_false_health = has_false_health;
        drop(state);
        let acknowledged = post(
            self.control,
            &format!("/instances/{}/deregister", self.instance),
            "",
        );
        self.record.write(&format!(
            "{} deregistered, acknowledged: {}",
            self.instance,
            acknowledged.is_some()
        ));
        acknowledged.map(|()| Instant::now())
    }

    /// Ends its process: requests that run are lost, and connections are refused.
    pub fn exit(&self) {
        let mut state = self.state.0.lock().expect("not poisoned");
        state.has_ended = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        self.record.write(&format!("{} has exited", self.instance));
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.0.lock().expect("not poisoned").runs.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(reading);
        while let Ok(request) = reader.message(false) {
            if !self.answer(&mut stream, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection is still of use.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let target = request.second_word();
        if http::path_of(target) == "/health" {
            let headers = [("X-Jackdawpulley-Instance-Id", self.instance.as_str())];
            let is_healthy = {
                let state = self.state.0.lock().expect("not poisoned");
                !state.is_leaving || state.has_false_health
            };
            let start = if is_healthy {
                "HTTP/1.1 200 OK"
            } else {
                "HTTP/1.1 503 Service Unavailable"
            };
            return http::write(stream, start, &headers, b"").is_ok();
        }
        let Some(id) = request.header("x-jackdawpulley-request-id") else {
            let headers = [("X-Jackdawpulley-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 400 Bad Request", &headers, b"").is_ok();
        };
        let echo = ("X-Jackdawpulley-Request-Id", id);
        let expected = request.header("x-jackdawpulley-expected-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let headers = [
                echo,
                ("X-Jackdawpulley-Instance-Id", self.instance.as_str()),
            ];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"").is_ok();
        }
        let deadline = request
            .header("x-jackdawpulley-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(1_000));
        let (state, freed) = &*self.state;
        {
            let mut state = state.lock().expect("not poisoned");
            if state.running >= SLOTS && state.waiting >= QUEUE {
                drop(state);
                let headers = [echo, ("X-Jackdawpulley-Not-Executed", "1")];
                return http::write(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"")
                    .is_ok();
            }
            state.waiting += 1;
            while state.running >= SLOTS {
                state = freed.wait(state).expect("not poisoned");
            }
            state.waiting -= 1;
            state.running += 1;
            let run = Run {
                id: id.to_owned(),
                instance: self.instance.clone(),
                began: Instant::now(),
                answered: None,
            };
            state.runs.push(run);
        }
        self.record
            .write(&format!("run {id} at {} {target}", self.instance));
        let number = |name| http::parameter(target, name).and_then(|text| text.parse::<u64>().ok());
        let work = Duration::from_millis(number("work").unwrap_or(20));
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(work.min(left));
        let size = usize::try_from(number("bytes").unwrap_or(100)).unwrap_or(0);
        let written = if work > left {
            http::write(
                stream,
                "HTTP/1.1 504 Gateway Timeout",
                &[echo, ("X-Jackdawpulley-Response-Signature", "late")],
                b"",
            )
        } else {
            let signature = format!("{}.{size}", self.instance);
            let headers = [
                echo,
                ("X-Jackdawpulley-Response-Signature", signature.as_str()),
            ];
            http::write(stream, "HTTP/1.1 200 OK", &headers, &body_of(id, size))
        };
        let mut state = state.lock().expect("not poisoned");
        state.running -= 1;
        freed.notify_one();
        if written.is_ok() {
            let mut runs = state.runs.iter_mut().rev();
            if let Some(run) = runs.find(|run| run.id == id && run.answered.is_none()) {
                run.answered = Some(Instant::now());
            }
            drop(state);
            self.record.write(&format!(
                "answered {id} at {} whole, {size} bytes",
                self.instance
            ));
        }
        written.is_ok()
    }
}

/// The body of the answer to a request.
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().chain([b' ']).cycle().take(size).collect()
}

fn post(control: SocketAddr, path: &str, body: &str) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&control, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let host = control.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    let start = format!("POST {path} HTTP/1.1");
    http::write(&mut stream, &start, &headers, body.as_bytes()).ok()?;
    let response = Reader::new(stream).message(true).ok()?;
    (response.status() == 200).then_some(())
}
