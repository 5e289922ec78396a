//! Case: the bodies of some answers never end.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standin_2::client::{Connection, request};
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, Route, has_trouble};

/// Time-out of the route.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time after it at which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
/// Requests, one every few milliseconds.
const REQUESTS: usize = 400;
const PAUSE: Duration = Duration::from_millis(12);
/// Time for which an upstream works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Longest time for which a client waits.
const PATIENCE: Duration = Duration::from_secs(12);
/// First part of a body that does not end, and the part that is repeated.
const FIRST_BYTES: usize = 300_000;
const NEXT: &[u8] = b"8\r\nnonsense\r\n";
const INTERVAL: Duration = Duration::from_millis(100);
/// Fewest requests without a final answer that break the rule.
const FEWEST: usize = 8;

fn main() {
    let record = Record::open().expect("the record can be written");
    match run(&Arc::new(record)) {
        Ok(broken) => exit(i32::from(broken)),
        Err(problem) => {
            eprintln!("cannot run: {problem}");
            exit(CANNOT_RUN);
        }
    }
}

fn run(record: &Arc<Record>) -> Result<bool, String> {
    let trouble = has_trouble();
    let behaviour: Behaviour = Arc::new(move |upstream, run, stream| {
        let is_faulty = upstream.id.as_str() < "i-00000002";
        std::thread::sleep(WORK);
        if !trouble || !is_faulty {
            return upstream.answer(run, "booked", stream);
        }
        let head = upstream.head(run, "200 OK");
        let first = "x".repeat(FIRST_BYTES);
        stream.write_all(
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{FIRST_BYTES:x}\r\n{first}\r\n")
                .as_bytes(),
        )?;
        loop {
            stream.write_all(NEXT)?;
            std::thread::sleep(INTERVAL);
        }
    });
    let route = Route {
        prefix: "/book/",
        kind: "safe",
        service: "desk",
        timeout_s: TIMEOUT.as_secs_f64(),
        max_attempts: 2,
    };
    let mut deployment = Deployment::start(&["desk"; 4], &[route], &behaviour)?;
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        std::thread::sleep(PAUSE);
        let daemon = deployment.machines[number % 4].daemon.outbound;
        let (record, ends) = (Arc::clone(record), Arc::clone(&ends));
        clients.push(std::thread::spawn(move || {
            let id = format!("req-{number:04}");
            record.line(&format!("sent {id}"));
            let (status, bytes, end) = wait_for_end(daemon, &id);
            let end_text = end.map_or("none within 12 s".to_owned(), |end| {
                format!("{:.3} s", end.as_secs_f64())
            });
            record.line(&format!(
                "{id}: {status}, {bytes} bytes, final answer or close after {end_text}"
            ));
            ends.lock().expect("no panic").push(end.unwrap_or(PATIENCE));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    deployment.stop();
    let ends = ends.lock().expect("no panic").clone();
    let long = ends.iter().filter(|end| **end > TIMEOUT).count();
    let open = ends.iter().filter(|end| **end > TIMEOUT + SLACK).count();
    record.line(&format!("CONFIG: {long} requests lasted longer than timeout-s, {open} had no final answer 0.5 s after it"));
    Ok(open >= FEWEST && 4 * open > long)
}

/// Sends a request and waits until the connection ends; returns the status line, the bytes and when it ended.
fn wait_for_end(daemon: std::net::SocketAddr, id: &str) -> (String, usize, Option<Duration>) {
    let began = Instant::now();
    let Ok(mut connection) = Connection::open(daemon) else {
        return ("no connection".to_owned(), 0, Some(began.elapsed()));
    };
    if connection
        .send(&request(
            "GET",
            "/book/seat",
            id,
            3_000,
            "Connection: close\r\n",
        ))
        .is_err()
    {
        return ("not sent".to_owned(), 0, Some(began.elapsed()));
    }
    let mut stream: TcpStream = connection.into_stream();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
    let (mut bytes, mut first, mut buffer) = (0, Vec::new(), vec![0; 65_536]);
    while began.elapsed() < PATIENCE {
        match stream.read(&mut buffer) {
            Ok(0) => return (line(&first), bytes, Some(began.elapsed())),
            Ok(length) => {
                bytes += length;
                if first.len() < 64 {
                    first.extend(&buffer[..length.min(64)]);
                }
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return (line(&first), bytes, Some(began.elapsed())),
        }
    }
    (line(&first), bytes, None)
}

fn line(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .lines()
        .next()
        .unwrap_or("nothing")
        .to_owned()
}
