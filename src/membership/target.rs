//! Processes of a target, and which of their announcements apply.
//!
//! A target that restarts is a new process at the same address, under another instance name or under the same
//! one with a later [`StartTime`]. Announcements can be delayed by seconds, so one of an earlier process may
//! arrive after the next process has announced itself: [`Processes`] decides which of them apply.
//!
//! What a process says of its own end is final for that process and binds no other: a [`Departure`] stays in force
//! whichever process is current, and no health check ends it.
//!
//! Two processes may claim the address: the current one, and another whose announcement is either the first of a
//! new process or a late one of an old process. A claim alone does not replace a current process that still works,
//! since it may be wrong for as long as the target is too busy for the health check that would decide.
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

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::units::{Instance, Millis, Revision, Service, Slots, StartTime};

/// Processes, and departures, that are remembered.
const MAX_REMEMBERED: usize = 32;

/// Departures that peers remember of one address: more than one process leaves in the time that a late announcement
/// takes only if targets are replaced again and again.
pub const MAX_SHARED_DEPARTURES: usize = 2;

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

    /// Creates a process of a target that does not name its instance.
    #[must_use]
    pub fn unnamed(start_time: Option<StartTime>) -> Self {
        Self::new(Instance::default(), start_time)
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
    /// Newest one of a process that was not the current one and claims the address. It becomes the current one
    /// unless another one is believed to run there.
    New,
    /// Newest one of the current process.
    Current,
    /// Outdated by a later one of the process, or without the start time that it has reported.
    Stale,
    /// From a process that has departed, or that its successor has replaced.
    Ended,
}

/// Departure of a process: all processes of its name that started up to a time accept no more calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Instance name.
    pub instance: Instance,
    /// Latest start time that the departure covers; if there is none, it covers processes that report none.
    pub started_until: Option<StartTime>,
}

impl Departure {
    /// Whether it covers `process`. One that does not report its start time is covered by any departure of
    /// its name.
    #[must_use]
    pub fn covers(&self, process: &Process) -> bool {
        let is_started_before = |start| self.started_until.is_some_and(|until| start <= until);
        self.instance == process.instance && process.start_time.is_none_or(is_started_before)
    }
}

/// A process that has announced itself or responded to a health check.
#[derive(Debug, Clone, Serialize)]
struct Known {
    process: Process,
    /// Highest sequence number of its announcements; 0 before the first.
    sequence: u64,
}

impl Known {
    /// Whether `process` has its name and is another, later one.
    fn precedes(&self, process: &Process) -> bool {
        // A process that announced itself without a start time is not the one that reports its start time.
        let announced_without_start_time =
            self.process.start_time.is_none() && process.start_time.is_some() && self.sequence > 0;
        process.is_successor_of(&self.process) || announced_without_start_time
    }
}

/// Processes of the targets at one address.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Processes {
    /// Instance name of the process that is believed to be at the address.
    current: Option<Instance>,
    /// Whether a failure has shown since its last announcement that it may not run any more.
    withdrawn: bool,
    /// Whether departures may be unknown, so that an announcement alone is no proof.
    unverified: bool,
    /// Latest known process of each name, in the order in which they were first seen.
    known: Vec<Known>,
    /// Latest departure of each name, in the order of time.
    departures: Vec<Departure>,
}

impl Processes {
    /// Creates a record for a daemon that may have had an earlier process, whose knowledge is lost.
    #[must_use]
    pub fn after_restart() -> Self {
        Self {
            unverified: true,
            ..Self::default()
        }
    }

    /// Whether only a health check makes a process the current one.
    #[must_use]
    pub const fn is_unverified(&self) -> bool {
        self.unverified
    }

    /// Records that announcements from before a restart can no longer arrive.
    pub const fn trust_announcements(&mut self) {
        self.unverified = false;
    }

    /// Records an announcement.
    pub fn observe(&mut self, process: &Process, sequence: u64) -> Recency {
        if self.has_departed(process) {
            return Recency::Ended;
        }
        let is_current = self.is_current(&process.instance);
        if let Some(known) = self.known_mut(&process.instance)
            && !known.precedes(process)
        {
            if known.process.is_successor_of(process) {
                return Recency::Ended;
            }
            let lacks_start_time =
                known.process.start_time.is_some() && process.start_time.is_none();
            if lacks_start_time || sequence <= known.sequence {
                return Recency::Stale;
            }
            *known = Known {
                process: process.clone(),
                sequence,
            };
            if is_current {
                self.withdrawn = false;
                return Recency::Current;
            }
        } else {
            self.remember(process, sequence);
        }
        if !self.unverified && (is_current || self.is_vacant()) {
            self.accept(&process.instance);
        }
        Recency::New
    }

