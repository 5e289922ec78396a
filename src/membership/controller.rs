//! Membership controller: runs the view, sends its datagrams and builds the roster from it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{debug, info};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::configuration::relay::Relay;
use crate::error::{ListenSnafu, Result};
use crate::membership::datagram::{Datagram, Join, Message, Welcome};
use crate::membership::entries::Entry;
use crate::membership::member::{Health, Member, Offer, Stage};
use crate::membership::member_count::Throttle;
use crate::membership::rebuild::Spacing;
use crate::membership::roster::{Departed, Location, Roster};
use crate::membership::timing::Timing;
use crate::membership::view::{Effects, Send, View};
use crate::rollout::stable::Revisions;
use crate::settings::{Delivery, Settings};
use crate::shared_state::SharedState;
use crate::units::{Incarnation, Millis, Revision, Service};
use crate::{clock, wire};

/// Ticks of the view in one probe period.
const TICKS_PER_PERIOD: u64 = 5;

/// Controller of the membership view.
#[derive(Debug)]
pub struct Membership {
    shared: Arc<SharedState>,
    relay: Arc<Relay>,
    socket: UdpSocket,
    initial_incarnation: Incarnation,
    state: Mutex<State>,
    /// Notified when a rebuild of the roster has to wait.
    outdated: Notify,
}

#[derive(Debug)]
pub(super) struct State {
    pub view: View,
    pub rng: SmallRng,
    /// When all known target crashes and rollouts were last sent to a peer.
    pub last_full_sync: Option<Instant>,
    /// Stable revision of each service.
    stable_revisions: Revisions,
    rebuilds: Spacing,
    /// Until when a rebuild of the roster waits; none if the roster is up to date.
    rebuild_at: Option<Instant>,
}

impl Membership {
    /// Opens the socket for datagrams.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) if the address cannot be bound.
    pub async fn open(shared: Arc<SharedState>, relay: Arc<Relay>) -> Result<Self> {
        let settings = &shared.settings;
        let address = settings.peer_addr;
        let socket = UdpSocket::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let me = initial_member(settings);
        let initial_incarnation = me.incarnation;
        let view = View::new(me, timing(settings));
        let rng = SmallRng::from_rng(&mut rand::rng());
        let state = Mutex::new(State {
            view,
            rng,
            last_full_sync: None,
            stable_revisions: Revisions::default(),
            rebuilds: Spacing::default(),
            rebuild_at: None,
        });
        let membership = Self {
            shared,
            relay,
            socket,
            initial_incarnation,
            state,
            outdated: Notify::new(),
        };
        membership.rebuild_roster(&mut membership.state());
        Ok(membership)
    }

