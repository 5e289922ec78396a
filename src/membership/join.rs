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
use crate::membership::announce::Endpoint;
use crate::membership::contacts::{Contacts, RENEWAL_INTERVAL};
use crate::membership::controller::Membership;
use crate::membership::join_client::{JoinClient, Requests, Welcomes};
use crate::membership::member::Stage;
use crate::membership::registration::Registration;
use crate::membership::seeds::{Peers, choose_seeds};
use crate::quarantine::archive::Archive;
use crate::units::{DataCentre, Millis, Offset, Version};

/// Welcomes after which a joiner asks nobody else while a platform lists daemons: in a joint start
/// of many each of them would otherwise be sent the view of every other one.
const ENOUGH_WELCOMES: usize = 8;
/// Pause between two rounds while no floor has been reached.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Pauses after calls to the platform that failed: who lapsed from the list while it was away is back
/// within two seconds.
const RETRY_BACKOFF: Backoff = Backoff::new(ROUND_PAUSE, Duration::from_secs(2));
/// Time between two first reads of the configuration in a joint start, over all daemons that are known:
/// whoever has read it tells the others in less time than all of them would take to read.
const READ_SPACING: Duration = Duration::from_millis(10);
/// Time that a read waits for the first version while there is none.
const FIRST_VERSION_WAIT: Millis = Millis(1_500);
/// Time over which listed daemons list themselves again.
const REREGISTRATION_SPREAD: Duration = Duration::from_secs(1);
/// Time between two looks at the list for a daemon that knows nobody; each look doubles it.
const ISOLATED_PAUSE: Duration = Duration::from_secs(2);

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
    pub join_client: Arc<JoinClient>,
    /// Reads the log.
    pub reader: Arc<Reader>,
    /// The log's list of contacts.
    pub contacts: Contacts,
    /// The platform, where it keeps the configuration and lists daemons.
    pub origin: Option<Arc<dyn Origin>>,
    /// What is kept of requests in quarantine.
    pub archive: Archive,
    /// Finds the target of a daemon that was killed.
    pub endpoint: Arc<Endpoint>,
}

