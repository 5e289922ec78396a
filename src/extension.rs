//! What a platform's adapter adds to a daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use volo_http::server::Router;

use crate::board::Board;
use crate::calls::dialect::Dialect;
use crate::configuration::control_plane::ControlPlane;
use crate::membership::announce::Endpoint;
use crate::membership::member::Stage;
use crate::settings::Settings;

/// What a platform's adapter adds to a daemon.
#[derive(Default)]
pub struct Extension {
    /// Where the configuration comes from, in place of the log.
    pub origin: Option<Arc<dyn ControlPlane>>,
    /// How callers and targets spell their headers.
    pub dialect: Dialect,
    /// Reads the settings again: none when they have not changed since they were read last.
    pub reread: Option<Reread>,
    /// More addresses that the daemon serves.
    pub faces: Vec<Face>,
}

/// Reads changed settings, or says what is wrong with them.
pub type Reread = Box<dyn FnMut() -> Option<Result<Settings, String>> + Send>;

/// An address of the daemon with what it serves.
pub struct Face {
    /// Where it listens.
    pub address: SocketAddr,
    /// Makes its routes.
    pub routes: Box<dyn FnOnce(Handles) -> Router + Send>,
}

/// Parts of a running daemon, for the routes of a [`Face`].
#[derive(Debug, Clone)]
pub struct Handles {
    pub(crate) board: Arc<Board>,
    /// Takes announcements of the co-located target.
    pub endpoint: Arc<Endpoint>,
}

impl Handles {
    /// Whether callers are welcome: a configuration is in force and no stop is under way.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.board.stage() == Stage::Serving
    }
}

impl std::fmt::Debug for Extension {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Extension")
            .field("origin", &self.origin)
            .field("faces", &self.faces)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Face {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut face = f.debug_struct("Face");
        face.field("address", &self.address).finish_non_exhaustive()
    }
}
