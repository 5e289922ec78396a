//! Starting: find contacts, join, and reach a floor for the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::backoff::Backoff;
use crate::board::Board;
use crate::clock;
use crate::configuration::config::Store;
use crate::configuration::floor::Floor;
use crate::configuration::origin::Origin;
use crate::configuration::reader::Reader;
use crate::configuration::relay::jitter;
use crate::error::Result;
use crate::membership::announce::Desk;
use crate::membership::contacts::{Contacts, RENEWAL};
use crate::membership::greeters::{Listed, greeters};
use crate::membership::greeting::{Greeting, Heard, Round};
use crate::membership::listing::Listing;
use crate::membership::member::Stage;
use crate::membership::probe::Membership;
use crate::quarantine::archive::Archive;
use crate::units::{DataCentre, Millis, Offset, Version};

/// Welcomes after which a joiner asks nobody else while a platform lists daemons: in a joint start
/// of many each of them would otherwise be sent the view of every other one.
const WELCOMES: usize = 8;
/// Pause between two rounds while no floor has been reached.
const ROUND: Duration = Duration::from_millis(200);
/// Pauses after calls to the platform that failed: who lapsed from the list while it was away is back
/// within two seconds.
const PAUSES: Backoff = Backoff::new(ROUND, Duration::from_secs(2));
/// Time between two first reads of the configuration in a joint start, over all daemons that are known:
/// whoever has read it tells the others in less time than all of them would take to read.
const READ_SPACING: Duration = Duration::from_millis(10);
/// Time that a read waits for the first version while there is none.
const ORIGIN_WAIT: Millis = Millis(1_500);
/// Time over which listed daemons list themselves again.
const LIST_SPREAD: Duration = Duration::from_secs(1);
/// Time between two looks at the list for a daemon that knows nobody; each look doubles it.
const ALONE: Duration = Duration::from_secs(2);

/// Brings a daemon from its start to serving, and keeps contacts fresh.
#[derive(Debug)]
pub struct Joiner {
    /// The blackboard.
    pub board: Arc<Board>,
    /// What is in force.
    pub store: Arc<Store>,
    /// The membership view.
    pub membership: Arc<Membership>,
    /// Joins through peers.
    pub greeting: Arc<Greeting>,
    /// Reads the log.
    pub reader: Arc<Reader>,
    /// The log's list of contacts.
    pub contacts: Contacts,
    /// The platform, where it keeps the configuration and lists daemons.
    pub origin: Option<Arc<dyn Origin>>,
    /// What is kept of requests in quarantine.
    pub archive: Archive,
    /// Finds the target of a daemon that was killed.
    pub desk: Arc<Desk>,
}

