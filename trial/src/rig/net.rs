//! A network between daemons that can be cut between data centres.
//!
//! Each daemon listens on an inner address and advertises an outer one; this module forwards from
//! the outer to the inner, and drops what crosses a cut. Who sends is told by the source address,
//! which is the sender's inner one.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawpulley::units::DataCentre;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Pause between two looks at a cut link.
const LOOK: Duration = Duration::from_millis(20);

/// Forwards between daemons.
#[derive(Debug, Default)]
pub struct Net {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Data centre of each inner address.
    places: Vec<(IpAddr, DataCentre)>,
    /// Pairs of data centres that can't reach each other.
    cuts: Vec<(DataCentre, DataCentre)>,
}

impl Net {
    /// Forwards from `outer` to `inner`, which is in `data_centre`.
    ///
    /// # Panics
    ///
    /// When the outer address can't be had.
    pub async fn attach(
        self: &Arc<Self>,
        outer: SocketAddr,
        inner: SocketAddr,
        data_centre: DataCentre,
    ) {
        self.state().places.push((inner.ip(), data_centre));
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

    /// Parts two data centres.
    pub fn cut(&self, one: &str, other: &str) {
        self.state().cuts.push((one.into(), other.into()));
    }

    /// Joins everything again.
    pub fn heal(&self) {
        self.state().cuts.clear();
    }

    fn parted(&self, one: IpAddr, other: IpAddr) -> bool {
        let state = self.state();
        let place = |ip| {
            state
                .places
                .iter()
                .find(|(inner, _)| *inner == ip)
                .map(|(_, dc)| dc)
        };
        let (Some(one), Some(other)) = (place(one), place(other)) else {
            return false;
        };
        let matches = |a: &DataCentre, b: &DataCentre| a == one && b == other;
        state
            .cuts
            .iter()
            .any(|(a, b)| matches(a, b) || matches(b, a))
    }

    async fn forward_datagrams(&self, socket: UdpSocket, inner: SocketAddr) {
        let mut buffer = vec![0; 4_096];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if !self.parted(sender.ip(), inner.ip()) {
                let _ = socket.send_to(&buffer[..length], inner).await;
            }
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
        self.copy(answers, back, ends).await;
        forth.abort();
    }

    /// Copies one direction; holds everything back while the ends are parted.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, ends: (IpAddr, IpAddr)) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            while self.parted(ends.0, ends.1) {
                tokio::time::sleep(LOOK).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
