//! Case: the loss of all daemons loses an acknowledged departure.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection};
use crate::record::Record;
use crate::system::{Bounds, Place, System};

const BOUNDS: Bounds = &[
    ("grace-s", "6"),
    ("config-apply-s", "2.5"),
    ("retry-budget-ratio", "0.2"),
    ("budget-min-retries", "190"),
    ("budget-window-s", "10"),
];
const SHELF: Place = Place {
    zone: "eros",
    service: "shelf",
};
/// One of ten upstreams has a false health check.
const PLACES: [Place; 10] = [SHELF; 10];
const CONFIG: &str = r#"{"version":"00000007","resources":[
{"entry-type":"routes","metadata":{"name":"r-grant"},"spec":{"host":"ficu95.example","path-prefix":"/grant/","kind":"unsafe","timeout-s":2.5,"target-latency-s":1,"priority":1,"service":"shelf","max-attempts":2}},
{"entry-type":"services","metadata":{"name":"shelf"},"spec":{"health-path":"/health","max-connections":510,"protocol":"h1","tls":false}},
{"entry-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}"#;
const DRAIN: Duration = Duration::from_millis(2_500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_millis(2_500);
const WORK_MS: u64 = 320;
const CLIENTS: usize = 20;
/// The upstream that leaves.
const LEAVING: usize = 9;
/// Times after the acknowledgement: of the kill, and of the end of the upstream.
const KILL_AFTER: Duration = Duration::from_millis(500);
const EXIT_AFTER: Duration = Duration::from_secs(9);

struct Outcome {
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let system = System::start(&PLACES, CONFIG, BOUNDS, record)?;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(13);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (system, outcomes) = (Arc::clone(&system), Arc::clone(&outcomes));
            thread::spawn(move || send_all(&system, number % LEAVING, &outcomes, end))
        })
        .collect();
    system.supervise(Instant::now() + Duration::from_secs(2))?;
    let leaving = &system.machines[LEAVING].upstream;
    let acknowledged = leaving
        .leave(with_trouble)
        .ok_or("the departure was not acknowledged")?;
    system.supervise(acknowledged + KILL_AFTER)?;
    let mut in_touch = acknowledged;
    if with_trouble {
        system.kill_all();
        system.supervise(Instant::now() + Duration::from_millis(700))?;
        while !system.are_ready() {
            system.supervise(Instant::now() + Duration::from_millis(20))?;
            if Instant::now() > acknowledged + Duration::from_secs(5) {
                return Err("the daemons did not come back".to_owned());
            }
        }
        record.write("all daemons are ready again");
        in_touch = Instant::now() + STABLE_WINDOW;
    }
    system.supervise(acknowledged + EXIT_AFTER)?;
    let runs = leaving.runs();
    leaving.exit();
    system.supervise(end + DEADLINE)?;
    for client in clients {
        let _ = client.join();
    }
    system.end();
    let outcomes = outcomes.lock().expect("not poisoned");
    let bound = in_touch.max(acknowledged + DRAIN);
    let mut late = 0;
    let mut lost = 0;
    for run in &runs {
        let Some(outcome) = outcomes.iter().find(|outcome| outcome.id == run.id) else {
            continue;
        };
        // Taken from the client and sent on by machines in touch.
        if outcome.sent < in_touch || run.began < bound {
            continue;
        }
        late += 1;
        let is_lost = outcome.status != 200;
        lost += usize::from(is_lost);
        record.write(&format!(
            "DRAIN: {} reached {} {:.3} s after the acknowledgement, {:.3} s after all were in touch: {}, {:.3} s",
            run.id,
            run.instance,
            (run.began - acknowledged).as_secs_f64(),
            (run.began - in_touch).as_secs_f64(),
            outcome.status,
            (outcome.ended - outcome.sent).as_secs_f64()
        ));
    }
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    record.say(&format!(
        "{} requests, {whole} answered; {late} reached the upstream that had left over {DRAIN:?} before, {lost} of them were lost with it",
        outcomes.len()
    ));
    if whole == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(late == 0)
}

fn send_all(system: &System, machine: usize, outcomes: &Mutex<Vec<Outcome>>, end: Instant) {
    let mut kept: Option<Connection> = None;
    while Instant::now() < end {
        let opened = match kept.take() {
            Some(connection) if system.gives_work(machine) => Ok(connection),
            _ if !system.gives_work(machine) => Err(std::io::Error::other("out")),
            _ => Connection::open(system.machines[machine].outbound(), None),
        };
        let Ok(mut connection) = opened else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let id = client::new_id();
        let sent = Instant::now();
        let target = format!("/grant/{id}?work={WORK_MS}");
        let request = client::Request {
            method: "POST",
            target: &target,
            id: &id,
            deadline: DEADLINE,
            key: None,
        };
        if connection.send(request, b"{\"title\":1}").is_err() {
            continue;
        }
        system.record.write(&format!("sent {id}"));
        let mut status = 0;
        if let Ok(answer) = connection.receive(sent + DEADLINE) {
            status = answer.status();
            if !answer.closes() {
                kept = Some(connection);
            }
        }
        system.record.write(&format!("ended {id} {status}"));
        outcomes.lock().expect("not poisoned").push(Outcome {
            id,
            sent,
            ended: Instant::now(),
            status,
        });
        if status != 200 {
            thread::sleep(Duration::from_millis(100));
        }
    }
}
