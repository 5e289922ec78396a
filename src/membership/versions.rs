//! Propagation of configuration versions and watermarks to other members.

use std::time::{Duration, Instant};

use crate::configuration::reader::reader_rank;
use crate::configuration::relay::jitter;
use crate::membership::controller::{Membership, State};
use crate::membership::datagram::Datagram;
use crate::membership::member::Stage;
use crate::settings::Delivery;
use crate::units::Version;

/// Time that a version gets to reach daemons by itself before a reader notifies them: many times what a read or
/// the delivery through the relay tree takes.
const PROPAGATION_TIME: Duration = Duration::from_millis(200);

impl Membership {
    /// Notifies the other data centres of each version, while this daemon is a reader.
    pub(super) async fn announce_version(&self) {
        let mut versions = self.board().versions();
        while versions.changed().await.is_ok() {
            tokio::time::sleep(jitter(PROPAGATION_TIME)).await;
            versions.borrow_and_update();
            if self.board().settings.delivery == Delivery::Poll
                || reader_rank(self.board()).is_none()
            {
                continue;
            }
            let sends = {
                let mut guard = self.state();
                self.refresh_view(&mut guard);
                let State { view, rng, .. } = &mut *guard;
                view.announce_version(rng)
            };
            self.send(sends).await;
        }
    }

    /// Sends the watermark to the local data centre after each read by this daemon.
    pub(super) async fn send_watermark(&self) {
        if self.board().settings.delivery == Delivery::Poll {
            // With polling, each daemon reads for itself.
            return;
        }
        let mut watermarks = self.board().freshness.subscribe();
        let mut sent = Version(0);
        while watermarks.changed().await.is_ok() {
            let own = watermarks.borrow_and_update().own;
            if !own || self.board().stage() == Stage::Starting {
                continue;
            }
            let version = self.board().digest().version;
            if std::mem::replace(&mut sent, version) != version {
                // A new version is first delivered through the relay tree; daemons that it does not reach are
                // notified here.
                tokio::time::sleep(PROPAGATION_TIME).await;
            }
            let sends = {
                let mut guard = self.state();
                self.refresh_view(&mut guard);
                guard.view.send_watermark()
            };
            self.send(sends).await;
        }
    }

    /// Probes a few members, whose responses carry their active configuration and watermark.
    pub async fn query_peers(&self) {
        let sends = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            view.query(Instant::now(), rng)
        };
        self.send(sends).await;
    }

    /// Adopts a watermark, unless its sender has a newer version active, which has to be fetched first.
    pub(super) fn note_watermark(&self, datagram: &Datagram) {
        if datagram.digest.version > self.board().digest().version {
            return;
        }
        if let Some(report) = &datagram.watermark {
            let complete = datagram.gossip_hash == self.gossip_hash();
            let now = Instant::now();
            self.board().freshness.merge_report(report, complete, now);
        }
    }
}
