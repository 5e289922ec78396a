//! Case: a daemon that stops closes a connection right after it has handed its answers to the kernel. A request
//! that the client has sent behind them, before it could know of the close, resets the connection, and the answers
//! that are still on their way are lost.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Link;
use crate::pipeline::{self, Sent, Workload};
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
const PLACES: [Place; 4] = [
    Place {
        zone: "ch-west-a",
        service: "portal",
    },
    Place {
        zone: "ch-west-a",
        service: "labrunner",
    },
    Place {
        zone: "ch-west-a",
        service: "labrunner",
    },
    Place {
        zone: "ch-west-a",
        service: "portal",
    },
];
const CONFIG: &str = r#"{"version":"00000007","resources":[
{"entry-type":"routes","metadata":{"name":"r-archive"},"spec":{"host":"ficu95.example","path-prefix":"/archive/","kind":"safe","timeout-s":12,"target-latency-s":2,"priority":1,"service":"labrunner","max-attempts":2}},
{"entry-type":"routes","metadata":{"name":"r-browse"},"spec":{"host":"ficu95.example","path-prefix":"/browse/","kind":"safe","timeout-s":3,"target-latency-s":0.5,"priority":1,"service":"portal","max-attempts":2}},
{"entry-type":"services","metadata":{"name":"labrunner"},"spec":{"health-path":"/health","max-connections":490,"protocol":"h1","tls":false}},
{"entry-type":"services","metadata":{"name":"portal"},"spec":{"health-path":"/health","max-connections":490,"protocol":"h1","tls":false}},
{"entry-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}"#;
/// Bandwidth of a machine's link, the lowest on the sheet.
const LINK_MBPS: f64 = 10.0;
const BYTES: usize = 30_000;
/// The upstream's work for a request: about the sheet's mean, some shorter and some longer, so that answers wait for
/// those before them and then come together.
const WORK_MS: [u64; 6] = [310, 1_200, 500, 200, 1_400, 400];
const DEADLINE: Duration = Duration::from_secs(12);
/// Clients, and the time between two requests of one: together they use three fifths of the link.
const CLIENTS: u32 = 2;
const SPACING: Duration = Duration::from_millis(80);
/// The machine whose clients are watched.
const WATCHED: usize = 0;
/// Time of the SIGTERM after the first requests.
const TERM_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(14);

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let system = System::start(&PLACES, CONFIG, BOUNDS, record)?;
    let workload = Workload {
        machine: WATCHED,
        link: Link::new(LINK_MBPS),
        spacing_ms: Arc::new(AtomicU64::new(
            u64::try_from(SPACING.as_millis()).unwrap_or(0),
        )),
        work_ms: &WORK_MS,
        bytes: BYTES,
        deadline: DEADLINE,
        key: None,
    };
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (system, workload, sent) =
                (Arc::clone(&system), workload.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                thread::sleep(SPACING / CLIENTS * number);
                pipeline::run(&system, &workload, &sent, began + LENGTH);
            })
        })
        .collect();
    system.supervise(began + TERM_AT)?;
    let mut terminated = None;
    if with_trouble {
        terminated = Some(system.terminate(WATCHED));
    }
    system.supervise(began + LENGTH + Duration::from_secs(1))?;
    for client in clients {
        let _ = client.join();
    }
    system.end();
    let runs: Vec<upstream::Run> = system
        .machines
        .iter()
        .flat_map(|machine| machine.upstream.runs())
        .collect();
    let sent = sent.lock().expect("not poisoned");
    let whole = sent.iter().filter(|sent| sent.result == Ok(200)).count();
    let mut lost = Vec::new();
    for request in sent.iter() {
        let Err(problem) = &request.result else {
            continue;
        };
        let run = runs.iter().find(|run| run.id == request.id);
        let is_answered = run.is_some_and(|run| run.answered.is_some_and(|at| at < request.ended));
        let Some(term) = terminated else {
            lost.push(format!("{} without any disruption: {problem}", request.id));
            continue;
        };
        let is_around = request.ended > term && request.ended < term + Duration::from_secs(7);
        if is_answered
            && is_around
            && !request.is_behind_close
            && request.ended < request.at + DEADLINE
        {
            let after = |at: Instant| {
                at.saturating_duration_since(term).as_secs_f64()
                    - term.saturating_duration_since(at).as_secs_f64()
            };
            lost.push(format!(
                "{} sent {:+.3} s after SIGTERM, answered whole by its upstream, connection ended {:+.3} s after SIGTERM: {problem}",
                request.id,
                after(request.at),
                after(request.ended)
            ));
        }
    }
    let refused = sent
        .iter()
        .filter(|sent| matches!(sent.result, Ok(status) if status != 200))
        .count();
    record.say(&format!(
        "{} requests, {whole} answered whole, {refused} refused, {} lost",
        sent.len(),
        lost.len()
    ));
    for line in &lost {
        record.say(&format!("LOST: {line}"));
    }
    if whole == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(lost.is_empty())
}
