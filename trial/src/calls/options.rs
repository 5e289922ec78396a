//! Options of the `calls` trial.

use clap::Parser;
use serde::Serialize;
use strum::{Display, EnumString};

use crate::rig::deployment::Deployment;

/// Fault that is injected into the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault, only the configuration change of every run.
    None,
    /// One whole host and one target are killed and restarted.
    Kill,
    /// One target and one daemon are frozen for a while.
    Freeze,
    /// The platform's log is unavailable for a third of the time.
    LogOutage,
    /// Every target and daemon is shut down gracefully and restarted, one after another.
    Leave,
    /// Callers send twice as much as the slots can serve.
    Surge,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Deployment to model: kalahari or hooghly
    #[arg(long, default_value_t = Deployment::Kalahari)]
    pub deployment: Deployment,
    /// Fault to inject: none, kill, freeze, log-outage, leave or surge
    #[arg(long, default_value_t = Fault::None)]
    pub fault: Fault,
    /// Length of each run, in seconds
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Run only the daemon's default policies, without the baseline for comparison
    #[arg(long)]
    pub no_baseline: bool,
}
