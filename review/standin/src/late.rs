//! Case: requests that a stopping daemon still takes on kept connections after it has closed its listener, and
//! breaks off before the time of grace is over.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection};
use crate::record::Record;
use crate::system::{Bounds, Place, System};
use crate::upstream;

const BOUNDS: Bounds = &[
    ("grace-s", "6"),
    ("config-apply-s", "2.5"),
    ("retry-budget-ratio", "0.2"),
    ("budget-min-retries", "184"),
    ("budget-window-s", "10"),
];
/// Three machines in the zone whose daemons are stopped, two at a time, and one in another zone.
const PLACES: [Place; 4] = [
    Place {
        zone: "ch-west-a",
        service: "portal",
    },
    Place {
        zone: "ch-west-a",
        service: "portal",
    },
    Place {
        zone: "ch-west-a",
        service: "labrunner",
    },
    Place {
        zone: "ch-west-b",
        service: "labrunner",
    },
];
const CONFIG: &str = r#"{"version":"00000007","resources":[
{"entry-type":"routes","metadata":{"name":"r-archive"},"spec":{"host":"ficu95.example","path-prefix":"/archive/","kind":"safe","timeout-s":12,"target-latency-s":2,"priority":1,"service":"labrunner","max-attempts":2}},
{"entry-type":"routes","metadata":{"name":"r-browse"},"spec":{"host":"ficu95.example","path-prefix":"/browse/","kind":"safe","timeout-s":3,"target-latency-s":0.5,"priority":1,"service":"portal","max-attempts":2}},
{"entry-type":"services","metadata":{"name":"labrunner"},"spec":{"health-path":"/health","max-connections":490,"protocol":"h1","tls":false}},
{"entry-type":"services","metadata":{"name":"portal"},"spec":{"health-path":"/health","max-connections":490,"protocol":"h1","tls":false}},
{"entry-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}"#;
const DEADLINE: Duration = Duration::from_secs(12);
/// The machine whose clients are watched.
const WATCHED: usize = 0;
/// Kept connections, and the time between the requests on them.
const CONNECTIONS: u32 = 40;
const SPACING: Duration = Duration::from_millis(100);
/// The upstream's work for a request: four times the sheet's mean, half of the site file's largest.
const WORK_MS: u64 = 2_640;

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let system = System::start(&PLACES, CONFIG, BOUNDS, record)?;
    // Each client has used its connection once and keeps it.
    let mut kept = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut connection = Connection::open(system.machines[WATCHED].outbound(), None)
            .map_err(|error| error.to_string())?;
        let id = client::new_id();
        let target = format!("/browse/{id}");
        let request = client::Request {
            method: "GET",
            target: &target,
            id: &id,
            deadline: Duration::from_secs(3),
            key: None,
        };
        let sent = connection.send(request, b"");
        sent.map_err(|error| error.to_string())?;
        let answer = connection.receive(Instant::now() + Duration::from_secs(3));
        if !answer.is_ok_and(|answer| answer.status() == 200 && !answer.closes()) {
            return Err("a first request was not answered".to_owned());
        }
        kept.push(connection);
    }
    let terminated = Instant::now();
    if with_trouble {
        // Two of the zone's three daemons are stopped at a time, so fewer than half are in, and clients stay.
        system.terminate(WATCHED);
        system.terminate(1);
    }
    // One client after the other sends its next request, on the connection that it keeps.
    let clients: Vec<_> = (0..)
        .zip(kept)
        .map(|(number, connection)| {
            let system = Arc::clone(&system);
            thread::spawn(move || {
                ask(
                    &system,
                    connection,
                    terminated + SPACING / 2 + SPACING * number,
                )
            })
        })
        .collect();
    system.supervise(
        terminated
            + SPACING * CONNECTIONS
            + Duration::from_millis(WORK_MS)
            + Duration::from_secs(1),
    )?;
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect();
    system.end();
    let runs: Vec<upstream::Run> = system
        .machines
        .iter()
        .flat_map(|machine| machine.upstream.runs())
        .collect();
    let mut whole = 0;
    let mut lost = Vec::new();
    for outcome in &outcomes {
        if outcome.result == Ok(200) {
            whole += 1;
            continue;
        }
        let Some(run) = runs.iter().find(|run| run.id == outcome.id) else {
            continue;
        };
        let after = outcome.sent.saturating_duration_since(terminated);
        let at_work = run.began < outcome.ended && run.answered.is_none_or(|at| at > outcome.ended);
        // Not counted: a request sent no later than 3 s after SIGTERM, at which the upstream was still at work in
        // the last sixth of the time of grace.
        let is_excused = after <= Duration::from_secs(3);
        let line = format!(
            "{} sent {:.3} s after SIGTERM, broken off {:.3} s after it with its upstream at work: {:?}",
            outcome.id,
            after.as_secs_f64(),
            outcome
                .ended
                .saturating_duration_since(terminated)
                .as_secs_f64(),
            outcome.result
        );
        if with_trouble && at_work && !is_excused {
            lost.push(line);
        } else {
            record.write(&format!("not counted: {line}"));
        }
    }
    record.say(&format!(
        "{} requests, {whole} answered whole, {} lost",
        outcomes.len(),
        lost.len()
    ));
    for line in &lost {
        record.say(&format!("LOST: {line}"));
    }
    if whole == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(lost.is_empty() && (with_trouble || whole == outcomes.len()))
}

/// What became of one request.
struct Outcome {
    id: String,
    sent: Instant,
    ended: Instant,
    result: Result<u16, String>,
}

fn ask(system: &System, mut connection: Connection, at: Instant) -> Option<Outcome> {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    if !system.gives_work(WATCHED) {
        return None;
    }
    let id = client::new_id();
    let sent = Instant::now();
    let target = format!("/archive/{id}?work={WORK_MS}");
    system.record.write(&format!("sent {id}"));
    let request = client::Request {
        method: "GET",
        target: &target,
        id: &id,
        deadline: DEADLINE,
        key: None,
    };
    if let Err(error) = connection.send(request, b"") {
        system.record.write(&format!("not sent {id}: {error}"));
        return None;
    }
    let result = match connection.receive(sent + DEADLINE) {
        Ok(answer) => Ok(answer.status()),
        Err(failure) => Err(format!("{failure:?}")),
    };
    system.record.write(&format!("ended {id} {result:?}"));
    Some(Outcome {
        id,
        sent,
        ended: Instant::now(),
        result,
    })
}
