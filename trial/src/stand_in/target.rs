//! Stand-in target that records every run.
//!
//! Request headers set the processing time (`x-work-ms`) and the size of the response's padding
//! (`x-size`). The target announces itself to its daemon, renews its lease, and sends `/leave` when
//! it is shut down.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use jackdawpulley::calls::dialect::Dialect;
use jackdawpulley::clock;
use jackdawpulley::membership::announcement::Announcement;
use jackdawpulley::units::{Millis, Service, Slots, StartTime};
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};
use volo::net::Address;
use volo_http::body::{Body, BodyConversion};
use volo_http::server::{Router, Server};

use crate::rig::session;

/// Arguments of the stand-in.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Address to accept calls on
    #[arg(long)]
    pub listen: SocketAddr,
    /// File that records every run, one JSON object per line
    #[arg(long)]
    pub runs: PathBuf,
    /// Address of the daemon to announce to
    #[arg(long)]
    pub daemon: SocketAddr,
    /// Service to offer
    #[arg(long)]
    pub service: Service,
    /// Number of concurrent calls
    #[arg(long, default_value_t = Slots(20))]
    pub slots: Slots,
    /// Lease of the announcement, in milliseconds
    #[arg(long, default_value_t = Millis(3_000))]
    pub lease_ms: Millis,
    /// Time after the start during which every run takes twice as long, in milliseconds
    #[arg(long, default_value_t = Millis(0))]
    pub cold_ms: Millis,
}

/// Run of a request at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The caller's name for the request, from `x-request`.
    pub request: String,
    /// Time at which the run began, in Unix ms.
    pub began_ms: u64,
    /// Address of the target that ran the request.
    pub target: SocketAddr,
}

/// Body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The caller's name for the request.
    pub request: String,
    /// Address of the target that ran the request.
    pub target: SocketAddr,
    /// Size of the request's body, in bytes.
    pub received: usize,
    /// Padding of the size that the request asked for.
    pub padding: String,
}

#[derive(Debug)]
struct Target {
    args: Args,
    began: std::time::Instant,
    born: StartTime,
    /// Each run is written before it begins, so that it is recorded even if the process is killed.
    runs: Mutex<File>,
    in_flight: AtomicU64,
    leaving: AtomicBool,
}

/// Runs the stand-in until it gets SIGTERM.
///
/// # Panics
///
/// When the file can't be opened.
pub async fn run(args: Args) {
    let file = File::options().create(true).append(true).open(&args.runs);
    let file = file.expect("the record can be written");
    let target = Arc::new(Target {
        args: args.clone(),
        began: std::time::Instant::now(),
        born: StartTime(clock::unix_ms()),
        runs: Mutex::new(file),
        in_flight: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
    });
    let worker = Arc::clone(&target);
    let work = move |request: Request<Body>| {
        let target = Arc::clone(&worker);
        async move { target.work(request).await }
    };
    let calls = Server::new(Router::new().fallback(work)).run(Address::from(args.listen));
    tokio::spawn(calls);
    let renewing = Arc::clone(&target);
    tokio::spawn(async move { renewing.renew().await });
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be awaited");
    terminate.recv().await;
    target.leave().await;
}

impl Target {
    async fn work(&self, request: Request<Body>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let running = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _slot = Slot { target: self };
        if running >= u64::from(self.args.slots.0) {
            shed()
        } else {
            self.answer(&parts.headers, body).await
        }
    }

    async fn answer(&self, headers: &HeaderMap, body: Body) -> Response<Body> {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        let request = text("x-request").to_owned();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let (work, size) = (number("x-work-ms"), number("x-size"));
        self.record(&request);
        let received = body.into_bytes().await.map_or(0, |body| body.len());
        let cold = self.began.elapsed() < self.args.cold_ms.duration();
        let work = if cold { 2 * work } else { work };
        if work > 0 {
            tokio::time::sleep(Duration::from_millis(work)).await;
        }
        let padding = "x".repeat(usize::try_from(size).unwrap_or(0));
        let echo = Echo {
            request,
            target: self.args.listen,
            received,
            padding,
        };
        let body = serde_json::to_vec(&echo).expect("plain data is JSON");
        let mut response = Response::new(Body::from_body(Full::new(Bytes::from(body))));
        if self.leaving.load(Ordering::Acquire) {
            let close = http::HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        response
    }

    fn record(&self, request: &str) {
        let run = Run {
            request: request.to_owned(),
            began_ms: clock::unix_ms(),
            target: self.args.listen,
        };
        let line = serde_json::to_string(&run).expect("plain data is JSON") + "\n";
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.write_all(line.as_bytes())
            .expect("the record can be written");
    }

    async fn renew(&self) {
        let announcement = Announcement {
            service: self.args.service.clone(),
            address: self.args.listen,
            slots: self.args.slots,
            lease_ms: self.args.lease_ms,
            revision: None,
            cold_ms: Millis(0),
            start_time: Some(self.born),
        };
        let body = serde_json::to_string(&announcement).expect("plain data is JSON");
        while !self.leaving.load(Ordering::Acquire) {
            let sent = session::send_once(self.args.daemon, Method::POST, "/announce", &body).await;
            let heard = sent.is_ok_and(|answer| answer.status == StatusCode::OK);
            let pause = if heard { self.args.lease_ms.0 / 3 } else { 100 };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        let _ = session::send_once(self.args.daemon, Method::POST, "/leave", "").await;
        while self.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The responses have been passed to the connections, which need time to write them.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Occupied slot that is released when dropped, also when the caller cancels the call.
struct Slot<'a> {
    target: &'a Target,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.target.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn shed() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(
        Dialect::default().refused,
        http::HeaderValue::from_static("slots"),
    );
    response
}
