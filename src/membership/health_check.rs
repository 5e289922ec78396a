//! Health check of the co-located target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use volo_http::body::Body;

use crate::calls::dispatch::Dispatcher;
use crate::calls::notice;
use crate::calls::outcome::Reason;
use crate::response_head;
use crate::shared_state::SharedState;
use crate::units::{Instance, Service};

/// Time-out of a health check that an announcement waits for; it does not leave the host.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(400);

/// What a health check has shown.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// This instance is healthy.
    Healthy(Instance),
    /// Nothing at the address accepts the request: connections are refused, or closed unread.
    Absent,
    /// The target is not healthy or did not respond in time, or the configuration is not known yet.
    Unknown,
    /// Targets of the service have no health check.
    Unsupported,
}

/// Asks the co-located target for its health and its instance.
#[derive(Debug)]
pub(crate) struct HealthCheck {
    shared: Arc<SharedState>,
    dispatcher: Dispatcher,
}

impl HealthCheck {
    /// Creates a health check that uses no connection twice.
    pub(crate) fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            dispatcher: Dispatcher::new(Duration::ZERO),
        }
    }

    /// Asks which instance of `service` is healthy at `address`.
    pub(crate) async fn run(
        &self,
        address: SocketAddr,
        service: &Service,
        timeout: Duration,
    ) -> Finding {
        let Some(request) = self.request(address, service) else {
            return if self.is_supported(service) {
                Finding::Unknown
            } else {
                Finding::Unsupported
            };
        };
        let asking = self.dispatcher.send(address, request, true, &|| Ok(()));
        match tokio::time::timeout(timeout, asking).await {
            Ok(Ok((response, _connection))) => self
                .healthy_instance(&response)
                .map_or(Finding::Unknown, Finding::Healthy),
            Ok(Err(Reason::Unreachable)) => Finding::Absent,
            Ok(Err(_)) | Err(_) => Finding::Unknown,
        }
    }

    /// Whether targets of the service have a health check, or may have one.
    fn is_supported(&self, service: &Service) -> bool {
        let config = self.shared.config();
        let mut groups = config.document.groups.iter();
        let group = groups.find(|group| group.service == *service);
        self.shared.dialect.instance.is_some()
            && group.is_none_or(|group| group.health_path.is_some())
    }

    /// The request, if targets of the service have a health path and report their instance.
    fn request(&self, address: SocketAddr, service: &Service) -> Option<Request<Body>> {
        self.shared.dialect.instance.as_ref()?;
        let config = self.shared.config();
        let mut groups = config.document.groups.iter();
        let group = groups.find(|group| group.service == *service)?;
        Request::builder()
            .method(Method::GET)
            .uri(group.health_path.as_ref()?)
            .header(http::header::HOST, address.to_string())
            .body(Body::empty())
            .ok()
    }

    fn healthy_instance(&self, response: &Response<Incoming>) -> Option<Instance> {
        response_head::check(response.status(), response.headers()).ok()?;
        // A health check may be wrong; what a target says of its end is not.
        let leaving = notice::says_leaving(response.headers(), &self.shared.dialect);
        let healthy = response.status().is_success() && !leaving;
        let name = self.shared.dialect.instance.as_ref()?;
        let instance = response.headers().get(name).filter(|_| healthy)?;
        let instance = instance.to_str().ok().map(Instance::from);
        instance.filter(Instance::is_valid)
    }
}
