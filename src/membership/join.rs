//! Start of a daemon: finds contacts, joins, and waits for a recent enough configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::backoff::Backoff;
use crate::clock;
use crate::configuration::control_plane::ControlPlane;
use crate::configuration::reader::Reader;
use crate::configuration::readiness::Requirement;
use crate::configuration::relay::jitter;
use crate::configuration::store::Store;
use crate::error::Result;
use crate::membership::announce::Endpoint;
use crate::membership::contacts::{Contacts, RENEWAL_INTERVAL};
use crate::membership::controller::Membership;
use crate::membership::join_client::{JoinClient, Requests, Welcomes};
use crate::membership::member::Stage;
use crate::membership::registration::Registration;
use crate::membership::seeds::{Peers, choose_seeds};
use crate::quarantine::archive::Archive;
use crate::shared_state::SharedState;
use crate::units::{DataCentre, Millis, Offset, Version};

/// Responses after which a daemon sends no more join requests, if a control plane lists daemons: when many start
/// at once, each of them would otherwise be sent the view of every other one.
const ENOUGH_WELCOMES: usize = 4;
/// Pause between two rounds of requests while the daemon is not ready.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Pauses after failed calls to the control plane: a daemon that has dropped off the list during an outage is
/// listed again within two seconds.
const RETRY_BACKOFF: Backoff = Backoff::new(ROUND_PAUSE, Duration::from_secs(2));
/// Time in which a daemon that starts expects its peers to send the configuration; a fetch from one of them takes
/// a small part of it. Listed daemons read it at once.
const PEER_GRACE: Duration = Duration::from_secs(1);
/// Time between two first reads of the configuration over all known daemons, when they start at once and nobody
/// sends it: one that has read it propagates it to the others in less time than all of them would take to read.
const READ_SPACING: Duration = Duration::from_millis(10);
/// Time that a read waits for the first version while there is none.
const FIRST_VERSION_WAIT: Millis = Millis(1_500);
/// Time over which listed daemons spread their renewed registrations.
const REREGISTRATION_SPREAD: Duration = Duration::from_secs(1);
/// Time between two reads of the list by a daemon that knows no other one; each read doubles it.
const ISOLATED_PAUSE: Duration = Duration::from_secs(2);

/// Brings a daemon from its start to serving, and keeps its contacts up to date.
#[derive(Debug)]
pub struct Joiner {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Store of the active configuration.
    pub store: Arc<Store>,
    /// Membership controller.
    pub membership: Arc<Membership>,
    /// Client for join requests.
    pub join_client: Arc<JoinClient>,
    /// Reader of the source.
    pub reader: Arc<Reader>,
    /// List of contacts on the log.
    pub contacts: Contacts,
    /// Control plane, if one keeps the configuration and lists daemons.
    pub control_plane: Option<Arc<dyn ControlPlane>>,
    /// Stored quarantine records.
    pub archive: Archive,
    /// Endpoint that finds the target of a daemon that was killed.
    pub endpoint: Arc<Endpoint>,
}

impl Joiner {
    /// Joins, waits for a recent enough configuration, then serves and keeps contacts for as long as the daemon
    /// runs.
    pub async fn run(self: Arc<Self>) {
        // Spreads the requests when a whole data centre comes back.
        tokio::time::sleep(jitter(ROUND_PAUSE)).await;
        let Some(control_plane) = self.control_plane.clone() else {
            self.start_from_log().await;
            self.restore_quarantine().await;
            self.serve().await;
            self.contacts.maintain().await;
            return;
        };
        let registration = Registration::new(Arc::clone(&self.shared), control_plane);
        let listed = self.start_from_control_plane(&registration).await;
        self.serve().await;
        self.join_late_peers(listed).await;
        if self.is_alone() {
            // If those read first from the list are gone for good, this daemon knows nobody, and nobody learns
            // of it unless it is listed. After an error the next round tries again.
            self.join_unknown(registration.register_and_read().await.unwrap_or_default())
                .await;
        }
        self.maintain_registration(&registration).await;
    }

    /// Restores the stored quarantine records. If the log is unavailable, peers have already sent them.
    async fn restore_quarantine(&self) {
        match self.archive.load().await {
            Ok(records) => self.shared.quarantine.restore(&records, clock::unix_ms()),
            Err(error) => {
                warn!(self.shared.logger, "cannot read quarantine records"; "error" => %error);
            }
        }
    }

    /// Starts to serve, unless a shutdown has been requested meanwhile.
    async fn serve(&self) {
        if self.shared.stage() == Stage::Starting {
            self.shared.advance(Stage::Serving);
            self.membership.publish_own_entry().await;
            info!(self.shared.logger, "serving"; "version" => self.shared.digest().version.0);
        }
    }

