//! The face towards the co-located target: it announces itself, renews and leaves.
//!
//! `POST /announce` with an [`Announcement`] starts or renews a lease; `POST /leave` ends it. The
//! lease is a hint for liveness: when it lapses the target gets no new work, and what is in flight
//! is left alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use slog::info;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::board::{Board, Target};
use crate::member::Stage;
use crate::probe::Membership;
use crate::units::{Millis, Service, Slots};

/// Longest lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 60_000;
/// Largest announcement, in bytes.
const MAX_BODY: usize = 4_096;

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Time until it has to renew.
    pub lease_ms: Millis,
}

impl Announcement {
    /// What is wrong with it, with a remedy.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        if !self.service.is_valid() {
            return Some("service must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if self.slots.0 == 0 {
            return Some("slots is 0; name how many calls run at the same time");
        }
        if self.lease_ms.0 == 0 || self.lease_ms.0 > MAX_LEASE_MS {
            return Some("lease_ms must be 1 to 60000; renew at a third of it");
        }
        None
    }
}

/// Serves the co-located target.
#[derive(Debug)]
pub struct Desk {
    board: Arc<Board>,
    membership: Arc<Membership>,
}

impl Desk {
    /// A desk that writes the target on `board`.
    #[must_use]
    pub const fn new(board: Arc<Board>, membership: Arc<Membership>) -> Self {
        Self { board, membership }
    }

    /// The routes of this face.
    pub fn router(self: Arc<Self>) -> Router {
        let announcing = Arc::clone(&self);
        let leaving = Arc::clone(&self);
        let announce = move |body: Vec<u8>| {
            let desk = Arc::clone(&announcing);
            async move { desk.announce(&body).await }
        };
        let leave = move || {
            let desk = Arc::clone(&leaving);
            async move { desk.leave().await }
        };
        let stage = move || {
            let stage = self.board.stage().to_string();
            async move { (StatusCode::OK, stage) }
        };
        Router::new()
            .route("/announce", post(announce))
            .route("/leave", post(leave))
            .route("/stage", get(stage))
    }

    async fn announce(&self, body: &[u8]) -> (StatusCode, String) {
        if body.len() > MAX_BODY {
            return (
                StatusCode::PAYLOAD_TOO_LARGE,
                "announce in under 4096 bytes".to_owned(),
            );
        }
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => {
                return (
                    StatusCode::BAD_REQUEST,
                    format!("not an announcement: {error}"),
                );
            }
        };
        if let Some(fault) = announcement.fault() {
            return (StatusCode::UNPROCESSABLE_ENTITY, fault.to_owned());
        }
        if self.board.stage() == Stage::Draining {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "the daemon is draining".to_owned(),
            );
        }
        let known = self.board.target().is_some();
        let target = Target {
            address: announcement.address,
            service: announcement.service,
            slots: announcement.slots,
            lease_until: Instant::now() + announcement.lease_ms.duration(),
        };
        if !known {
            info!(self.board.logger, "target announced"; "service" => %target.service);
        }
        self.board.set_target(Some(target));
        self.membership.reflect().await;
        (StatusCode::OK, "announced".to_owned())
    }

    async fn leave(&self) -> (StatusCode, String) {
        info!(self.board.logger, "target left");
        self.board.set_target(None);
        self.membership.reflect().await;
        (StatusCode::OK, "left".to_owned())
    }
}
