//! Calls through daemons to targets during a configuration change and a shutdown, with real processes.

use std::path::PathBuf;

#[tokio::test(flavor = "multi_thread")]
async fn calls_survive_change_and_shutdown() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_jackdaw-trial"));
    let report = jackdaw_trial::path::run(program).await;
    assert!(report.passed, "{report:?}");
}
