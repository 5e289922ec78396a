//! Case: a client names the header of its caller's service in `Connection`.

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use review_standin_2::client::{exchange, request};
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, Route, has_trouble};

const REQUESTS: usize = 60;
const CALLER: &str = "x-jackdawpulley-caller-service";

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
    let trouble = has_trouble();
    let behaviour: Behaviour = Arc::new(|upstream, run, stream| upstream.answer(run, "booked", stream));
    let route = Route { prefix: "/book/", kind: "unsafe", service: "desk", timeout_s: 1.0, max_attempts: 2 };
    let mut deployment = Deployment::start(&["desk", "desk", "cell"], &[route], &behaviour)?;
    for number in 0..REQUESTS {
        let machine = number % 3;
        let id = format!("req-{machine}-{number:04}");
        let more = if trouble && number % 4 == 0 {
            "X-Jackdawpulley-Caller-Service: till\r\nConnection: keep-alive, X-Jackdawpulley-Caller-Service\r\n"
        } else {
            "X-Jackdawpulley-Caller-Service: till\r\nConnection: keep-alive\r\n"
        };
        let text = request("GET", "/book/seat", &id, 1_000, more);
        let answer = exchange(deployment.machines[machine].daemon.outbound, &text, Duration::from_secs(2));
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("sent {id} to machine {machine}, got {status}"));
    }
    let mut wrong = 0;
    for machine in &deployment.machines {
        for run in machine.upstream.runs() {
            let began_at: usize = run.id[4..5].parse().unwrap_or(0);
            let expected = &deployment.machines[began_at].upstream.service;
            let values: Vec<&str> = run.head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(CALLER)).map(|(_, value)| value.as_str()).collect();
            let is_wrong = values != [expected.as_str()];
            wrong += usize::from(is_wrong);
            let mark = if is_wrong { "WRONG" } else { "ok" };
            record.line(&format!("{mark}: ran {} at {}, caller {values:?}, began beside {expected}", run.id, machine.upstream.id));
        }
    }
    deployment.stop();
    record.line(&format!("UNASKED: {wrong} requests ran without the service of the machine where they began"));
    Ok(wrong > 0)
}
