//! One host of a trial and its processes.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

use crate::rig::deployment::Place;

pub(crate) const PEER_PORT: u16 = 7001;
pub(crate) const CALL_PORT: u16 = 7002;
pub(crate) const ANNOUNCE_PORT: u16 = 7003;
pub(crate) const OPERATOR_PORT: u16 = 7004;
pub(crate) const TARGET_PORT: u16 = 7005;
pub(crate) const LOG_PORT: u16 = 7000;

/// A process of a trial; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// The process as the system knows it.
    child: Child,
}

impl Process {
    /// Takes charge of a started process.
    #[must_use]
    pub const fn new(child: Child) -> Self {
        Self { child }
    }

    /// Its identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its exit status, once it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One host: a daemon and, mostly, a target.
#[derive(Debug)]
pub struct Host {
    /// Where it is and what it offers.
    pub place: Place,
    /// Its address.
    pub ip: IpAddr,
    /// Address behind the stand-in network, when there is one.
    pub inner: IpAddr,
    /// Its daemon, while it runs.
    pub daemon: Option<Process>,
    /// Its target, while it runs.
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

    /// Address where the target takes calls.
    #[must_use]
    pub const fn target_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, TARGET_PORT)
    }
}
