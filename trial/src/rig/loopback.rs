//! Allocates a separate loopback network to each trial.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::rig::host::{ANNOUNCE_PORT, LOG_PORT, PEER_PORT, TARGET_PORT};

/// Ports of the simulated platform's machines, which another test run may use at the same time.
const PLATFORM_PORTS: [u16; 3] = [7_660, 8_140, 8_147];

/// Host and port that a process listens on while it owns a network.
const LOCK_ADDRESS: (u8, u16) = (254, 7_599);

static NEXT_NETWORK: AtomicU32 = AtomicU32::new(0);
/// Listeners that lock the networks of this process. They stay open until it exits, because
/// processes that it has started may listen for as long.
static LOCKS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns the second octet of a loopback network that no other trial uses.
///
/// # Panics
///
/// When no network is free.
#[must_use]
pub fn allocate_network() -> u8 {
    for _ in 0..200 {
        let count = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let candidate = std::process::id().wrapping_mul(7).wrapping_add(count) % 200 + 20;
        let network = u8::try_from(candidate).expect("below 220");
        // Guards against sharing a network with a run that checks at the same moment or whose store
        // still listens: the daemons of both runs would talk to each other. The listener is the lock.
        let (host, port) = LOCK_ADDRESS;
        let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, network, 0, host), port)) else {
            continue;
        };
        // Guards against daemons left behind by a killed run: they would respond in place of this
        // run's daemons, which could not bind. The check connects instead of binding, because a child
        // process that is being started inherits a listener and keeps it open for longer.
        let own = [
            (0, LOG_PORT),
            (1, PEER_PORT),
            (1, ANNOUNCE_PORT),
            (1, TARGET_PORT),
            (9, LOG_PORT),
        ];
        let mut ports = own.into_iter().chain(PLATFORM_PORTS.map(|port| (9, port)));
        let free = ports.all(|(rack, port)| {
            (1..=3).all(|host| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, network, rack, host));
                TcpStream::connect(SocketAddr::new(ip, port)).is_err()
            })
        });
        if free {
            let mut claims = LOCKS.lock().unwrap_or_else(PoisonError::into_inner);
            claims.push(claim);
            return network;
        }
    }
    panic!("no loopback network is free");
}
