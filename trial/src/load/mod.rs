//! Load in virtual time: what callers get from a policy while there is more work than room.
//!
//! Calls of several kinds arrive at random at every host's entry. Targets differ in speed, slow down
//! when nearly full, and make calls of their own; refused callers come back once. The decisions are
//! the product's own, with the clock of the [`world`] in place of the real one, so a run of a minute
//! takes well under a second and repeats exactly.

pub mod kind;
pub mod plot;
pub mod simulation;
pub mod statistics;

use std::path::PathBuf;

use clap::Parser;
use serde::Serialize;
use strum::{Display, EnumString, VariantArray};

use crate::rig::deployment::Deployment;
use simulation::Simulation;
use statistics::Row;

/// How calls are placed and refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// At random, without any limit.
    Random,
    /// The less loaded of two, with a limit, for as long as the caller waits.
    TwoChoices,
    /// By the time to expect, refused at once where the wait would be too long.
    Expected,
    /// The same, without telling callers that come back from new ones.
    ExpectedAlike,
    /// As expected, but a refusal tells nothing, and the next gate is chosen as the first one was.
    ExpectedNear,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// The deployment: kalahari or hooghly
    #[arg(long, default_value = "hooghly")]
    pub deployment: Deployment,
    /// Load in relation to the deployment's usual one
    #[arg(long, default_value_t = 1.6)]
    pub load: f64,
    /// Length of the run, in seconds of virtual time
    #[arg(long, default_value_t = 30)]
    pub seconds: u32,
    /// Draws all that is random
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One target of the first service is this many times slower for the middle third
    #[arg(long, default_value_t = 1.0)]
    pub slow: f64,
    /// Callers come this many times as often to the first data centre as to the others
    #[arg(long, default_value_t = 1.0)]
    pub crowd: f64,
    /// File for a plot of the credit over time, as SVG
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// What a run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Which trial this is.
    pub trial: &'static str,
    /// Policy of the entries and gates.
    pub policy: Policy,
    /// Credit earned, as a share of what all calls were worth.
    pub credit: f64,
    /// Part of the served calls that were late.
    pub late: f64,
    /// Answers' bytes between data centres, in kilobytes.
    pub far_kb: f64,
    /// Requests that gates refused, for each one that ran.
    pub refusals: f64,
    /// Each kind of call.
    pub kinds: Vec<Row>,
    /// Credit of each second, as a share of what its calls were worth.
    #[serde(skip)]
    pub seconds: Vec<f64>,
}

/// Plays the load under one policy.
#[must_use]
pub fn run(args: &Args, policy: Policy) -> Report {
    let mut world = Simulation::new(args, policy);
    world.play();
    world.report(policy)
}

/// The reports as a table.
#[must_use]
pub fn table(reports: &[Report]) -> String {
    let mut text = format!(
        "{:<15} {:<10} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
        "policy",
        "kind",
        "sent",
        "in time",
        "late",
        "refused",
        "failed",
        "credit",
        "p50 ms",
        "p99 ms"
    );
    let rows = reports.iter().flat_map(|report| {
        let policy = report.policy;
        report
            .kinds
            .iter()
            .map(move |row| format!("{policy:<15} {row}\n"))
    });
    text.extend(rows);
    text
}
