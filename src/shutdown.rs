//! Graceful shutdown of a daemon.
//!
//! The daemon announces the shutdown at once, still accepts its callers' requests for a while,
//! closes their connections after a response, and exits when no call is in flight. The times are those of a
//! [`Schedule`]. A call is in
//! flight until its response has been delivered: whatever is in a socket's send queue when the
//! process ends is lost if the peer has sent anything that was not read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::calls::http_server::Phase;
use crate::configuration::control_plane::ControlPlane;
use crate::drain::Schedule;
use crate::error::{Result, SignalsSnafu};
use crate::extension::Reload;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::controller::Membership;
use crate::membership::member::{Health, Stage};
use crate::membership::registration::Registration;
use crate::shared_state::SharedState;

/// Exit status after a graceful shutdown.
pub const EXIT_STOPPED: u8 = 0;
/// Exit status when an interrupt ended the shutdown early.
pub const EXIT_INTERRUPTED: u8 = 3;

/// Interval at which settings are read again, since they may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time for writing the responses of aborted calls, also over slow links. Together with the drain
/// limit it fits into the time that the platform grants a shutdown.
const ABORTED_RESPONSES_WAIT: Duration = Duration::from_millis(150);
/// Time in which connections that are told to close begin to do so, from when on they count as in
/// flight.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

/// Signals that the process handles, each received from [`Signals::install`] on.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// This must precede the rest of the start: a signal without a handler ends the process, so that a
    /// supervisor that stops a starting daemon would see it fail.
    ///
    /// # Errors
    ///
    /// [`Error::Signals`](crate::Error::Signals) if a handler cannot be installed.
    pub fn install() -> Result<Self> {
        let handler = |kind| signal(kind).context(SignalsSnafu);
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hangup: handler(SignalKind::hangup())?,
        })
    }
}

/// Phases of the daemon's servers.
#[derive(Debug)]
pub struct Phases {
    /// Phase of the callers' connections.
    pub callers: watch::Sender<Phase>,
    /// Phase of all other connections, which close before the process ends: those of peers, operators
    /// and the target.
    pub end: watch::Sender<Phase>,
}

impl Default for Phases {
    fn default() -> Self {
        Self {
            callers: watch::Sender::new(Phase::Open),
            end: watch::Sender::new(Phase::Open),
        }
    }
}

/// Runs the graceful shutdown of a daemon.
pub struct Shutdown {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Announces the shutdown to other daemons.
    pub membership: Arc<Membership>,
    /// Hands off this daemon's idempotency keys.
    pub keys: Arc<Deduplicator>,
    /// Closes connections.
    pub phases: Phases,
    /// The platform's control plane, which lists the daemons.
    pub control_plane: Option<Arc<dyn ControlPlane>>,
    /// Reads settings that have changed.
    pub reload: Option<Reload>,
}

impl Shutdown {
    /// Waits for a signal or an operator's request, then shuts down gracefully; returns the exit status.
    pub async fn run(mut self, signals: Signals) -> u8 {
        let Signals {
            mut terminate,
            mut interrupt,
            mut hangup,
        } = signals;
        let mut reload = self.reload.take();
        let shared = &self.shared;
        let mut stages = shared.stages();
        let mut polls = tokio::time::interval(SETTINGS_POLL_PERIOD);
        polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = stages.wait_for(|stage| stage.is_stopping()) => break,
                _ = hangup.recv() => {
                    info!(shared.logger, "SIGHUP received, reloading settings");
                    reload_settings(shared, reload.as_mut());
                }
                _ = polls.tick() => reload_settings(shared, reload.as_mut()),
            }
        }
        info!(shared.logger, "draining"; "in_flight" => shared.in_flight());
        let schedule = shared.begin_shutdown();
        tokio::select! {
            () = self.drain(schedule) => {
                info!(shared.logger, "stopped");
                EXIT_STOPPED
            }
            // A supervisor may send SIGTERM more than once, which must not abort calls; an interrupt
            // from a terminal may.
            _ = interrupt.recv() => EXIT_INTERRUPTED,
        }
    }

    async fn drain(&self, schedule: Schedule) {
        let shared = &self.shared;
        self.membership.publish_own_entry().await;
        if let Some(control_plane) = self.control_plane.clone() {
            let registration = Registration::new(Arc::clone(shared), control_plane);
            // A stale entry costs a joining daemon one failed attempt, so nothing waits for this.
            tokio::spawn(async move { registration.deregister().await });
        }
        tokio::time::sleep_until(schedule.target_close.into()).await;
        shared.advance(Stage::Draining);
        self.membership.publish_own_entry().await;
        tokio::time::sleep_until(schedule.accept_end.into()).await;
        self.phases.callers.send_replace(Phase::Closed);
        tokio::time::sleep_until(schedule.idle_close.into()).await;
        self.phases.callers.send_replace(Phase::Ending);
        self.finish_calls(schedule.limit).await;
        // A graceful shutdown must not look like a crash to the other daemons' key deduplicators.
        let handed_off = self.keys.hand_off().await;
        let health = if handed_off {
            Health::Left
        } else {
            Health::Gone
        };
        self.membership.leave(health).await;
        self.phases.end.send_replace(Phase::Ending);
        // Calls that arrived in the meantime are answered as well.
        self.finish_calls(schedule.limit).await;
    }

    /// Waits until all calls are answered and the responses delivered; aborts calls at the drain limit.
    ///
    /// Guards against a request that outlasts the shutdown, such as a body still arriving over a slow
    /// link: its connection would close without a response, and its caller could not tell whether
    /// the request has run.
    async fn finish_calls(&self, limit: Instant) {
        let shared = &self.shared;
        loop {
            let left = limit.saturating_duration_since(Instant::now());
            if !shared.wait_until_idle(left).await {
                warn!(shared.logger, "aborting calls in flight: drain limit exceeded";
                    "in_flight" => shared.in_flight());
                shared.abort_calls();
                shared.wait_until_idle(ABORTED_RESPONSES_WAIT).await;
                return;
            }
            tokio::time::sleep(CLOSE_WAIT).await;
            if shared.in_flight() == 0 {
                return;
            }
        }
    }
}

/// Applies changed settings that need no restart, and logs the names of those that do.
fn reload_settings(shared: &SharedState, reload: Option<&mut Reload>) {
    match reload.and_then(|reload| reload()) {
        None => {}
        Some(Err(problem)) => {
            warn!(shared.logger, "invalid settings, keeping the previous ones"; "problem" => problem);
        }
        Some(Ok(settings)) => {
            let applied = shared.set_drain_limit(settings.drain_ms);
            let restart = shared.settings.differences(&settings);
            info!(shared.logger, "settings reloaded"; "drain_changed" => applied,
                "restart_to_change" => restart.join(","));
        }
    }
}
