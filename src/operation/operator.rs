//! Operators' API: publishing, configuration, state, metrics and health, as JSON over HTTP.

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
use crate::shared_state::SharedState;
use crate::units::{EditId, Version};

/// Longest time that a request to publish an edit waits for the verdict.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an edit, in bytes.
pub const MAX_EDIT_BYTES: usize = 4 << 20;

/// Outcome of a published edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Published {
    /// The edit was accepted.
    Accepted {
        /// Version that the edit created.
        version: Version,
    },
    /// Another edit was accepted first.
    Conflict {
        /// Active version.
        current: Version,
        /// Description with the remedy.
        message: String,
    },
    /// The document or the request is invalid.
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
        /// Description with the remedy.
        message: String,
    },
    /// The outcome is not known yet; the same edit may be published again.
    Unknown {
        /// Identifier of the edit.
        id: EditId,
        /// Description with the remedy.
        message: String,
    },
}

/// The active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Version of the document.
    pub version: Version,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// Document in its sorted form, with digests in place of keys.
    pub document: Document,
}

/// Handlers of the operators' API.
#[derive(Debug)]
pub struct Operator {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Publishes edits.
    pub publisher: Publisher,
    /// Sidecar whose load the state dump shows.
    pub sidecar: Arc<Sidecar>,
    /// Deduplicator whose number of keys the state dump shows.
    pub keys: Arc<Deduplicator>,
    /// Renders metrics.
    pub metrics: Option<PrometheusHandle>,
}

/// Response with its status, content type and body.
type Response = (StatusCode, ([(&'static str, &'static str); 1], String));

impl Operator {
    /// Creates the router of the API.
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
        let head_reader = Arc::clone(&self);
        let head = move || {
            let operator = Arc::clone(&head_reader);
            async move { operator.head().await }
        };
        Router::new()
            .route("/health/live", get(|| async { "live" }))
            .route("/health/ready", get(self.handler(Self::ready)))
            .route("/state", get(self.handler(Self::state)))
            .route("/members", get(self.handler(Self::members)))
            .route("/rollouts", get(self.handler(Self::rollouts)))
            .route("/metrics", get(self.handler(Self::render)))
            .route("/drain", post(self.handler(Self::drain)))
            .route("/config", get(self.handler(Self::config)).post(publish))
            .route("/config/edits/{id}", get(look_up))
            .route("/config/head", get(head))
    }

    /// Creates a handler that responds without waiting.
    fn handler(
        self: &Arc<Self>,
        read: fn(&Self) -> Response,
    ) -> impl FnOnce() -> Ready<Response> + Clone + Send + Sync + 'static {
        let operator = Arc::clone(self);
        move || ready(read(&operator))
    }

    fn ready(&self) -> Response {
        let brief = Brief::of(&self.shared);
        let status = if brief.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(status, &brief)
    }

    fn state(&self) -> Response {
        json(
            StatusCode::OK,
            &Dump::of(&self.shared, &self.sidecar, &self.keys),
        )
    }

    fn members(&self) -> Response {
        let members: Vec<Member> = self.shared.roster().members.clone();
        json(StatusCode::OK, &members)
    }

    fn rollouts(&self) -> Response {
        let progress: Vec<Progress> = self.shared.rollouts.snapshot();
        json(StatusCode::OK, &progress)
    }

    fn config(&self) -> Response {
        let config = self.shared.config();
        let in_force = InForce {
            version: config.digest.version,
            hash: format!("{:016x}", config.digest.hash),
            document: config.document.masked(),
        };
        json(StatusCode::OK, &in_force)
    }

    fn render(&self) -> Response {
        self.set_gauges();
        let text = self
            .metrics
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render);
        (
            StatusCode::OK,
            ([("content-type", "text/plain; version=0.0.4")], text),
        )
    }

    /// Updates the metrics that are computed only when rendered.
    #[expect(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    fn set_gauges(&self) {
        let control = self.shared.meter.read();
        metrics::gauge!("jackdaw_config_version").set(self.shared.digest().version.0 as f64);
        metrics::gauge!("jackdaw_version_offered").set(self.shared.freshness.received().0 as f64);
        metrics::gauge!("jackdaw_members").set(self.shared.roster().members.len() as f64);
        metrics::gauge!("jackdaw_in_flight").set(self.shared.in_flight() as f64);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "peers")
            .absolute(control.peer_bytes);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "probes")
            .absolute(control.probe_bytes);
        metrics::counter!("jackdaw_control_bytes_total", "to" => "log").absolute(control.log_bytes);
    }

    fn drain(&self) -> Response {
        info!(self.shared.logger, "drain requested by an operator");
        self.shared.begin_shutdown();
        json(StatusCode::ACCEPTED, &Brief::of(&self.shared))
    }

    /// Returns the end of the log, on which an edit that replaces any active version is based.
    async fn head(&self) -> Response {
        match self.publisher.head().await {
            Ok(head) => json(StatusCode::OK, &head),
            Err(error) => (
                StatusCode::SERVICE_UNAVAILABLE,
                ([("content-type", "text/plain")], error.to_string()),
            ),
        }
    }

    fn look_up(&self, id: &str) -> Response {
        let id = EditId::from(id);
        match self.publisher.verdict(&id) {
            Ok(Some(version)) => publish_response(&id, Ok(version)),
            Ok(None) => publish_response(&id, Err(Error::OutcomeUnknown { id: id.clone() })),
            Err(error) => publish_response(&id, Err(error)),
        }
    }

    async fn publish(&self, body: &[u8]) -> Response {
        let invalid = |status, text: String| {
            let fault = Fault {
                path: String::new(),
                problem: text.clone(),
                remedy: "compare it with the documented format".to_owned(),
            };
            json(
                status,
                &Published::Invalid {
                    faults: vec![fault],
                    message: text,
                },
            )
        };
        if body.len() > MAX_EDIT_BYTES {
            return invalid(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the edit exceeds 4 MiB".to_owned(),
            );
        }
        let proposal: Proposal = match serde_json::from_slice(body) {
            Ok(proposal) => proposal,
            Err(error) => return invalid(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if proposal.id.as_str().is_empty() || proposal.id.as_str().len() > 128 {
            return invalid(
                StatusCode::BAD_REQUEST,
                "id must have 1 to 128 bytes".to_owned(),
            );
        }
        let id = proposal.id.clone();
        let result = self.publisher.publish(proposal, PUBLISH_TIMEOUT).await;
        publish_response(&id, result)
    }
}

fn publish_response(id: &EditId, result: Result<Version>) -> Response {
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

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_string(value).unwrap_or_default();
    (status, ([("content-type", "application/json")], text))
}
