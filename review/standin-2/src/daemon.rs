//! A daemon process of the project, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::client;

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/jackdaw-platform";
/// Template of the deploy file.
const TEMPLATE: &str = "deploy/settings.flags";

/// One daemon.
pub struct Daemon {
    pub index: usize,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    settings: Vec<(&'static str, String)>,
    root: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares a daemon beside an upstream.
    pub fn new(
        index: usize,
        ip: IpAddr,
        service: &str,
        upstream: SocketAddr,
        store: SocketAddr,
        folder: &Path,
    ) -> Result<Self, String> {
        let at = |port| SocketAddr::new(ip, port);
        let (outbound, control, ready) = (
            at(crate::OUTBOUND_PORT),
            at(crate::CONTROL_PORT),
            at(crate::READY_PORT),
        );
        let settings = vec![
            ("zone", ["zone-a", "zone-b", "zone-c"][index % 3].to_owned()),
            ("service", service.to_owned()),
            ("app-addr", upstream.to_string()),
            ("ip", ip.to_string()),
            ("port-range.0", crate::PEER_PORT.to_string()),
            ("listen.outbound", outbound.to_string()),
            ("listen.control", control.to_string()),
            ("listen.ready", ready.to_string()),
            ("platform.address", store.to_string()),
            ("heartbeat-interval-s", "1.5".to_owned()),
            ("bounds.grace-s", "6".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("bounds.config-apply-s", "2".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.budget-min-retries", "64".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.exposure-share", String::new()),
            ("bounds.exposure-slack", String::new()),
        ];
        let root = std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from);
        Ok(Self {
            index,
            outbound,
            control,
            ready,
            settings,
            root,
            folder: folder.to_owned(),
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self, first: bool) -> Result<(), String> {
        let template = std::fs::read_to_string(self.root.join(TEMPLATE))
            .map_err(|e| format!("{TEMPLATE}: {e}"))?;
        let mut text = template.replace("{{first-start}}", &first.to_string());
        for (name, value) in &self.settings {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        let file = self.folder.join(format!("settings-{}", self.index));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("daemon-{}.log", self.index));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(self.root.join(PROGRAM))
            .env("JACKDAWPULLEY_NODE_FILE", &file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.map_err(|e| format!("{PROGRAM}: {e}"))?);
        Ok(())
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        client::exchange(self.ready, request.as_bytes(), Duration::from_secs(1))
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
