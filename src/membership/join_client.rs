//! Joining through peers: asking them, and what their welcomes tell.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use crate::board::Board;
use crate::configuration::floor::Floor;
use crate::configuration::relay::Relay;
use crate::error::Result;
use crate::idempotency::guard::Keys;
use crate::membership::controller::Membership;
use crate::membership::datagram::{Join, Welcome};
use crate::membership::member::{Health, Member};
use crate::membership::seeds::{JOIN_FANOUT, Peers, choose_seeds};
use crate::peer::Links;
use crate::peer::server::JOIN;
use crate::units::{DataCentre, Slots};

/// What a starting daemon has heard from its peers.
#[derive(Debug, Default)]
pub struct Welcomes {
    /// The configuration that it has to reach.
    pub floor: Floor,
    /// Peers that have welcomed it.
    pub count: usize,
    /// The last entry of an earlier daemon at this address.
    predecessor: Option<Member>,
    /// Slots that this address's target offered.
    slots: Option<Slots>,
}

impl Welcomes {
    /// Slots that this address's target offered last, by a peer's word.
    #[must_use]
    pub const fn slots(&self) -> Option<Slots> {
        self.slots
    }
}

/// Joins through peers on behalf of a daemon.
#[derive(Debug)]
pub struct JoinClient {
    /// The blackboard.
    pub board: Arc<Board>,
    /// Connections to peers.
    pub links: Arc<Links>,
    /// The membership view.
    pub membership: Arc<Membership>,
    /// Fetches content.
    pub relay: Arc<Relay>,
    /// Remembers keys.
    pub keys: Arc<Keys>,
}

impl JoinClient {
    /// Asks one peer to let this daemon in.
    async fn ask(&self, peer: SocketAddr) -> Result<Welcome> {
        let join = Join {
            member: self.membership.me(),
        };
        self.links.send(peer, JOIN, &join).await
    }

    /// Takes a welcome in, and fetches what its sender has in force where that is newer.
    pub fn apply(&self, peer: SocketAddr, welcome: &Welcome, welcomes: &mut Welcomes) {
        self.record(welcome, welcomes);
        if self.is_ahead(welcome) {
            let relay = Arc::clone(&self.relay);
            tokio::spawn(async move { relay.pull(peer).await });
        }
    }

    /// Joins through a few of `contacts` at once and fetches what they have in force; how many
    /// welcomed this daemon.
    pub async fn join_through(
        &self,
        mut contacts: Vec<SocketAddr>,
        welcomes: &mut Welcomes,
    ) -> usize {
        let before = welcomes.count;
        contacts.retain(|peer| *peer != self.board.settings.identity());
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
        welcome.digest.version > self.board.digest().version
    }

    fn record(&self, welcome: &Welcome, welcomes: &mut Welcomes) {
        welcomes.count += 1;
        let responder = welcome.members.first();
        let responder = responder.map(|m| m.data_centre.clone()).unwrap_or_default();
        welcomes
            .floor
            .heard(&responder, welcome.digest.version, welcome.highest_version);
        welcomes.slots = welcome.slots.or(welcomes.slots);
        self.board.note_era(welcome.era);
        self.board.quarantine.merge(&welcome.crashes);
        self.board.rollouts.merge(&welcome.rollouts);
        self.track_predecessor(&welcome.members, welcomes);
        self.membership
            .merge_members(&welcome.members, &welcome.stable_revisions);
    }

    /// Finds out how an earlier daemon at this address ended: the latest word of it counts.
    fn track_predecessor(&self, members: &[Member], welcomes: &mut Welcomes) {
        let me = self.membership.me();
        // Entries between the birth of this daemon and now are its own; those from the future
        // are of an earlier one whose clock was ahead.
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
        self.keys.set_lived(lost);
    }
}

/// What a peer that was asked came to.
pub type Reply = (SocketAddr, Result<Welcome>);

/// Peers that a starting daemon asks side by side.
///
/// Guards against a peer that is silent: after a loss of power a few of those that are asked are
/// mostly still dark, and a daemon that waits for them before it takes the others' welcomes refuses its
/// callers for as long.
#[derive(Debug)]
pub struct Requests {
    join_client: Arc<JoinClient>,
    asked: Vec<SocketAddr>,
    pending: usize,
    sender: mpsc::Sender<Reply>,
    answers: mpsc::Receiver<Reply>,
}

impl Requests {
    /// Nobody has been asked yet.
    #[must_use]
    pub fn new(greeting: &Arc<JoinClient>) -> Self {
        let (sender, answers) = mpsc::channel(JOIN_FANOUT);
        Self {
            join_client: Arc::clone(greeting),
            asked: vec![greeting.board.settings.identity()],
            pending: 0,
            sender,
            answers,
        }
    }

    /// Whether an answer is still to come.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.pending > 0
    }

    /// Asks a few of `peers` that were not asked yet, mostly of the data centre `home`.
    pub fn ask_seeds(&mut self, mut peers: Peers, home: &DataCentre) {
        peers.retain(|(peer, _)| !self.asked.contains(peer));
        self.ask(choose_seeds(peers, home));
    }

    /// Asks all of `peers`.
    pub fn ask(&mut self, peers: Vec<SocketAddr>) {
        for peer in peers {
            self.asked.push(peer);
            self.pending += 1;
            let (greeting, sender) = (Arc::clone(&self.join_client), self.sender.clone());
            tokio::spawn(async move {
                let answer = greeting.ask(peer).await;
                // The daemon may have ended meanwhile.
                let _ = sender.send((peer, answer)).await;
            });
        }
    }

    /// Takes the answers that are still to come.
    pub async fn finish(mut self, mut welcomes: Welcomes) {
        while self.is_pending() {
            if let (peer, Ok(welcome)) = self.next().await {
                self.join_client.apply(peer, &welcome, &mut welcomes);
            }
        }
    }

    /// Waits for the next answer.
    pub async fn next(&mut self) -> Reply {
        match self.answers.recv().await {
            Some(answer) => {
                self.pending -= 1;
                answer
            }
            // Not reached, as the round holds a sender.
            None => std::future::pending().await,
        }
    }
}
