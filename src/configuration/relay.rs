//! Distribution of versions between daemons.
//!
//! The daemons of a data centre form a tree by rendezvous rank. A daemon that gets a newer version
//! pushes it to its children; a daemon that pulled it, outside the tree, also pushes it to the root.
//! The digests on probes and their replies repair what the tree has lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::RngExt;
use slog::{debug, info};
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::exchange::{CompressedUpdate, Digest, Pull, Reply};
use crate::configuration::fetches::Fetches;
use crate::configuration::store::{Channel, Store};
use crate::error::Result;
use crate::membership::member::{Health, Member};
use crate::peer::LinkPool;
use crate::settings::Delivery;
use crate::shared_state::SharedState;
use crate::units::{DataCentre, Millis, Version};
use crate::wire;

/// Path of a pushed update.
pub const PUSH_PATH: &str = "/control/push";
/// Path of a pull.
pub const PULL_PATH: &str = "/control/pull";

/// Longest time that a daemon is told to wait before it pulls again.
const MAX_RETRY_DELAY_MS: u64 = 250;
/// Most requests to one peer in a pull.
const MAX_PULL_ATTEMPTS: usize = 5;

/// The alive daemons of one data centre in rendezvous order, which is the same on every daemon with the
/// same view.
#[must_use]
pub fn rendezvous_order(members: &[Member], home: &DataCentre) -> Vec<SocketAddr> {
    let here = members
        .iter()
        .filter(|m| m.data_centre == *home && m.health == Health::Alive);
    let mut ranked: Vec<(u64, SocketAddr)> = here
        .map(|m| (xxh3_64(m.peer.to_string().as_bytes()), m.peer))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, peer)| peer).collect()
}

/// Children of `me` in the tree over `order`, in which each daemon has up to `fanout` children.
#[must_use]
pub fn children(order: &[SocketAddr], me: SocketAddr, fanout: usize) -> Vec<SocketAddr> {
    let Some(index) = order.iter().position(|peer| *peer == me) else {
        return Vec::new();
    };
    let first = index * fanout + 1;
    order.iter().skip(first).take(fanout).copied().collect()
}

/// Pushes and pulls versions.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<SharedState>,
    store: Arc<Store>,
    links: Arc<LinkPool>,
    transfers: Semaphore,
    fetches: Fetches,
    /// Whether a version was pulled, outside the tree, since the last push.
    pulled: AtomicBool,
}

