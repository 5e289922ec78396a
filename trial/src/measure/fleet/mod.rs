//! Time until a whole fleet knows a change of its members, and the traffic that it takes.
//!
//! The membership views of all daemons run in one process, on a virtual clock and a seeded
//! [`network`]. The views are the product's own. The versions of the configuration, the calls to
//! the control plane and everything else that needs a socket are left out.

pub mod network;
pub mod plot;

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use jackdawpulley::units::Millis;
use serde::Serialize;

use network::{Expectation, Network, Traffic};

/// Interval between two looks at what the views know.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which daemons announce their targets, and over which killed ones come back.
const SPREAD: Duration = Duration::from_secs(1);
/// Time until killed daemons come back.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// One daemon in this many crashes.
const CRASH_INTERVAL: usize = 7;
/// Daemons of each twenty that are killed and come back.
const KILLED_OF_TWENTY: usize = 11;

/// Arguments of the measurement.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Numbers of daemons, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300])]
    pub daemons: Vec<usize>,
    /// Number of data centres
    #[arg(long, default_value_t = 6)]
    pub data_centres: usize,
    /// Length of each run, in seconds of virtual time
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Share of the datagrams that are lost, from 0 to 1
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Seed of the random generator
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plot the times into this SVG file
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Results for one size of the fleet; a time is missing if it exceeds the run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub trial: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// All targets announce themselves within a second.
    pub announced: Spread,
    /// A seventh of the daemons crashes.
    pub crashed: Spread,
    /// Most daemons are killed and come back with the view of one other daemon.
    pub returned: Spread,
}

/// How a change spreads, over all pairs of daemons.
#[derive(Debug, Clone, Serialize)]
pub struct Spread {
    /// Time until half of the pairs know.
    pub half_ms: Option<u64>,
    /// Time until nine in ten pairs know.
    pub most_ms: Option<u64>,
    /// Time until all pairs know.
    pub all_ms: Option<u64>,
    /// Share of the pairs that know at the end.
    pub known: f64,
    /// Live daemons that some other daemon considers gone at the end.
    pub lost: usize,
    /// Traffic of the run.
    pub traffic: Traffic,
}

/// Runs the measurement for one size of the fleet.
#[must_use]
pub fn run(args: &Args, daemons: usize) -> Report {
    let network = || Network::new(daemons, args.data_centres, args.loss, args.seed);
    Report {
        trial: "fleet",
        daemons,
        announced: announced(network(), args),
        crashed: crashed(network(), args),
        returned: returned(network(), args),
    }
}

fn announced(mut network: Network, args: &Args) -> Spread {
    for index in 0..network.len() {
        let at = network.random_time(SPREAD);
        network.announce_at(at, index);
    }
    observe(network, args, |_| Expectation::Live)
}

fn crashed(mut network: Network, args: &Args) -> Spread {
    for index in (0..network.len()).step_by(CRASH_INTERVAL) {
        network.kill(index);
    }
    observe(network, args, |index| {
        if index % CRASH_INTERVAL == 0 {
            Expectation::Gone
        } else {
            Expectation::Unchanged
        }
    })
}

fn returned(mut network: Network, args: &Args) -> Spread {
    let is_killed = |index: usize| index * KILLED_OF_TWENTY % 20 < KILLED_OF_TWENTY;
    for index in (0..network.len()).filter(|index| is_killed(*index)) {
        network.kill(index);
        let at = RESTART_DELAY + network.random_time(SPREAD);
        network.restart_at(at, index);
    }
    observe(network, args, |index| {
        if is_killed(index) {
            Expectation::Live
        } else {
            Expectation::Unchanged
        }
    })
}

/// Runs a network and records when its views meet the expectation of each daemon.
fn observe(mut network: Network, args: &Args, expect: impl Fn(usize) -> Expectation) -> Spread {
    let expected: Vec<Expectation> = (0..network.len()).map(expect).collect();
    let (mut half, mut most, mut all) = (None, None, None);
    let mut known = 0.0;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(args.seconds) {
        now += SAMPLE_INTERVAL;
        network.run_until(now);
        if all.is_some() {
            continue;
        }
        known = network.share_known(&expected);
        let ms = Millis::from(now).0;
        half = half.or((known >= 0.5).then_some(ms));
        most = most.or((known >= 0.9).then_some(ms));
        all = (known >= 1.0).then_some(ms);
    }
    Spread {
        half_ms: half,
        most_ms: most,
        all_ms: all,
        known,
        lost: network.count_lost(),
        traffic: network.traffic(),
    }
}
