//! A listener that closes when the daemon drains.

use std::io;

use tokio::net::TcpListener;
use tokio::sync::watch;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

use crate::member::Stage;

/// Accepts connections until the daemon drains; then new callers are refused by the host itself.
#[derive(Debug)]
pub struct Closing {
    listener: Option<TcpListener>,
    stages: Option<watch::Receiver<Stage>>,
}

impl Closing {
    /// Closes `listener` when `stages` says so; never when there are none.
    #[must_use]
    pub const fn new(listener: TcpListener, stages: Option<watch::Receiver<Stage>>) -> Self {
        Self {
            listener: Some(listener),
            stages,
        }
    }
}

impl MakeIncoming for Closing {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Closing {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            return std::future::pending().await;
        };
        let Some(stages) = &mut self.stages else {
            let (stream, _) = listener.accept().await?;
            return Ok(Some(Conn::from(stream)));
        };
        // Connections that the host has taken already go first: closing the listener would reset
        // them, and with them requests that have been sent.
        tokio::select! {
            biased;
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                Ok(Some(Conn::from(stream)))
            }
            _ = stages.wait_for(|stage| *stage == Stage::Draining) => {
                self.listener = None;
                Ok(None)
            }
        }
    }
}
