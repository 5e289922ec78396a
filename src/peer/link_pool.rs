//! Control links of a daemon, one to each peer that it communicates with.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Result;
use crate::peer::link::{IDLE_TIMEOUT, Link};
use crate::telemetry::Meter;
use crate::wire;

/// Pool of links for control messages; idle ones are closed.
#[derive(Debug)]
pub struct LinkPool {
    local: IpAddr,
    meter: Arc<Meter>,
    /// Sorted by peer; the lock is never held while a message is in flight.
    entries: Mutex<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    peer: SocketAddr,
    link: Arc<Link>,
    last_used: Instant,
}

impl LinkPool {
    /// Creates an empty pool, whose links connect from the address `local`.
    #[must_use]
    pub const fn new(local: IpAddr, meter: Arc<Meter>) -> Self {
        Self {
            local,
            meter,
            entries: Mutex::new(Vec::new()),
        }
    }

    /// Sends a control message and decodes the response.
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

    /// Encodes a control message, sends it and decodes the response.
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
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|entry| {
            entry.peer == peer || now.duration_since(entry.last_used) < IDLE_TIMEOUT
        });
        match entries.binary_search_by_key(&peer, |entry| entry.peer) {
            Ok(index) => {
                entries[index].last_used = now;
                Arc::clone(&entries[index].link)
            }
            Err(index) => {
                let link = Arc::new(Link::new(peer, self.local));
                entries.insert(
                    index,
                    Entry {
                        peer,
                        link: Arc::clone(&link),
                        last_used: now,
                    },
                );
                link
            }
        }
    }
}
