//! Calls through daemons to targets during a configuration change and a shutdown, with real processes.

use std::path::PathBuf;

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_through_a_change_and_a_stop() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_jackdaw-trial"));
    let report = jackdaw_trial::path::run(program).await;
    assert!(report.passed, "{report:?}");
}
