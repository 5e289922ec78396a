//! Case: an upstream's answer names a length and is chunked as well.

use std::io::Write;
use std::process::exit;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use review_standin_2::client::{Connection, request};
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, Route, has_trouble};

/// Body of every answer.
const BODY: &str = "seat 14 is booked for hearing 2207, confirmed by the clerk";
/// Time during which two of the four upstreams spoil some of their answers.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
/// One in so many of their answers is spoilt.
const SPOILT_INTERVAL: usize = 20;
/// Requests, one every few milliseconds.
const REQUESTS: usize = 360;
const PAUSE: Duration = Duration::from_millis(5);

fn main() {
    let record = Record::open().expect("the record can be written");
    match run(&record) {
        Ok(broken) => exit(i32::from(broken)),
        Err(problem) => {
            record.line(&format!("cannot run: {problem}"));
            exit(CANNOT_RUN);
        }
    }
}

fn run(record: &Record) -> Result<bool, String> {
    let trouble = has_trouble();
    let began = Arc::new(OnceLock::<Instant>::new());
    let since = Arc::clone(&began);
    let behaviour: Behaviour = Arc::new(move |upstream, run, stream| {
        let number = upstream.runs().len();
        let is_time = since
            .get()
            .is_some_and(|since| since.elapsed() < TROUBLE_TIME);
        let is_faulty = upstream.id < "i-00000002".to_owned();
        if !trouble || !is_time || !is_faulty || number % SPOILT_INTERVAL != 0 {
            return upstream.answer(run, BODY, stream);
        }
        let head = upstream.head(run, "200 OK");
        let size = BODY.len();
        let framing = "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n";
        stream
            .write_all(format!("{head}{framing}\r\n{size:x}\r\n{BODY}\r\n0\r\n\r\n").as_bytes())?;
        Ok(true)
    });
    let route = Route {
        prefix: "/book/",
        kind: "safe",
        service: "desk",
        timeout_s: 2.0,
        max_attempts: 2,
    };
    let mut deployment = Deployment::start(&["desk"; 4], &[route], &behaviour)?;
    let mut wrong = 0;
    began.get_or_init(Instant::now);
    let mut connections: Vec<Option<Connection>> = (0..4).map(|_| None).collect();
    for number in 0..REQUESTS {
        let machine = number % 4;
        let id = format!("req-{number:04}");
        let daemon = deployment.machines[machine].daemon.outbound;
        let mut connection = match connections[machine].take() {
            Some(connection) => connection,
            None => Connection::open(daemon).map_err(|e| e.to_string())?,
        };
        std::thread::sleep(PAUSE);
        connection
            .send(&request("GET", "/book/seat", &id, 2_000, ""))
            .map_err(|e| e.to_string())?;
        let mut is_wrong = false;
        let text = match connection.read(Duration::from_secs(3)) {
            Ok(answer) => {
                let is_success = (200..300).contains(&answer.status);
                let is_whole = answer.body == BODY.as_bytes()
                    && answer.signature().is_some()
                    && answer.id() == id;
                is_wrong = is_success && !is_whole;
                let surplus = connection.surplus(Duration::from_millis(5));
                is_wrong |= !surplus.is_empty();
                let closes = answer
                    .head
                    .get("connection")
                    .is_some_and(|value| value == "close");
                let text = format!(
                    "{} of {:?}, body {:?}, then {:?}",
                    answer.status,
                    answer.id(),
                    String::from_utf8_lossy(&answer.body),
                    String::from_utf8_lossy(&surplus)
                );
                if surplus.is_empty() && !closes {
                    connections[machine] = Some(connection);
                }
                text
            }
            Err(error) => {
                is_wrong |= error.kind() == std::io::ErrorKind::InvalidData;
                format!("no answer: {error}")
            }
        };
        let mark = if is_wrong { "WRONG" } else { "ok" };
        record.line(&format!(
            "{mark}: sent {id} to machine {machine}, got {text}"
        ));
        wrong += usize::from(is_wrong);
    }
    for machine in &deployment.machines {
        for run in machine.upstream.runs() {
            record.line(&format!("ran {} at {}", run.id, machine.upstream.id));
        }
    }
    deployment.stop();
    record.line(&format!(
        "MIXED: {wrong} of {REQUESTS} requests got a wrong body or foreign bytes"
    ));
    Ok(wrong > 0)
}
