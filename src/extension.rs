//! Extension points through which a platform's adapter customizes a daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use volo_http::server::Router;

use crate::calls::dialect::Dialect;
use crate::configuration::control_plane::ControlPlane;
use crate::membership::announce::Endpoint;
use crate::settings::Settings;
use crate::shared_state::SharedState;

/// Parts that a platform's adapter adds to a daemon.
#[derive(Default)]
pub struct Extension {
    /// Control plane that provides the configuration in place of the log.
    pub control_plane: Option<Arc<dyn ControlPlane>>,
    /// Header conventions of callers and targets.
    pub dialect: Dialect,
    /// Reads the settings again; `None` if they have not changed since the last time.
    pub reload: Option<Reload>,
    /// Additional addresses that the daemon serves.
    pub listeners: Vec<Listener>,
}

/// Function that returns changed settings, or what is wrong with them.
pub type Reload = Box<dyn FnMut() -> Option<Result<Settings, String>> + Send>;

/// Address of the daemon with the routes that it serves.
pub struct Listener {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Creates its routes.
    pub routes: Box<dyn FnOnce(Handles) -> Router + Send>,
}

/// Parts of a running daemon that the routes of a [`Listener`] use.
#[derive(Debug, Clone)]
pub struct Handles {
    pub(crate) shared: Arc<SharedState>,
    /// Accepts announcements of the co-located target.
    pub endpoint: Arc<Endpoint>,
}

impl Handles {
    /// Whether callers should come to the daemon, as [`SharedState::is_ready`].
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }
}

impl std::fmt::Debug for Extension {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Extension")
            .field("origin", &self.control_plane)
            .field("faces", &self.listeners)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Listener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut face = f.debug_struct("Face");
        face.field("address", &self.address).finish_non_exhaustive()
    }
}
