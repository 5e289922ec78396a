//! Stand-in for the platform's append-only log, with configurable faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use futures_util::stream;
use http::{Response, StatusCode};
use jackdawpulley::clock;
use jackdawpulley::configuration::log::{Appended, Page, Stored};
use jackdawpulley::units::Offset;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::server::param::PathParams;
use volo_http::server::route::{get, post};
use volo_http::server::{Router, Server, extract::Query};

/// Arguments of the stand-in.
#[derive(Debug, Parser)]
pub struct Args {
    /// Address to listen on
    #[arg(long)]
    listen: SocketAddr,
}

/// Failure mode of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No failure.
    #[default]
    Well,
    /// The log responds with 503 and does nothing.
    Refuse,
    /// The log never responds and does nothing.
    Hang,
    /// The log appends, and its responses break off.
    LoseAnswers,
}

/// Faults of the stand-in.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Failure mode.
    pub mode: Mode,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Number of records that each stream retains.
    pub retain: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            mode: Mode::Well,
            slow_ms: 0,
            retain: 100_000,
        }
    }
}

/// Counters of the stand-in.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of page reads.
    pub reads: u64,
    /// Number of appended records.
    pub appends: u64,
    /// Bytes of records read.
    pub bytes: u64,
    /// Time of the last append, in Unix microseconds.
    pub appended_us: u64,
    /// Number of reads that are waiting for a record.
    pub waiting: u64,
}

#[derive(Debug, Default)]
struct Stream {
    name: String,
    first: u64,
    records: VecDeque<String>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by name.
    streams: Vec<Stream>,
    faults: Faults,
    stats: Stats,
}

/// State of the stand-in, shared by its handlers.
#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    appended: Notify,
}

/// Query of a read.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Wanted {
    from: u64,
    limit: usize,
    wait_ms: u64,
}

/// Runs the stand-in until it is killed.
///
/// # Panics
///
/// When the address can't be bound.
pub async fn run(args: Args) {
    let platform = Arc::new(Platform::default());
    let (reader, writer) = (Arc::clone(&platform), Arc::clone(&platform));
    let (switch, counter) = (Arc::clone(&platform), platform);
    let read = move |PathParams(name): PathParams<String>, Query(wanted): Query<Wanted>| {
        let platform = Arc::clone(&reader);
        async move { platform.read(&name, wanted).await }
    };
    let append = move |PathParams(name): PathParams<String>, body: String| {
        let platform = Arc::clone(&writer);
        async move { platform.append(&name, body).await }
    };
    let set = move |body: Vec<u8>| {
        let faults = serde_json::from_slice::<Faults>(&body);
        let known = faults.map(|faults| switch.state().faults = faults).is_ok();
        std::future::ready(if known {
            StatusCode::OK
        } else {
            StatusCode::BAD_REQUEST
        })
    };
    let count = move || std::future::ready(text(&counter.state().stats));
    let router = Router::new()
        .route("/streams/{name}", get(read).post(append))
        .route("/faults", post(set))
        .route("/stats", get(count));
    let served = Server::new(router).run(Address::from(args.listen)).await;
    served.expect("the address of the log is free");
}

impl Platform {
    async fn read(&self, name: &str, wanted: Wanted) -> Response<Body> {
        let faults = self.begin().await;
        if faults.mode == Mode::Refuse {
            return answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let deadline = Instant::now() + Duration::from_millis(wanted.wait_ms);
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = self.page(name, wanted);
            if wanted.from < page.first.0 {
                return answer(StatusCode::GONE, text(&page));
            }
            let nothing = page.records.is_empty() && wanted.from <= page.head.0;
            if nothing && self.wait(deadline, appended).await {
                continue;
            }
            return answer(StatusCode::OK, text(&page));
        }
    }

    /// Waits for an append; returns `false` on a time-out.
    async fn wait(&self, deadline: Instant, appended: impl Future<Output = ()>) -> bool {
        self.state().stats.waiting += 1;
        let waiting = Waiting { platform: self };
        let came = tokio::time::timeout_at(deadline, appended).await.is_ok();
        drop(waiting);
        came
    }

    fn page(&self, name: &str, wanted: Wanted) -> Page {
        let mut state = self.state();
        state.stats.reads += 1;
        let stream = state.stream(name);
        let head = stream.first + stream.records.len() as u64;
        let skip = usize::try_from(wanted.from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
        let records: Vec<Stored> = stream
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(wanted.limit)
            .map(|(i, value)| Stored {
                offset: Offset(stream.first + i as u64),
                value: value.clone(),
            })
            .collect();
        let page = Page {
            first: Offset(stream.first),
            head: Offset(head),
            records,
        };
        state.stats.bytes += page
            .records
            .iter()
            .map(|r| r.value.len() as u64)
            .sum::<u64>();
        page
    }

    async fn append(&self, name: &str, record: String) -> Response<Body> {
        let faults = self.begin().await;
        if faults.mode == Mode::Refuse {
            return answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let offset = {
            let mut state = self.state();
            state.stats.appends += 1;
            state.stats.appended_us = clock::unix_us();
            let retain = state.faults.retain;
            let stream = state.stream(name);
            stream.records.push_back(record);
            let offset = stream.first + stream.records.len() as u64 - 1;
            while stream.records.len() > retain {
                stream.records.pop_front();
                stream.first += 1;
            }
            offset
        };
        self.appended.notify_waiters();
        if faults.mode == Mode::LoseAnswers {
            return cut_off();
        }
        answer(
            StatusCode::CREATED,
            text(&Appended {
                offset: Offset(offset),
            }),
        )
    }

    async fn begin(&self) -> Faults {
        let faults = self.state().faults;
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.mode == Mode::Hang {
            std::future::pending::<()>().await;
        }
        faults
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a waiting read until it is dropped, also when its client disconnects.
struct Waiting<'a> {
    platform: &'a Platform,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.platform.state().stats.waiting -= 1;
    }
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name));
        let index = index.unwrap_or_else(|index| {
            self.streams.insert(
                index,
                Stream {
                    name: name.to_owned(),
                    ..Stream::default()
                },
            );
            index
        });
        &mut self.streams[index]
    }
}

fn answer(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Response whose body breaks off, so that the client can't know the outcome of its request.
fn cut_off() -> Response<Body> {
    let frame: Result<http_body::Frame<Bytes>, _> = Err("the response is lost".into());
    let mut response = Response::new(Body::from_stream(stream::iter([frame])));
    *response.status_mut() = StatusCode::CREATED;
    response
}

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data is JSON")
}
