//! Case: a version of the configuration names a service with a long name.

use std::process::exit;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standin_2::client::{exchange, request};
use review_standin_2::record::Record;
use review_standin_2::upstream::Behaviour;
use review_standin_2::{CANNOT_RUN, Deployment, Route, configuration, has_trouble};

const MACHINES: usize = 3;
/// config-apply-s, from the acknowledgement of the store.
const APPLY: Duration = Duration::from_secs(2);
/// Time in which requests are sent after it.
const WATCHED: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(50);
/// Names of a new service, which has no upstreams yet: the full name of a host, and a short one.
const LONG: &str = "licence-settlement.catalogue.klein-windhoek.kalahari-reel-systems.example";
const SHORT: &str = "licence-settlement";

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
    let behaviour: Behaviour =
        Arc::new(|upstream, run, stream| upstream.answer(run, "booked", stream));
    let route = |prefix, service| Route {
        prefix,
        kind: "unsafe",
        service,
        timeout_s: 1.0,
        max_attempts: 2,
    };
    let before = [route("/book/", "desk"), route("/dropped/", "desk")];
    let mut deployment = Deployment::start(&["desk"; MACHINES], &before, &behaviour)?;
    let name = if has_trouble() { LONG } else { SHORT };
    let after = [
        route("/book/", "desk"),
        route("/added/", "desk"),
        route("/settle/", name),
    ];
    for (machine, path) in [(0, "/book/x"), (1, "/dropped/x"), (2, "/added/x")] {
        let status = send(&deployment, machine, path, &format!("before-{machine}"));
        record.line(&format!(
            "before the new version, machine {machine}, {path}: {status}"
        ));
    }
    deployment.store.put(
        "keyed.op",
        "config",
        configuration("00000002", &after).as_bytes(),
    );
    let acknowledged = Instant::now();
    record.line(&format!(
        "the store has acknowledged version 2, with the service {name}"
    ));
    std::thread::sleep(APPLY);
    let (mut sent, mut ran, mut refused) = (0, 0, 0);
    while acknowledged.elapsed() < APPLY + WATCHED {
        for machine in 0..MACHINES {
            std::thread::sleep(PAUSE);
            sent += 1;
            let dropped = send(
                &deployment,
                machine,
                "/dropped/x",
                &format!("dropped-{sent:04}"),
            );
            let added = send(
                &deployment,
                machine,
                "/added/x",
                &format!("added-{sent:04}"),
            );
            ran += usize::from(dropped == 200);
            refused += usize::from(added == 404);
            record.line(&format!(
                "{:.2} s after the acknowledgement, machine {machine}: dropped route {dropped}, added route {added}",
                acknowledged.elapsed().as_secs_f64()
            ));
        }
    }
    let run_ids = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.upstream.runs());
    let run_ids: Vec<String> = run_ids
        .map(|run| run.id)
        .filter(|id| id.starts_with("dropped"))
        .collect();
    record.line(&format!(
        "ran with the dropped route: {}",
        run_ids.join(" ")
    ));
    deployment.stop();
    record.line(&format!(
        "CONFIG: of {sent} requests each, {ran} ran with a dropped route, {refused} got 404 though the route is there"
    ));
    Ok(ran + refused > 0)
}

/// Sends a request and returns the status, 0 if there was no answer.
fn send(deployment: &Deployment, machine: usize, path: &str, id: &str) -> u16 {
    let text = request("GET", path, id, 1_000, "");
    let daemon = deployment.machines[machine].daemon.outbound;
    exchange(daemon, &text, Duration::from_secs(2)).map_or(0, |answer| answer.status)
}
