//! Stand-ins for the cases of the second review, on the standard library alone.
//!
//! [`Deployment`] starts the store, one upstream and one daemon for each machine, all on loopback addresses of
//! their own. The daemons are the project's own program, started with the settings template of the deploy file.

pub mod client;
pub mod daemon;
pub mod http;
pub mod record;
pub mod store;
pub mod upstream;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daemon::Daemon;
use store::Store;
use upstream::{Behaviour, Upstream};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Time for a deployment to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Ports of a machine, below those that the system gives to outgoing connections. The template fixes the last one.
pub const READY_PORT: u16 = 8_140;
pub const OUTBOUND_PORT: u16 = 8_141;
pub const STORE_PORT: u16 = 8_142;
pub const CONTROL_PORT: u16 = 8_146;
pub const APP_PORT: u16 = 8_147;
pub const PEER_PORT: u16 = 7_660;
const PORTS: [u16; 7] = [
    READY_PORT,
    OUTBOUND_PORT,
    STORE_PORT,
    CONTROL_PORT,
    APP_PORT,
    PEER_PORT,
    9_464,
];

/// Exit status of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

/// Route of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub max_attempts: u32,
}

/// A machine: an upstream and the daemon beside it.
pub struct Machine {
    pub upstream: Arc<Upstream>,
    pub daemon: Daemon,
}

/// Store, upstreams and daemons of one run.
pub struct Deployment {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub folder: PathBuf,
}

impl Deployment {
    /// Starts a deployment with one machine for each service named in `services`, and waits until it is ready.
    pub fn start(
        services: &[&'static str],
        routes: &[Route],
        behaviour: &Behaviour,
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let ips = addresses(services.len() + 1)?;
        let store = Store::start(SocketAddr::new(ips[0], STORE_PORT))?;
        store.put(
            "keyed.op",
            "config",
            configuration("00000001", routes).as_bytes(),
        );
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = ips[index + 1];
            let upstream = Upstream::start(
                SocketAddr::new(ip, APP_PORT),
                service,
                &format!("i-{index:08x}"),
                behaviour.clone(),
            )?;
            let daemon = Daemon::new(index, ip, service, upstream.address, store.address, &folder)?;
            machines.push(Machine { upstream, daemon });
        }
        let mut deployment = Self {
            store,
            machines,
            folder,
        };
        for machine in &mut deployment.machines {
            machine.daemon.start(true)?;
            machine.upstream.announce_to(machine.daemon.control);
        }
        deployment.await_ready()?;
        // Each daemon learns of the other upstreams by gossip.
        std::thread::sleep(Duration::from_secs(4));
        Ok(deployment)
    }

    /// Waits until all daemons are ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        for machine in &self.machines {
            while !machine.daemon.is_ready() {
                if Instant::now() > end {
                    return Err(format!("daemon {} is not ready", machine.daemon.index));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        for machine in &mut self.machines {
            machine.daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The configuration as the operator writes it.
pub fn configuration(version: &str, routes: &[Route]) -> String {
    let mut resources: Vec<String> = Vec::new();
    for (index, route) in routes.iter().enumerate() {
        resources.push(format!(
            "{{\"entry-type\":\"routes\",\"metadata\":{{\"name\":\"r-{index}\"}},\"spec\":{{\"host\":\"{HOST}\",\
             \"path-prefix\":\"{}\",\"kind\":\"{}\",\"timeout-s\":{},\"target-latency-s\":0.5,\"priority\":1,\
             \"service\":\"{}\",\"max-attempts\":{}}}}}",
            route.prefix, route.kind, route.timeout_s, route.service, route.max_attempts
        ));
    }
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(format!(
            "{{\"entry-type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\
             \"spec\":{{\"health-path\":\"/health\",\"max-connections\":130}}}}"
        ));
    }
    resources.push(
        "{\"entry-type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\"max-header-bytes\":16384,\
         \"max-body-bytes\":8388608,\"header-timeout-s\":5.0,\"idle-timeout-s\":20.0}}"
            .to_owned(),
    );
    format!(
        "{{\"version\":\"{version}\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

/// Loopback addresses that nothing uses.
fn addresses(count: usize) -> Result<Vec<IpAddr>, String> {
    let seed = std::process::id();
    for attempt in 0..200_u32 {
        let number = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt.wrapping_mul(7_919));
        let (b, c) = ((number >> 8) % 200 + 20, (number >> 16) % 250 + 1);
        let ips: Vec<IpAddr> = (1..=count)
            .map(|d| IpAddr::V4(Ipv4Addr::new(127, b as u8, c as u8, d as u8)))
            .collect();
        let is_free = |ip: &IpAddr, port| TcpListener::bind(SocketAddr::new(*ip, port)).is_ok();
        if ips
            .iter()
            .all(|ip| PORTS.iter().all(|port| is_free(ip, *port)))
        {
            return Ok(ips);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Whether the disruption is part of the run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
