//! Case: clients number their requests in a header that the pages do not name.

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use review_standin_2::client::exchange;
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, HOST, Route, has_trouble};

/// Clients, each beside a daemon, and the requests of each.
const CLIENTS: usize = 3;
const REQUESTS: usize = 20;

fn main() {
    let record = Record::open().expect("the record can be written");
    match run(&record) {
        Ok(broken) => exit(i32::from(broken)),
        Err(problem) => {
            eprintln!("cannot run: {problem}");
            exit(CANNOT_RUN);
        }
    }
}

fn run(record: &Record) -> Result<bool, String> {
    let header = if has_trouble() {
        "Idempotency-Key"
    } else {
        "X-Counter"
    };
    let behaviour: Behaviour = Arc::new(|upstream, run, stream| {
        let order = String::from_utf8_lossy(&run.body).into_owned();
        upstream.answer(run, &format!("confirmed: {order}"), stream)
    });
    let route = |prefix| Route {
        prefix,
        kind: "unsafe",
        service: "desk",
        timeout_s: 1.0,
        max_attempts: 2,
    };
    let mut deployment = Deployment::start(
        &["desk"; 3],
        &[route("/book/"), route("/cancel/")],
        &behaviour,
    )?;
    let (mut foreign, mut lost) = (0, 0);
    let mut expected = Vec::new();
    for number in 0..REQUESTS {
        for client in 0..CLIENTS {
            let id = format!("req-{client}-{number:04}");
            let path = if client == 2 {
                "/cancel/seat"
            } else {
                "/book/seat"
            };
            let body = format!("clerk {client}, hearing {client}{number:03}");
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Jackdawpulley-Request-Id: {id}\r\n\
                 X-Jackdawpulley-Deadline-Ms: 1000\r\n{header}: {number}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let daemon = deployment.machines[client].daemon.outbound;
            let text = match exchange(daemon, request.as_bytes(), Duration::from_secs(2)) {
                Ok(answer) => {
                    let is_success = (200..300).contains(&answer.status);
                    let is_own = answer.body == format!("confirmed: {body}").as_bytes()
                        && answer
                            .signature()
                            .is_some_and(|signature| signature.ends_with(&id));
                    let is_foreign = is_success && !is_own;
                    foreign += usize::from(is_foreign);
                    if is_success {
                        expected.push(id.clone());
                    }
                    let mark = if is_foreign { "FOREIGN" } else { "ok" };
                    format!(
                        "{mark}: {} {:?}, signature {:?}",
                        answer.status,
                        String::from_utf8_lossy(&answer.body),
                        answer.signature()
                    )
                }
                Err(error) => format!("no answer: {error}"),
            };
            record.line(&format!("sent {id} ({path}, {body}), got {text}"));
        }
    }
    let mut ran = Vec::new();
    for machine in &deployment.machines {
        for run in machine.upstream.runs() {
            record.line(&format!(
                "ran {} at {}: {}",
                run.id,
                machine.upstream.id,
                String::from_utf8_lossy(&run.body)
            ));
            ran.push(run.id);
        }
    }
    lost += expected.iter().filter(|id| !ran.contains(id)).count();
    deployment.stop();
    record.line(&format!("MIXED: {foreign} successes of another request; {lost} requests answered with success never ran"));
    Ok(foreign > 0)
}
