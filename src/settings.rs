//! Settings of the daemon, read from flags and environment variables.
//!
//! [`Settings::check`] validates all settings together and reports all faults at once, so that a
//! daemon does not start with settings that fail later.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use clap::Parser;
use serde::Serialize;
use strum::{Display, EnumString, VariantNames};

use crate::calls::pick;
use crate::error::{Error, Result};
use crate::rollout::observed;
use crate::units::{DataCentre, Millis, Percent, Service};

/// Share of a service's requests that a bad revision may receive, unless it is set.
const DEFAULT_EXPOSURE_SHARE: f64 = 0.1;

/// How the configuration reaches the daemons.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Every daemon reads the log; the baseline of comparisons.
    Poll,
    /// A few daemons read the log and relay whole documents.
    Whole,
    /// A few daemons read the log and relay deltas.
    #[default]
    Delta,
}

/// How concurrent requests at a target are limited.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Limits {
    /// No limit; the baseline of comparisons.
    Off,
    /// By slots, with a short priority queue.
    #[default]
    Slots,
}

/// How retries are limited.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Retries {
    /// By the retry rule's attempts alone; the baseline of comparisons.
    Fixed,
    /// By the retry rule's attempts and its budget.
    #[default]
    Budget,
}

/// Format of log lines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Logs {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Settings of one daemon.
#[derive(Debug, Clone, Parser, Serialize)]
#[command(name = "jackdawpulley", version, about = "The daemon beside each target", long_about = None)]
pub struct Settings {
    /// Data centre of this host
    #[arg(long, env = "JACKDAW_DATA_CENTRE")]
    pub data_centre: DataCentre,
    /// Service of the target on this host, if it is known before the target announces itself
    #[arg(long, env = "JACKDAW_SERVICE")]
    pub service: Option<Service>,
    /// Address at which that target accepts requests
    #[arg(long, env = "JACKDAW_SERVICE_ADDR")]
    pub service_addr: Option<SocketAddr>,
    /// IP address and port for other daemons, TCP and UDP
    #[arg(long, env = "JACKDAW_PEER_ADDR")]
    pub peer_addr: SocketAddr,
    /// Address by which peers reach --peer-addr, if it differs
    #[arg(long, env = "JACKDAW_ADVERTISE_ADDR")]
    pub advertise_addr: Option<SocketAddr>,
    /// IP address and port for callers
    #[arg(long, env = "JACKDAW_CALL_ADDR")]
    pub call_addr: SocketAddr,
    /// IP address and port for announcements of the co-located target: loopback or that of --call-addr
    #[arg(long, env = "JACKDAW_TARGET_ADDR")]
    pub target_addr: SocketAddr,
    /// IP address and port for operators
    #[arg(long, env = "JACKDAW_OPERATOR_ADDR")]
    pub operator_addr: SocketAddr,
    /// IP address and port of the platform's append-only log
    #[arg(long, env = "JACKDAW_LOG_ADDR")]
    pub log_addr: SocketAddr,
    /// Peer addresses to join through, comma-separated; if empty, the log's contacts stream is used
    #[arg(long, env = "JACKDAW_CONTACTS", value_delimiter = ',')]
    pub contacts: Vec<SocketAddr>,
    /// How the configuration reaches the daemons: poll, whole or delta
    #[arg(long, env = "JACKDAW_DELIVERY", default_value_t)]
    pub delivery: Delivery,
    /// Number of daemons of each data centre that read the log
    #[arg(long, env = "JACKDAW_READERS", default_value_t = 2)]
    pub readers: usize,
    /// Time within which a version from the platform must be active on all daemons, in milliseconds
    #[arg(long, env = "JACKDAW_APPLY_MS", default_value_t = Millis(2_000))]
    pub apply_ms: Millis,
    /// Number of daemons to which each daemon relays a version
    #[arg(long, env = "JACKDAW_FANOUT", default_value_t = 4)]
    pub fanout: usize,
    /// Maximum number of whole documents sent concurrently to daemons that request one
    #[arg(long, env = "JACKDAW_TRANSFERS", default_value_t = 8)]
    pub transfers: usize,
    /// Interval between probes, in milliseconds
    #[arg(long, env = "JACKDAW_PROBE_PERIOD_MS", default_value_t = Millis(1_000))]
    pub probe_period_ms: Millis,
    /// Time after which an unanswered direct probe is repeated through other daemons, in milliseconds
    #[arg(long, env = "JACKDAW_PROBE_TIMEOUT_MS", default_value_t = Millis(400))]
    pub probe_timeout_ms: Millis,
    /// Time after which a suspect daemon is declared gone, in milliseconds
    #[arg(long, env = "JACKDAW_SUSPICION_MS", default_value_t = Millis(3_000))]
    pub suspicion_ms: Millis,
    /// Time after which a gone daemon is forgotten, in milliseconds
    #[arg(long, env = "JACKDAW_GONE_MEMORY_MS", default_value_t = Millis(600_000))]
    pub gone_memory_ms: Millis,
    /// Interval between checkpoints on the log, in milliseconds; well below the log's retention
    #[arg(long, env = "JACKDAW_CHECKPOINT_MS", default_value_t = Millis(600_000))]
    pub checkpoint_ms: Millis,
    /// Time without the log after which the first version is taken from peers, in milliseconds
    #[arg(long, env = "JACKDAW_LOG_PATIENCE_MS", default_value_t = Millis(2_000))]
    pub log_patience_ms: Millis,
    /// Time for which a daemon that shuts down still accepts callers' new connections, in milliseconds
    #[arg(long, env = "JACKDAW_ACCEPT_MS", default_value_t = Millis(0))]
    pub accept_ms: Millis,
    /// Time for which a daemon that shuts down waits for calls in flight, in milliseconds
    #[arg(long, env = "JACKDAW_DRAIN_MS", default_value_t = Millis(30_000))]
    pub drain_ms: Millis,
    /// Time for which the outcome of an idempotency key is stored, in milliseconds; above every time-out
    #[arg(long, env = "JACKDAW_KEY_MEMORY_MS", default_value_t = Millis(120_000))]
    pub key_memory_ms: Millis,
    /// Time for which a request that crashes targets is refused, in milliseconds
    #[arg(long, env = "JACKDAW_QUARANTINE_MS", default_value_t = Millis(3_600_000))]
    pub quarantine_ms: Millis,
    /// Maximum size of a request body that is buffered for a retry, in bytes
    #[arg(long, env = "JACKDAW_KEPT_BODY", default_value_t = 65_536)]
    pub kept_body: usize,
    /// Time after which an idle connection to the target is closed, in milliseconds
    #[arg(long, env = "JACKDAW_TARGET_IDLE_MS", default_value_t = Millis(4_000))]
    pub target_idle_ms: Millis,
    /// How an upstream is selected: `random`, `two_choices` or `expected`
    #[arg(long, env = "JACKDAW_PICK", default_value_t)]
    pub pick: pick::Policy,
    /// Cost of a kilobyte from another data centre when upstreams are compared, in milliseconds
    #[arg(long, env = "JACKDAW_FAR_MS_PER_KB", default_value_t = 1.0)]
    pub far_ms_per_kb: f64,
    /// Part of that cost by which a request's wait for a slot in another data centre is shortened, in percent
    #[arg(long, env = "JACKDAW_FAR_WAIT", default_value_t = Percent(100))]
    pub far_wait: Percent,
    /// How concurrent requests at a target are limited: off or slots
    #[arg(long, env = "JACKDAW_LIMITS", default_value_t)]
    pub limits: Limits,
    /// How retries are limited: fixed or budget
    #[arg(long, env = "JACKDAW_RETRIES", default_value_t)]
    pub retries: Retries,
    /// Window of time in which the retries of a service are limited, in milliseconds
    #[arg(long, env = "JACKDAW_RETRY_WINDOW_MS", default_value_t = Millis(10_000))]
    pub retry_window_ms: Millis,
    /// Number of retries of each service that are allowed in a window in addition to a share of its requests
    #[arg(long, env = "JACKDAW_RETRY_RESERVE", default_value_t = 20)]
    pub retry_reserve: u32,
    /// Number of such retries that all daemons together may send, in place of --retry-reserve; 0: none
    #[arg(long, env = "JACKDAW_SHARED_RESERVE", default_value_t = 0)]
    pub shared_reserve: u32,
    /// Maximum share of a service's requests that a bad revision may receive during its rollout, above 0 and
    /// up to 1; if set, a revision without a rollout receives no requests beside another revision
    #[arg(long, env = "JACKDAW_EXPOSURE_SHARE")]
    pub exposure_share: Option<f64>,
    /// Number of requests that it may receive in addition to that share
    #[arg(long, env = "JACKDAW_EXPOSURE_SLACK", default_value_t = 50)]
    pub exposure_slack: u64,
    /// Maximum number of callers' connections; for a new one the one that is idle longest is closed
    #[arg(long, env = "JACKDAW_CALLERS", default_value_t = 4_096)]
    pub callers: usize,
    /// Number of worker threads
    #[arg(long, env = "JACKDAW_THREADS", default_value_t = 2)]
    pub threads: usize,
    /// Format of log lines: json or terminal
    #[arg(long, env = "JACKDAW_LOGS", default_value_t)]
    pub logs: Logs,
    /// Also log each call and each probe
    #[arg(long, env = "JACKDAW_VERBOSE")]
    pub verbose: bool,
    /// Whether the whole system starts for the first time, so that there is no target yet
    #[arg(long, env = "JACKDAW_FIRST_START", default_value_t = false, action = clap::ArgAction::Set)]
    pub first_start: bool,
    /// Check the settings and exit: 0 if they are valid, 2 if not
    #[arg(long)]
    #[serde(skip)]
    pub check_settings: bool,
}

