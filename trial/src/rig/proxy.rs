//! TCP proxy with network conditions that can be changed while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Network condition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Condition {
    /// Data is forwarded.
    #[default]
    Open,
    /// Data is held back in both directions.
    Silent,
    /// Requests are forwarded, and responses are held back.
    Mute,
    /// Data is forwarded after this many milliseconds.
    Slow(u64),
    /// Connections are closed.
    Closed,
}

/// TCP proxy.
#[derive(Debug)]
pub struct Proxy(Arc<watch::Sender<Condition>>);

impl Proxy {
    /// Starts to forward from `outer` to `inner`.
    ///
    /// # Panics
    ///
    /// When the outer address can't be bound.
    pub async fn open(outer: SocketAddr, inner: SocketAddr) -> Self {
        let listener = TcpListener::bind(outer).await;
        let listener = listener.expect("the outer address is free");
        let condition = Arc::new(watch::Sender::new(Condition::Open));
        let conditions = Arc::clone(&condition);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, inner, conditions.subscribe()));
            }
        });
        Self(condition)
    }

    /// Sets the condition of all connections, open ones included.
    pub fn set(&self, condition: Condition) {
        self.0.send_replace(condition);
    }
}

async fn forward(stream: TcpStream, inner: SocketAddr, conditions: watch::Receiver<Condition>) {
    let Ok(onward) = TcpStream::connect(inner).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (requests, back) = stream.into_split();
    let (answers, onward) = onward.into_split();
    let mut closing = conditions.clone();
    let forth = tokio::spawn(copy(
        requests,
        onward,
        conditions.clone(),
        Condition::Silent,
    ));
    tokio::select! {
        () = copy(answers, back, conditions, Condition::Mute) => {}
        _ = closing.wait_for(|condition| *condition == Condition::Closed) => {}
    }
    forth.abort();
}

/// Copies one direction; holds data back under `held` and [`Condition::Silent`].
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut conditions: watch::Receiver<Condition>,
    held: Condition,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let passes = |condition: &Condition| *condition != held && *condition != Condition::Silent;
        let Ok(condition) = conditions
            .wait_for(passes)
            .await
            .map(|condition| *condition)
        else {
            break;
        };
        if let Condition::Slow(ms) = condition {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
