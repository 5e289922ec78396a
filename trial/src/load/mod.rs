//! Simulation of overload under each policy, in virtual time.
//!
//! Calls of several kinds arrive at random at every host's ingress. Targets differ in speed, slow down
//! when nearly full, and make nested calls; refused callers retry once. The decisions are made by the
//! product's own code with the clock of the [`simulation`], so a run of one minute takes well under a
//! second and is deterministic.

pub mod kind;
pub mod nested;
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

/// Policy that selects targets and refuses calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Random target, without a concurrency limit.
    Random,
    /// Less loaded of two targets, with a concurrency limit; calls wait until their callers give up.
    TwoChoices,
    /// Least expected time; calls are refused at once if the expected wait is too long.
    Expected,
    /// Like `Expected`, but the time that a retrying caller has waited already is not estimated.
    ExpectedAlike,
    /// Like `Expected`, but refusals don't report load, and the cost of remote targets stays the same
    /// after a refusal.
    ExpectedNear,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Deployment to model: kalahari or hooghly
    #[arg(long, default_value = "hooghly")]
    pub deployment: Deployment,
    /// Load as a multiple of the deployment's usual load
    #[arg(long, default_value_t = 1.6)]
    pub load: f64,
    /// Length of the run, in seconds of virtual time
    #[arg(long, default_value_t = 30)]
    pub seconds: u32,
    /// Seed of the random generator
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One target of the first service is this many times slower for the middle third
    #[arg(long, default_value_t = 1.0)]
    pub slow: f64,
    /// Hosts of the first data centre get this many times as many callers as the others
    #[arg(long, default_value_t = 1.0)]
    pub crowd: f64,
    /// File for a plot of the credit over time, as SVG
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: &'static str,
    /// Policy of the ingresses and sidecars.
    pub policy: Policy,
    /// Credit earned, as a share of the credit of all calls.
    pub credit: f64,
    /// Share of the served calls that were late.
    pub late: f64,
    /// Size of the responses sent between data centres, in kilobytes.
    pub far_kb: f64,
    /// Requests refused by sidecars, per request that ran.
    pub refusals: f64,
    /// Results of each kind of call.
    pub kinds: Vec<Row>,
    /// Credit earned in each second, as a share of the credit of its calls.
    #[serde(skip)]
    pub seconds: Vec<f64>,
}

/// Simulates the load under one policy.
#[must_use]
pub fn run(args: &Args, policy: Policy) -> Report {
    let mut simulation = Simulation::new(args, policy);
    simulation.run();
    simulation.report(policy)
}

/// Formats reports as a table.
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
