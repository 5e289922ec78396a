//! Hosts of a trial and their processes.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

use crate::rig::deployment::Placement;

pub(crate) const PEER_PORT: u16 = 7001;
pub(crate) const CALL_PORT: u16 = 7002;
pub(crate) const ANNOUNCE_PORT: u16 = 7003;
pub(crate) const OPERATOR_PORT: u16 = 7004;
pub(crate) const TARGET_PORT: u16 = 7005;
pub(crate) const LOG_PORT: u16 = 7000;

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Takes ownership of a started process.
    #[must_use]
    pub const fn new(child: Child) -> Self {
        Self { child }
    }

    /// Process identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit status, once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Host with a daemon and usually a target.
#[derive(Debug)]
pub struct Host {
    /// Data centre and service.
    pub placement: Placement,
    /// Address that the host advertises.
    pub ip: IpAddr,
    /// Address that the daemon listens on for peers: behind the simulated network, if there is one.
    pub listen_ip: IpAddr,
    /// Daemon, until it is killed or taken.
    pub daemon: Option<Process>,
    /// Target, until it is killed or taken.
    pub target: Option<Process>,
}

impl Host {
    /// Address for other daemons.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Address for callers.
    #[must_use]
    pub const fn call_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALL_PORT)
    }

    /// Address for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Address where the target accepts requests.
    #[must_use]
    pub const fn target_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, TARGET_PORT)
    }
}
