//! The planned stop of a daemon.
//!
//! A daemon that is ordered to stop says so at once, still takes what its callers send for a while,
//! ends their connections after an answer, and goes when nothing is in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::calls::http_server::Phase;
use crate::configuration::control_plane::ControlPlane;
use crate::error::{Error, Result};
use crate::extension::Reload;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::controller::Membership;
use crate::membership::member::{Health, Stage};
use crate::membership::registration::Registration;
use crate::shared_state::SharedState;

/// Exit status after a planned stop.
pub const EXIT_STOPPED: u8 = 0;
/// Exit status when an interrupt cut the stop short.
pub const EXIT_INTERRUPTED: u8 = 3;

/// Time for which sessions are ended after an answer before the process goes.
const CONNECTION_LINGER: Duration = Duration::from_millis(2_500);
/// Time before callers' connections are refused at which the target stops taking calls: those that it
/// has are mostly answered by then.
///
/// Guards against a target that stands idle, though well, for as long as its daemon waits for callers
/// to go elsewhere, and once more while the next daemon starts.
const TARGET_CLOSE_LEAD: Duration = Duration::from_millis(800);
/// Time between two looks at the settings, which may change without a word.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time in which the first request on a connection that was taken last has come: many times the way
/// from a caller.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(200);
/// Time for the answers of calls that are cut short to be written, over slow links as well; together
/// with the drain limit inside what the platform grants a stop.
const ABORTED_RESPONSES_WAIT: Duration = Duration::from_millis(150);
/// Time between the last answer and the end of the process.
const RESPONSE_FLUSH_WAIT: Duration = Duration::from_millis(50);

/// The planned stop.
pub struct Shutdown {
    /// The blackboard.
    pub shared: Arc<SharedState>,
    /// Tells the others.
    pub membership: Arc<Membership>,
    /// Hands its keys over.
    pub keys: Arc<Deduplicator>,
    /// Ends the callers' connections.
    pub phase: watch::Sender<Phase>,
    /// The platform, where daemons are listed.
    pub control_plane: Option<Arc<dyn ControlPlane>>,
    /// Reads changed settings.
    pub reload: Option<Reload>,
}

impl Shutdown {
    /// Waits for the order to stop, then stops without cutting a call; returns the exit status.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when signals can't be had.
    pub async fn run(mut self) -> Result<u8> {
        let mut reload = self.reload.take();
        let shared = &self.shared;
        let listening = |source| Error::Listen {
            address: shared.settings.operator_addr,
            source,
        };
        let mut terminate = signal(SignalKind::terminate()).map_err(listening)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(listening)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(listening)?;
        let mut stages = shared.stages();
        let mut polls = tokio::time::interval(SETTINGS_POLL_PERIOD);
        polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = stages.wait_for(|stage| stage.is_stopping()) => break,
                _ = hangup.recv() => {
                    info!(shared.logger, "told to read the settings again");
                    reload_settings(shared, reload.as_mut());
                }
                _ = polls.tick() => reload_settings(shared, reload.as_mut()),
            }
        }
        info!(shared.logger, "draining"; "in_flight" => shared.in_flight());
        shared.begin_shutdown();
        tokio::select! {
            () = self.drain() => {
                info!(shared.logger, "stopped");
                Ok(EXIT_STOPPED)
            }
            // A supervisor may order a stop more than once, which must cut nobody; a person at a terminal may.
            _ = interrupt.recv() => Ok(EXIT_INTERRUPTED),
        }
    }

    async fn drain(&self) {
        let (shared, began) = (&self.shared, Instant::now());
        self.membership.publish_own_entry().await;
        if let Some(control_plane) = self.control_plane.clone() {
            let registration = Registration::new(Arc::clone(shared), control_plane);
            // An entry that stays costs a joiner one vain try, so nothing waits for this.
            tokio::spawn(async move { registration.deregister().await });
        }
        let accept = shared.settings.accept_ms.duration();
        tokio::time::sleep_until((began + accept.saturating_sub(TARGET_CLOSE_LEAD)).into()).await;
        shared.advance(Stage::Draining);
        self.membership.publish_own_entry().await;
        tokio::time::sleep_until((began + accept).into()).await;
        self.phase.send_replace(Phase::Closed);
        // Guards against a connection that was taken at the last moment: its request has not come
        // yet, so nothing is in flight, and it would be read and cut a moment later.
        tokio::time::sleep(FIRST_REQUEST_WAIT).await;
        tokio::time::sleep_until((began + CONNECTION_LINGER).into()).await;
        self.phase.send_replace(Phase::Ending);
        self.finish_calls(began).await;
        // A planned stop must not look like a loss to the guard of keys.
        let handed_off = self.keys.hand_off().await;
        let health = if handed_off {
            Health::Left
        } else {
            Health::Gone
        };
        self.membership.leave(health).await;
        // What came meanwhile is answered as well.
        self.finish_calls(began).await;
    }

    /// Waits until every call has its answer, and the answers are written, within the drain limit.
    ///
    /// Guards against a request that takes longer than a stop may, such as a body that is still on
    /// its way over a slow link: its connection would end without a word, and its caller could not
    /// tell whether it has run.
    async fn finish_calls(&self, began: Instant) {
        let shared = &self.shared;
        loop {
            let limit = shared.drain().duration().saturating_sub(began.elapsed());
            if !shared.wait_until_idle(limit).await {
                warn!(shared.logger, "calls are cut: the drain limit has passed";
                    "in_flight" => shared.in_flight());
                shared.abort_calls();
                shared.wait_until_idle(ABORTED_RESPONSES_WAIT).await;
                return;
            }
            // The last answers have been handed to the connections; they are written in this time.
            tokio::time::sleep(RESPONSE_FLUSH_WAIT).await;
            if shared.in_flight() == 0 {
                return;
            }
        }
    }
}

/// Takes over what may change while the daemon runs, and names what may not.
fn reload_settings(shared: &SharedState, reload: Option<&mut Reload>) {
    match reload.and_then(|reload| reload()) {
        None => {}
        Some(Err(problem)) => {
            warn!(shared.logger, "settings are wrong, the old ones stay"; "problem" => problem);
        }
        Some(Ok(settings)) => {
            let applied = shared.set_drain(settings.drain_ms);
            let restart = shared.settings.differences(&settings);
            info!(shared.logger, "settings read again"; "drain_changed" => applied,
                "restart_to_change" => restart.join(","));
        }
    }
}
