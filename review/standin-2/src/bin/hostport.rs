//! Case: two routes of the configuration differ by the port of their host alone.

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use review_standin_2::client::exchange;
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, HOST, Route, configuration, has_trouble};

const REQUESTS: usize = 60;
/// config-apply-s, and as much again.
const APPLY: Duration = Duration::from_secs(4);

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
    let behaviour: Behaviour = Arc::new(|upstream, run, stream| {
        let service = upstream.service.clone();
        upstream.answer(run, &service, stream)
    });
    let route = |service| Route {
        prefix: "/book/",
        kind: "unsafe",
        service,
        timeout_s: 1.0,
        max_attempts: 2,
    };
    let first = [route("desk")];
    let mut deployment = Deployment::start(&["desk", "cell", "desk", "cell"], &first, &behaviour)?;
    let hosts = if has_trouble() {
        ["shop.example:8080", "shop.example:9090"]
    } else {
        ["desk.shop.example", "cell.shop.example"]
    };
    let services = ["desk", "cell"];
    let mut text = configuration("00000002", &[route("desk"), route("cell")]);
    for host in hosts {
        text = text.replacen(
            &format!("\"host\":\"{HOST}\""),
            &format!("\"host\":\"{host}\""),
            1,
        );
    }
    deployment.store.put("keyed.op", "config", text.as_bytes());
    record.line(&format!(
        "the store has acknowledged version 2: {} to desk, {} to cell",
        hosts[0], hosts[1]
    ));
    std::thread::sleep(APPLY);
    for number in 0..REQUESTS {
        let wanted = number % 2;
        let machine = number % 4;
        let id = format!("{}-{number:04}", services[wanted]);
        let request = format!(
            "GET /book/x HTTP/1.1\r\nHost: {}\r\nX-Jackdawpulley-Request-Id: {id}\r\n\
             X-Jackdawpulley-Deadline-Ms: 1000\r\n\r\n",
            hosts[wanted]
        );
        let daemon = deployment.machines[machine].daemon.outbound;
        let answer = exchange(daemon, request.as_bytes(), Duration::from_secs(2));
        let text = answer.map_or_else(
            |error| error.to_string(),
            |answer| {
                format!(
                    "{} {:?}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body)
                )
            },
        );
        record.line(&format!(
            "sent {id} to {} at machine {machine}, got {text}",
            hosts[wanted]
        ));
    }
    let mut wrong = 0;
    for machine in &deployment.machines {
        for run in machine.upstream.runs() {
            let is_wrong = !run.id.starts_with(&machine.upstream.service);
            wrong += usize::from(is_wrong);
            let mark = if is_wrong { "WRONG" } else { "ok" };
            record.line(&format!(
                "{mark}: {} ran at {} of {}",
                run.id, machine.upstream.id, machine.upstream.service
            ));
        }
    }
    deployment.stop();
    record.line(&format!(
        "ROUTE: {wrong} requests were run by a service to which no route of their host leads"
    ));
    Ok(wrong > 0)
}
