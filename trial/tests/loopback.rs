//! Allocation of loopback networks to trials.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use jackdaw_trial::rig::loopback::allocate_network;

/// Port of a target of the simulated platform.
const TARGET_PORT: u16 = 8_147;
/// Number of networks to allocate.
const NETWORK_COUNT: usize = 40;

/// Guards against handing out an address that a process holds while it is being started.
#[test]
fn allocated_networks_are_free() {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let _ = Command::new("true").status();
                }
            });
        }
        let taken = (0..NETWORK_COUNT).filter(|_| {
            let network = allocate_network();
            let mut hosts = 1..=3;
            hosts.any(|host| {
                TcpListener::bind((Ipv4Addr::new(127, network, 9, host), TARGET_PORT)).is_err()
            })
        });
        let taken = taken.count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {NETWORK_COUNT}");
    });
}
