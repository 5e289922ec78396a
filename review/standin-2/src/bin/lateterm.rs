//! Case: a machine is stopped as planned while its clients still use their kept connections.

use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use review_standin_2::client::Connection;
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, HOST, Route, has_trouble};

/// Machine that is stopped, the only one of its zone.
const STOPPED: usize = 1;
/// Clients beside it, and the time from the first to the last of their requests.
const CLIENTS: u32 = 14;
const SPREAD: Duration = Duration::from_millis(460);
/// Time from SIGTERM to the first of these requests.
const FIRST: Duration = Duration::from_millis(2_700);
/// Time for which an upstream works on each of them.
const WORK: Duration = Duration::from_millis(2_650);
/// Time-out of the route.
const TIMEOUT: Duration = Duration::from_secs(3);
/// grace-s.
const GRACE: Duration = Duration::from_secs(6);
/// Requests sent later than this after SIGTERM are counted even if their upstream is at work near the end.
const COUNTED_FROM: Duration = Duration::from_secs(3);

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
    let behaviour: Behaviour = Arc::new(|upstream, run, stream| {
        if run.head.word(1) == "/book/long" {
            std::thread::sleep(WORK);
        }
        upstream.answer(run, "booked", stream)
    });
    let route = Route { prefix: "/book/", kind: "unsafe", service: "desk", timeout_s: TIMEOUT.as_secs_f64(), max_attempts: 2 };
    let mut deployment = Deployment::start(&["desk"; 3], &[route], &behaviour)?;
    let daemon = deployment.machines[STOPPED].daemon.outbound;
    let mut kept = Vec::new();
    for client in 0..CLIENTS {
        let mut connection = Connection::open(daemon).map_err(|e| e.to_string())?;
        connection.send(&request("short", &format!("first-{client:02}"))).map_err(|e| e.to_string())?;
        let answer = connection.read(Duration::from_secs(2)).map_err(|e| e.to_string())?;
        if answer.status != 200 {
            return Err(format!("a first request got {}", answer.status));
        }
        kept.push(connection);
    }
    std::thread::sleep(Duration::from_secs(1));
    let stopped_at = Instant::now();
    if has_trouble() {
        record.line("SIGTERM");
        deployment.machines[STOPPED].daemon.signal("TERM");
    }
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (client, mut connection) in (0..CLIENTS).zip(kept) {
        let (record, lost) = (Arc::clone(record), Arc::clone(&lost));
        clients.push(std::thread::spawn(move || {
            let due = stopped_at + FIRST + SPREAD * client / CLIENTS;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = format!("long-{client:02}");
            let sent = stopped_at.elapsed();
            let answer = connection.send(&request("long", &id)).and_then(|()| connection.read(Duration::from_secs(5)));
            let ended = stopped_at.elapsed();
            let text = match &answer {
                Ok(answer) => format!("{} {}", answer.status, answer.head.get("x-jackdaw-reason").unwrap_or("")),
                Err(error) => format!("no answer: {error}"),
            };
            let is_whole = answer.is_ok_and(|answer| answer.status == 200);
            let has_timed_out = ended - sent >= TIMEOUT;
            record.line(&format!(
                "{id}: sent {:.3} s after SIGTERM, got {text} {:.3} s after it",
                sent.as_secs_f64(),
                ended.as_secs_f64()
            ));
            if !is_whole && !has_timed_out && sent > COUNTED_FROM {
                lost.lock().expect("no panic").push(id);
            }
        }));
    }
    std::thread::sleep((stopped_at + GRACE).saturating_duration_since(Instant::now()));
    if has_trouble() {
        record.line("SIGKILL");
        deployment.machines[STOPPED].daemon.kill();
    }
    for client in clients {
        let _ = client.join();
    }
    let lost = lost.lock().expect("no panic").clone();
    let mut passed_on = 0;
    for machine in &deployment.machines {
        for run in machine.upstream.runs().iter().filter(|run| run.id.starts_with("long")) {
            record.line(&format!("ran {} at {} from {:.3} s after SIGTERM", run.id, machine.upstream.id, run.at.saturating_duration_since(stopped_at).as_secs_f64()));
            passed_on += usize::from(lost.contains(&run.id));
        }
    }
    deployment.stop();
    record.line(&format!("LOST: {passed_on} requests that were sent later than 3 s after SIGTERM, read and passed on have no complete answer of their upstream"));
    Ok(passed_on > 0)
}

fn request(name: &str, id: &str) -> Vec<u8> {
    format!(
        "POST /book/{name} HTTP/1.1\r\nHost: {HOST}\r\nX-Jackdawpulley-Request-Id: {id}\r\n\
         X-Jackdawpulley-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nseat"
    )
    .into_bytes()
}
