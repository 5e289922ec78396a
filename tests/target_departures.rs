//! Departures of target processes: none of them is ever offered again.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser as _;
use common::deterministic_config;
use http::Request;
use jackdawpulley::calls::dialect::Dialect;
use jackdawpulley::calls::executor::{Executor, Received};
use jackdawpulley::calls::metadata::Metadata;
use jackdawpulley::calls::outcome::Reason;
use jackdawpulley::configuration::document::Guard;
use jackdawpulley::membership::target::{Process, Processes, Recency};
use jackdawpulley::quarantine::fingerprint::Fingerprint;
use jackdawpulley::settings::Settings;
use jackdawpulley::shared_state::{SharedState, Target};
use jackdawpulley::units::{Instance, Millis, Priority, Service, Slots, StartTime};
use proptest::prelude::*;
use slog::{Discard, Logger, o};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use volo_http::body::Body;

fn shared_state() -> SharedState {
    let flags = [
        "test",
        "--data-centre=here",
        "--peer-addr=127.0.0.1:7001",
        "--call-addr=127.0.0.1:7002",
        "--target-addr=127.0.0.1:7003",
        "--operator-addr=127.0.0.1:7004",
        "--log-addr=127.0.0.1:7000",
    ];
    let settings = Settings::try_parse_from(flags).expect("the flags are known");
    SharedState::new(settings, Dialect::default(), Logger::root(Discard, o!()))
}

fn target(process: &Process) -> Target {
    Target {
        instance: Some(process.instance.clone()),
        start_time: process.start_time,
        address: "127.0.0.1:7005".parse().expect("an address"),
        service: Service("shelf".to_owned()),
        slots: Slots(4),
        revision: None,
        cold_until: Instant::now(),
        lease_until: Instant::now() + Duration::from_secs(10),
    }
}

/// Guards against a departure that is forgotten since the target was withdrawn when its response said so.
#[test]
fn withdrawn_target_departs() {
    let shared = shared_state();
    let process = Process::new("a", None);
    assert_eq!(shared.processes().observe(&process, 1), Recency::New);
    assert!(shared.set_target(Some(target(&process))));
    let offered: Arc<Target> = shared.target().expect("it was set");
    shared.remove_target(&offered);
    shared.retire_target(&offered);
    assert!(!shared.set_target(Some(target(&process))));
}

fn metadata() -> Metadata {
    Metadata {
        id: "id".into(),
        service: Service::from("shelf"),
        group: "shelf".into(),
        route: "all".into(),
        caller_service: Service::default(),
        fingerprint: Fingerprint(1),
        priority: Priority(0),
        sent_ms: 0,
        remaining: Millis(5_000),
        max_wait: Millis(1_000),
        repeatable: true,
        key: None,
        guard: Guard::Memory,
        team: String::new(),
        draining: Vec::new(),
        notice: None,
        repeat: false,
    }
}

/// Guards against a request that is admitted before a departure and written to the target after it.
#[tokio::test]
async fn admitted_request_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let shared = Arc::new(shared_state());
    let process = Process::new("a", None);
    let address = listener.local_addr().expect("bound");
    let offered = Target {
        address,
        ..target(&process)
    };
    assert!(shared.set_target(Some(offered)));
    let executor = Executor::new(Arc::clone(&shared));
    let request = Request::new(Body::empty());
    let received = Received::new(metadata(), request, false, shared.track_call());
    let admitted = received.admit(&executor).await.expect("it has slots");
    assert!(shared.record_departure(&process));
    let result = admitted.dispatch(&executor).await;
    assert_eq!(result.map(|_| ()), Err(Reason::NoTarget));
    let (mut stream, _) = listener.accept().await.expect("it connected");
    let mut byte = [0];
    assert_eq!(
        stream.read(&mut byte).await.ok(),
        Some(0),
        "nothing was sent"
    );
}

/// Time of departures, in Unix milliseconds; later than all start times.
const NOW: StartTime = StartTime(1_000);

#[derive(Debug, Clone)]
enum Step {
    /// The running process sends a heartbeat.
    Announce,
    /// The running process leaves; it runs on.
    Leave,
    /// The running process ends, and another one starts at the address.
    Replace,
    /// A message arrives, in any order; heartbeats may arrive more than once.
    Deliver(usize),
    /// The running process says in a response that it leaves, if it has left.
    Respond,
    /// The running process is asked for its health; the response may be lost.
    Check(bool),
    /// The earliest response to a health check arrives.
    Checked,
    /// A request fails at the target.
    Fail,
    /// The daemon restarts.
    Restart,
    /// Messages from before the last restart can no longer arrive.
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Announce),
        2 => Just(Step::Leave),
        2 => Just(Step::Replace),
        12 => (0_usize..12).prop_map(Step::Deliver),
        2 => Just(Step::Respond),
        3 => any::<bool>().prop_map(Step::Check),
        3 => Just(Step::Checked),
        2 => Just(Step::Fail),
        2 => Just(Step::Restart),
        1 => Just(Step::Expire),
    ]
}

#[derive(Debug, Clone)]
struct Announcement {
    process: Process,
    sequence: u64,
    leaving: bool,
    /// Number of the daemon process when it was sent.
    sent_to: usize,
}

/// A host with its daemon, and the messages between them.
#[expect(clippy::struct_excessive_bools, reason = "independent states")]
#[derive(Debug)]
struct Host {
    processes: Processes,
    offered: Option<Process>,
    /// Process that runs at the address, and whether it has left.
    running: Process,
    has_left: bool,
    /// Whether a daemon has acknowledged that.
    is_acknowledged: bool,
    sequence: u64,
    started: u64,
    daemon: usize,
    messages: Vec<Announcement>,
    checks: Vec<Option<Instance>>,
    /// Whether peers return departures to a restarted daemon. If they do not, a process that has left is not healthy.
    peers_remember: bool,
    reuses_name: bool,
}

