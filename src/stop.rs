//! The planned stop of a daemon.
//!
//! A daemon that is ordered to stop says so at once, still takes what its callers send for a while,
//! ends their connections after an answer, and goes when nothing is in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::board::Board;
use crate::calls::http_server::Phase;
use crate::configuration::control_plane::ControlPlane;
use crate::error::{Error, Result};
use crate::extension::Reread;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::controller::Membership;
use crate::membership::member::{Health, Stage};
use crate::membership::registration::Registration;

/// Exit status after a planned stop.
pub const EXIT_STOPPED: u8 = 0;
/// Exit status when an interrupt cut the stop short.
pub const EXIT_CUT_SHORT: u8 = 3;

/// Time for which sessions are ended after an answer before the process goes.
const LINGER: Duration = Duration::from_millis(2_500);
/// Time before callers' connections are refused at which the target stops taking calls: those that it
/// has are mostly answered by then.
///
/// Guards against a target that stands idle, though well, for as long as its daemon waits for callers
/// to go elsewhere, and once more while the next daemon starts.
const LAST_CALLS: Duration = Duration::from_millis(800);
/// Time between two looks at the settings, which may change without a word.
const LOOK: Duration = Duration::from_secs(2);
/// Time in which the first request on a connection that was taken last has come: many times the way
/// from a caller.
const FIRST_WORDS: Duration = Duration::from_millis(200);
/// Time for the answers of calls that are cut short to be written, over slow links as well; together
/// with the drain limit inside what the platform grants a stop.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// Time between the last answer and the end of the process.
const LAST_WORDS: Duration = Duration::from_millis(50);

/// The planned stop.
pub struct Stopping {
    /// The blackboard.
    pub board: Arc<Board>,
    /// Tells the others.
    pub membership: Arc<Membership>,
    /// Hands its keys over.
    pub keys: Arc<Deduplicator>,
    /// Ends the callers' connections.
    pub phases: watch::Sender<Phase>,
    /// The platform, where daemons are listed.
    pub origin: Option<Arc<dyn ControlPlane>>,
    /// Reads changed settings.
    pub reread: Option<Reread>,
}

impl Stopping {
    /// Waits for the order to stop, then stops without cutting a call; returns the exit status.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when signals can't be had.
    pub async fn run(mut self) -> Result<u8> {
        let mut reread = self.reread.take();
        let board = &self.board;
        let listening = |source| Error::Listen {
            address: board.settings.operator_addr,
            source,
        };
        let mut terminate = signal(SignalKind::terminate()).map_err(listening)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(listening)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(listening)?;
        let mut stages = board.stages();
        let mut looks = tokio::time::interval(LOOK);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = stages.wait_for(|stage| stage.is_stopping()) => break,
                _ = hangup.recv() => {
                    info!(board.logger, "told to read the settings again");
                    reload(board, reread.as_mut());
                }
                _ = looks.tick() => reload(board, reread.as_mut()),
            }
        }
        info!(board.logger, "draining"; "in_flight" => board.in_flight());
        board.leave();
        tokio::select! {
            () = self.drain() => {
                info!(board.logger, "stopped");
                Ok(EXIT_STOPPED)
            }
            // A supervisor may order a stop more than once, which must cut nobody; a person at a terminal may.
            _ = interrupt.recv() => Ok(EXIT_CUT_SHORT),
        }
    }

    async fn drain(&self) {
        let (board, began) = (&self.board, Instant::now());
        self.membership.publish_own_entry().await;
        if let Some(origin) = self.origin.clone() {
            let listing = Registration::new(Arc::clone(board), origin);
            // An entry that stays costs a joiner one vain try, so nothing waits for this.
            tokio::spawn(async move { listing.deregister().await });
        }
        let accept = board.settings.accept_ms.duration();
        tokio::time::sleep_until((began + accept.saturating_sub(LAST_CALLS)).into()).await;
        board.advance(Stage::Draining);
        self.membership.publish_own_entry().await;
        tokio::time::sleep_until((began + accept).into()).await;
        self.phases.send_replace(Phase::Closed);
        // Guards against a connection that was taken at the last moment: its request has not come
        // yet, so nothing is in flight, and it would be read and cut a moment later.
        tokio::time::sleep(FIRST_WORDS).await;
        tokio::time::sleep_until((began + LINGER).into()).await;
        self.phases.send_replace(Phase::Ending);
        self.answer_all(began).await;
        // A planned stop must not look like a loss to the guard of keys.
        let handed = self.keys.hand_off().await;
        let health = if handed { Health::Left } else { Health::Gone };
        self.membership.leave(health).await;
        // What came meanwhile is answered as well.
        self.answer_all(began).await;
    }

    /// Waits until every call has its answer, and the answers are written, within the drain limit.
    ///
    /// Guards against a request that takes longer than a stop may, such as a body that is still on
    /// its way over a slow link: its connection would end without a word, and its caller could not
    /// tell whether it has run.
    async fn answer_all(&self, began: Instant) {
        let board = &self.board;
        loop {
            let limit = board.drain().duration().saturating_sub(began.elapsed());
            if !board.idle(limit).await {
                warn!(board.logger, "calls are cut: the drain limit has passed";
                    "in_flight" => board.in_flight());
                board.cut_short();
                board.idle(LAST_ANSWERS).await;
                return;
            }
            // The last answers have been handed to the connections; they are written in this time.
            tokio::time::sleep(LAST_WORDS).await;
            if board.in_flight() == 0 {
                return;
            }
        }
    }
}

/// Takes over what may change while the daemon runs, and names what may not.
fn reload(board: &Board, reread: Option<&mut Reread>) {
    match reread.and_then(|reread| reread()) {
        None => {}
        Some(Err(problem)) => {
            warn!(board.logger, "settings are wrong, the old ones stay"; "problem" => problem);
        }
        Some(Ok(settings)) => {
            let applied = board.set_drain(settings.drain_ms);
            let restart = board.settings.differences(&settings);
            info!(board.logger, "settings read again"; "drain_changed" => applied,
                "restart_to_change" => restart.join(","));
        }
    }
}
