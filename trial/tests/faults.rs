//! Calls under load and faults, checked against the histories of callers and targets.

mod common;

use std::path::PathBuf;

use jackdaw_trial::calls::options::{Args, Fault};
use jackdaw_trial::calls::{Policy, run};
use jackdaw_trial::rig::deployment::Deployment;

/// Injects one fault and checks that the outcomes reported to callers match what targets ran.
async fn check_fault(deployment: Deployment, fault: Fault) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_jackdaw-trial"));
    let args = Args {
        deployment,
        fault,
        seconds: 8,
        no_baseline: true,
    };
    let report = run(program, &args, Policy::Default).await;
    assert!(report.counts.clean(), "{report:?}");
    assert!(report.counts.answered > 0, "{report:?}");
    if matches!(fault, Fault::Leave | Fault::LogOutage) {
        assert_eq!(report.reads_lost, 0, "{report:?}");
    }
}

/// Guards against outcomes that contradict what targets ran, with hosts killed, shut down gracefully
/// or overloaded. The faults run one after the other, since each needs the whole machine.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_match_runs() {
    check_fault(Deployment::Hooghly, Fault::Kill).await;
    check_fault(Deployment::Kalahari, Fault::Leave).await;
    check_fault(Deployment::Kalahari, Fault::Surge).await;
}
