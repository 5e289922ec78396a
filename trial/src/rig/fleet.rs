//! Starts real processes on loopback, injects faults into them and queries them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use jackdawpulley::units::Version;
use rustix::process::Signal;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::rig::deployment::Placement;
use crate::rig::host::{
    ANNOUNCE_PORT, CALL_PORT, Host, LOG_PORT, OPERATOR_PORT, PEER_PORT, Process, TARGET_PORT,
};
use crate::rig::loopback::allocate_network;
use crate::rig::network::Network;
use crate::rig::session::{self, Answer};
use crate::stand_in::log::{Faults, Stats};
use crate::stand_in::target::Run;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All processes of a trial.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) program: PathBuf,
    network: u8,
    logs: PathBuf,
    options: Vec<String>,
    /// Slots of each target that is started.
    slots: String,
    /// Simulated network between the daemons, if the trial needs one.
    pub net: Option<Arc<Network>>,
    /// Stand-in for the platform's log.
    pub log: Option<Process>,
    /// Hosts in the order of their indices.
    pub hosts: Vec<Host>,
}

impl Fleet {
    /// Starts the log. Every daemon gets `options` on its command line.
    ///
    /// # Panics
    ///
    /// When no loopback network is free or the log does not start within 10 s.
    pub async fn start(program: PathBuf, options: &[&str]) -> Self {
        let network = allocate_network();
        let logs =
            std::env::temp_dir().join(format!("jackdaw-trial-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&logs).expect("the temporary folder can be written");
        let options = options.iter().map(|&option| option.to_owned()).collect();
        let mut fleet = Self {
            program,
            network,
            logs,
            options,
            slots: "20".to_owned(),
            net: None,
            log: None,
            hosts: Vec::new(),
        };
        fleet.start_log();
        let log = fleet.log_address();
        let up = || async move {
            session::send_once(log, Method::GET, "/stats", "")
                .await
                .is_ok()
        };
        assert!(
            wait_until(Duration::from_secs(10), up).await,
            "the log did not start"
        );
        fleet
    }

    /// Sets the slots of targets that are started from now on.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.to_string();
        self
    }

    /// Connects the hosts that are added from now on through a simulated network.
    #[must_use]
    pub fn with_network(mut self) -> Self {
        self.net = Some(Arc::new(Network::default()));
        self
    }

    /// Starts hosts and waits until all of them are ready.
    ///
    /// # Panics
    ///
    /// When a host is not ready within one minute.
    pub async fn add_hosts(&mut self, places: &[Placement]) {
        let first = self.hosts.len();
        for place in places {
            let index = self.hosts.len();
            let host = u8::try_from(index % 250 + 1).expect("below 251");
            let rack = u8::try_from(index / 250 + 1).expect("few hosts");
            let ip = IpAddr::V4(Ipv4Addr::new(127, self.network, rack, host));
            let inner = match &self.net {
                Some(net) => {
                    let inner = IpAddr::V4(Ipv4Addr::new(127, self.network, 100 + rack, host));
                    let (outer, inner) = (
                        SocketAddr::new(ip, PEER_PORT),
                        SocketAddr::new(inner, PEER_PORT),
                    );
                    net.attach(outer, inner, place.data_centre.clone()).await;
                    inner.ip()
                }
                None => ip,
            };
            self.hosts.push(Host {
                placement: place.clone(),
                ip,
                listen_ip: inner,
                daemon: None,
                target: None,
            });
            self.start_daemon(index);
            self.start_target(index);
        }
        for index in first..self.hosts.len() {
            assert!(
                self.wait_for_ready(index, Duration::from_mins(1)).await,
                "host {index} is not ready"
            );
        }
    }

    /// Starts the stand-in for the platform's log.
    pub fn start_log(&mut self) {
        let listen = self.log_address().to_string();
        self.log = Some(self.spawn("log", &["log", "--listen", &listen]));
    }

    /// Starts the daemon of a host.
    pub fn start_daemon(&mut self, index: usize) {
        let host = &self.hosts[index];
        let centre = host.placement.data_centre.to_string();
        let address = |port| SocketAddr::new(host.ip, port).to_string();
        let log = self.log_address().to_string();
        let advertise = address(PEER_PORT);
        let (peer, call, target, operator) = (
            SocketAddr::new(host.listen_ip, PEER_PORT).to_string(),
            address(CALL_PORT),
            address(ANNOUNCE_PORT),
            address(OPERATOR_PORT),
        );
        let mut args = vec![
            "daemon",
            "--data-centre",
            &centre,
            "--peer-addr",
            &peer,
            "--call-addr",
            &call,
            "--target-addr",
            &target,
            "--operator-addr",
            &operator,
            "--log-addr",
            &log,
            "--advertise-addr",
            &advertise,
        ];
        args.extend(self.options.iter().map(String::as_str));
        let process = self.spawn(&format!("daemon-{index}"), &args);
        self.hosts[index].daemon = Some(process);
    }

    /// Starts the target of a host, if the host has a service.
    pub fn start_target(&mut self, index: usize) {
        let host = &self.hosts[index];
        let Some(service) = host.placement.service.as_ref().map(ToString::to_string) else {
            return;
        };
        let address = |port| SocketAddr::new(host.ip, port).to_string();
        let (listen, daemon) = (address(TARGET_PORT), address(ANNOUNCE_PORT));
        let runs = self.runs_file(index).to_string_lossy().into_owned();
        let args = [
            "target",
            "--listen",
            &listen,
            "--runs",
            &runs,
            "--daemon",
            &daemon,
            "--service",
            &service,
            "--slots",
            &self.slots,
        ];
        let process = self.spawn(&format!("target-{index}"), &args);
        self.hosts[index].target = Some(process);
    }

    /// Address of the stand-in for the platform's log.
    #[must_use]
    pub const fn log_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.network, 0, 1)), LOG_PORT)
    }

    /// Sets the faults of the log.
    ///
    /// # Panics
    ///
    /// When the log does not accept them.
    pub async fn set_log_faults(&self, faults: Faults) {
        let body = serde_json::to_string(&faults).expect("plain data is JSON");
        let answer = session::send_once(self.log_address(), Method::POST, "/faults", &body).await;
        assert!(
            answer.is_ok_and(|answer| answer.status.is_success()),
            "the log accepts the faults"
        );
    }

    /// Counters of the log.
    pub async fn log_stats(&self) -> Stats {
        get_json(self.log_address(), "/stats")
            .await
            .unwrap_or_default()
    }

    /// Waits until a daemon is ready; returns `false` on a time-out.
    pub async fn wait_for_ready(&self, index: usize, timeout: Duration) -> bool {
        let operator = self.hosts[index].operator_address();
        wait_until(timeout, || async move {
            let answer = session::send_once(operator, Method::GET, "/health/ready", "").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await
    }

    /// Active version of a daemon.
    pub async fn version(&self, index: usize) -> Option<Version> {
        let state: Value = get_json(self.hosts[index].operator_address(), "/health/ready").await?;
        state["version"].as_u64().map(Version)
    }

    /// Indices of the hosts whose daemon runs.
    #[must_use]
    pub fn running_hosts(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|&index| self.hosts[index].daemon.is_some())
            .collect()
    }

    /// Waits until `version` or a later one is active on all running daemons; returns `false` on a
    /// time-out.
    pub async fn wait_for_version(&self, version: Version, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for index in self.running_hosts() {
            let left = deadline.saturating_duration_since(Instant::now());
            let there = wait_until(left, || async move {
                self.version(index)
                    .await
                    .is_some_and(|have| have >= version)
            });
            if !there.await {
                return false;
            }
        }
        true
    }

    /// Waits until all running daemons see `count` members; returns `false` on a time-out.
    pub async fn wait_for_members(&self, count: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for index in self.running_hosts() {
            let operator = self.hosts[index].operator_address();
            let left = deadline.saturating_duration_since(Instant::now());
            let met = wait_until(left, || async move {
                let members: Option<Vec<Value>> = get_json(operator, "/members").await;
                members.is_some_and(|members| members.len() == count)
            });
            if !met.await {
                return false;
            }
        }
        true
    }

    /// Waits until all running daemons know `count` upstreams; returns `false` on a time-out.
    pub async fn wait_for_upstreams(&self, count: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for index in self.running_hosts() {
            let operator = self.hosts[index].operator_address();
            let left = deadline.saturating_duration_since(Instant::now());
            let known = wait_until(left, || async move {
                let state: Option<Value> = get_json(operator, "/state").await;
                let all = state.and_then(|state| Some(state["upstreams"].as_array()?.len()));
                all == Some(count)
            });
            if !known.await {
                return false;
            }
        }
        true
    }

    /// Runs that all targets have recorded, across their restarts.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let files = (0..self.hosts.len()).map(|index| self.runs_file(index));
        let texts = files.filter_map(|file| std::fs::read_to_string(file).ok());
        let lines: Vec<String> = texts.flat_map(|text| lines(&text)).collect();
        lines
            .iter()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    fn runs_file(&self, index: usize) -> PathBuf {
        self.logs.join(format!("target-{index}.runs"))
    }

    /// Kills the daemon of a host.
    pub fn kill_daemon(&mut self, index: usize) {
        self.hosts[index].daemon = None;
    }

    /// Sends a signal to the daemon of a host.
    pub fn signal_daemon(&self, index: usize, signal: Signal) {
        if let Some(daemon) = &self.hosts[index].daemon {
            daemon.signal(signal);
        }
    }

    /// Folder with the output of the processes and the runs of the targets.
    #[must_use]
    pub const fn logs(&self) -> &PathBuf {
        &self.logs
    }

    fn spawn(&self, name: &str, args: &[&str]) -> Process {
        let path = self.logs.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path).ok();
        let copy = log.as_ref().and_then(|log| log.try_clone().ok());
        let child = Command::new(&self.program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.map_or_else(Stdio::null, Stdio::from))
            .stderr(copy.map_or_else(Stdio::null, Stdio::from))
            .spawn();
        Process::new(child.expect("the program can be started"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        self.log = None;
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.logs);
        }
    }
}

/// Fetches and parses JSON; `None` on any failure.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let answer: Answer = session::send_once(address, Method::GET, path, "")
        .await
        .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Waits until `condition` holds; returns `false` on a time-out.
pub async fn wait_until<F, C>(timeout: Duration, mut condition: C) -> bool
where
    F: Future<Output = bool>,
    C: FnMut() -> F,
{
    let deadline = Instant::now() + timeout;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn lines(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}
