//! Case: a tenant exceeds its quota. Each refusal closes its connection, and resets it if a further request of the
//! client is under way; the answers to requests within the quota, which are still on their way, are lost.

use std::sync::atomic::{AtomicU64, Ordering};
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
    ("budget-min-retries", "190"),
    ("budget-window-s", "10"),
];
const PLACES: [Place; 3] = [
    Place {
        zone: "regina-north",
        service: "desk",
    },
    Place {
        zone: "regina-north",
        service: "portal",
    },
    Place {
        zone: "regina-north",
        service: "portal",
    },
];
const CONFIG: &str = r#"{"version":"00000007","resources":[
{"entry-type":"routes","metadata":{"name":"r-history"},"spec":{"host":"ficu95.example","path-prefix":"/archive/","kind":"safe","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"portal","max-attempts":2}},
{"entry-type":"services","metadata":{"name":"portal"},"spec":{"health-path":"/health","max-connections":510,"protocol":"h1","tls":false}},
{"entry-type":"services","metadata":{"name":"desk"},"spec":{"health-path":"/health","max-connections":510,"protocol":"h1","tls":false}},
{"entry-type":"tenants","metadata":{"name":"huka270"},"spec":{"api-keys":["aj3nr26tta828m82thhk"],"priority":1,"rate-per-s":84,"burst":84}},
{"entry-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}"#;
const KEY: &str = "aj3nr26tta828m82thhk";
/// Bandwidth of a machine's link, the lowest on the sheet.
const LINK_MBPS: f64 = 10.0;
/// Size of an answer, the largest of the site file's order-history.
const BYTES: usize = 9_000;
/// The upstream's work for a request: about the sheet's mean (240 ms), some shorter and some longer.
const WORK_MS: [u64; 5] = [180, 420, 240, 150, 210];
const DEADLINE: Duration = Duration::from_secs(2);
const CLIENTS: u32 = 14;
/// Time between two requests of one client: usually, and while the tenant is hot.
const USUAL_MS: u64 = 270;
const HOT_MS: u64 = 40;
const WATCHED: usize = 0;
const HOT_AT: Duration = Duration::from_secs(4);
const HOT_FOR: Duration = Duration::from_millis(6_500);
const LENGTH: Duration = Duration::from_secs(14);
/// Requests that may be lost so.
const ALLOWED: usize = 3;

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let system = System::start(&PLACES, CONFIG, BOUNDS, record)?;
    let spacing_ms = Arc::new(AtomicU64::new(USUAL_MS));
    let workload = Workload {
        machine: WATCHED,
        link: Link::new(LINK_MBPS),
        spacing_ms: Arc::clone(&spacing_ms),
        work_ms: &WORK_MS,
        bytes: BYTES,
        deadline: DEADLINE,
        key: Some(KEY),
    };
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (system, workload, sent) =
                (Arc::clone(&system), workload.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(USUAL_MS) / CLIENTS * number);
                pipeline::run(&system, &workload, &sent, began + LENGTH);
            })
        })
        .collect();
    system.supervise(began + HOT_AT)?;
    if with_trouble {
        record.write("the tenant is hot");
        spacing_ms.store(HOT_MS, Ordering::Relaxed);
    }
    system.supervise(began + HOT_AT + HOT_FOR)?;
    spacing_ms.store(USUAL_MS, Ordering::Relaxed);
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
    let refused = sent.iter().filter(|sent| sent.result == Ok(429)).count();
    let mut lost = Vec::new();
    for request in sent.iter() {
        let Err(problem) = &request.result else {
            continue;
        };
        let run = runs.iter().find(|run| run.id == request.id);
        let is_answered = run.is_some_and(|run| run.answered.is_some_and(|at| at < request.ended));
        let is_in_time = request.ended < request.at + DEADLINE;
        if is_answered && is_in_time && request.is_kept && !request.is_behind_close {
            lost.push(format!(
                "{} sent on a kept connection, answered whole by its upstream, connection ended {:.3} s after it was sent: {problem}",
                request.id,
                (request.ended - request.at).as_secs_f64()
            ));
        }
    }
    record.say(&format!(
        "{} requests, {whole} answered whole, {refused} over the quota, {} lost",
        sent.len(),
        lost.len()
    ));
    for line in &lost {
        record.say(&format!("LOST: {line}"));
    }
    if whole == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(lost.len() <= ALLOWED)
}
