//! Splitting of pipelined requests, compared with hyper's own reading of the same bytes.

mod common;

use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use common::deterministic_config;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jackdawpulley::calls::pipeline::budget::{Budget, TOTAL_BYTES};
use jackdawpulley::calls::pipeline::splitter::{Ahead, Splitter};
use jackdawpulley::calls::pipeline::turns::{Ending, Progress, Turns};
use jackdawpulley::calls::pipeline::{MAX_STARTED, Stop};
use proptest::prelude::*;
use tokio::io::AsyncWriteExt;

/// Largest head, as in hyper's default.
const MAX_HEAD: usize = 400 << 10;

/// A request as hyper reads it; the last field tells whether it has no body.
type Read = (Method, Uri, HeaderMap, bool);

/// The requests that hyper reads from `bytes`.
fn read_by_hyper(bytes: &[u8]) -> Vec<Read> {
    let read: Arc<Mutex<Vec<Read>>> = Arc::default();
    let recorder = Arc::clone(&read);
    let service = service_fn(move |request: Request<Incoming>| {
        let (head, body) = request.into_parts();
        let is_empty = body.is_end_stream();
        let entry = (head.method, head.uri, head.headers, is_empty);
        recorder.lock().expect("no panic").push(entry);
        async move {
            let _ = body.collect().await;
            Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        let (mut caller, server) = tokio::io::duplex(1 << 20);
        caller.write_all(bytes).await.expect("it has room");
        caller.shutdown().await.expect("it is open");
        let serving = http1::Builder::new().serve_connection(TokioIo::new(server), service);
        let _ = serving.await;
    });
    Arc::into_inner(read)
        .expect("the server is gone")
        .into_inner()
        .expect("no panic")
}

/// Plays a connection whose bytes arrive in packets of these sizes. Returns what hyper gets and the
/// requests that are read ahead; `answers` tells after which packets all responses are written.
fn play(
    bytes: &[u8],
    taken: usize,
    packets: &[(usize, bool)],
) -> (Vec<u8>, Vec<(u64, Request<()>)>) {
    let mut splitter = Splitter::new(MAX_HEAD);
    let (mut passed, mut ahead) = (Vec::new(), Vec::new());
    let mut rest = bytes;
    let mut packets = packets.iter().copied().cycle();
    while !rest.is_empty() {
        let (size, answers) = packets.next().unwrap_or((1, true));
        let (packet, later) = rest.split_at(size.min(rest.len()));
        rest = later;
        let length = splitter.receive(packet);
        passed.extend_from_slice(&packet[..length]);
        let answers = answers || rest.is_empty();
        while splitter.is_passed() {
            // If hyper has read fewer requests, it has closed the connection.
            if taken as u64 >= splitter.number() {
                while let Ok(Some(found)) = splitter.next_ahead() {
                    ahead.push((found.number, found.request));
                }
            }
            if !answers {
                break;
            }
            splitter.release();
            loop {
                let bytes = splitter.pass(size);
                if bytes.is_empty() {
                    break;
                }
                passed.extend_from_slice(&bytes);
            }
        }
    }
    (passed, ahead)
}

fn piece() -> impl Strategy<Value = String> {
    let smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    let line = |line: &str| format!("POST /a HTTP/1.1\r\nHost: a\r\n{line}\r\n\r\n");
    let with_length = |name_and_colon: &str| {
        let length = smuggled.len();
        line(&format!("{name_and_colon}{length}")) + smuggled
    };
    let chunk = format!("{:x}\r\n{smuggled}\r\n0\r\n\r\n", smuggled.len());
    let hostile: Vec<String> = [
        with_length("Content-Length: "),
        with_length("content-length:\t "),
        with_length("Content-Length : "),
        with_length("Content-Length: +"),
        with_length("Content-Length: 0"),
        with_length("Content-Length: 0x"),
        with_length("Content-Length: 0\r\nContent-Length: "),
        with_length("X: 1\r\n Content-Length: "),
        with_length("Content_Length: "),
        with_length("Expect: 100-continue\r\nContent-Length: "),
        line("Content-Length: 18446744073709551615") + smuggled,
        line("Content-Length: ") + smuggled,
        line("Content-Length: 1, 1") + smuggled,
        line("Content-Length: 36\r\nContent-Length: 36") + smuggled,
        line("Content-Length: 0"),
        line("Transfer-Encoding: chunked") + &chunk,
        line("Transfer-Encoding: Chunked") + &chunk,
        line("Transfer-Encoding: gzip, chunked") + &chunk,
        line("Transfer-Encoding: chunked, gzip") + &chunk,
        line("Transfer-Encoding:\r\n chunked") + &chunk,
        line("Transfer-Encoding\t: chunked") + &chunk,
        line("Transfer-Encoding: chunked\r\nContent-Length: 3") + &chunk,
        line("Content-Length: 3\r\nTransfer-Encoding: chunked") + &chunk,
        line("Transfer-Encoding: chunked") + "3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n",
        line("Transfer-Encoding: identity") + smuggled,
        line("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") + &chunk,
        line("Transfer-Encoding: chunked") + &chunk.to_uppercase(),
        line("Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n" + smuggled,
        line("Transfer-Encoding: chunked") + "3\nabc\n0\n\n",
        line("Transfer-Encoding: chunked") + "3 \r\nabc\r\n0\r\n\r\n",
        line("Transfer-Encoding: chunked") + "+3\r\nabc\r\n0\r\n\r\n",
        line("Transfer-Encoding: chunked") + "000000000003\r\nabc\r\n0\r\n\r\n",
        line("Transfer-Encoding: chunked") + "3\r\nabcd\r\n0\r\n\r\n",
        line("Transfer-Encoding: chunked") + "00\r\n\r\n" + smuggled,
        line("Transfer-Encoding: chunked") + "\r\n\r\n" + smuggled,
        line("Connection: close") + smuggled,
        line("Connection: keep-alive, Close") + smuggled,
        line("Connection: upgrade\r\nUpgrade: websocket") + smuggled,
        line("Upgrade: h2c"),
        line("X: \u{e9}\u{1}"),
        line("X: \u{e9}"),
        line("X: a\0b"),
        line("X: a\rb"),
        line("X: a\nY: b"),
        line("No colon"),
        line(": no name"),
        line("X:"),
        "GET /a HTTP/1.1\nHost: a\n\n".into(),
        "GET /a HTTP/1.1\r\nHost: a\n\r\n".into(),
        "GET /a HTTP/1.1\r\n\r\n".into(),
        "GET  /a  HTTP/1.1\r\n\r\n".into(),
        "GET /a b HTTP/1.1\r\n\r\n".into(),
        "GET /a\u{e9} HTTP/1.1\r\n\r\n".into(),
        "GET /<\"> HTTP/1.1\r\n\r\n".into(),
        "GET http://b/c?d#e HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /a HTTP/1.0\r\n\r\n".into(),
        "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n".into(),
        "GET /a HTTP/2.0\r\n\r\n".into(),
        "GET /a\r\n".into(),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(),
        "\r\n\r\n".into(),
        "\n".into(),
        "\r".into(),
        "0\r\n\r\n".into(),
        format!("GET /a HTTP/1.1\r\n{}\r\n", "X: 1\r\n".repeat(101)),
    ]
    .into();
    prop_oneof![
        2 => "/[a-z]{1,9}".prop_map(|path| format!("GET {path} HTTP/1.1\r\nHost: a\r\nX: {path}\r\n\r\n")),
        1 => proptest::sample::select(hostile),
    ]
}

proptest! {
    #![proptest_config(deterministic_config(4_000))]

    /// Guards against a request that is found in bytes that hyper reads as something else.
    #[test]
    fn requests_read_ahead_are_those_of_hyper(
        pieces in prop::collection::vec(piece(), 1..8),
        packets in prop::collection::vec((1_usize..200, any::<bool>()), 1..12),
    ) {
        let bytes = pieces.concat().into_bytes();
        let read = read_by_hyper(&bytes);
        let (passed, ahead) = play(&bytes, read.len(), &packets);
        prop_assert_eq!(passed, bytes, "hyper gets all bytes in their order");
        for (number, request) in ahead {
            let index = usize::try_from(number).expect("small") - 1;
            prop_assert!(index < read.len(), "{number} of {}: {request:?}", read.len());
            let (method, uri, headers, is_empty) = &read[index];
            prop_assert_eq!((request.method(), request.uri()), (method, uri));
            prop_assert_eq!(request.headers(), headers);
            prop_assert!(*is_empty);
        }
    }

    /// Guards against requests that are overlooked because of where packets end.
    #[test]
    fn all_requests_present_are_read_ahead(
        count in 1_u64..20,
        sizes in prop::collection::vec(1_usize..60, 1..8),
    ) {
        let requests = (1..=count).map(|n| format!("GET /{n} HTTP/1.1\r\nHost: a\r\n\r\n"));
        let bytes = requests.collect::<String>().into_bytes();
        let packets: Vec<_> = sizes.into_iter().map(|size| (size, false)).collect();
        let (_, ahead) = play(&bytes, usize::MAX, &packets);
        let numbers: Vec<u64> = ahead.iter().map(|(number, _)| *number).collect();
        prop_assert_eq!(numbers, (2..=count).collect::<Vec<_>>());
        for (number, request) in ahead {
            prop_assert_eq!(request.uri().path(), format!("/{number}"));
        }
    }
}

/// Guards against a request that is started while hyper may still read a body before it.
#[test]
fn body_stops_reading_ahead_until_it_has_been_served() {
    play_body("POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy");
    play_body("POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n");
}

fn play_body(post: &str) {
    let mut splitter = Splitter::new(MAX_HEAD);
    let get = "GET /a HTTP/1.1\r\n\r\n";
    let bytes = [get, post, get, get].concat();
    assert_eq!(splitter.receive(bytes.as_bytes()), get.len());
    assert!(matches!(splitter.next_ahead(), Err(Stop::Unusual)));
    assert!(matches!(splitter.next_ahead(), Ok(None)));
    splitter.release();
    assert_eq!(splitter.pass(usize::MAX).len(), post.len());
    assert!(
        matches!(splitter.next_ahead(), Ok(None)),
        "the body is in front"
    );
    splitter.release();
    assert_eq!(splitter.pass(usize::MAX).len(), get.len());
    assert!(matches!(
        splitter.next_ahead(),
        Ok(Some(Ahead { number: 4, .. }))
    ));
}

/// Guards against a started call whose request hyper rejects with 431.
#[test]
fn too_large_head_is_not_read_ahead() {
    let mut splitter = Splitter::new(18);
    let requests = "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    splitter.receive(requests.as_bytes());
    assert!(matches!(splitter.next_ahead(), Ok(Some(_))));
    assert!(matches!(splitter.next_ahead(), Err(Stop::Unusual)));
}

/// Guards against a close that cuts off calls that have been started, and against a connection that
/// closes after a refusal although other requests stand behind it.
#[test]
fn close_waits_for_started_calls() {
    let mut turns = Turns::default();
    assert_eq!(turns.take(), None);
    turns.start(2, "two");
    turns.start(4, "four");
    assert!(!turns.closes(Ending::CloseIfLast, true));
    assert!(!turns.is_closing());
    assert_eq!(turns.take(), Some("two"));
    assert!(!turns.closes(Ending::Close, true));
    assert!(turns.is_closing());
    assert_eq!(turns.take(), None);
    assert!(!turns.closes(Ending::Stay, true));
    assert_eq!(turns.take(), Some("four"));
    assert!(turns.closes(Ending::Stay, true));
}

/// Guards against more started calls than allowed, and against a second reading of the bytes.
#[test]
fn started_calls_are_bounded_and_counted() {
    let mut turns = Turns::default();
    assert_eq!(turns.progress(1), Progress::Differs);
    turns.take();
    assert_eq!(turns.progress(1), Progress::InService);
    turns.answer();
    assert_eq!(turns.progress(1), Progress::Answered);
    turns.take();
    assert_eq!(turns.progress(1), Progress::Differs);
    for number in (3..).take(MAX_STARTED) {
        assert!(turns.has_room());
        turns.start(number, ());
    }
    assert!(!turns.has_room());
}

/// Guards against memory that grows with the number of connections, or is never returned.
#[test]
fn memory_of_all_connections_is_bounded() {
    let budget = Arc::new(Budget::default());
    let mut charge = budget.try_charge(TOTAL_BYTES - 1).expect("room");
    assert!(budget.try_charge(2).is_none());
    assert!(budget.has_room());
    charge.resize(TOTAL_BYTES);
    assert!(!budget.has_room());
    drop(charge);
    assert!(budget.try_charge(TOTAL_BYTES).is_some());
}
