//! CPU time and memory for a view of many members and a large document, for the capacity page.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use clap::Parser;
use jackdawpulley::calls::route::Table;
use jackdawpulley::membership::member::{Health, Member, Offer, Stage};
use jackdawpulley::membership::timing::Timing;
use jackdawpulley::membership::view::View;
use jackdawpulley::units::{DataCentre, Incarnation, Service, Slots};
use jackdawpulley::wire;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::measure::converge::as_f64;
use crate::rig::deployment::document_with_services;
use crate::rig::process::Usage;

/// Number of probe periods to measure.
const ROUNDS: u32 = 200;

/// Arguments of the measurement.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Number of members in the view
    #[arg(long, default_value_t = 4_000)]
    pub members: usize,
    /// Number of services in the document
    #[arg(long, default_value_t = 100)]
    pub services: usize,
}

/// Results of the measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub trial: &'static str,
    /// Number of members in the view.
    pub members: usize,
    /// Memory of the view, in KiB.
    pub view_kib: u64,
    /// Mean time of a tick, in microseconds.
    pub tick_us: f64,
    /// Mean time to handle a received datagram, in microseconds.
    pub receive_us: f64,
    /// Size of the largest datagram sent, in bytes.
    pub datagram_bytes: usize,
    /// Size of the encoded view, in bytes.
    pub welcome_bytes: usize,
    /// Number of services in the document.
    pub services: usize,
    /// Size of the encoded document, in bytes.
    pub document_bytes: usize,
    /// Mean time to hash the document, in microseconds.
    pub hash_us: f64,
    /// Mean time to compile the route table, in microseconds.
    pub compile_us: f64,
    /// Mean time to find a route, in nanoseconds.
    pub find_ns: f64,
}

/// Runs the measurement in this process.
#[must_use]
pub fn run(args: &Args) -> Report {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Instant::now();
    let before = Usage::of_process(std::process::id()).rss_kib;
    let mut view = View::new(member(0), Timing::default());
    for index in 1..args.members {
        view.merge(now, &member(index));
    }
    let view_kib = Usage::of_process(std::process::id())
        .rss_kib
        .saturating_sub(before);
    let mut other = View::new(member(1), Timing::default());
    let (mut ticks, mut receipts) = (Duration::ZERO, Duration::ZERO);
    let mut datagram_bytes = 0;
    for _ in 0..ROUNDS {
        now += Timing::default().probe_period;
        let began = Instant::now();
        let effects = view.tick(now, &mut rng);
        ticks += began.elapsed();
        for send in &effects.sends {
            datagram_bytes = datagram_bytes.max(wire::encode(&send.datagram).len());
        }
        let probe = other.tick(now, &mut rng).sends;
        let datagram = probe.into_iter().next().map(|send| send.datagram);
        let datagram = datagram.unwrap_or_else(|| effects.sends[0].datagram.clone());
        let began = Instant::now();
        let _ = view.receive(now, &datagram);
        receipts += began.elapsed();
    }
    let document = document_with_services(args.services);
    let table = Table::compile(&document);
    let path = document
        .routes
        .last()
        .map_or("/", |route| route.path.as_str());
    let find = time(100_000, || {
        black_box(table.find("GET", None, path));
    });
    Report {
        trial: "scale",
        members: args.members,
        view_kib,
        tick_us: micros(ticks) / f64::from(ROUNDS),
        receive_us: micros(receipts) / f64::from(ROUNDS),
        datagram_bytes,
        welcome_bytes: wire::encode(&view.members()).len(),
        services: args.services,
        document_bytes: wire::encode(&document).len(),
        hash_us: time(ROUNDS, || {
            black_box(document.hash());
        }),
        compile_us: time(ROUNDS, || {
            black_box(Table::compile(&document));
        }),
        find_ns: find * 1_000.0,
    }
}

fn member(index: usize) -> Member {
    let index = u32::try_from(index).expect("a few thousand");
    let ip = IpAddr::V4(Ipv4Addr::from_bits(0x7f01_0000 + index));
    Member {
        peer: SocketAddr::new(ip, 7001),
        operator: SocketAddr::new(ip, 7004),
        data_centre: DataCentre(format!("data-centre-{}", index % 9)),
        incarnation: Incarnation(1_796_000_000_000),
        health: Health::Alive,
        stage: Stage::Serving,
        offer: Some(Offer {
            service: Service(format!("service-{:03}", index % 100)),
            slots: Slots(20),
            start_time: None,
            revision: None,
            open: true,
        }),
        departures: Vec::new(),
    }
}

/// Mean time of an operation, in microseconds.
fn time(times: u32, mut work: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..times {
        work();
    }
    micros(began.elapsed()) / f64::from(times)
}

fn micros(span: Duration) -> f64 {
    as_f64(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)) / 1_000.0
}
