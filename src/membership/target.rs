//! Processes of a target, and which of their announcements apply.
//!
//! A target that restarts is a new process at the same address, under another instance name or under the same
//! one with a later [`StartTime`]. Announcements can be delayed by seconds, so one of an earlier process may
//! arrive after the next process has announced itself: [`Processes`] decides which of them apply.
//!
//! Start times order only the processes of one name, so a wrong clock does no harm between names. A process
//! whose start time is not known, such as one that has only passed its health check, is taken for the one that
//! reports its start time under that name. An announcement without a start time, under a name that has
//! reported one, is not from that target.
//!
//! ```
//! use jackdawpulley::membership::target::{Process, Processes, Recency};
//! use jackdawpulley::units::StartTime;
//!
//! let (old, new) = (Process::new("a", Some(StartTime(10))), Process::new("a", Some(StartTime(20))));
//! let mut processes = Processes::default();
//! assert_eq!(processes.observe(&old, 4), Recency::New);
//! assert_eq!(processes.observe(&new, 1), Recency::New, "it restarted under its name");
//! assert_eq!(processes.observe(&old, 5), Recency::Ended, "it was in flight when its sender died");
//! assert_eq!(processes.observe(&new, 1), Recency::Stale);
//! ```

use std::net::SocketAddr;

use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::units::{Instance, Millis, Revision, Service, Slots, StartTime};

/// Ended processes that are remembered.
const MAX_ENDED: usize = 32;

/// One process of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Instance name, which the next process may reuse.
    pub instance: Instance,
    /// Start time, if known.
    #[serde(rename = "born")]
    pub start_time: Option<StartTime>,
}

impl Process {
    /// Creates a process with an instance name and, if known, a start time.
    #[must_use]
    pub fn new(instance: impl Into<Instance>, start_time: Option<StartTime>) -> Self {
        Self {
            instance: instance.into(),
            start_time,
        }
    }

    /// Whether it has the name of `other` and started later.
    #[must_use]
    pub fn is_successor_of(&self, other: &Self) -> bool {
        self.instance == other.instance
            && matches!((self.start_time, other.start_time), (Some(start), Some(other_start)) if start > other_start)
    }
}

/// One announcement of a target process, which starts or renews its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// Process that announces itself.
    pub process: Process,
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Version of its software, if reported.
    pub revision: Option<Revision>,
    /// Time for which it is still slow after its start.
    pub cold: Millis,
    /// Whether it is about to end and accepts no new calls.
    pub leaving: bool,
    /// Orders the announcements of one process.
    pub sequence: u64,
    /// Time until it has to announce itself again.
    pub lease: Millis,
}

/// How an announcement relates to the current process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Recency {
    /// First one of an unknown process, which becomes the current one.
    New,
    /// Newest one of the current process.
    Current,
    /// Outdated by a later one of the current process, or without the start time that it has reported.
    Stale,
    /// From a process that has ended.
    Ended,
}

/// Processes of the targets at one address.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Processes {
    /// Current process, with the highest sequence number of its announcements.
    current: Option<(Process, u64)>,
    /// Whether the current process has declared that it accepts no more calls.
    leaving: bool,
    /// Ended processes in the order of their ends, the latest of each name.
    ended: Vec<Process>,
}

impl Processes {
    /// Records an announcement.
    pub fn observe(&mut self, process: &Process, sequence: u64) -> Recency {
        let same = self.current.as_mut();
        if let Some((current, last)) = same.filter(|(now, _)| now.instance == process.instance) {
            if current.is_successor_of(process) {
                return Recency::Ended;
            }
            // A process that announced itself without a start time is not the one that reports its start time.
            let announced_without_start_time =
                current.start_time.is_none() && process.start_time.is_some() && *last > 0;
            if !process.is_successor_of(current) && !announced_without_start_time {
                if current.start_time.is_some() && process.start_time.is_none() || sequence <= *last
                {
                    return Recency::Stale;
                }
                current.start_time = process.start_time;
                *last = sequence;
                return Recency::Current;
            }
        } else if self.has_ended(process) {
            return Recency::Ended;
        }
        self.retire_current();
        self.current = Some((process.clone(), sequence));
        Recency::New
    }

    /// Whether another process was, or may have been, at the address before `process`; an announcement alone
    /// then does not prove which one is running.
    #[must_use]
    pub fn may_replace_another(&self, process: &Process) -> bool {
        let same_name = |ended: &Process| ended.instance == process.instance;
        self.current.is_some() || self.ended.iter().any(same_name)
    }

    /// Records which instance has responded at the address, which is better evidence than any announcement.
    ///
    /// After a restart of this daemon, an announcement of a dead process may arrive first. The running process
    /// would otherwise count as ended for good.
    pub fn confirm(&mut self, instance: &Instance) {
        let same_name = |ended: &Process| ended.instance == *instance;
        let known = self.ended.iter().position(same_name);
        let known = known.map(|index| self.ended.remove(index));
        if !self.is_current(instance) {
            self.retire_current();
            let process = known.unwrap_or_else(|| Process::new(instance.clone(), None));
            self.current = Some((process, 0));
        }
    }

    /// Whether no process is current.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.current.is_none()
    }

    /// Records that the current process accepts no more calls, which is final.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether the current process accepts no more calls.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the current process has this instance name.
    #[must_use]
    pub fn is_current(&self, instance: &Instance) -> bool {
        self.current
            .as_ref()
            .is_some_and(|(now, _)| now.instance == *instance)
    }

    /// Records that a process has declared its end; returns whether the current process accepts no more calls
    /// from now on.
    pub fn deregister(&mut self, process: &Process) -> bool {
        let current = self.current.as_ref().map(|(now, _)| now);
        let same = current.filter(|now| now.instance == process.instance);
        match same {
            // A late deregistration must not take the next process of the same name out of service.
            Some(now) if now.is_successor_of(process) => false,
            Some(now) if process.is_successor_of(now) => {
                self.retire_current();
                self.remember(process.clone());
                true
            }
            Some(_) => {
                self.set_leaving();
                true
            }
            None => {
                if !self.has_ended(process) {
                    self.remember(process.clone());
                }
                false
            }
        }
    }

    /// Whether a process is known to have ended. One without a start time matches any of its name; one with a
    /// start time may be the successor of one without.
    fn has_ended(&self, process: &Process) -> bool {
        let same_name = self
            .ended
            .iter()
            .find(|ended| ended.instance == process.instance);
        same_name.is_some_and(|ended| {
            process.start_time.is_none()
                || ended.start_time.is_some() && !process.is_successor_of(ended)
        })
    }

    fn retire_current(&mut self) {
        if let Some((process, _)) = self.current.take() {
            self.remember(process);
        }
        self.leaving = false;
    }

    fn remember(&mut self, process: Process) {
        self.ended
            .retain(|ended| ended.instance != process.instance);
        if self.ended.len() == MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push(process);
    }
}
