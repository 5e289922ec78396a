//! What a target says of itself, and which of its lives counts.
//!
//! A target that starts again is another life at the same address, under another name or under the
//! same one with a later [`Birth`]. Its announcements can be late by seconds, so one of an earlier
//! life may arrive when the next one has announced itself: [`Lives`] tells which to believe.
//!
//! Births order the lives of one name only, so a clock that is wrong does no harm between names. A
//! life whose birth is not known, such as one that has only answered its health check, is taken for
//! the one that tells its birth under that name. An announcement without a birth, under a name that
//! has told one, is not that target's.
//!
//! ```
//! use jackdawpulley::membership::target::{Life, Lives, Standing};
//! use jackdawpulley::units::Birth;
//!
//! let (old, new) = (Life::new("a", Some(Birth(10))), Life::new("a", Some(Birth(20))));
//! let mut lives = Lives::default();
//! assert_eq!(lives.hear(&old, 4), Standing::New);
//! assert_eq!(lives.hear(&new, 1), Standing::New, "it started again under its name");
//! assert_eq!(lives.hear(&old, 5), Standing::Past, "it was on its way when its sender died");
//! assert_eq!(lives.hear(&new, 1), Standing::Stale);
//! ```

use std::net::SocketAddr;

use crate::units::{Birth, Instance, Millis, Revision, Service, Slots};

/// Lives that are remembered after their end.
const REMEMBERED: usize = 32;

/// One life of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Life {
    /// Name of the life, which the next one may have as well.
    pub instance: Instance,
    /// When it began, where that is known.
    pub born: Option<Birth>,
}

impl Life {
    /// The life of this name that began then.
    #[must_use]
    pub fn new(instance: impl Into<Instance>, born: Option<Birth>) -> Self {
        Self {
            instance: instance.into(),
            born,
        }
    }

    /// Whether it has the name of `other` and began later.
    #[must_use]
    pub fn succeeds(&self, other: &Self) -> bool {
        self.instance == other.instance
            && matches!((self.born, other.born), (Some(own), Some(others)) if own > others)
    }
}

/// One announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The life that announces itself.
    pub life: Life,
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
pub enum Standing {
    /// The first of a life that was not known: it is the current one from now on.
    New,
    /// The newest of the current life.
    Current,
    /// Of the current life, overtaken by a later one.
    Stale,
    /// Of a life that has ended.
    Past,
}

/// The lives of the targets at one address.
#[derive(Debug, Default)]
pub struct Lives {
    /// The current life and the highest sequence of its announcements.
    current: Option<(Life, u64)>,
    /// Whether the current life has said that it takes no more calls.
    leaving: bool,
    /// Lives that have ended, the last one last; the latest of each name.
    past: Vec<Life>,
}

impl Lives {
    /// Notes an announcement.
    pub fn hear(&mut self, life: &Life, sequence: u64) -> Standing {
        let same = self.current.as_mut();
        if let Some((current, last)) = same.filter(|(now, _)| now.instance == life.instance) {
            if current.succeeds(life) {
                return Standing::Past;
            }
            // One that announced itself without a birth is not the one that tells its birth.
            let told_first = current.born.is_none() && life.born.is_some() && *last > 0;
            if !life.succeeds(current) && !told_first {
                if current.born.is_some() && life.born.is_none() || sequence <= *last {
                    return Standing::Stale;
                }
                current.born = life.born;
                *last = sequence;
                return Standing::Current;
            }
        } else if self.has_ended(life) {
            return Standing::Past;
        }
        self.end();
        self.current = Some((life.clone(), sequence));
        Standing::New
    }

    /// Whether another life was, or may have been, at the address before `life`: then an
    /// announcement alone does not prove who is there.
    #[must_use]
    pub fn contest(&self, life: &Life) -> bool {
        let namesake = |past: &Life| past.instance == life.instance;
        self.current.is_some() || self.past.iter().any(namesake)
    }

    /// Notes which life has answered at the address: better evidence than any announcement.
    ///
    /// Guards against an announcement of a dead life that arrives first after a restart of this
    /// daemon: the living one would count as ended for good.
    pub fn prove(&mut self, instance: &Instance) {
        let namesake = |past: &Life| past.instance == *instance;
        let known = self.past.iter().position(namesake);
        let known = known.map(|index| self.past.remove(index));
        if !self.is_current(instance) {
            self.end();
            let life = known.unwrap_or_else(|| Life::new(instance.clone(), None));
            self.current = Some((life, 0));
        }
    }

    /// Whether any life is current.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.current.is_none()
    }

    /// Notes that the current life takes no more calls; it never takes that back.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the current life takes no more calls.
    #[must_use]
    pub const fn leaving(&self) -> bool {
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
    pub fn close(&mut self, life: &Life) -> bool {
        let current = self.current.as_ref().map(|(now, _)| now);
        let same = current.filter(|now| now.instance == life.instance);
        match same {
            // Guards against a farewell that comes late: the next life of its name would go with it.
            Some(now) if now.succeeds(life) => false,
            Some(now) if life.succeeds(now) => {
                self.end();
                self.remember(life.clone());
                true
            }
            Some(_) => {
                self.leave();
                true
            }
            None => {
                if !self.has_ended(life) {
                    self.remember(life.clone());
                }
                false
            }
        }
    }

    /// Whether a life is known to have ended. One without a birth is taken for any of its name; one
    /// that tells its birth may follow one that did not.
    fn has_ended(&self, life: &Life) -> bool {
        let namesake = self.past.iter().find(|past| past.instance == life.instance);
        namesake
            .is_some_and(|past| life.born.is_none() || past.born.is_some() && !life.succeeds(past))
    }

    fn end(&mut self) {
        if let Some((life, _)) = self.current.take() {
            self.remember(life);
        }
        self.leaving = false;
    }

    fn remember(&mut self, life: Life) {
        self.past.retain(|past| past.instance != life.instance);
        if self.past.len() == REMEMBERED {
            self.past.remove(0);
        }
        self.past.push(life);
    }
}
