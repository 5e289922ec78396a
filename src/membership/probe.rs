//! The membership controller: the view, its datagrams and the roster made from it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{debug, info};
use tokio::net::UdpSocket;

use crate::board::Board;
use crate::clock;
use crate::configuration::relay::Relay;
use crate::error::{ListenSnafu, Result};
use crate::membership::census::Census;
use crate::membership::datagram::{Datagram, Join, Probe, Welcome};
use crate::membership::entries::Entry;
use crate::membership::member::{Health, Member, Offer, Stage};
use crate::membership::roster::{Departed, Home, Roster};
use crate::membership::timing::Timing;
use crate::membership::view::{Effects, Send, View};
use crate::rollout::stable::Revisions;
use crate::settings::{Delivery, Settings};
use crate::units::{Incarnation, Millis, Revision, Service};
use crate::wire;
use snafu::ResultExt;

/// Ticks of the view in one probe period.
const TICKS: u64 = 5;
/// Keeps the membership view.
#[derive(Debug)]
pub struct Membership {
    board: Arc<Board>,
    relay: Arc<Relay>,
    socket: UdpSocket,
    born: Incarnation,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub view: View,
    pub rng: SmallRng,
    /// When another daemon was told everything that is known of ends of targets.
    pub reconciled: Option<Instant>,
    /// Revisions that get requests without an order.
    stable_revisions: Revisions,
}

impl Membership {
    /// Opens the socket for datagrams.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) when the address can't be had.
    pub async fn open(board: Arc<Board>, relay: Arc<Relay>) -> Result<Self> {
        let settings = &board.settings;
        let address = settings.peer_addr;
        let socket = UdpSocket::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let me = newborn(settings);
        let born = me.incarnation;
        let view = View::new(me, timing(settings));
        let rng = SmallRng::from_rng(&mut rand::rng());
        let state = Mutex::new(State {
            view,
            rng,
            reconciled: None,
            stable_revisions: Revisions::default(),
        });
        let membership = Self {
            board,
            relay,
            socket,
            born,
            state,
        };
        membership.rebuild(&mut membership.state());
        Ok(membership)
    }