    /// Waits for a recent enough configuration, where a control plane has already accepted the versions.
    ///
    /// The list of daemons and the configuration are read concurrently, and peers that become known are asked at
    /// once, so that nothing waits for a time-out while the control plane is unavailable. Returns the channel on
    /// which the list will arrive if it has not arrived yet.
    async fn start_from_control_plane(
        self: &Arc<Self>,
        registration: &Registration,
    ) -> mpsc::Receiver<Peers> {
        let deadline =
            tokio::time::Instant::now() + self.shared.settings.log_patience_ms.duration();
        let mut list_received = false;
        let mut welcomes = Welcomes::default();
        let mut requests = Requests::new(&self.join_client);
        requests.ask(self.shared.settings.contacts.clone());
        let mut rosters = self.shared.rosters();
        let mut versions = self.shared.versions();
        let mut stages = self.shared.stages();
        let (sender, mut listed) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).discover(registration.clone(), sender));
        let mut pauses = RETRY_BACKOFF;
        let mut reading = self.read_in_place_of_peers();
        let mut read = false;
        while self.shared.stage() == Stage::Starting {
            let late = tokio::time::Instant::now() >= deadline;
            let version = self.shared.digest().version;
            let has_version = version > Version(0) && version >= welcomes.requirement.version();
            // Responses of peers contain the targets that this daemon's callers need, and what its own target
            // offered.
            let waits_for_welcome =
                welcomes.count == 0 && (!list_received || requests.is_pending()) && !late;
            let peers_suffice = (list_received || late)
                && welcomes
                    .requirement
                    .is_met_by_peers(version, self.count_data_centres());
            if has_version && !waits_for_welcome && (read || peers_suffice) {
                break;
            }
            let mut candidates = Vec::new();
            tokio::select! {
                result = &mut reading => {
                    read = result.is_ok();
                    reading = if read {
                        self.read_in_place_of_peers()
                    } else {
                        self.read_after(pauses.next_delay())
                    };
                }
                Some(peers) = listed.recv() => {
                    list_received = true;
                    if self.is_listed(&peers) {
                        reading = self.read_after(Duration::ZERO);
                    }
                    candidates = peers;
                }
                (peer, response) = requests.next() => {
                    if let Ok(welcome) = response {
                        self.join_client.apply(peer, &welcome, &mut welcomes);
                    }
                }
                _ = rosters.changed() => candidates = self.known_peers(),
                _ = versions.changed() => {}
                () = tokio::time::sleep_until(deadline), if !late => {
                    warn!(self.shared.logger, "not ready yet: no configuration known to be recent enough"; "version" => version.0, "read" => read);
                }
                _ = stages.wait_for(|stage| *stage != Stage::Starting) => break,
            }
            if welcomes.count < ENOUGH_WELCOMES {
                requests.ask_seeds(candidates, &self.shared.settings.data_centre);
            }
        }
        if !self.shared.settings.first_start {
            self.endpoint.discover_target(welcomes.slots()).await;
        }
        tokio::spawn(requests.finish(welcomes));
        listed
    }

    /// Joins daemons of a list that arrived after this one had begun to serve.
    ///
    /// If the control plane responds late while this daemon starts, it has a configuration but no other daemon's
    /// target. It refused every caller until the list was read the next time, minutes later.
    async fn join_late_peers(&self, mut listed: mpsc::Receiver<Peers>) {
        if let Some(peers) = listed.recv().await {
            self.join_unknown(peers).await;
        }
    }

    /// Joins through a few of `peers` that are not members yet, and through others if none of those responds,
    /// since a list may be full of hosts that are gone.
    async fn join_unknown(&self, mut peers: Peers) {
        let roster = self.shared.roster();
        peers.retain(|(peer, _)| roster.member(*peer).is_none());
        let mut welcomes = Welcomes::default();
        while !peers.is_empty() {
            let candidates = choose_seeds(peers.clone(), &self.shared.settings.data_centre);
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
        self.shared.roster().members.len() <= 1
    }

    /// Reads the newest version after a pause, or waits a while for one.
    fn read_after(self: &Arc<Self>, pause: Duration) -> BoxFuture<'static, Result<Offset>> {
        let reader = Arc::clone(&self.reader);
        Box::pin(async move {
            tokio::time::sleep(pause).await;
            reader.read_once(FIRST_VERSION_WAIT).await
        })
    }

    /// Reads the newest version unless peers send it first.
    ///
    /// The pause grows with the number of known daemons, so that the reads of daemons that start at once do not.
    fn read_in_place_of_peers(self: &Arc<Self>) -> BoxFuture<'static, Result<Offset>> {
        let joiner = Arc::clone(self);
        Box::pin(async move {
            tokio::time::sleep(PEER_GRACE).await;
            let members = joiner.shared.roster().members.len();
            let spread = READ_SPACING.saturating_mul(u32::try_from(members).unwrap_or(u32::MAX));
            joiner.read_after(jitter(spread)).await
        })
    }

    /// Whether this daemon is one of those that the others join through.
    fn is_listed(&self, peers: &Peers) -> bool {
        let me = self.shared.settings.identity();
        self.shared.is_registered() || peers.iter().any(|(peer, _)| *peer == me)
    }

    /// Sends the list of daemons to `found` as soon as the control plane returns it.
    async fn discover(self: Arc<Self>, registration: Registration, found: mpsc::Sender<Peers>) {
        let mut pauses = RETRY_BACKOFF;
        while !self.shared.stage().is_stopping() {
            if let Ok(listed) = registration.discover().await {
                // The receiver may be gone: it may have found other peers meanwhile.
                let _ = found.send(listed).await;
                return;
            }
            tokio::time::sleep(pauses.next_delay()).await;
        }
    }

    /// Members that are not gone, as far as known.
    fn known_peers(&self) -> Peers {
        let roster = self.shared.roster();
        let members = roster.members.iter();
        members.map(|m| (m.peer, m.data_centre.clone())).collect()
    }

    /// Keeps enough daemons listed, and joins those that were listed meanwhile.
    async fn maintain_registration(&self, registration: &Registration) {
        let mut pause_when_alone = ISOLATED_PAUSE;
        let mut generations = self.shared.generations();
        loop {
            // Waits first, since the list has just been read.
            let pause = RENEWAL_INTERVAL / 2 + jitter(RENEWAL_INTERVAL);
            let is_alone = self.is_alone();
            let pause = if is_alone {
                pause.min(pause_when_alone)
            } else {
                pause
            };
            let waiting = tokio::time::timeout(pause, generations.changed());
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
            // After an error the next round tries again.
            self.join_unknown(listed.unwrap_or_default()).await;
        }
    }

    /// Lists this daemon again if it was listed before.
    ///
    /// A control plane that was restored from an older copy may list too few daemons, so that one that starts and
    /// knows no other would find nobody. Only daemons that were listed do this, each after a random pause, so
    /// that the load on the control plane does not grow with the fleet.
    async fn register_again(&self, registration: &Registration) {
        let mut pauses = RETRY_BACKOFF;
        tokio::time::sleep(jitter(REREGISTRATION_SPREAD)).await;
        while self.shared.is_registered() && !self.shared.stage().is_stopping() {
            if registration.register().await.is_ok() {
                return;
            }
            tokio::time::sleep(pauses.next_delay()).await;
        }
    }

    async fn start_from_log(&self) {
        let began = Instant::now();
        let mut welcomes = Welcomes::default();
        let mut warned = false;
        while self.shared.stage() == Stage::Starting {
            let contacts = self.seed_addresses().await;
            self.join_client.join_through(contacts, &mut welcomes).await;
            let requirement = &mut welcomes.requirement;
            let log_read = self.read_log(requirement).await;
            let version = self.shared.digest().version;
            if log_read && requirement.is_met_by_log(version, self.store.next()) {
                return;
            }
            let before_deadline = began.elapsed() < self.shared.settings.log_patience_ms.duration();
            if !log_read
                && !before_deadline
                && requirement.is_met_by_peers(version, self.count_data_centres())
            {
                warn!(self.shared.logger, "the log is unavailable; using the configuration of peers"; "version" => version.0);
                return;
            }
            if !before_deadline && !warned {
                warned = true;
                warn!(
                    self.shared.logger,
                    "not ready yet: neither the log nor enough peers respond"
                );
            }
            tokio::time::sleep(ROUND_PAUSE + jitter(ROUND_PAUSE)).await;
        }
    }

    /// Reads the log to its head; returns `false` while it is unavailable.
    async fn read_log(&self, requirement: &mut Requirement) -> bool {
        loop {
            let Ok(head) = self.reader.read_once(Millis(0)).await else {
                return false;
            };
            requirement.set_log_head(head);
            if self.store.next() >= head {
                return true;
            }
        }
    }

    /// Addresses to join through: known members and the contacts of the settings, or of the log if there are none
    /// in the settings.
    async fn seed_addresses(&self) -> Vec<SocketAddr> {
        let me = self.shared.settings.identity();
        let roster = self.shared.roster();
        let known = roster.members.iter().map(|member| member.peer);
        let mut contacts: Vec<SocketAddr> =
            known.chain(self.shared.settings.contacts.clone()).collect();
        if self.shared.settings.contacts.is_empty() {
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
        let roster = self.shared.roster();
        let mut names: Vec<&DataCentre> = roster.members.iter().map(|m| &m.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}