    /// Makes a process the current one.
    pub fn accept(&mut self, instance: &Instance) {
        self.current = Some(instance.clone());
        self.withdrawn = false;
    }

    /// Records that the current process, if it is this one, may not run any more.
    pub fn withdraw(&mut self, instance: &Instance) {
        self.withdrawn |= self.is_current(instance);
    }

    /// Records that the current process is not offered, so that no failure will show whether it runs.
    pub const fn withdraw_current(&mut self) {
        self.withdrawn = true;
    }

    /// Whether another process was, or may have been, at the address before `process`; an announcement alone
    /// then does not prove which one is running.
    #[must_use]
    pub fn may_replace_another(&self, process: &Process) -> bool {
        let is_same_name = |known: &Known| known.process.instance == process.instance;
        let departures = &self.departures;
        self.current.is_some()
            || self.known.iter().any(is_same_name)
            || departures.iter().any(|d| d.instance == process.instance)
    }

    /// Records which instance has responded at the address, which is better evidence than any announcement;
    /// returns whether it accepts calls.
    ///
    /// After a restart of this daemon, an announcement of a dead process may arrive first. The running process
    /// would otherwise count as ended for good.
    pub fn confirm(&mut self, instance: &Instance) -> bool {
        if self.known_mut(instance).is_none() {
            self.remember(&Process::new(instance.clone(), None), 0);
        }
        self.accept(instance);
        !self.is_leaving()
    }

    /// Whether no process is believed to accept calls at the address.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        self.withdrawn || self.current.is_none() || self.is_leaving()
    }

    /// Whether no process is current.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.current.is_none()
    }

    /// Whether the current process accepts no more calls.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let current = self.current.as_ref();
        let current = current.and_then(|instance| self.known(instance));
        current.is_some_and(|known| self.has_departed(&known.process))
    }

    /// Whether the current process has this instance name.
    #[must_use]
    pub fn is_current(&self, instance: &Instance) -> bool {
        self.current.as_ref() == Some(instance)
    }

    /// Records that a process has said at `now` that it accepts no more calls, which is final for this process
    /// whichever is current; returns whether it is the current one.
    pub fn depart(&mut self, process: &Process, now: StartTime) -> bool {
        let known = self.known(&process.instance);
        let started_until = match known {
            _ if process.start_time.is_some() => process.start_time,
            Some(known) if known.process.start_time.is_some() => known.process.start_time,
            // It announces itself without a start time.
            Some(known) if known.sequence > 0 => None,
            // Its start time is not known.
            _ => Some(now),
        };
        let was_leaving = self.is_leaving();
        self.record_departure(Departure {
            instance: process.instance.clone(),
            started_until,
        });
        self.is_current(&process.instance) && self.is_leaving() && !was_leaving
    }

    /// Whether a process is known to have departed.
    #[must_use]
    pub fn has_departed(&self, process: &Process) -> bool {
        self.departures.iter().any(|known| known.covers(process))
    }

    /// The latest departures, for peers.
    #[must_use]
    pub fn shared_departures(&self) -> Vec<Departure> {
        let surplus = self.departures.len().saturating_sub(MAX_SHARED_DEPARTURES);
        self.departures[surplus..].to_vec()
    }

    /// Records a departure that an earlier process of this daemon acknowledged.
    pub fn record_departure(&mut self, departure: Departure) {
        merge_departure(&mut self.departures, departure, MAX_REMEMBERED);
    }

    fn known(&self, instance: &Instance) -> Option<&Known> {
        let mut known = self.known.iter();
        known.find(|known| known.process.instance == *instance)
    }

    fn known_mut(&mut self, instance: &Instance) -> Option<&mut Known> {
        let mut known = self.known.iter_mut();
        known.find(|known| known.process.instance == *instance)
    }

    /// Remembers the latest process of a name in place of an earlier one.
    fn remember(&mut self, process: &Process, sequence: u64) {
        self.known
            .retain(|known| known.process.instance != process.instance);
        if self.known.len() == MAX_REMEMBERED {
            let is_other = |known: &Known| !self.is_current(&known.process.instance);
            let oldest = self.known.iter().position(is_other);
            self.known.remove(oldest.unwrap_or(0));
        }
        self.known.push(Known {
            process: process.clone(),
            sequence,
        });
    }
}

/// Adds a departure, in place of an earlier one of the name; keeps the latest `limit`.
pub fn merge_departure(departures: &mut Vec<Departure>, departure: Departure, limit: usize) {
    let is_same_name = |known: &Departure| known.instance == departure.instance;
    let earlier = departures.iter().position(is_same_name);
    if let Some(index) = earlier {
        if departures[index].started_until >= departure.started_until {
            return;
        }
        departures.remove(index);
    }
    departures.push(departure);
    let surplus = departures.len().saturating_sub(limit);
    departures.drain(..surplus);
}
