//! The control links of a daemon, one to each peer that it speaks to.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Result;
use crate::peer::link::{IDLE, Link};
use crate::telemetry::Meter;
use crate::wire;

/// LinkPool for control messages, closed when idle.
#[derive(Debug)]
pub struct LinkPool {
    home: IpAddr,
    meter: Arc<Meter>,
    /// Sorted by peer; never held while a message is on its way.
    open: Mutex<Vec<Opened>>,
}

#[derive(Debug)]
struct Opened {
    peer: SocketAddr,
    link: Arc<Link>,
    used: Instant,
}

impl LinkPool {
    /// No links yet; they will leave from the address `home`.
    #[must_use]
    pub const fn new(home: IpAddr, meter: Arc<Meter>) -> Self {
        Self {
            home,
            meter,
            open: Mutex::new(Vec::new()),
        }
    }

    /// Sends a control message and decodes its answer.
    ///
    /// # Errors
    ///
    /// As [`Link::exchange`].
    pub async fn exchange<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let link = self.link(peer);
        link.exchange(&self.meter, path, body).await
    }

    /// Encodes a message, sends it and decodes its answer.
    ///
    /// # Errors
    ///
    /// As [`Link::exchange`].
    pub async fn send<M: Serialize, T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &M,
    ) -> Result<T> {
        self.exchange(peer, path, wire::encode(message)).await
    }

    fn link(&self, peer: SocketAddr) -> Arc<Link> {
        let now = Instant::now();
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|opened| opened.peer == peer || now.duration_since(opened.used) < IDLE);
        match open.binary_search_by_key(&peer, |opened| opened.peer) {
            Ok(index) => {
                open[index].used = now;
                Arc::clone(&open[index].link)
            }
            Err(index) => {
                let link = Arc::new(Link::new(peer, self.home));
                open.insert(
                    index,
                    Opened {
                        peer,
                        link: Arc::clone(&link),
                        used: now,
                    },
                );
                link
            }
        }
    }
}
