//! Joining through peers: asking them, and what their welcomes tell.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use crate::board::Board;
use crate::configuration::readiness::Requirement;
use crate::configuration::relay::Relay;
use crate::error::Result;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::datagram::{Join, Welcome};
use crate::membership::greeters::{GREETERS, Listed, greeters};
use crate::membership::member::{Health, Member};
use crate::membership::probe::Membership;
use crate::peer::Links;
use crate::peer::server::JOIN;
use crate::units::{DataCentre, Slots};

/// What a starting daemon has heard from its peers.
#[derive(Debug, Default)]
pub struct Heard {
    /// The configuration that it has to reach.
    pub floor: Requirement,
    /// Peers that have welcomed it.
    pub welcomes: usize,
    /// The last entry of an earlier daemon at this address.
    earlier: Option<Member>,
    /// Slots that this address's target offered.
    slots: Option<Slots>,
}

impl Heard {
    /// Slots that this address's target offered last, by a peer's word.
    #[must_use]
    pub const fn slots(&self) -> Option<Slots> {
        self.slots
    }
}

/// Joins through peers on behalf of a daemon.
#[derive(Debug)]
pub struct Greeting {
    /// The blackboard.
    pub board: Arc<Board>,
    /// Connections to peers.
    pub links: Arc<Links>,
    /// The membership view.
    pub membership: Arc<Membership>,
    /// Fetches content.
    pub relay: Arc<Relay>,
    /// Remembers keys.
    pub keys: Arc<Deduplicator>,
}

impl Greeting {
    /// Asks one peer to let this daemon in.
    async fn ask(&self, peer: SocketAddr) -> Result<Welcome> {
        let join = Join {
            member: self.membership.me(),
        };
        self.links.send(peer, JOIN, &join).await
    }

    /// Takes a welcome in, and fetches what its sender has in force where that is newer.
    pub fn take(&self, peer: SocketAddr, welcome: &Welcome, heard: &mut Heard) {
        self.note(welcome, heard);
        if self.is_ahead(welcome) {
            let relay = Arc::clone(&self.relay);
            tokio::spawn(async move { relay.pull(peer).await });
        }
    }

    /// Joins through a few of `contacts` at once and fetches what they have in force; how many
    /// welcomed this daemon.
    pub async fn greet_all(&self, mut contacts: Vec<SocketAddr>, heard: &mut Heard) -> usize {
        let before = heard.welcomes;
        contacts.retain(|peer| *peer != self.board.settings.identity());
        contacts.shuffle(&mut rand::rng());
        contacts.truncate(GREETERS);
        let asking = contacts
            .into_iter()
            .map(|peer| async move { (peer, self.ask(peer).await) });
        for (peer, welcome) in join_all(asking).await {
            let Ok(welcome) = welcome else {
                continue;
            };
            self.note(&welcome, heard);
            if self.is_ahead(&welcome) {
                let _ = self.relay.pull(peer).await;
            }
        }
        heard.welcomes - before
    }

    fn is_ahead(&self, welcome: &Welcome) -> bool {
        welcome.digest.version > self.board.digest().version
    }

    fn note(&self, welcome: &Welcome, heard: &mut Heard) {
        heard.welcomes += 1;
        let greeter = welcome.members.first();
        let greeter = greeter.map(|m| m.data_centre.clone()).unwrap_or_default();
        heard
            .floor
            .add_peer(&greeter, welcome.digest.version, welcome.ran);
        heard.slots = welcome.slots.or(heard.slots);
        self.board.note_era(welcome.era);
        self.board.quarantine.merge(&welcome.crashes);
        self.board.rollouts.merge(&welcome.rollouts);
        self.look_back(&welcome.members, heard);
        self.membership.learn(&welcome.members, &welcome.usual);
    }

    /// Finds out how an earlier daemon at this address ended: the latest word of it counts.
    fn look_back(&self, members: &[Member], heard: &mut Heard) {
        let me = self.membership.me();
        // Entries between the birth of this daemon and now are its own; those from the future
        // are of an earlier one whose clock was ahead.
        let own = self.membership.born()..=me.incarnation;
        let told = members
            .iter()
            .find(|known| known.peer == me.peer && !own.contains(&known.incarnation));
        let word = |member: &Member| (member.incarnation, member.health);
        if let Some(told) = told
            && heard
                .earlier
                .as_ref()
                .is_none_or(|known| word(known) < word(told))
        {
            heard.earlier = Some(told.clone());
        }
        let earlier = heard.earlier.as_ref();
        let lost = earlier.is_some_and(|known| known.health != Health::Left);
        self.keys.set_predecessor_lost(lost);
    }
}

/// What a peer that was asked came to.
pub type Answer = (SocketAddr, Result<Welcome>);

/// Peers that a starting daemon asks side by side.
///
/// Guards against a peer that is silent: after a loss of power a few of those that are asked are
/// mostly still dark, and a daemon that waits for them before it takes the others' welcomes refuses its
/// callers for as long.
#[derive(Debug)]
pub struct Round {
    greeting: Arc<Greeting>,
    asked: Vec<SocketAddr>,
    open: usize,
    sender: mpsc::Sender<Answer>,
    answers: mpsc::Receiver<Answer>,
}

impl Round {
    /// Nobody has been asked yet.
    #[must_use]
    pub fn new(greeting: &Arc<Greeting>) -> Self {
        let (sender, answers) = mpsc::channel(GREETERS);
        Self {
            greeting: Arc::clone(greeting),
            asked: vec![greeting.board.settings.identity()],
            open: 0,
            sender,
            answers,
        }
    }

    /// Whether an answer is still to come.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Asks a few of `peers` that were not asked yet, mostly of the data centre `home`.
    pub fn ask_few(&mut self, mut peers: Listed, home: &DataCentre) {
        peers.retain(|(peer, _)| !self.asked.contains(peer));
        self.ask(greeters(peers, home));
    }

    /// Asks all of `peers`.
    pub fn ask(&mut self, peers: Vec<SocketAddr>) {
        for peer in peers {
            self.asked.push(peer);
            self.open += 1;
            let (greeting, sender) = (Arc::clone(&self.greeting), self.sender.clone());
            tokio::spawn(async move {
                let answer = greeting.ask(peer).await;
                // The daemon may have ended meanwhile.
                let _ = sender.send((peer, answer)).await;
            });
        }
    }

    /// Takes the answers that are still to come.
    pub async fn finish(mut self, mut heard: Heard) {
        while self.is_open() {
            if let (peer, Ok(welcome)) = self.next().await {
                self.greeting.take(peer, &welcome, &mut heard);
            }
        }
    }

    /// Waits for the next answer.
    pub async fn next(&mut self) -> Answer {
        match self.answers.recv().await {
            Some(answer) => {
                self.open -= 1;
                answer
            }
            // Not reached, as the round holds a sender.
            None => std::future::pending().await,
        }
    }
}