impl Settings {
    /// Address by which peers identify this daemon.
    #[must_use]
    pub fn identity(&self) -> SocketAddr {
        self.advertise_addr.unwrap_or(self.peer_addr)
    }

    /// Limits on the requests that a bad revision may receive during its rollout.
    #[must_use]
    pub fn exposure(&self) -> observed::ExposureLimits {
        observed::ExposureLimits {
            share: self.exposure_share.unwrap_or(DEFAULT_EXPOSURE_SHARE),
            slack: self.exposure_slack,
        }
    }

    /// Names of the settings that differ in `other` and take effect only after a restart.
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

    /// Validates all settings together.
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

    fn addresses(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("--peer-addr", self.peer_addr),
            ("--call-addr", self.call_addr),
            ("--target-addr", self.target_addr),
            ("--operator-addr", self.operator_addr),
        ]
    }

    fn check_addresses(&self, faults: &mut Vec<String>) {
        let addresses = self.addresses();
        for (index, (flag, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index]
                .iter()
                .find(|(_, other)| other == address);
            if let Some((other, _)) = duplicate {
                faults.push(format!(
                    "{flag} and {other} are both {address}; use a different port for each"
                ));
                continue;
            }
            if address.port() == 0 {
                faults.push(format!(
                    "{flag} has port 0; use a fixed port, since others must know it"
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
                "{flag} is an unspecified address; use the one by which peers reach this daemon"
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
                "--target-addr {address} is neither on loopback nor on --call-addr's IP address; \
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
        let has_name = !self.data_centre.as_str().trim().is_empty();
        require(
            has_name,
            "--data-centre is empty; set it to the data centre of this host",
        );
        require(
            self.data_centre.as_str().len() <= 64,
            "--data-centre is longer than 64 bytes",
        );
        require(
            self.readers > 0,
            "--readers is 0, so no daemon would read the log; use 2",
        );
        require(
            self.fanout > 0,
            "--fanout is 0, so no version would be relayed; use 4",
        );
        require(
            self.transfers > 0,
            "--transfers is 0, so no joining daemon would get a document; use 8",
        );
        require(
            self.callers > 0,
            "--callers is 0, so no caller would be served; use 4096",
        );
        require(self.threads > 0, "--threads is 0; use 2");
        require(
            self.probe_period_ms.0 >= 10,
            "--probe-period-ms is under 10; use 1000",
        );
        let timeout_fits = self.probe_timeout_ms < self.probe_period_ms;
        require(
            timeout_fits,
            "--probe-timeout-ms must be under --probe-period-ms",
        );
        let suspicion_fits = self.suspicion_ms >= self.probe_period_ms;
        require(
            suspicion_fits,
            "--suspicion-ms must be at least --probe-period-ms",
        );
        let gone_retained = self.gone_memory_ms > self.suspicion_ms;
        require(
            gone_retained,
            "--gone-memory-ms must be above --suspicion-ms",
        );
        let keys_covered = self.gone_memory_ms >= self.key_memory_ms;
        require(
            keys_covered,
            "--gone-memory-ms must be at least --key-memory-ms",
        );
        require(
            self.quarantine_ms.0 > 0,
            "--quarantine-ms is 0, so requests could go on crashing targets; use 3600000",
        );
        let share = self.exposure_share.unwrap_or(DEFAULT_EXPOSURE_SHARE);
        require(
            share > 0.0 && share <= 1.0,
            "--exposure-share must be above 0 and at most 1; use 0.1",
        );
        require(self.apply_ms.0 >= 100, "--apply-ms is under 100; use 2000");
        require(self.checkpoint_ms.0 > 0, "--checkpoint-ms is 0; use 600000");
    }
}
