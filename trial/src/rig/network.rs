//! Simulated network between daemons, with partitions, isolated hosts, delays and resets.
//!
//! Each daemon listens on an inner address and advertises an outer one. This module forwards traffic
//! from the outer to the inner address; across a partition it drops datagrams and holds back streams.
//! It identifies the sender by the source address, which is the sender's inner one.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawpulley::units::DataCentre;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Interval between checks of a blocked connection.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Simulated network.
#[derive(Debug, Default)]
pub struct Network {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Data centre of each inner address.
    data_centres: Vec<(IpAddr, DataCentre)>,
    /// Pairs of partitioned data centres.
    partitions: Vec<(DataCentre, DataCentre)>,
    /// Isolated hosts, with the direction that is blocked.
    isolated: Vec<(IpAddr, Direction)>,
    /// Hosts whose traffic is delayed, both ways.
    slowed: Vec<(IpAddr, Duration)>,
    /// Number of resets of all connections.
    resets: u64,
}

/// Direction of traffic, as seen from a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Traffic to the host.
    In,
    /// Traffic from the host.
    Out,
    /// Traffic in both directions.
    Both,
}

impl Network {
    /// Starts to forward from `outer` to `inner`, an address in `data_centre`.
    ///
    /// # Panics
    ///
    /// When the outer address can't be bound.
    pub async fn attach(
        self: &Arc<Self>,
        outer: SocketAddr,
        inner: SocketAddr,
        data_centre: DataCentre,
    ) {
        self.state().data_centres.push((inner.ip(), data_centre));
        let tcp = TcpListener::bind(outer)
            .await
            .expect("the outer address is free");
        let udp = UdpSocket::bind(outer)
            .await
            .expect("the outer address is free");
        let (streams, datagrams) = (Arc::clone(self), Arc::clone(self));
        tokio::spawn(async move { streams.forward_streams(tcp, inner).await });
        tokio::spawn(async move { datagrams.forward_datagrams(udp, inner).await });
    }

    /// Partitions two data centres.
    pub fn partition(&self, one: &str, other: &str) {
        self.state().partitions.push((one.into(), other.into()));
    }

    /// Removes all partitions, isolations and delays.
    pub fn heal(&self) {
        let mut state = self.state();
        state.partitions.clear();
        state.isolated.clear();
        state.slowed.clear();
    }

    /// Isolates the host with this inner address, in one direction or both.
    pub fn isolate(&self, host: IpAddr, way: Direction) {
        self.state().isolated.push((host, way));
    }

    /// Delays all traffic to and from the host with this inner address.
    pub fn slow(&self, host: IpAddr, delay: Duration) {
        self.state().slowed.push((host, delay));
    }

    /// Removes the isolation and the delay of a host.
    pub fn heal_host(&self, host: IpAddr) {
        let mut state = self.state();
        state.isolated.retain(|(muted, _)| *muted != host);
        state.slowed.retain(|(slowed, _)| *slowed != host);
    }

    /// Closes all connections.
    pub fn reset_connections(&self) {
        self.state().resets += 1;
    }

    fn delay(&self, one: IpAddr, other: IpAddr) -> Option<Duration> {
        let state = self.state();
        let mut slowed = state.slowed.iter();
        let slowed = slowed.find(|(host, _)| *host == one || *host == other);
        slowed.map(|(_, delay)| *delay)
    }

    /// Whether traffic from `one` to `other` is blocked.
    fn is_blocked(&self, one: IpAddr, other: IpAddr) -> bool {
        let state = self.state();
        let stops = |host: IpAddr, way: Direction| match way {
            Direction::In => host == other,
            Direction::Out => host == one,
            Direction::Both => host == one || host == other,
        };
        if state.isolated.iter().any(|(host, way)| stops(*host, *way)) {
            return true;
        }
        let place = |ip| {
            state
                .data_centres
                .iter()
                .find(|(inner, _)| *inner == ip)
                .map(|(_, dc)| dc)
        };
        let (Some(one), Some(other)) = (place(one), place(other)) else {
            return false;
        };
        let matches = |a: &DataCentre, b: &DataCentre| a == one && b == other;
        state
            .partitions
            .iter()
            .any(|(a, b)| matches(a, b) || matches(b, a))
    }

    async fn forward_datagrams(&self, socket: UdpSocket, inner: SocketAddr) {
        let socket = Arc::new(socket);
        let mut buffer = vec![0; 4_096];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_blocked(sender.ip(), inner.ip()) {
                continue;
            }
            if let Some(delay) = self.delay(sender.ip(), inner.ip()) {
                let (socket, datagram) = (Arc::clone(&socket), buffer[..length].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = socket.send_to(&datagram, inner).await;
                });
                continue;
            }
            let _ = socket.send_to(&buffer[..length], inner).await;
        }
    }

    async fn forward_streams(self: Arc<Self>, listener: TcpListener, inner: SocketAddr) {
        loop {
            let Ok((stream, sender)) = listener.accept().await else {
                continue;
            };
            let net = Arc::clone(&self);
            tokio::spawn(async move { net.forward(stream, sender.ip(), inner).await });
        }
    }

    async fn forward(self: Arc<Self>, stream: TcpStream, sender: IpAddr, inner: SocketAddr) {
        let Ok(onward) = TcpStream::connect(inner).await else {
            return;
        };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (from, back) = stream.into_split();
        let (answers, to) = onward.into_split();
        let net = Arc::clone(&self);
        let ends = (sender, inner.ip());
        let forth = tokio::spawn(async move { net.copy(from, to, ends).await });
        self.copy(answers, back, (ends.1, ends.0)).await;
        forth.abort();
    }

    /// Copies one direction; holds data back while the direction is blocked.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, ends: (IpAddr, IpAddr)) {
        let began = self.state().resets;
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = tokio::select! {
                read = from.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => break,
                    Ok(length) => length,
                },
                () = self.wait_for_reset(began) => return,
            };
            while self.is_blocked(ends.0, ends.1) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if let Some(delay) = self.delay(ends.0, ends.1) {
                tokio::time::sleep(delay).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    /// Waits until the connections that were opened after `began` resets are reset.
    async fn wait_for_reset(&self, began: u64) {
        while self.state().resets == began {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