impl Host {
    fn new(peers_remember: bool, reuses_name: bool) -> Self {
        let mut host = Self {
            processes: Processes::default(),
            offered: None,
            running: Process::new("", None),
            has_left: false,
            is_acknowledged: false,
            sequence: 0,
            started: 0,
            daemon: 0,
            messages: Vec::new(),
            checks: Vec::new(),
            peers_remember,
            reuses_name,
        };
        host.replace();
        host
    }

    fn replace(&mut self) {
        self.started += 1;
        self.running = if self.reuses_name {
            Process::new("a", Some(StartTime(self.started)))
        } else {
            Process::new(format!("a{}", self.started).as_str(), None)
        };
        (self.has_left, self.is_acknowledged, self.sequence) = (false, false, 0);
    }

    fn announce(&mut self, leaving: bool) {
        self.sequence += 1;
        self.messages.push(Announcement {
            process: self.running.clone(),
            sequence: self.sequence,
            leaving,
            sent_to: self.daemon,
        });
    }

    /// What a health check would show now.
    fn health(&self) -> Option<Instance> {
        let is_healthy = self.peers_remember || !self.has_left;
        is_healthy.then(|| self.running.instance.clone())
    }

    fn deliver(&mut self, message: &Announcement, finding: Option<&Instance>) {
        if message.leaving {
            self.processes.depart(&message.process, NOW);
            self.is_acknowledged |= message.process == self.running;
            self.drop_departed();
            return;
        }
        if self.offered.is_none() {
            self.processes.withdraw_current();
        }
        let is_contested = self.processes.may_replace_another(&message.process);
        match self.processes.observe(&message.process, message.sequence) {
            Recency::Stale | Recency::Ended => return,
            Recency::Current => {}
            Recency::New => {
                if is_contested || self.processes.is_unverified() {
                    self.confirm(finding);
                }
                if !self.processes.is_current(&message.process.instance) {
                    return;
                }
            }
        }
        self.offer(message.process.clone());
    }

    fn confirm(&mut self, responder: Option<&Instance>) {
        if let Some(responder) = responder {
            self.processes.confirm(responder);
        }
    }

    fn offer(&mut self, process: Process) {
        self.offered = Some(process);
        self.drop_departed();
    }

    fn drop_departed(&mut self) {
        let processes = &self.processes;
        self.offered
            .take_if(|target| processes.has_departed(target));
    }

    fn restart(&mut self) {
        let known = self.processes.shared_departures();
        self.processes = Processes::after_restart();
        if self.peers_remember {
            for departure in known {
                self.processes.record_departure(departure);
            }
        }
        self.offered = None;
        self.checks.clear();
        self.daemon += 1;
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Announce if !self.has_left => self.announce(false),
            Step::Leave if !self.has_left => {
                self.has_left = true;
                self.announce(true);
            }
            Step::Replace => self.replace(),
            Step::Deliver(index) if *index < self.messages.len() => {
                let message = self.messages[*index].clone();
                let finding = self.health().filter(|_| index % 2 == 0);
                self.deliver(&message, finding.as_ref());
            }
            Step::Respond if self.has_left => {
                self.processes.depart(&self.running.clone(), NOW);
                self.is_acknowledged = true;
                self.drop_departed();
            }
            Step::Check(is_lost) => {
                let response = self.health().filter(|_| !is_lost);
                self.checks.push(response);
            }
            Step::Checked if !self.checks.is_empty() => {
                let responder = self.checks.remove(0);
                self.confirm(responder.as_ref());
                if let Some(responder) = responder.filter(|_| self.offered.is_none()) {
                    self.offer(Process::new(responder, None));
                }
            }
            Step::Fail => self.fail(),
            Step::Restart => self.restart(),
            Step::Expire => {
                let daemon = self.daemon;
                self.messages.retain(|message| message.sent_to == daemon);
                self.processes.trust_announcements();
            }
            _ => {}
        }
    }

    fn fail(&mut self) {
        if let Some(target) = self.offered.take() {
            self.processes.withdraw(&target.instance);
        }
    }

    /// Whether a request would run at a process whose departure has been acknowledged.
    fn is_broken(&self) -> bool {
        let offered = self.offered.as_ref();
        let is_reached = offered.is_some_and(|target| target.instance == self.running.instance);
        is_reached && self.is_acknowledged
    }
}

proptest! {
    #![proptest_config(deterministic_config(3_000))]

    /// Guards against a departure that is forgotten in some order of announcements, health checks, failures and
    /// restarts, and against a running target that stays unused.
    #[test]
    fn departures_are_final(
        steps in prop::collection::vec(step(), 1..80),
        peers_remember in any::<bool>(),
        reuses_name in any::<bool>(),
    ) {
        let mut host = Host::new(peers_remember, reuses_name);
        for step in &steps {
            host.apply(step);
            prop_assert!(!host.is_broken(), "{step:?}: {host:?}");
        }
        // A process that no health check names goes on to announce itself.
        if host.has_left {
            host.replace();
        }
        host.apply(&Step::Expire);
        for _ in 0..3 {
            let offered = host.offered.as_ref();
            if offered.is_some_and(|target| target.instance != host.running.instance) {
                host.fail();
            }
            host.announce(false);
            let message = host.messages.last().expect("just sent").clone();
            host.deliver(&message, None);
        }
        let offered = host.offered.as_ref().map(|target| &target.instance);
        prop_assert_eq!(offered, Some(&host.running.instance));
    }
}