impl Joiner {
    /// Joins, waits for the floor, then serves and keeps contacts for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        // A whole data centre that comes back must not ask in the same instant.
        tokio::time::sleep(jitter(ROUND_PAUSE)).await;
        let Some(origin) = self.origin.clone() else {
            self.start_from_log().await;
            self.restore_quarantine().await;
            self.serve().await;
            self.contacts.maintain().await;
            return;
        };
        let registration = Registration::new(Arc::clone(&self.board), origin);
        let listed = self.start_from_control_plane(&registration).await;
        self.serve().await;
        self.join_late_peers(listed).await;
        if self.is_alone() {
            // Guards against a list on which those that are read first are gone for good: this daemon
            // would know nobody, and nobody would learn of it. An error leaves it for the next look.
            self.join_unknown(registration.register_and_read().await.unwrap_or_default())
                .await;
        }
        self.maintain_registration(&registration).await;
    }

    /// Takes in what is kept of requests in quarantine. With the log away, the peers have told it.
    async fn restore_quarantine(&self) {
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
            self.membership.publish_own_entry().await;
            info!(self.board.logger, "serving"; "version" => self.board.digest().version.0);
        }
    }

    /// Reaches the floor where the platform has accepted the versions already.
    ///
    /// The list of daemons and the configuration are read side by side, and peers that make
    /// themselves known are asked at once: with the platform away, nothing waits for a time-out.
    /// Returns where the list is still to come from, if it has not come.
    async fn start_from_control_plane(
        self: &Arc<Self>,
        registration: &Registration,
    ) -> mpsc::Receiver<Peers> {
        let deadline = tokio::time::Instant::now() + self.board.settings.log_patience_ms.duration();
        let mut list_received = false;
        let mut welcomes = Welcomes::default();
        let mut requests = Requests::new(&self.join_client);
        requests.ask(self.board.settings.contacts.clone());
        let mut rosters = self.board.rosters();
        let mut versions = self.board.versions();
        let mut stages = self.board.stages();
        let (sender, mut listed) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).discover(registration.clone(), sender));
        let mut pauses = RETRY_BACKOFF;
        let mut reading = self.read_after(ROUND_PAUSE);
        let mut read = false;
        while self.board.stage() == Stage::Starting {
            let late = tokio::time::Instant::now() >= deadline;
            let version = self.board.digest().version;
            let has_version = version > Version(0) && version >= welcomes.floor.version();
            // Peers have the targets that this daemon's callers need, and remember what its own
            // target offered.
            let waits_for_welcome =
                welcomes.count == 0 && (!list_received || requests.is_pending()) && !late;
            let peers_suffice = (list_received || late)
                && welcomes
                    .floor
                    .met_by_peers(version, self.count_data_centres());
            if has_version && !waits_for_welcome && (read || peers_suffice) {
                break;
            }
            let mut candidates = Vec::new();
            tokio::select! {
                result = &mut reading => {
                    read = result.is_ok();
                    let pause = if read {
                        read_delay(self.board.roster().members.len())
                    } else {
                        pauses.random_pause()
                    };
                    reading = self.read_after(pause);
                }
                Some(peers) = listed.recv() => {
                    list_received = true;
                    reading = self.read_after(read_delay(peers.len()));
                    candidates = peers;
                }
                (peer, answer) = requests.next() => {
                    if let Ok(welcome) = answer {
                        self.join_client.apply(peer, &welcome, &mut welcomes);
                    }
                }
                _ = rosters.changed() => candidates = self.known_peers(),
                _ = versions.changed() => {}
                () = tokio::time::sleep_until(deadline), if !late => {
                    warn!(self.board.logger, "no floor yet"; "version" => version.0, "read" => read);
                }
                _ = stages.wait_for(|stage| *stage != Stage::Starting) => break,
            }
            if welcomes.count < ENOUGH_WELCOMES {
                requests.ask_seeds(candidates, &self.board.settings.data_centre);
            }
        }
        if !self.board.settings.first_start {
            self.endpoint.discover_target(welcomes.slots()).await;
        }
        tokio::spawn(requests.finish(welcomes));
        listed
    }

    /// Meets daemons of a list that came after this one had begun to serve.
    ///
    /// Guards against a platform that answers late while this daemon starts: it has a configuration,
    /// but nobody else's target, and refused every caller until the list was looked at the next
    /// time, minutes later.
    async fn join_late_peers(&self, mut listed: mpsc::Receiver<Peers>) {
        if let Some(peers) = listed.recv().await {
            self.join_unknown(peers).await;
        }
    }

    /// Joins through a few of `peers` that are not known yet; through others where none of those
    /// answers, since a list may be full of hosts that are gone.
    async fn join_unknown(&self, mut peers: Peers) {
        let roster = self.board.roster();
        peers.retain(|(peer, _)| roster.member(*peer).is_none());
        let mut welcomes = Welcomes::default();
        while !peers.is_empty() {
            let candidates = choose_seeds(peers.clone(), &self.board.settings.data_centre);
            peers.retain(|(peer, _)| !candidates.contains(peer));
            if self
                .join_client
                .join_through(candidates, &mut welcomes)
                .await
                > 0
            {
                return;
            }
        }
    }

    /// Whether no other daemon is known.
    fn is_alone(&self) -> bool {
        self.board.roster().members.len() <= 1
    }

    /// Reads the newest version, or waits a while for one, after a pause.
    fn read_after(self: &Arc<Self>, pause: Duration) -> BoxFuture<'static, Result<Offset>> {
        let reader = Arc::clone(&self.reader);
        Box::pin(async move {
            tokio::time::sleep(pause).await;
            reader.turn(FIRST_VERSION_WAIT).await
        })
    }

    /// Tells who is listed, as soon as the platform does.
    async fn discover(self: Arc<Self>, registration: Registration, found: mpsc::Sender<Peers>) {
        let mut pauses = RETRY_BACKOFF;
        while !self.board.stage().is_stopping() {
            if let Ok(listed) = registration.discover().await {
                // Whoever waited for them may have found others meanwhile.
                let _ = found.send(listed).await;
                return;
            }
            tokio::time::sleep(pauses.random_pause()).await;
        }
    }

    /// Members that are there, as far as known.
    fn known_peers(&self) -> Peers {
        let roster = self.board.roster();
        let members = roster.members.iter();
        members.map(|m| (m.peer, m.data_centre.clone())).collect()
    }

    /// Keeps enough daemons listed, and meets those that were listed meanwhile.
    async fn maintain_registration(&self, registration: &Registration) {
        let mut pause_when_alone = ISOLATED_PAUSE;
        let mut eras = self.board.eras();
        loop {
            // It has just read who was listed before it.
            let pause = RENEWAL_INTERVAL / 2 + jitter(RENEWAL_INTERVAL);
            let is_alone = self.is_alone();
            let pause = if is_alone {
                pause.min(pause_when_alone)
            } else {
                pause
            };
            let waiting = tokio::time::timeout(pause, eras.changed());
            if waiting.await.is_ok_and(|changed| changed.is_ok()) {
                self.register_again(registration).await;
                continue;
            }
            let listed = if is_alone {
                pause_when_alone *= 2;
                registration.register_and_read().await
            } else {
                registration.maintain().await
            };
            // An error leaves it for the next round.
            self.join_unknown(listed.unwrap_or_default()).await;
        }
    }

    /// Lists this daemon once more if it was listed before.
    ///
    /// Guards against a platform that comes back from a copy of before that: with too few daemons on the
    /// list, one that starts alone in its view would find nobody. Those that were listed do it alone, each
    /// after a random pause, so the calls fit the platform however large the fleet is.
    async fn register_again(&self, registration: &Registration) {
        let mut pauses = RETRY_BACKOFF;
        tokio::time::sleep(jitter(REREGISTRATION_SPREAD)).await;
        while self.board.is_listed() && !self.board.stage().is_stopping() {
            if registration.register().await.is_ok() {
                return;
            }
            tokio::time::sleep(pauses.random_pause()).await;
        }
    }

    async fn start_from_log(&self) {
        let began = Instant::now();
        let mut welcomes = Welcomes::default();
        let mut warned = false;
        while self.board.stage() == Stage::Starting {
            let contacts = self.seed_addresses().await;
            self.join_client.join_through(contacts, &mut welcomes).await;
            let floor = &mut welcomes.floor;
            let log_read = self.read_log(floor).await;
            let version = self.board.digest().version;
            if log_read && floor.met_by_log(version, self.store.next()) {
                return;
            }
            let before_deadline = began.elapsed() < self.board.settings.log_patience_ms.duration();
            if !log_read
                && !before_deadline
                && floor.met_by_peers(version, self.count_data_centres())
            {
                warn!(self.board.logger, "the log is away, peers decide"; "version" => version.0);
                return;
            }
            if !before_deadline && !warned {
                warned = true;
                warn!(
                    self.board.logger,
                    "no floor yet: neither the log nor enough peers answer"
                );
            }
            tokio::time::sleep(ROUND_PAUSE + jitter(ROUND_PAUSE)).await;
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
    async fn seed_addresses(&self) -> Vec<SocketAddr> {
        let me = self.board.settings.identity();
        let roster = self.board.roster();
        let known = roster.members.iter().map(|member| member.peer);
        let mut contacts: Vec<SocketAddr> =
            known.chain(self.board.settings.contacts.clone()).collect();
        if self.board.settings.contacts.is_empty() {
            contacts.extend(
                self.contacts
                    .read_recent()
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

    fn count_data_centres(&self) -> usize {
        let roster = self.board.roster();
        let mut names: Vec<&DataCentre> = roster.members.iter().map(|m| &m.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}

/// Pause before a daemon that knows of `others` reads the configuration, unless one of them tells it
/// by then.
fn read_delay(others: usize) -> Duration {
    jitter(READ_SPACING.saturating_mul(u32::try_from(others).unwrap_or(u32::MAX)))
}
