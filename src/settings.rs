//! Settings of the daemon, as flags and environment variables.
//!
//! [`Settings::check`] looks at all of them together and names every fault at once, so that a
//! daemon never starts with settings that only fail later.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use clap::Parser;
use serde::Serialize;
use strum::{Display, EnumString, VariantNames};

use crate::calls::pick;
use crate::error::{Error, Result};
use crate::rollout::observed;
use crate::units::{DataCentre, Millis, Percent, Service};

/// Share of a service's requests that a bad revision may get, where the operators name none.
const EXPOSURE_SHARE: f64 = 0.1;

/// How configuration travels.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Every daemon reads the log: the baseline.
    Poll,
    /// Readers relay whole documents.
    Whole,
    /// Readers relay deltas.
    #[default]
    Delta,
}

/// What bounds the work at a target.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Limits {
    /// Nothing: the baseline.
    Off,
    /// Slots, and a short queue by priority.
    #[default]
    Slots,
}

/// What bounds retries.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Retries {
    /// The rule's attempts alone: the baseline.
    Fixed,
    /// The rule's attempts within its budget.
    #[default]
    Budget,
}

/// How log lines are written.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Logs {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// Settings of one daemon.
#[derive(Debug, Clone, Parser, Serialize)]
#[command(name = "jackdawpulley", version, about = "The daemon beside each target", long_about = None)]
pub struct Settings {
    /// Data centre of this host
    #[arg(long, env = "JACKDAW_DATA_CENTRE")]
    pub data_centre: DataCentre,
    /// Service whose target runs on this host, when it is known before the target tells
    #[arg(long, env = "JACKDAW_SERVICE")]
    pub service: Option<Service>,
    /// Address where that target takes calls
    #[arg(long, env = "JACKDAW_SERVICE_ADDR")]
    pub service_addr: Option<SocketAddr>,
    /// IP address and port for other daemons, TCP and UDP
    #[arg(long, env = "JACKDAW_PEER_ADDR")]
    pub peer_addr: SocketAddr,
    /// Address by which peers reach --peer-addr, when it is another one
    #[arg(long, env = "JACKDAW_ADVERTISE_ADDR")]
    pub advertise_addr: Option<SocketAddr>,
    /// IP address and port for callers
    #[arg(long, env = "JACKDAW_CALL_ADDR")]
    pub call_addr: SocketAddr,
    /// Address and port where the co-located target announces itself: loopback, or the host's own
    #[arg(long, env = "JACKDAW_TARGET_ADDR")]
    pub target_addr: SocketAddr,
    /// IP address and port for operators
    #[arg(long, env = "JACKDAW_OPERATOR_ADDR")]
    pub operator_addr: SocketAddr,
    /// IP address and port of the platform's append-only log
    #[arg(long, env = "JACKDAW_LOG_ADDR")]
    pub log_addr: SocketAddr,
    /// Peer addresses to join through, comma-separated; the log's contacts stream when empty
    #[arg(long, env = "JACKDAW_CONTACTS", value_delimiter = ',')]
    pub contacts: Vec<SocketAddr>,
    /// How configuration travels: poll, whole or delta
    #[arg(long, env = "JACKDAW_DELIVERY", default_value_t)]
    pub delivery: Delivery,
    /// Daemons of each data centre that read the log
    #[arg(long, env = "JACKDAW_READERS", default_value_t = 2)]
    pub readers: usize,
    /// Time within which a version of the platform has to be in force everywhere, in milliseconds
    #[arg(long, env = "JACKDAW_APPLY_MS", default_value_t = Millis(2_000))]
    pub apply_ms: Millis,
    /// Daemons that each daemon relays a version to
    #[arg(long, env = "JACKDAW_FANOUT", default_value_t = 4)]
    pub fanout: usize,
    /// Whole documents sent at the same time to daemons that ask for one
    #[arg(long, env = "JACKDAW_TRANSFERS", default_value_t = 8)]
    pub transfers: usize,
    /// Time between two probes, in milliseconds
    #[arg(long, env = "JACKDAW_PROBE_PERIOD_MS", default_value_t = Millis(1_000))]
    pub probe_period_ms: Millis,
    /// Time until an unanswered direct probe is tried through others, in milliseconds
    #[arg(long, env = "JACKDAW_PROBE_TIMEOUT_MS", default_value_t = Millis(400))]
    pub probe_timeout_ms: Millis,
    /// Time until a suspect daemon counts as gone, in milliseconds
    #[arg(long, env = "JACKDAW_SUSPICION_MS", default_value_t = Millis(3_000))]
    pub suspicion_ms: Millis,
    /// Time until a gone daemon is forgotten, in milliseconds
    #[arg(long, env = "JACKDAW_GONE_MEMORY_MS", default_value_t = Millis(600_000))]
    pub gone_memory_ms: Millis,
    /// Time between two checkpoints on the log, in milliseconds; well inside its retention
    #[arg(long, env = "JACKDAW_CHECKPOINT_MS", default_value_t = Millis(600_000))]
    pub checkpoint_ms: Millis,
    /// Time without the log after which peers decide the first version, in milliseconds
    #[arg(long, env = "JACKDAW_LOG_PATIENCE_MS", default_value_t = Millis(2_000))]
    pub log_patience_ms: Millis,
    /// Time for which a planned stop still takes callers' new connections, in milliseconds
    #[arg(long, env = "JACKDAW_ACCEPT_MS", default_value_t = Millis(0))]
    pub accept_ms: Millis,
    /// Time that a planned stop waits for calls in flight, in milliseconds
    #[arg(long, env = "JACKDAW_DRAIN_MS", default_value_t = Millis(30_000))]
    pub drain_ms: Millis,
    /// Time for which a key's outcome is remembered, in milliseconds; above every time-out
    #[arg(long, env = "JACKDAW_KEY_MEMORY_MS", default_value_t = Millis(120_000))]
    pub key_memory_ms: Millis,
    /// Time for which a request under which targets ended is refused, in milliseconds
    #[arg(long, env = "JACKDAW_QUARANTINE_MS", default_value_t = Millis(3_600_000))]
    pub quarantine_ms: Millis,
    /// Largest request body that is kept for a retry, in bytes
    #[arg(long, env = "JACKDAW_KEPT_BODY", default_value_t = 65_536)]
    pub kept_body: usize,
    /// Time after which an idle connection to the target is closed, in milliseconds
    #[arg(long, env = "JACKDAW_TARGET_IDLE_MS", default_value_t = Millis(4_000))]
    pub target_idle_ms: Millis,
    /// How an upstream is chosen: `random`, `two_choices` or `expected`
    #[arg(long, env = "JACKDAW_PICK", default_value_t)]
    pub pick: pick::Policy,
    /// What a kilobyte from another data centre counts when upstreams are compared, in milliseconds
    #[arg(long, env = "JACKDAW_FAR_MS_PER_KB", default_value_t = 1.0)]
    pub far_ms_per_kb: f64,
    /// Part of that for which a request waits less for a slot in another data centre, in percent
    #[arg(long, env = "JACKDAW_FAR_WAIT", default_value_t = Percent(100))]
    pub far_wait: Percent,
    /// What bounds the work at a target: off or slots
    #[arg(long, env = "JACKDAW_LIMITS", default_value_t)]
    pub limits: Limits,
    /// What bounds retries: fixed or budget
    #[arg(long, env = "JACKDAW_RETRIES", default_value_t)]
    pub retries: Retries,
    /// Retries to each service that are saved up while there are none to do
    #[arg(long, env = "JACKDAW_RETRY_RESERVE", default_value_t = 20)]
    pub retry_reserve: u32,
    /// Retries to each service that all daemons together save up, in place of --retry-reserve; 0: none
    #[arg(long, env = "JACKDAW_SHARED_RESERVE", default_value_t = 0)]
    pub shared_reserve: u32,
    /// Largest share of a service's requests that a bad revision may get while it is rolled out, above 0 and
    /// up to 1; with it, a revision that nobody ordered gets no requests beside another one
    #[arg(long, env = "JACKDAW_EXPOSURE_SHARE")]
    pub exposure_share: Option<f64>,
    /// Requests that it may get beside that share
    #[arg(long, env = "JACKDAW_EXPOSURE_SLACK", default_value_t = 50)]
    pub exposure_slack: u64,
    /// Callers' connections that are kept open; for a new one the longest idle is closed
    #[arg(long, env = "JACKDAW_CALLERS", default_value_t = 4_096)]
    pub callers: usize,
    /// Worker threads
    #[arg(long, env = "JACKDAW_THREADS", default_value_t = 2)]
    pub threads: usize,
    /// How log lines are written: json or terminal
    #[arg(long, env = "JACKDAW_LOGS", default_value_t)]
    pub logs: Logs,
    /// Also log each call and each probe
    #[arg(long, env = "JACKDAW_VERBOSE")]
    pub verbose: bool,
    /// Whether the whole system starts for the first time, so that no target is there yet
    #[arg(long, env = "JACKDAW_FIRST_START", default_value_t = false, action = clap::ArgAction::Set)]
    pub first_start: bool,
    /// Check the settings and exit: 0 when they are right, 2 when not
    #[arg(long)]
    #[serde(skip)]
    pub check_settings: bool,
}

