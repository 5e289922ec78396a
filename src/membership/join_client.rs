//! Join requests to peers, and what the responses to them say.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use crate::configuration::readiness::Requirement;
use crate::configuration::relay::Relay;
use crate::error::Result;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::controller::Membership;
use crate::membership::datagram::{Join, Welcome};
use crate::membership::member::{Health, Member};
use crate::membership::seeds::{JOIN_FANOUT, Peers, choose_seeds};
use crate::peer::LinkPool;
use crate::peer::server::JOIN_PATH;
use crate::shared_state::SharedState;
use crate::units::{DataCentre, Slots};

/// Content of all responses to a starting daemon's join requests.
#[derive(Debug, Default)]
pub struct Welcomes {
    /// Requirement on the configuration with which it may serve.
    pub requirement: Requirement,
    /// Number of responses.
    pub count: usize,
    /// Last entry of an earlier daemon at this address.
    predecessor: Option<Member>,
    /// Slots that the target at this address offered last.
    slots: Option<Slots>,
}

impl Welcomes {
    /// Slots that the target at this address offered last, according to a peer.
    #[must_use]
    pub const fn slots(&self) -> Option<Slots> {
        self.slots
    }
}

/// Sends join requests and applies the responses.
#[derive(Debug)]
pub struct JoinClient {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Connections to peers.
    pub links: Arc<LinkPool>,
    /// Membership controller.
    pub membership: Arc<Membership>,
    /// Fetches configurations from peers.
    pub relay: Arc<Relay>,
    /// Remembers idempotency keys.
    pub keys: Arc<Deduplicator>,
}

impl JoinClient {
    /// Sends a join request to one peer.
    async fn ask(&self, peer: SocketAddr) -> Result<Welcome> {
        let join = Join {
            member: self.membership.me(),
        };
        self.links.send(peer, JOIN_PATH, &join).await
    }

    /// Applies a response, and fetches its sender's configuration in the background if that is newer.
    pub fn apply(&self, peer: SocketAddr, welcome: &Welcome, welcomes: &mut Welcomes) {
        self.record(welcome, welcomes);
        if self.is_ahead(welcome) {
            let relay = Arc::clone(&self.relay);
            tokio::spawn(async move { relay.pull(peer).await });
        }
    }

    /// Joins through a few of `contacts` at once and fetches their configurations if newer; returns how many
    /// of them responded.
    pub async fn join_through(
        &self,
        mut contacts: Vec<SocketAddr>,
        welcomes: &mut Welcomes,
    ) -> usize {
        let before = welcomes.count;
        contacts.retain(|peer| *peer != self.shared.settings.identity());
        contacts.shuffle(&mut rand::rng());
        contacts.truncate(JOIN_FANOUT);
        let asking = contacts
            .into_iter()
            .map(|peer| async move { (peer, self.ask(peer).await) });
        for (peer, welcome) in join_all(asking).await {
            let Ok(welcome) = welcome else {
                continue;
            };
            self.record(&welcome, welcomes);
            if self.is_ahead(&welcome) {
                let _ = self.relay.pull(peer).await;
            }
        }
        welcomes.count - before
    }

    fn is_ahead(&self, welcome: &Welcome) -> bool {
        welcome.digest.version > self.shared.digest().version
    }

    fn record(&self, welcome: &Welcome, welcomes: &mut Welcomes) {
        welcomes.count += 1;
        let responder = welcome.members.first();
        let responder = responder.map(|m| m.data_centre.clone()).unwrap_or_default();
        welcomes
            .requirement
            .add_peer(&responder, welcome.digest.version, welcome.highest_version);
        welcomes.slots = welcome.slots.or(welcomes.slots);
        self.shared.adopt_departures(&welcome.departures);
        self.shared.record_generation(welcome.generation);
        self.shared.quarantine.merge(&welcome.crashes);
        self.shared.rollouts.merge(&welcome.rollouts);
        self.track_predecessor(&welcome.members, welcomes);
        self.membership
            .merge_members(&welcome.members, &welcome.stable_revisions);
    }

    /// Determines how an earlier daemon at this address ended; its latest entry counts.
    fn track_predecessor(&self, members: &[Member], welcomes: &mut Welcomes) {
        let me = self.membership.me();
        // Incarnations from the initial to the current one are this daemon's own. Lower ones are of an earlier
        // daemon, and so are higher ones, whose clock was ahead.
        let own = self.membership.initial_incarnation()..=me.incarnation;
        let reported = members
            .iter()
            .find(|entry| entry.peer == me.peer && !own.contains(&entry.incarnation));
        let precedence = |member: &Member| (member.incarnation, member.health);
        if let Some(reported) = reported
            && welcomes
                .predecessor
                .as_ref()
                .is_none_or(|known| precedence(known) < precedence(reported))
        {
            welcomes.predecessor = Some(reported.clone());
        }
        let predecessor = welcomes.predecessor.as_ref();
        let lost = predecessor.is_some_and(|known| known.health != Health::Left);
        self.keys.set_predecessor_lost(lost);
    }
}

/// A peer, with its response.
pub type Reply = (SocketAddr, Result<Welcome>);

/// Concurrent join requests of a starting daemon.
///
/// Each response is applied when it arrives. After a power failure a few peers are usually still down, and a
/// daemon that waits for them before it applies the other responses refuses its callers for as long.
#[derive(Debug)]
pub struct Requests {
    join_client: Arc<JoinClient>,
    asked: Vec<SocketAddr>,
    pending: usize,
    sender: mpsc::Sender<Reply>,
    responses: mpsc::Receiver<Reply>,
}

impl Requests {
    /// Creates an empty set of requests.
    #[must_use]
    pub fn new(join_client: &Arc<JoinClient>) -> Self {
        let (sender, responses) = mpsc::channel(JOIN_FANOUT);
        Self {
            join_client: Arc::clone(join_client),
            asked: vec![join_client.shared.settings.identity()],
            pending: 0,
            sender,
            responses,
        }
    }

    /// Whether any response is outstanding.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.pending > 0
    }

    /// Asks a few of `peers` that were not asked yet, mostly in the data centre `local`.
    pub fn ask_seeds(&mut self, mut peers: Peers, local: &DataCentre) {
        peers.retain(|(peer, _)| !self.asked.contains(peer));
        self.ask(choose_seeds(peers, local));
    }

    /// Asks all of `peers`.
    pub fn ask(&mut self, peers: Vec<SocketAddr>) {
        for peer in peers {
            self.asked.push(peer);
            self.pending += 1;
            let (join_client, sender) = (Arc::clone(&self.join_client), self.sender.clone());
            tokio::spawn(async move {
                let response = join_client.ask(peer).await;
                // The daemon may have ended meanwhile.
                let _ = sender.send((peer, response)).await;
            });
        }
    }

    /// Applies the responses that are still outstanding.
    pub async fn finish(mut self, mut welcomes: Welcomes) {
        while self.is_pending() {
            if let (peer, Ok(welcome)) = self.next().await {
                self.join_client.apply(peer, &welcome, &mut welcomes);
            }
        }
    }

    /// Waits for the next response.
    pub async fn next(&mut self) -> Reply {
        match self.responses.recv().await {
            Some(response) => {
                self.pending -= 1;
                response
            }
            // Not reached, since `self` holds a sender.
            None => std::future::pending().await,
        }
    }
}
