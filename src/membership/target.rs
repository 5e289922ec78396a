//! What a target says of itself, and which of its lives counts.
//!
//! A target that starts again is another life at the same address, under another name or under the
//! same one with a later [`StartTime`]. Its announcements can be late by seconds, so one of an earlier
//! life may arrive when the next one has announced itself: [`Processes`] tells which to believe.
//!
//! Births order the lives of one name only, so a clock that is wrong does no harm between names. A
//! life whose birth is not known, such as one that has only answered its health check, is taken for
//! the one that tells its birth under that name. An announcement without a birth, under a name that
//! has told one, is not that target's.
//!
//! ```
//! use jackdawpulley::membership::target::{Process, Processes, Recency};
//! use jackdawpulley::units::StartTime;
//!
//! let (old, new) = (Process::new("a", Some(StartTime(10))), Process::new("a", Some(StartTime(20))));
//! let mut processes = Processes::default();
//! assert_eq!(processes.observe(&old, 4), Recency::New);
//! assert_eq!(processes.observe(&new, 1), Recency::New, "it started again under its name");
//! assert_eq!(processes.observe(&old, 5), Recency::Ended, "it was on its way when its sender died");
//! assert_eq!(processes.observe(&new, 1), Recency::Stale);
//! ```

use std::net::SocketAddr;

use crate::units::{Instance, Millis, Revision, Service, Slots, StartTime};

/// Processes that are remembered after their end.
const MAX_ENDED: usize = 32;

/// One life of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// Name of the life, which the next one may have as well.
    pub instance: Instance,
    /// When it began, where that is known.
    pub start_time: Option<StartTime>,
}

impl Process {
    /// The life of this name that began then.
    #[must_use]
    pub fn new(instance: impl Into<Instance>, start_time: Option<StartTime>) -> Self {
        Self {
            instance: instance.into(),
            start_time,
        }
    }

    /// Whether it has the name of `other` and began later.
    #[must_use]
    pub fn is_successor_of(&self, other: &Self) -> bool {
        self.instance == other.instance
            && matches!((self.start_time, other.start_time), (Some(start), Some(other_start)) if start > other_start)
    }
}

/// One announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// The life that announces itself.
    pub process: Process,
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Version of its software, where it tells that.
    pub revision: Option<Revision>,
    /// Time for which it is slow yet after its start.
    pub cold: Millis,
    /// Whether it is about to end and wants no new calls.
    pub leaving: bool,
    /// Orders the announcements of one life.
    pub sequence: u64,
    /// Time until it has to announce itself again.
    pub lease: Millis,
}

/// What an announcement is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recency {
    /// The first of a life that was not known: it is the current one from now on.
    New,
    /// The newest of the current life.
    Current,
    /// Of the current life, overtaken by a later one.
    Stale,
    /// Of a life that has ended.
    Ended,
}

/// The lives of the targets at one address.
#[derive(Debug, Default)]
pub struct Processes {
    /// The current life and the highest sequence of its announcements.
    current: Option<(Process, u64)>,
    /// Whether the current life has said that it takes no more calls.
    leaving: bool,
    /// Processes that have ended, the last one last; the latest of each name.
    ended: Vec<Process>,
}

impl Processes {
    /// Notes an announcement.
    pub fn observe(&mut self, process: &Process, sequence: u64) -> Recency {
        let same = self.current.as_mut();
        if let Some((current, last)) = same.filter(|(now, _)| now.instance == process.instance) {
            if current.is_successor_of(process) {
                return Recency::Ended;
            }
            // One that announced itself without a birth is not the one that tells its birth.
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

    /// Whether another life was, or may have been, at the address before `life`: then an
    /// announcement alone does not prove who is there.
    #[must_use]
    pub fn may_replace_another(&self, process: &Process) -> bool {
        let same_name = |ended: &Process| ended.instance == process.instance;
        self.current.is_some() || self.ended.iter().any(same_name)
    }

    /// Notes which life has answered at the address: better evidence than any announcement.
    ///
    /// Guards against an announcement of a dead life that arrives first after a restart of this
    /// daemon: the living one would count as ended for good.
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

    /// Whether any life is current.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.current.is_none()
    }

    /// Notes that the current life takes no more calls; it never takes that back.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether the current life takes no more calls.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the current life has this name.
    #[must_use]
    pub fn is_current(&self, instance: &Instance) -> bool {
        self.current
            .as_ref()
            .is_some_and(|(now, _)| now.instance == *instance)
    }

    /// Notes that a life ends by its own word; whether it is the current one, which takes no more
    /// calls from now on.
    pub fn deregister(&mut self, process: &Process) -> bool {
        let current = self.current.as_ref().map(|(now, _)| now);
        let same = current.filter(|now| now.instance == process.instance);
        match same {
            // Guards against a farewell that comes late: the next life of its name would go with it.
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

    /// Whether a life is known to have ended. One without a birth is taken for any of its name; one
    /// that tells its birth may follow one that did not.
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
