//! Case: a daemon that stops closes a connection right after it has handed its answers to the kernel. A request
//! that the client has sent behind them, before it could know of the close, resets the connection, and the answers
//! that are still on their way are lost.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection, Link};
use crate::http;
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

/// A request on a connection, and what became of it.
struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    result: Result<u16, String>,
    /// Whether an earlier answer on its connection had closed it, so that it counts as not read.
    is_behind_close: bool,
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let system = System::start(&PLACES, CONFIG, BOUNDS, record)?;
    let link = Link::new(LINK_MBPS);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (system, link, sent) = (Arc::clone(&system), link.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                thread::sleep(SPACING / CLIENTS * number);
                pipeline(&system, &link, &sent, began + LENGTH);
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

/// One client: sends a request each `SPACING`, before the earlier ones are answered, until it reads an answer that
/// closes the connection; then it goes on with another connection.
fn pipeline(system: &System, link: &Link, log: &Mutex<Vec<Sent>>, end: Instant) {
    while Instant::now() < end {
        let opened = Connection::open(system.machines[WATCHED].outbound(), Some(link));
        let (true, Ok(connection)) = (system.gives_work(WATCHED), opened) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let Ok((mut writer, mut reader)) = connection.split() else {
            return;
        };
        let is_closed = Arc::new(AtomicBool::new(false));
        let waiting: Arc<Mutex<VecDeque<(String, Instant)>>> = Arc::default();
        let writing = {
            let (is_closed, waiting, record) = (
                Arc::clone(&is_closed),
                Arc::clone(&waiting),
                system.record.clone(),
            );
            thread::spawn(move || {
                let mut works = WORK_MS.iter().cycle();
                while !is_closed.load(Ordering::Acquire)
                    && Instant::now() + Duration::from_secs(1) < end
                {
                    let id = client::new_id();
                    waiting
                        .lock()
                        .expect("not poisoned")
                        .push_back((id.clone(), Instant::now()));
                    record.write(&format!("sent {id}"));
                    let target = format!(
                        "/archive/{id}?work={}&bytes={BYTES}",
                        works.next().unwrap_or(&0)
                    );
                    if client::send(&mut writer, "GET", &target, &id, DEADLINE, b"").is_err() {
                        return;
                    }
                    thread::sleep(SPACING);
                }
            })
        };
        let mut is_behind_close = false;
        loop {
            let next = waiting.lock().expect("not poisoned").front().cloned();
            let Some((id, at)) = next else {
                if writing.is_finished() {
                    break;
                }
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let result = if is_behind_close {
                Err("behind an answer that closes the connection".to_owned())
            } else {
                // The client sends no more as soon as it has read that the connection closes.
                let notice = |answer: &http::Message| {
                    if answer.closes() {
                        is_closed.store(true, Ordering::Release);
                    }
                };
                match reader.receive_noticing(at + DEADLINE, notice) {
                    Ok(answer) => {
                        let is_whole =
                            answer.status() != 200 || answer.body == upstream::body_of(&id, BYTES);
                        is_behind_close = answer.closes();
                        if is_whole {
                            Ok(answer.status())
                        } else {
                            Err("another body".to_owned())
                        }
                    }
                    Err(failure) => {
                        is_closed.store(true, Ordering::Release);
                        Err(format!("{failure:?}"))
                    }
                }
            };
            waiting.lock().expect("not poisoned").pop_front();
            system.record.write(&format!("ended {id} {result:?}"));
            let sent = Sent {
                id,
                at,
                ended: Instant::now(),
                result,
                is_behind_close,
            };
            log.lock().expect("not poisoned").push(sent);
        }
        let _ = writing.join();
    }
}
