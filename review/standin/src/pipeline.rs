//! Clients that send further safe requests before the first one has been answered.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection, Link};
use crate::http;
use crate::system::System;
use crate::upstream;

/// What the clients of a machine send.
#[derive(Clone)]
pub struct Workload {
    pub machine: usize,
    pub link: Link,
    /// Time between two requests of one client.
    pub spacing_ms: Arc<AtomicU64>,
    /// Work of the upstream for one request after the other.
    pub work_ms: &'static [u64],
    /// Size of an answer.
    pub bytes: usize,
    pub deadline: Duration,
    /// Key of the clients' tenant.
    pub key: Option<&'static str>,
}

/// A request on a connection, and what became of it.
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub ended: Instant,
    pub result: Result<u16, String>,
    /// Whether an earlier answer on its connection had closed it, so that it counts as not read.
    pub is_behind_close: bool,
    /// Whether its connection had served a request before.
    pub is_kept: bool,
}

/// One client: sends a request each `spacing_ms`, before the earlier ones are answered, until it reads an answer that
/// closes the connection; then it goes on with another connection.
pub fn run(system: &System, workload: &Workload, log: &Mutex<Vec<Sent>>, end: Instant) {
    while Instant::now() < end {
        let opened = Connection::open(
            system.machines[workload.machine].outbound(),
            Some(&workload.link),
        );
        let (true, Ok(connection)) = (system.gives_work(workload.machine), opened) else {
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
            let workload = workload.clone();
            thread::spawn(move || {
                let mut works = workload.work_ms.iter().cycle();
                while !is_closed.load(Ordering::Acquire)
                    && Instant::now() + Duration::from_secs(1) < end
                {
                    let id = client::new_id();
                    waiting
                        .lock()
                        .expect("not poisoned")
                        .push_back((id.clone(), Instant::now()));
                    record.write(&format!("sent {id}"));
                    let work = works.next().unwrap_or(&0);
                    let target = format!("/archive/{id}?work={work}&bytes={}", workload.bytes);
                    let request = client::Request {
                        method: "GET",
                        target: &target,
                        id: &id,
                        deadline: workload.deadline,
                        key: workload.key,
                    };
                    if client::send(&mut writer, request, b"").is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(
                        workload.spacing_ms.load(Ordering::Relaxed),
                    ));
                }
            })
        };
        let mut is_behind_close = false;
        let mut is_kept = false;
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
                match reader.receive_noticing(at + workload.deadline, notice) {
                    Ok(answer) => {
                        let is_whole = answer.status() != 200
                            || answer.body == upstream::body_of(&id, workload.bytes);
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
                is_kept: std::mem::replace(&mut is_kept, true),
            };
            log.lock().expect("not poisoned").push(sent);
        }
        let _ = writing.join();
    }
}