impl Settings {
    /// The address by which peers know this daemon.
    #[must_use]
    pub fn identity(&self) -> SocketAddr {
        self.advertise_addr.unwrap_or(self.peer_addr)
    }

    /// What a bad revision may get while it is rolled out.
    #[must_use]
    pub fn exposure(&self) -> observed::ExposureLimits {
        observed::ExposureLimits {
            share: self.exposure_share.unwrap_or(EXPOSURE_SHARE),
            slack: self.exposure_slack,
        }
    }

    /// Names of the settings that differ in `other` and are fixed while the daemon runs.
    #[must_use]
    pub fn differences(&self, other: &Self) -> Vec<String> {
        let fields = |settings: &Self| match serde_json::to_value(settings) {
            Ok(serde_json::Value::Object(fields)) => fields,
            _ => serde_json::Map::new(),
        };
        let (mine, others) = (fields(self), fields(other));
        let differs = mine.iter().filter(|(name, value)| {
            name.as_str() != "drain_ms" && others.get(name.as_str()) != Some(value)
        });
        differs.map(|(name, _)| name.clone()).collect()
    }

    /// Checks all settings together.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with one line for each fault.
    pub fn check(&self) -> Result<()> {
        let mut faults = Vec::new();
        self.check_addresses(&mut faults);
        self.check_numbers(&mut faults);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error::Settings { faults })
        }
    }

    fn faces(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("--peer-addr", self.peer_addr),
            ("--call-addr", self.call_addr),
            ("--target-addr", self.target_addr),
            ("--operator-addr", self.operator_addr),
        ]
    }

    fn check_addresses(&self, faults: &mut Vec<String>) {
        let faces = self.faces();
        for (index, (flag, address)) in faces.iter().enumerate() {
            let twin = faces[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = twin {
                faults.push(format!(
                    "{flag} is {address} like {other}; give each its own port"
                ));
                continue;
            }
            if address.port() == 0 {
                faults.push(format!(
                    "{flag} has port 0; name the port, peers must know it"
                ));
            } else if let Err(error) = TcpListener::bind(address) {
                faults.push(format!(
                    "{flag} {address}: {error}; choose a free local address"
                ));
            }
        }
        if self.peer_addr.ip().is_unspecified() {
            let flag = "--peer-addr";
            faults.push(format!(
                "{flag} names no host; use the address that peers reach"
            ));
        } else if let Err(error) = UdpSocket::bind(self.peer_addr) {
            let address = self.peer_addr;
            faults.push(format!(
                "--peer-addr {address} over UDP: {error}; choose a free port"
            ));
        }
        let ip = self.target_addr.ip();
        if !ip.is_loopback() && ip != self.call_addr.ip() {
            let address = self.target_addr;
            faults.push(format!(
                "--target-addr {address} is not on loopback and not on --call-addr's host; \
                 use 127.0.0.1"
            ));
        }
    }

    fn check_numbers(&self, faults: &mut Vec<String>) {
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        let named = !self.data_centre.as_str().trim().is_empty();
        require(
            named,
            "--data-centre is empty; name the data centre of this host",
        );
        require(
            self.data_centre.as_str().len() <= 64,
            "--data-centre is longer than 64 bytes",
        );
        require(
            self.readers > 0,
            "--readers is 0; nobody would read the log, use 2",
        );
        require(
            self.fanout > 0,
            "--fanout is 0; nothing would be relayed, use 4",
        );
        require(
            self.transfers > 0,
            "--transfers is 0; no newcomer would be served, use 8",
        );
        require(
            self.callers > 0,
            "--callers is 0; nobody would be served, use 4096",
        );
        require(self.threads > 0, "--threads is 0; use 2");
        require(
            self.probe_period_ms.0 >= 10,
            "--probe-period-ms is under 10; use 1000",
        );
        let inside = self.probe_timeout_ms < self.probe_period_ms;
        require(inside, "--probe-timeout-ms must be under --probe-period-ms");
        let patient = self.suspicion_ms >= self.probe_period_ms;
        require(patient, "--suspicion-ms must be at least --probe-period-ms");
        let kept = self.gone_memory_ms > self.suspicion_ms;
        require(kept, "--gone-memory-ms must be above --suspicion-ms");
        let covered = self.gone_memory_ms >= self.key_memory_ms;
        require(covered, "--gone-memory-ms must be at least --key-memory-ms");
        require(
            self.quarantine_ms.0 > 0,
            "--quarantine-ms is 0; targets would go on ending, use 3600000",
        );
        let share = self.exposure_share.unwrap_or(EXPOSURE_SHARE);
        require(
            share > 0.0 && share <= 1.0,
            "--exposure-share is not above 0 and up to 1; use 0.1",
        );
        require(self.apply_ms.0 >= 100, "--apply-ms is under 100; use 2000");
        require(self.checkpoint_ms.0 > 0, "--checkpoint-ms is 0; use 600000");
    }
}