impl Relay {
    /// A relay between `store` and the peers behind `links`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, store: Arc<Store>, links: Arc<LinkPool>) -> Self {
        let transfers = Semaphore::new(shared.settings.transfers);
        Self {
            shared,
            store,
            links,
            transfers,
            fetches: Fetches::default(),
            pulled: AtomicBool::new(false),
        }
    }

    /// Pushes each newer version, for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let mut versions = self.shared.versions();
        while versions.changed().await.is_ok() {
            versions.borrow_and_update();
            if self.shared.settings.delivery != Delivery::Poll {
                self.push_to_children();
            }
        }
    }

    /// Handles a push.
    #[must_use]
    pub fn accept_push(&self, reply: Reply) -> Reply {
        let Reply::Update(compressed) = reply else {
            return Reply::Have(self.shared.digest());
        };
        match self.accept(&compressed, Channel::Push) {
            Ok(digest) => Reply::Have(digest),
            Err(_) => Reply::Need(self.shared.digest()),
        }
    }

    fn accept(&self, compressed: &CompressedUpdate, channel: Channel) -> Result<Digest> {
        self.store.accept(compressed.decompress()?, channel)
    }

    /// Handles a pull; only a few whole documents are sent at the same time.
    pub async fn answer_pull(&self, pull: &Pull) -> Bytes {
        let digest = self.shared.digest();
        if digest.version <= pull.have {
            return wire::encode(&Reply::Have(digest));
        }
        let update = self.store.encoded_update(pull.have);
        if !update.whole {
            return update.reply;
        }
        // After a power cut of a data centre, hundreds of daemons pull at once. Sending to all of them
        // would take processor time and bandwidth from the sender's calls.
        let Ok(_transfer) = self.transfers.try_acquire() else {
            let wait = rand::rng().random_range(MAX_RETRY_DELAY_MS / 5..=MAX_RETRY_DELAY_MS);
            return wire::encode(&Reply::Busy(Millis(wait)));
        };
        tokio::task::yield_now().await;
        update.reply
    }

    /// Pulls the active version of `peer`, unless [`Fetches`] allows no further fetch now.
    ///
    /// # Errors
    ///
    /// As [`LinkPool::send`].
    pub async fn pull(&self, peer: SocketAddr) -> Result<Digest> {
        let began = Instant::now();
        let Some(_fetch) = self.fetches.try_begin(peer, began) else {
            return Ok(self.shared.digest());
        };
        let result = self.fetch(peer).await;
        if let Err(error) = &result {
            info!(self.shared.logger, "fetch failed"; "peer" => %peer,
                "took_ms" => Millis::from(began.elapsed()).0, "error" => %error);
        }
        result
    }

    async fn fetch(&self, peer: SocketAddr) -> Result<Digest> {
        let mut have = self.shared.digest().version;
        for _ in 0..MAX_PULL_ATTEMPTS {
            match self.links.send(peer, PULL_PATH, &Pull { have }).await? {
                Reply::Update(compressed) => match self.accept(&compressed, Channel::Pull) {
                    Ok(digest) => {
                        self.pulled.store(true, Ordering::Release);
                        return Ok(digest);
                    }
                    // The base was replaced meanwhile or differs: request the whole document.
                    Err(_) => have = Version(0),
                },
                Reply::Busy(wait) => tokio::time::sleep(wait.duration()).await,
                Reply::Have(_) | Reply::Need(_) => break,
            }
        }
        Ok(self.shared.digest())
    }

    fn push_to_children(self: &Arc<Self>) {
        let settings = &self.shared.settings;
        let roster = self.shared.roster();
        let order = rendezvous_order(&roster.members, &settings.data_centre);
        let mut receivers = children(&order, settings.identity(), settings.fanout);
        let pulled = self.pulled.swap(false, Ordering::AcqRel);
        let root = order
            .first()
            .filter(|root| pulled && **root != settings.identity());
        receivers.extend(root);
        let update = self.store.encoded_update(self.store.previous_version());
        for peer in receivers {
            let relay = Arc::clone(self);
            let (reply, order) = (update.reply.clone(), order.clone());
            tokio::spawn(async move { relay.push(peer, reply, &order).await });
        }
    }

    async fn push(&self, peer: SocketAddr, reply: Bytes, order: &[SocketAddr]) {
        let mut pending = vec![(peer, reply)];
        while let Some((peer, reply)) = pending.pop() {
            if self.deliver(peer, reply.clone()).await.is_ok() {
                continue;
            }
            // Until the view drops a dead parent, its whole branch would have to wait for a probe.
            // Push to its children instead.
            debug!(self.shared.logger, "push failed"; "peer" => %peer);
            let grandchildren = children(order, peer, self.shared.settings.fanout);
            pending.extend(
                grandchildren
                    .into_iter()
                    .map(|child| (child, reply.clone())),
            );
        }
    }

    async fn deliver(&self, peer: SocketAddr, update: Bytes) -> Result<()> {
        let reply: Reply = self.links.exchange(peer, PUSH_PATH, update).await?;
        if let Reply::Need(digest) = reply
            && digest.version < self.shared.digest().version
        {
            let update = self.store.encoded_update(digest.version);
            let reply: Reply = self.links.exchange(peer, PUSH_PATH, update.reply).await?;
            if let Reply::Need(_) = reply {
                let whole = self.store.encoded_update(Version(0));
                let _: Reply = self.links.exchange(peer, PUSH_PATH, whole.reply).await?;
            }
        }
        Ok(())
    }
}

/// A random part of `duration`: full jitter, which spreads out daemons that act at the same time.
#[must_use]
pub fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.0..1.0))
}
