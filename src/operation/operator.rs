//! The face towards operators: publish, read, state, metrics and health, over HTTP and JSON.

use std::future::{Ready, ready};
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::{Deserialize, Serialize};
use slog::info;
use volo_http::server::Router;
use volo_http::server::param::PathParams;
use volo_http::server::route::{get, post};

use crate::board::Board;
use crate::calls::sidecar::Sidecar;
use crate::configuration::document::Document;
use crate::configuration::fault::Fault;
use crate::configuration::publish::Publisher;
use crate::configuration::replica::Proposal;
use crate::error::{Error, Result};
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::member::Member;
use crate::operation::state::{Brief, Dump};
use crate::rollout::progress::Progress;
use crate::units::{EditId, Version};

/// Longest time that an operator waits for a verdict.
const PATIENCE: Duration = Duration::from_secs(10);
/// Largest edit, in bytes.
pub const MAX_EDIT: usize = 4 << 20;

/// What became of a published edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Published {
    /// It is in force as this version.
    Accepted {
        /// Version it got.
        version: Version,
    },
    /// Another edit was accepted first.
    Conflict {
        /// Version that is current.
        current: Version,
        /// What to do.
        message: String,
    },
    /// The document can't be accepted.
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
        /// What to do.
        message: String,
    },
    /// Not known yet; the same edit may be published again.
    Unknown {
        /// Edit to ask about.
        id: EditId,
        /// What to do.
        message: String,
    },
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its version.
    pub version: Version,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// The document.
    pub document: Arc<Document>,
}

/// Serves operators.
#[derive(Debug)]
pub struct Operator {
    /// The blackboard.
    pub board: Arc<Board>,
    /// Publishes edits.
    pub publisher: Publisher,
    /// Read for the state dump.
    pub gate: Arc<Sidecar>,
    /// Read for the state dump.
    pub keys: Arc<Deduplicator>,
    /// Renders metrics.
    pub metrics: Option<PrometheusHandle>,
}

/// An answer in JSON.
type Answer = (StatusCode, ([(&'static str, &'static str); 1], String));

impl Operator {
    /// The routes of this face.
    pub fn router(self: Arc<Self>) -> Router {
        let publisher = Arc::clone(&self);
        let publish = move |body: Vec<u8>| {
            let operator = Arc::clone(&publisher);
            async move { operator.publish(&body).await }
        };
        let reader = Arc::clone(&self);
        let look_up = move |PathParams(id): PathParams<String>| {
            let operator = Arc::clone(&reader);
            async move { operator.look_up(&id) }
        };
        let asked = Arc::clone(&self);
        let head = move || {
            let operator = Arc::clone(&asked);
            async move { operator.head().await }
        };
        Router::new()
            .route("/health/live", get(|| async { "live" }))
            .route("/health/ready", get(self.view(Self::ready)))
            .route("/state", get(self.view(Self::state)))
            .route("/members", get(self.view(Self::members)))
            .route("/rollouts", get(self.view(Self::rollouts)))
            .route("/metrics", get(self.view(Self::render)))
            .route("/drain", post(self.view(Self::drain)))
            .route("/config", get(self.view(Self::config)).post(publish))
            .route("/config/edits/{id}", get(look_up))
            .route("/config/head", get(head))
    }