impl Joiner {
    /// Joins, waits for the floor, then serves and keeps contacts for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        // A whole data centre that comes back must not ask in the same instant.
        tokio::time::sleep(jitter(ROUND)).await;
        let Some(origin) = self.origin.clone() else {
            self.reach_floor().await;
            self.recall().await;
            self.serve().await;
            self.contacts.keep().await;
            return;
        };
        let listing = Listing::new(Arc::clone(&self.board), origin);
        let listed = self.reach_origin(&listing).await;
        self.serve().await;
        self.meet_listed(listed).await;
        if self.is_alone() {
            // Guards against a list on which those that are read first are gone for good: this daemon
            // would know nobody, and nobody would learn of it. An error leaves it for the next look.
            self.meet(listing.enter().await.unwrap_or_default()).await;
        }
        self.keep_listed(&listing).await;
    }

    /// Takes in what is kept of requests in quarantine. With the log away, the peers have told it.
    async fn recall(&self) {
        match self.archive.recall().await {
            Ok(notes) => self.board.quarantine.recall(&notes, clock::unix_ms()),
            Err(error) => {
                warn!(self.board.logger, "notes of the quarantine can't be read"; "error" => %error);
            }
        }
    }

    /// Begins to serve, unless a stop has been ordered meanwhile.
    async fn serve(&self) {
        if self.board.stage() == Stage::Starting {
            self.board.advance(Stage::Serving);
            self.membership.reflect().await;
            info!(self.board.logger, "serving"; "version" => self.board.digest().version.0);
        }
    }

    /// Reaches the floor where the platform has accepted the versions already.
    ///
    /// The list of daemons and the configuration are read side by side, and peers that make
    /// themselves known are asked at once: with the platform away, nothing waits for a time-out.
    /// Returns where the list is still to come from, if it has not come.
    async fn reach_origin(self: &Arc<Self>, listing: &Listing) -> mpsc::Receiver<Listed> {
        let patience = tokio::time::Instant::now() + self.board.settings.log_patience_ms.duration();
        let mut told = false;
        let mut heard = Heard::default();
        let mut round = Round::new(&self.greeting);
        round.ask(self.board.settings.contacts.clone());
        let mut rosters = self.board.rosters();
        let mut versions = self.board.versions();
        let mut stages = self.board.stages();
        let (sender, mut listed) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).consult(listing.clone(), sender));
        let mut pauses = PAUSES;
        let mut reading = self.reading(ROUND);
        let mut read = false;
        while self.board.stage() == Stage::Starting {
            let late = tokio::time::Instant::now() >= patience;
            let have = self.board.digest().version;
            let known = have > Version(0) && have >= heard.floor.version();
            // Peers have the targets that this daemon's callers need, and remember what its own
            // target offered.
            let early = heard.welcomes == 0 && (!told || round.is_open()) && !late;
            let peers = (told || late) && heard.floor.met_by_peers(have, self.data_centres());
            if known && !early && (read || peers) {
                break;
            }
            let mut strangers = Vec::new();
            tokio::select! {
                result = &mut reading => {
                    read = result.is_ok();
                    let pause = if read {
                        turn_to_read(self.board.roster().members.len())
                    } else {
                        pauses.next_delay()
                    };
                    reading = self.reading(pause);
                }
                Some(peers) = listed.recv() => {
                    told = true;
                    reading = self.reading(turn_to_read(peers.len()));
                    strangers = peers;
                }
                (peer, answer) = round.next() => {
                    if let Ok(welcome) = answer {
                        self.greeting.take(peer, &welcome, &mut heard);
                    }
                }
                _ = rosters.changed() => strangers = self.known(),
                _ = versions.changed() => {}
                () = tokio::time::sleep_until(patience), if !late => {
                    warn!(self.board.logger, "no floor yet"; "version" => have.0, "read" => read);
                }
                _ = stages.wait_for(|stage| *stage != Stage::Starting) => break,
            }
            if heard.welcomes < WELCOMES {
                round.ask_few(strangers, &self.board.settings.data_centre);
            }
        }
        if !self.board.settings.first_start {
            self.desk.find_target(heard.slots()).await;
        }
        tokio::spawn(round.finish(heard));
        listed
    }

    /// Meets daemons of a list that came after this one had begun to serve.
    ///
    /// Guards against a platform that answers late while this daemon starts: it has a configuration,
    /// but nobody else's target, and refused every caller until the list was looked at the next
    /// time, minutes later.
    async fn meet_listed(&self, mut listed: mpsc::Receiver<Listed>) {
        if let Some(peers) = listed.recv().await {
            self.meet(peers).await;
        }
    }

    /// Joins through a few of `peers` that are not known yet; through others where none of those
    /// answers, since a list may be full of hosts that are gone.
    async fn meet(&self, mut peers: Listed) {
        let roster = self.board.roster();
        peers.retain(|(peer, _)| roster.member(*peer).is_none());
        let mut heard = Heard::default();
        while !peers.is_empty() {
            let strangers = greeters(peers.clone(), &self.board.settings.data_centre);
            peers.retain(|(peer, _)| !strangers.contains(peer));
            if self.greeting.greet_all(strangers, &mut heard).await > 0 {
                return;
            }
        }
    }

    /// Whether no other daemon is known.
    fn is_alone(&self) -> bool {
        self.board.roster().members.len() <= 1
    }

    /// Reads the newest version, or waits a while for one, after a pause.
    fn reading(self: &Arc<Self>, pause: Duration) -> BoxFuture<'static, Result<Offset>> {
        let reader = Arc::clone(&self.reader);
        Box::pin(async move {
            tokio::time::sleep(pause).await;
            reader.turn(ORIGIN_WAIT).await
        })
    }

    /// Tells who is listed, as soon as the platform does.
    async fn consult(self: Arc<Self>, listing: Listing, found: mpsc::Sender<Listed>) {
        let mut pauses = PAUSES;
        while !self.board.stage().is_stopping() {
            if let Ok(listed) = listing.consult().await {
                // Whoever waited for them may have found others meanwhile.
                let _ = found.send(listed).await;
                return;
            }
            tokio::time::sleep(pauses.next_delay()).await;
        }
    }

    /// Members that are there, as far as known.
    fn known(&self) -> Listed {
        let roster = self.board.roster();
        let members = roster.members.iter();
        members.map(|m| (m.peer, m.data_centre.clone())).collect()
    }

    /// Keeps enough daemons listed, and meets those that were listed meanwhile.
    async fn keep_listed(&self, listing: &Listing) {
        let mut alone = ALONE;
        let mut eras = self.board.eras();
        loop {
            // It has just read who was listed before it.
            let pause = RENEWAL / 2 + jitter(RENEWAL);
            let is_alone = self.is_alone();
            let pause = if is_alone { pause.min(alone) } else { pause };
            let waiting = tokio::time::timeout(pause, eras.changed());
            if waiting.await.is_ok_and(|changed| changed.is_ok()) {
                self.list_again(listing).await;
                continue;
            }
            let listed = if is_alone {
                alone *= 2;
                listing.enter().await
            } else {
                listing.tend().await
            };
            // An error leaves it for the next round.
            self.meet(listed.unwrap_or_default()).await;
        }
    }

    /// Lists this daemon once more if it was listed before.
    ///
    /// Guards against a platform that comes back from a copy of before that: with too few daemons on the
    /// list, one that starts alone in its view would find nobody. Those that were listed do it alone, each
    /// after a random pause, so the calls fit the platform however large the fleet is.
    async fn list_again(&self, listing: &Listing) {
        let mut pauses = PAUSES;
        tokio::time::sleep(jitter(LIST_SPREAD)).await;
        while self.board.is_listed() && !self.board.stage().is_stopping() {
            if listing.list().await.is_ok() {
                return;
            }
            tokio::time::sleep(pauses.next_delay()).await;
        }
    }

    async fn reach_floor(&self) {
        let began = Instant::now();
        let mut heard = Heard::default();
        let mut warned = false;
        while self.board.stage() == Stage::Starting {
            let contacts = self.addresses().await;
            self.greeting.greet_all(contacts, &mut heard).await;
            let floor = &mut heard.floor;
            let log_read = self.read_log(floor).await;
            let have = self.board.digest().version;
            if log_read && floor.met_by_log(have, self.store.next()) {
                return;
            }
            let patient = began.elapsed() < self.board.settings.log_patience_ms.duration();
            if !log_read && !patient && floor.met_by_peers(have, self.data_centres()) {
                warn!(self.board.logger, "the log is away, peers decide"; "version" => have.0);
                return;
            }
            if !patient && !warned {
                warned = true;
                warn!(
                    self.board.logger,
                    "no floor yet: neither the log nor enough peers answer"
                );
            }
            tokio::time::sleep(ROUND + jitter(ROUND)).await;
        }
    }

    /// Reads the log to its head; `false` while it is away.
    async fn read_log(&self, floor: &mut Floor) -> bool {
        loop {
            let Ok(head) = self.reader.turn(Millis(0)).await else {
                return false;
            };
            floor.read_head(head);
            if self.store.next() >= head {
                return true;
            }
        }
    }

    /// A few addresses to join through: known members, settings, then the log's contacts.
    async fn addresses(&self) -> Vec<SocketAddr> {
        let me = self.board.settings.identity();
        let roster = self.board.roster();
        let known = roster.members.iter().map(|member| member.peer);
        let mut contacts: Vec<SocketAddr> =
            known.chain(self.board.settings.contacts.clone()).collect();
        if self.board.settings.contacts.is_empty() {
            contacts.extend(
                self.contacts
                    .listed()
                    .await
                    .into_iter()
                    .map(|contact| contact.peer),
            );
        }
        contacts.sort_unstable();
        contacts.dedup();
        contacts.retain(|peer| *peer != me);
        contacts
    }

    fn data_centres(&self) -> usize {
        let roster = self.board.roster();
        let mut names: Vec<&DataCentre> = roster.members.iter().map(|m| &m.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}

/// Pause before a daemon that knows of `others` reads the configuration, unless one of them tells it
/// by then.
fn turn_to_read(others: usize) -> Duration {
    jitter(READ_SPACING.saturating_mul(u32::try_from(others).unwrap_or(u32::MAX)))
}
