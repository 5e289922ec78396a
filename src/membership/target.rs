//! What a target says of itself, and which of its lives counts.
//!
//! A target that starts again is another life at the same address. Its announcements can be late
//! by seconds, so one of an earlier life may arrive when the next one has announced itself:
//! [`Lives`] tells which to believe.
//!
//! ```
//! use jackdawpulley::target::{Lives, Standing};
//! use jackdawpulley::units::Instance;
//!
//! let (old, new) = (Instance::from("a"), Instance::from("b"));
//! let mut lives = Lives::default();
//! assert_eq!(lives.hear(&old, 4), Standing::New);
//! assert_eq!(lives.hear(&new, 1), Standing::New);
//! assert_eq!(lives.hear(&old, 5), Standing::Past, "it was on its way when its sender died");
//! assert_eq!(lives.hear(&new, 1), Standing::Stale);
//! ```

use std::net::SocketAddr;

use crate::units::{Instance, Millis, Service, Slots};

/// Lives that are remembered after their end.
const REMEMBERED: usize = 32;

/// One announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The life that announces itself.
    pub instance: Instance,
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
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
    current: Option<(Instance, u64)>,
    /// Whether the current life has said that it takes no more calls.
    leaving: bool,
    /// Lives that have ended, the last one last.
    past: Vec<Instance>,
}

impl Lives {
    /// Notes an announcement.
    pub fn hear(&mut self, instance: &Instance, sequence: u64) -> Standing {
        if self.past.contains(instance) {
            return Standing::Past;
        }
        if let Some((current, last)) = &mut self.current
            && current == instance
        {
            if sequence <= *last {
                return Standing::Stale;
            }
            *last = sequence;
            return Standing::Current;
        }
        self.end();
        self.current = Some((instance.clone(), sequence));
        Standing::New
    }

    /// Notes which life has answered at the address: better evidence than any announcement.
    ///
    /// Guards against an announcement of a dead life that arrives first after a restart of this
    /// daemon: the living one would count as ended for good.
    pub fn prove(&mut self, instance: &Instance) {
        self.past.retain(|past| past != instance);
        if !self.is_current(instance) {
            self.end();
            self.current = Some((instance.clone(), 0));
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

    /// Whether `instance` is the current life.
    #[must_use]
    pub fn is_current(&self, instance: &Instance) -> bool {
        self.current
            .as_ref()
            .is_some_and(|(now, _)| now == instance)
    }

    /// Notes that a life has ended, whether it was the current one or not known at all.
    pub fn forget(&mut self, instance: &Instance) {
        if self.is_current(instance) {
            self.end();
        } else if !self.past.contains(instance) {
            self.remember(instance.clone());
        }
    }

    fn end(&mut self) {
        if let Some((instance, _)) = self.current.take() {
            self.remember(instance);
        }
        self.leaving = false;
    }

    fn remember(&mut self, instance: Instance) {
        if self.past.len() == REMEMBERED {
            self.past.remove(0);
        }
        self.past.push(instance);
    }
}
