//! Parts of the loopback network, one for each trial.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use jackdaw_trial::rig::loopback::free_network;

/// Port of a target of a small platform.
const WORK: u16 = 8_147;
/// Networks that are claimed.
const NETWORKS: usize = 40;

/// Guards against an address that a process which is just being started still holds.
#[test]
fn free_is_free() {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let _ = Command::new("true").status();
                }
            });
        }
        let taken = (0..NETWORKS).filter(|_| {
            let network = free_network();
            let mut hosts = 1..=3;
            hosts.any(|host| {
                TcpListener::bind((Ipv4Addr::new(127, network, 9, host), WORK)).is_err()
            })
        });
        let taken = taken.count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {NETWORKS}");
    });
}