    /// A handler that answers at once.
    fn view(
        self: &Arc<Self>,
        read: fn(&Self) -> Answer,
    ) -> impl FnOnce() -> Ready<Answer> + Clone + Send + Sync + 'static {
        let operator = Arc::clone(self);
        move || ready(read(&operator))
    }

    fn ready(&self) -> Answer {
        let brief = Brief::of(&self.board);
        let status = if brief.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(status, &brief)
    }

    fn state(&self) -> Answer {
        json(
            StatusCode::OK,
            &Dump::of(&self.board, &self.gate, &self.keys),
        )
    }

    fn members(&self) -> Answer {
        let members: Vec<Member> = self.board.roster().members.clone();
        json(StatusCode::OK, &members)
    }

    fn rollouts(&self) -> Answer {
        let told: Vec<Progress> = self.board.rollouts.snapshot();
        json(StatusCode::OK, &told)
    }

    fn config(&self) -> Answer {
        let config = self.board.config();
        let in_force = InForce {
            version: config.digest.version,
            hash: format!("{:016x}", config.digest.hash),
            document: Arc::clone(&config.document),
        };
        json(StatusCode::OK, &in_force)
    }

    fn render(&self) -> Answer {
        self.gauge();
        let text = self
            .metrics
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render);
        (
            StatusCode::OK,
            ([("content-type", "text/plain; version=0.0.4")], text),
        )
    }

    /// Sets the metrics that are read only on request.
    #[expect(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    fn gauge(&self) {
        let control = self.board.meter.read();
        metrics::gauge!("jackdaw_config_version").set(self.board.digest().version.0 as f64);
        metrics::gauge!("jackdaw_version_offered").set(self.board.freshness.received().0 as f64);
        metrics::gauge!("jackdaw_members").set(self.board.roster().members.len() as f64);
        metrics::gauge!("jackdaw_in_flight").set(self.board.in_flight() as f64);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "peers")
            .absolute(control.peer_bytes);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "probes")
            .absolute(control.probe_bytes);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "log").absolute(control.log_bytes);
    }

    fn drain(&self) -> Answer {
        info!(self.board.logger, "drain asked for");
        self.board.leave();
        json(StatusCode::ACCEPTED, &Brief::of(&self.board))
    }

    /// Where the log ends, for an edit that is to replace whatever is in force.
    async fn head(&self) -> Answer {
        match self.publisher.head().await {
            Ok(head) => json(StatusCode::OK, &head),
            Err(error) => (
                StatusCode::SERVICE_UNAVAILABLE,
                ([("content-type", "text/plain")], error.to_string()),
            ),
        }
    }

    fn look_up(&self, id: &str) -> Answer {
        let id = EditId::from(id);
        match self.publisher.verdict(&id) {
            Ok(Some(version)) => answer(&id, Ok(version)),
            Ok(None) => answer(&id, Err(Error::Undecided { id: id.clone() })),
            Err(error) => answer(&id, Err(error)),
        }
    }

    async fn publish(&self, body: &[u8]) -> Answer {
        let bad = |status, text: String| {
            let fault = Fault {
                path: String::new(),
                problem: text.clone(),
                remedy: "compare it with the documented form".to_owned(),
            };
            json(
                status,
                &Published::Invalid {
                    faults: vec![fault],
                    message: text,
                },
            )
        };
        if body.len() > MAX_EDIT {
            return bad(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the edit is over 4 MiB".to_owned(),
            );
        }
        let proposal: Proposal = match serde_json::from_slice(body) {
            Ok(proposal) => proposal,
            Err(error) => return bad(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if proposal.id.as_str().is_empty() || proposal.id.as_str().len() > 128 {
            return bad(
                StatusCode::BAD_REQUEST,
                "id must have 1 to 128 bytes".to_owned(),
            );
        }
        let id = proposal.id.clone();
        let result = self.publisher.publish(proposal, PATIENCE).await;
        answer(&id, result)
    }
}

fn answer(id: &EditId, result: Result<Version>) -> Answer {
    let error = match result {
        Ok(version) => return json(StatusCode::OK, &Published::Accepted { version }),
        Err(error) => error,
    };
    let message = error.to_string();
    match error {
        Error::Conflict { current } => json(
            StatusCode::CONFLICT,
            &Published::Conflict { current, message },
        ),
        Error::Faults { faults } => json(
            StatusCode::UNPROCESSABLE_ENTITY,
            &Published::Invalid { faults, message },
        ),
        _ => {
            let unknown = Published::Unknown {
                id: id.clone(),
                message,
            };
            json(StatusCode::SERVICE_UNAVAILABLE, &unknown)
        }
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_string(value).unwrap_or_default();
    (status, ([("content-type", "application/json")], text))
}