    /// Probes and answers for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let receiver = Arc::clone(&self);
        tokio::spawn(async move { receiver.receive().await });
        let announcer = Arc::clone(&self);
        tokio::spawn(async move { announcer.announce().await });
        let voucher = Arc::clone(&self);
        tokio::spawn(async move { voucher.vouch().await });
        let period = self.board.settings.probe_period_ms;
        let mut census = Census::default();
        let mut ticks = tokio::time::interval(Millis((period.0 / TICKS).max(1)).duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.reflect().await;
            self.close_idle_links();
            let live = self.board.roster().members.len();
            if let Some(before) = census.due(Instant::now(), live) {
                info!(self.board.logger, "members"; "live" => live, "before" => before);
            }
            let effects = {
                let mut guard = self.state();
                self.refresh(&mut guard);
                let State { view, rng, .. } = &mut *guard;
                let effects = view.tick(Instant::now(), rng);
                self.settle(&mut guard, &effects);
                effects
            };
            self.carry_out(effects).await;
        }
    }

    fn close_idle_links(&self) {
        for (_, upstream) in self.board.roster().all() {
            upstream.link.close_idle();
        }
    }

    /// Shows the others what the board says of this daemon and its target.
    pub async fn reflect(&self) {
        let stage = self.board.stage();
        let now = Instant::now();
        let target = self
            .board
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
            let sends = view.update(stage, offer, rng);
            if !sends.is_empty() || view.me().incarnation != self.published(view) {
                self.rebuild(&mut guard);
            }
            sends
        };
        self.send(sends).await;
    }

    /// Says good-bye to the others.
    pub async fn leave(&self, health: Health) {
        let sends = {
            let mut guard = self.state();
            let State { view, rng, .. } = &mut *guard;
            view.leave(health, rng)
        };
        self.send(sends).await;
    }

    /// Lets a joiner in.
    #[must_use]
    pub fn welcome(&self, join: &Join) -> Welcome {
        let mut guard = self.state();
        let ran = guard.view.ran(join.member.peer);
        let slots = guard.view.slots(join.member.peer);
        // The view goes out as it was before the join, so that the joiner sees what is said of
        // its own address and can refute it.
        let members = guard.view.members();
        if guard.view.merge(Instant::now(), &join.member) {
            self.rebuild(&mut guard);
        }
        Welcome {
            members,
            digest: self.board.digest(),
            ran,
            slots,
            crashes: self.board.quarantine.snapshot(),
            rollouts: self.board.rollouts.snapshot(),
            era: self.board.era(),
            stable_revisions: guard.stable_revisions.snapshot(),
        }
    }

    /// Takes over the view of a peer, and which revisions it has as the usual ones.
    pub fn learn(&self, members: &[Member], stable_revisions: &[(Service, Revision)]) {
        let now = Instant::now();
        let mut guard = self.state();
        guard.stable_revisions.adopt(stable_revisions);
        for member in members {
            guard.view.merge(now, member);
        }
        self.rebuild(&mut guard);
    }

    /// Incarnation with which this daemon started.
    #[must_use]
    pub const fn born(&self) -> Incarnation {
        self.born
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
            self.board.meter.received(length);
            match wire::decode::<Datagram>(&buffer[..length]) {
                Ok(datagram) if datagram.release == wire::RELEASE => {
                    self.take(&datagram).await;
                }
                Ok(_) => {
                    debug!(self.board.logger, "datagram of another release"; "from" => %sender);
                }
                Err(error) => {
                    metrics::counter!("jackdaw_bad_datagrams_total").increment(1);
                    debug!(self.board.logger, "bad datagram"; "from" => %sender, "error" => %error);
                }
            }
        }
    }

    async fn take(&self, datagram: &Datagram) {
        self.board.note_era(datagram.era);
        self.note_watermark(datagram);
        match &datagram.probe {
            Probe::Crashes(crashes) => self.board.quarantine.merge(crashes),
            Probe::Rollouts(told) => self.board.rollouts.merge(told),
            Probe::Report(report) => {
                self.board
                    .rollouts
                    .add_report(datagram.from.peer, report.clone());
            }
            _ => {}
        }
        let effects = {
            let mut guard = self.state();
            self.refresh(&mut guard);
            let effects = guard.view.receive(Instant::now(), datagram);
            self.settle(&mut guard, &effects);
            effects
        };
        self.carry_out(effects).await;
    }

    /// Hash of what this daemon knows of requests that end targets and of roll-outs.
    pub(super) fn evidence(&self) -> u64 {
        self.board.quarantine.hash() ^ self.board.rollouts.hash()
    }

    fn settle(&self, state: &mut State, effects: &Effects) {
        if effects.changed {
            self.rebuild(state);
        }
    }

    async fn carry_out(&self, effects: Effects) {
        if let Some(peer) = effects.ahead {
            self.catch_up(peer);
        }
        if let Some(peer) = effects.differs {
            self.send(self.reconcile(peer)).await;
        }
        self.send(effects.sends).await;
    }

    /// Repairs what the tree lost: fetches from a peer that is ahead.
    fn catch_up(&self, peer: SocketAddr) {
        if self.board.settings.delivery == Delivery::Poll {
            return;
        }
        let relay = Arc::clone(&self.relay);
        tokio::spawn(async move { relay.pull(peer).await });
    }

    pub(super) async fn send(&self, sends: Vec<Send>) {
        for send in sends {
            let bytes = wire::encode(&send.datagram);
            self.board.meter.probe(bytes.len());
            let _ = self.socket.send_to(&bytes, send.to).await;
        }
    }

    fn published(&self, view: &View) -> Incarnation {
        let roster = self.board.roster();
        roster
            .member(view.me().peer)
            .map_or(Incarnation(0), |me| me.incarnation)
    }

    fn rebuild(&self, state: &mut State) {
        let now = Instant::now();
        let old = self.board.roster();
        let settings = &self.board.settings;
        let address = settings.peer_addr.ip();
        let home = Home {
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
        let roster = Roster::build(live, gone, &home, &old, stable_revisions, now);
        state.stable_revisions.clone_from(&roster.stable_revisions);
        self.board.set_roster(roster);
    }

    pub(super) fn board(&self) -> &Board {
        &self.board
    }

    /// Has the view tell what this daemon has and knows now.
    pub(super) fn refresh(&self, state: &mut State) {
        // Before the version, which may rise meanwhile: the watermark holds for a newer one as well.
        let latest = self.board.freshness.latest();
        state.view.set_watermark(latest.report(Instant::now()));
        state.view.set_digest(self.board.digest());
        state.view.set_era(self.board.era());
        state.view.set_evidence(self.evidence());
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The entry of a daemon that starts now.
fn newborn(settings: &Settings) -> Member {
    // A restarted daemon has to win over what is said of its earlier life: the clock mostly does
    // that at once, and the welcome of any peer does it when the clock was set back.
    Member {
        peer: settings.identity(),
        operator: settings.operator_addr,
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock::unix_ms()),
        health: Health::Alive,
        stage: Stage::Starting,
        offer: None,
    }
}

fn timing(settings: &Settings) -> Timing {
    Timing {
        period: settings.probe_period_ms.duration(),
        patience: settings.probe_timeout_ms.duration(),
        suspicion: settings.suspicion_ms.duration(),
        memory: settings.gone_memory_ms.duration(),
    }
}
