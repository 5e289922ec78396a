//! Telling members of versions, and of how recent the one in force is.

use std::time::{Duration, Instant};

use crate::configuration::reader::reader_rank;
use crate::configuration::relay::jitter;
use crate::membership::datagram::Datagram;
use crate::membership::member::Stage;
use crate::membership::probe::{Membership, State};
use crate::settings::Delivery;
use crate::units::Version;

/// Time in which a version reaches daemons by itself before a reader tells them of it: many times what a
/// read takes, or the way through the tree.
const HEAD_START: Duration = Duration::from_millis(200);

impl Membership {
    /// Tells the other data centres of each version, while reading is this daemon's duty.
    pub(super) async fn announce(&self) {
        let mut versions = self.board().versions();
        while versions.changed().await.is_ok() {
            tokio::time::sleep(jitter(HEAD_START)).await;
            versions.borrow_and_update();
            if self.board().settings.delivery == Delivery::Poll
                || reader_rank(self.board()).is_none()
            {
                continue;
            }
            let sends = {
                let mut guard = self.state();
                self.refresh(&mut guard);
                let State { view, rng, .. } = &mut *guard;
                view.announce(rng)
            };
            self.send(sends).await;
        }
    }

    /// Tells the own data centre how recent the version in force is, after each read of this daemon.
    pub(super) async fn vouch(&self) {
        if self.board().settings.delivery == Delivery::Poll {
            // Each daemon reads for itself.
            return;
        }
        let mut watermarks = self.board().freshness.subscribe();
        let mut told = Version(0);
        while watermarks.changed().await.is_ok() {
            let own = watermarks.borrow_and_update().own;
            if !own || self.board().stage() == Stage::Starting {
                continue;
            }
            let version = self.board().digest().version;
            if std::mem::replace(&mut told, version) != version {
                // It travels by the tree meanwhile; whom it does not reach hears of it here.
                tokio::time::sleep(HEAD_START).await;
            }
            let sends = {
                let mut guard = self.state();
                self.refresh(&mut guard);
                guard.view.vouch()
            };
            self.send(sends).await;
        }
    }

    /// Asks a few members what they have in force and how recent that is.
    pub async fn ask_around(&self) {
        let sends = {
            let mut guard = self.state();
            self.refresh(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            view.ask(Instant::now(), rng)
        };
        self.send(sends).await;
    }

    /// Takes over a watermark, unless its sender has something newer in force, which has to be fetched first.
    pub(super) fn note_watermark(&self, datagram: &Datagram) {
        if datagram.digest.version > self.board().digest().version {
            return;
        }
        if let Some(report) = &datagram.watermark {
            let complete = datagram.evidence == self.evidence();
            let now = Instant::now();
            self.board().freshness.merge_report(report, complete, now);
        }
    }
}
