//! What a trial of calls is asked to do.

use clap::Parser;
use serde::Serialize;
use strum::{Display, EnumString};

use crate::rig::deployment::Deployment;

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing, but for a change of configuration.
    None,
    /// One whole host and one target are killed, and come back.
    Kill,
    /// One target and one daemon are stopped for a while.
    Freeze,
    /// The platform log is away for a third of the time.
    LogOutage,
    /// Every target and daemon is stopped as planned and started again, one after another.
    Leave,
    /// Callers send twice what the slots can take.
    Surge,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Deployment to model: kalahari or hooghly
    #[arg(long, default_value_t = Deployment::Kalahari)]
    pub deployment: Deployment,
    /// What is done to it: none, kill, freeze, log-outage, leave or surge
    #[arg(long, default_value_t = Fault::None)]
    pub fault: Fault,
    /// Length of each run
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Only the daemon's default policies, without the baseline beside them
    #[arg(long)]
    pub no_baseline: bool,
}
