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
}

/// An upstream beside a daemon.
#[derive(Clone)]
pub struct Upstream {
    instance: String,
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
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let (instance, service, zone) = (instance.to_owned(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold-left-s\":0,\"sequence\":{sequence}}}"
                );
                // Without an acknowledgement the next heartbeat follows soon.
                let is_acknowledged = beat(control, &instance, &body).is_some();
                thread::sleep(if is_acknowledged {
                    HEARTBEAT
                } else {
                    Duration::from_millis(300)
                });
            }
        });
        Ok(upstream)
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
            return http::write(stream, "HTTP/1.1 200 OK", &headers, b"").is_ok();
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

fn beat(control: SocketAddr, instance: &str, body: &str) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&control, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let start = format!("POST /instances/{instance}/heartbeat HTTP/1.1");
    let host = control.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    http::write(&mut stream, &start, &headers, body.as_bytes()).ok()?;
    let response = Reader::new(stream).message(true).ok()?;
    (response.status() == 200).then_some(())
}