    /// Sends and answers probes for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let receiver = Arc::clone(&self);
        tokio::spawn(async move { receiver.receive().await });
        let announcer = Arc::clone(&self);
        tokio::spawn(async move { announcer.announce_version().await });
        let publisher = Arc::clone(&self);
        tokio::spawn(async move { publisher.publish_retirements().await });
        let voucher = Arc::clone(&self);
        tokio::spawn(async move { voucher.send_watermark().await });
        let period = self.shared.settings.probe_period_ms;
        let builder = Arc::clone(&self);
        tokio::spawn(async move { builder.rebuild_outdated().await });
        let mut throttle = Throttle::default();
        let mut ticks =
            tokio::time::interval(Millis((period.0 / TICKS_PER_PERIOD).max(1)).duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.publish_own_entry().await;
            self.close_idle_links();
            let live = self.shared.roster().members.len();
            if let Some(before) = throttle.due(Instant::now(), live) {
                info!(self.shared.logger, "members"; "live" => live, "before" => before);
            }
            let effects = {
                let mut guard = self.state();
                self.refresh_view(&mut guard);
                let State { view, rng, .. } = &mut *guard;
                let effects = view.tick(Instant::now(), rng);
                self.rebuild_if_changed(&mut guard, &effects);
                effects
            };
            self.apply_effects(effects).await;
        }
    }

    /// Publishes the own entry as soon as a response has shown that the target is leaving.
    async fn publish_retirements(&self) {
        loop {
            self.shared.target_retired().await;
            self.publish_own_entry().await;
        }
    }

    fn close_idle_links(&self) {
        for (_, upstream) in self.shared.roster().all_upstreams() {
            upstream.link.close_idle();
        }
    }

    /// Updates the own entry from the shared state, and sends it to peers if it has changed.
    pub async fn publish_own_entry(&self) {
        let stage = self.shared.stage();
        let now = Instant::now();
        let departures = self.shared.processes().shared_departures();
        let target = self
            .shared
            .target()
            .filter(|target| now < target.lease_until);
        let sends = {
            let mut guard = self.state();
            let State { view, rng, .. } = &mut *guard;
            let closed = |offer| Offer {
                open: false,
                ..offer
            };
            let offer = match &target {
                Some(target) => Some(target.offer()),
                None => view.me().offer.clone().map(closed),
            };
            let sends = view.update(stage, offer, departures, rng);
            if !sends.is_empty() || view.me().incarnation != self.published_incarnation(view) {
                self.rebuild_roster(&mut guard);
            }
            sends
        };
        self.send(sends).await;
    }

    /// Notifies other members that this daemon leaves.
    pub async fn leave(&self, health: Health) {
        let sends = {
            let mut guard = self.state();
            let State { view, rng, .. } = &mut *guard;
            view.leave(health, rng)
        };
        self.send(sends).await;
    }

    /// Adds a joining daemon to the view and returns the response to it.
    #[must_use]
    pub fn welcome(&self, join: &Join) -> Welcome {
        let mut guard = self.state();
        let highest_version = guard.view.highest_version(join.member.peer);
        let slots = guard.view.slots(join.member.peer);
        let departures = guard.view.departures(join.member.peer);
        // Taken before the join is merged, so that the joining daemon sees the entry that exists for its
        // address and can refute it.
        let members = guard.view.members();
        if guard.view.merge(Instant::now(), &join.member) {
            self.request_rebuild(&mut guard);
        }
        Welcome {
            members,
            digest: self.shared.digest(),
            highest_version,
            slots,
            departures,
            crashes: self.shared.quarantine.snapshot(),
            rollouts: self.shared.rollouts.snapshot(),
            generation: self.shared.generation(),
            stable_revisions: guard.stable_revisions.snapshot(),
        }
    }

    /// Merges the view of a peer, and adopts its stable revisions.
    pub fn merge_members(&self, members: &[Member], stable_revisions: &[(Service, Revision)]) {
        let now = Instant::now();
        let mut guard = self.state();
        guard.stable_revisions.adopt(stable_revisions);
        guard.view.adopt(now, members);
        self.rebuild_roster(&mut guard);
    }

    /// Incarnation of this daemon at its start.
    #[must_use]
    pub const fn initial_incarnation(&self) -> Incarnation {
        self.initial_incarnation
    }

    /// This daemon's own entry.
    #[must_use]
    pub fn me(&self) -> Member {
        self.state().view.me().clone()
    }

    /// All other entries, for the state dump.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.state().view.entries().to_vec()
    }

    async fn receive(&self) {
        let mut buffer = vec![0; 2 * wire::MAX_DATAGRAM];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.shared.meter.add_received(length);
            match wire::decode::<Datagram>(&buffer[..length]) {
                Ok(datagram) if datagram.release == wire::RELEASE => {
                    self.handle(&datagram).await;
                }
                Ok(_) => {
                    debug!(self.shared.logger, "datagram of another release"; "from" => %sender);
                }
                Err(error) => {
                    metrics::counter!("jackdaw_bad_datagrams_total").increment(1);
                    debug!(self.shared.logger, "invalid datagram"; "from" => %sender, "error" => %error);
                }
            }
        }
    }

    async fn handle(&self, datagram: &Datagram) {
        self.shared.record_generation(datagram.generation);
        self.note_watermark(datagram);
        match &datagram.message {
            Message::Crashes(crashes) => self.shared.quarantine.merge(crashes),
            Message::Rollouts(rollouts) => self.shared.rollouts.merge(rollouts),
            Message::Report(report) => {
                self.shared
                    .rollouts
                    .add_report(datagram.from.peer, report.clone());
            }
            Message::Quota(message) => {
                let from = datagram.from.peer;
                let replies = self.shared.quotas.receive(Instant::now(), from, message);
                self.send_quota(replies).await;
            }
            _ => {}
        }
        let effects = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            let effects = guard.view.receive(Instant::now(), datagram);
            self.rebuild_if_changed(&mut guard, &effects);
            effects
        };
        self.apply_effects(effects).await;
    }

    /// Hash of the target crashes and rollouts that this daemon knows.
    pub(super) fn gossip_hash(&self) -> u64 {
        self.shared.quarantine.hash() ^ self.shared.rollouts.hash()
    }

    fn rebuild_if_changed(&self, state: &mut State, effects: &Effects) {
        if effects.changed {
            self.request_rebuild(state);
        }
    }

    /// Rebuilds the roster at once, or soon if it was rebuilt a moment ago.
    fn request_rebuild(&self, state: &mut State) {
        if state.rebuild_at.is_some() {
            return;
        }
        let members = state.view.entries().len();
        state.rebuild_at = state.rebuilds.request(Instant::now(), members);
        if state.rebuild_at.is_some() {
            self.outdated.notify_one();
        } else {
            self.rebuild_roster(state);
        }
    }

    /// Makes the rebuilds that have to wait, for as long as the daemon runs.
    async fn rebuild_outdated(&self) {
        loop {
            self.outdated.notified().await;
            let due = self.state().rebuild_at;
            if let Some(due) = due {
                tokio::time::sleep_until(due.into()).await;
            }
            let mut guard = self.state();
            if guard.rebuild_at.is_some() {
                self.rebuild_roster(&mut guard);
            }
        }
    }

    async fn apply_effects(&self, effects: Effects) {
        if let Some(peer) = effects.newer_config_at {
            self.pull_from(peer);
        }
        if let Some(peer) = effects.gossip_differs_at {
            self.send(self.full_sync(peer)).await;
        }
        self.send(effects.sends).await;
    }

    /// Fetches a configuration that the relay tree did not deliver from a peer with a newer one.
    fn pull_from(&self, peer: SocketAddr) {
        if self.shared.settings.delivery == Delivery::Poll {
            return;
        }
        let relay = Arc::clone(&self.relay);
        tokio::spawn(async move { relay.pull(peer).await });
    }

    pub(super) async fn send(&self, sends: Vec<Send>) {
        for send in sends {
            let bytes = wire::encode(&send.datagram);
            self.shared.meter.add_probe(bytes.len());
            let _ = self.socket.send_to(&bytes, send.to).await;
        }
    }

    fn published_incarnation(&self, view: &View) -> Incarnation {
        let roster = self.shared.roster();
        roster
            .member(view.me().peer)
            .map_or(Incarnation(0), |me| me.incarnation)
    }

    fn rebuild_roster(&self, state: &mut State) {
        let now = Instant::now();
        state.rebuilds.record(now);
        state.rebuild_at = None;
        let previous = self.shared.roster();
        let settings = &self.shared.settings;
        let address = settings.peer_addr.ip();
        let location = Location {
            data_centre: settings.data_centre.clone(),
            address,
        };
        let entries = state.view.entries();
        let gone = entries
            .iter()
            .filter(|entry| !entry.member.health.is_live());
        let gone = gone
            .map(|e| Departed {
                member: e.member.clone(),
                since: e.since,
            })
            .collect();
        let live = state
            .view
            .live()
            .cloned()
            .chain([state.view.me().clone()])
            .collect();
        let stable_revisions = state.stable_revisions.clone();
        let roster = Roster::build(live, gone, &location, &previous, stable_revisions, now);
        state.stable_revisions.clone_from(&roster.stable_revisions);
        self.shared.set_roster(roster);
    }

    pub(super) fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Updates what the view sends about the state of this daemon.
    pub(super) fn refresh_view(&self, state: &mut State) {
        // Read before the version, which may rise meanwhile: the watermark is also valid for a newer one.
        let latest = self.shared.freshness.latest();
        state.view.set_watermark(latest.report(Instant::now()));
        state.view.set_digest(self.shared.digest());
        state.view.set_generation(self.shared.generation());
        state.view.set_gossip_hash(self.gossip_hash());
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a daemon that starts now.
fn initial_member(settings: &Settings) -> Member {
    // After a restart the entry has to override those of the earlier process. The clock mostly ensures that at
    // once; if the clock was set back, the Welcome of any peer does.
    Member {
        peer: settings.identity(),
        operator: settings.operator_addr,
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock::unix_ms()),
        health: Health::Alive,
        stage: Stage::Starting,
        offer: None,
        departures: Vec::new(),
    }
}

fn timing(settings: &Settings) -> Timing {
    Timing {
        probe_period: settings.probe_period_ms.duration(),
        probe_timeout: settings.probe_timeout_ms.duration(),
        suspicion_timeout: settings.suspicion_ms.duration(),
        gone_retention: settings.gone_memory_ms.duration(),
    }
}
