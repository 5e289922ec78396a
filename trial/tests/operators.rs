//! Output and exit statuses of `jackdawctl` and the daemon, run as processes.

mod common;

use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use common::{document, fleet, places};
use jackdaw_trial::rig::fleet::{Fleet, wait_until};
use jackdaw_trial::stand_in::log::{Faults, Mode};
use jackdawpulley::teams::key::Key;
use jackdawpulley::teams::team::Team;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);

fn write(fleet: &Fleet, name: &str, text: &str) -> String {
    let path: PathBuf = fleet.logs().join(name);
    std::fs::write(&path, text).expect("the temporary folder can be written");
    path.to_string_lossy().into_owned()
}

fn parse_json(out: &str) -> Value {
    serde_json::from_str(out).unwrap_or_default()
}

async fn run_program(args: &[&str]) -> Output {
    let program = Path::new(env!("CARGO_BIN_EXE_jackdaw-trial"));
    let output = tokio::process::Command::new(program)
        .args(args)
        .output()
        .await;
    output.expect("the program can be started")
}

#[tokio::test(flavor = "multi_thread")]
async fn results_have_exit_statuses() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(2, 1)).await;
    let text = serde_json::to_string(&document(1)).expect("a document is JSON");
    let good = write(&fleet, "good.json", &text);
    let bad = write(
        &fleet,
        "bad.json",
        r#"{"routes":[{"name":"a","path":"b","group":"c","retry":"d"}]}"#,
    );
    let odd = write(&fleet, "odd.json", r#"{"rotues":[]}"#);
    assert_eq!(fleet.run_ctl(0, &["check", &good]).await.0, Some(0));
    assert_eq!(fleet.run_ctl(0, &["check", &bad]).await.0, Some(4));
    assert_eq!(fleet.run_ctl(0, &["check", &odd]).await.0, Some(4));
    assert_eq!(
        fleet.run_ctl(0, &["check", "/nowhere.json"]).await.0,
        Some(1)
    );
    let (status, out) = fleet
        .run_ctl(0, &["apply", &good, "--base", "0", "--id", "first"])
        .await;
    assert_eq!(status, Some(0), "{out}");
    let version = parse_json(&out)["version"].clone();
    let (status, out) = fleet
        .run_ctl(1, &["apply", &good, "--base", "0", "--id", "first"])
        .await;
    assert_eq!(
        (status, &parse_json(&out)["version"]),
        (Some(0), &version),
        "published again: {out}"
    );
    assert_eq!(
        fleet
            .run_ctl(1, &["apply", &good, "--base", "0", "--id", "second"])
            .await
            .0,
        Some(3)
    );
    assert_eq!(
        fleet.run_ctl(1, &["apply", &good, "--force"]).await.0,
        Some(0)
    );
    let (status, out) = fleet.run_ctl(0, &["diff", &good]).await;
    assert_eq!(
        (status, parse_json(&out)["changes"].as_array().map(Vec::len)),
        (Some(0), Some(0))
    );
    assert_eq!(fleet.run_ctl(0, &["nonsense"]).await.0, Some(2));
}

/// Guards against a command that prints a key, and a printed document that is published.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_printed_as_digests() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(1, 1)).await;
    let mut document = document(1);
    document.teams = vec![Team {
        name: "north".to_owned(),
        keys: vec![Key::from("a-secret-key".to_owned())],
        ..Team::default()
    }];
    let text = serde_json::to_string(&document).expect("a document is JSON");
    let first = write(&fleet, "first.json", &text);
    let changed = write(
        &fleet,
        "changed.json",
        &text.replace("secret", "new-secret"),
    );
    assert_eq!(fleet.run_ctl(0, &["apply", &first]).await.0, Some(0));
    let (_, shown) = fleet.run_ctl(0, &["show"]).await;
    assert!(shown.contains("hidden key-"), "{shown}");
    let printed = write(
        &fleet,
        "printed.json",
        &parse_json(&shown)["document"].to_string(),
    );
    let (status, refused) = fleet.run_ctl(0, &["apply", &printed]).await;
    assert_eq!(status, Some(4), "{refused}");
    for (file, changes) in [(&first, 0), (&changed, 1)] {
        let (_, out) = fleet.run_ctl(0, &["diff", file]).await;
        let found = parse_json(&out)["changes"].as_array().map(Vec::len);
        assert_eq!(found, Some(changes), "{out}");
    }
    let (_, state) = fleet.run_ctl(0, &["state"]).await;
    assert_eq!(parse_json(&state)["teams"], 1);
    let (_, summaries) = fleet.run_ctl(0, &["status"]).await;
    assert_eq!(parse_json(&summaries)[0]["teams"], 1, "{summaries}");
    assert!(!format!("{shown}{refused}{state}{summaries}").contains("secret"));
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_report_daemon_stage() {
    let mut fleet = fleet(&["--log-patience-ms", "60000"]).await;
    fleet.add_hosts(&places(1, 1)).await;
    fleet
        .set_log_faults(Faults {
            mode: Mode::Hang,
            ..Faults::default()
        })
        .await;
    // Without the log or peers, the restarted daemon can't learn which version it needs.
    fleet.kill_daemon(0);
    fleet.start_daemon(0);
    let starting = wait_until(TIMEOUT, || async {
        let (status, out) = fleet.run_ctl(0, &["state"]).await;
        status == Some(0) && parse_json(&out)["stage"] == "starting"
    });
    assert!(starting.await);
    let (status, out) = fleet
        .run_ctl(0, &["status", "--watch", "1", "--patience-ms", "1"])
        .await;
    assert_eq!(status, Some(1), "{out}");
    let address = fleet.hosts[0].operator_address().to_string();
    let (status, out) = fleet.run_ctl(0, &["drain", &address]).await;
    assert_eq!(
        (status, parse_json(&out)["stage"].as_str()),
        (Some(0), Some("draining")),
        "{out}"
    );
    let daemon = fleet.hosts[0].daemon.as_mut().expect("it was started");
    let ended = wait_until(TIMEOUT, || {
        std::future::ready(daemon.exit_status().is_some())
    })
    .await;
    assert!(ended);
    assert_eq!(
        daemon.exit_status().and_then(|status| status.code()),
        Some(0)
    );
    let (status, out) = fleet.run_ctl(0, &["show"]).await;
    assert_eq!(status, Some(1));
    assert!(
        parse_json(&out)["error"]
            .as_str()
            .is_some_and(|text| text.contains("cannot reach"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_are_listed() {
    let right = [
        "daemon",
        "--data-centre",
        "eros",
        "--peer-addr",
        "127.0.0.8:17001",
        "--call-addr",
        "127.0.0.8:17002",
        "--target-addr",
        "127.0.0.8:17003",
        "--operator-addr",
        "127.0.0.8:17004",
        "--log-addr",
        "127.0.0.8:17000",
        "--check-settings",
    ];
    assert_eq!(run_program(&right).await.status.code(), Some(0));
    let wrong: Vec<&str> = right
        .into_iter()
        .chain(["--readers", "0", "--fanout", "0"])
        .collect();
    let output = run_program(&wrong).await;
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.contains("--readers") && stderr.contains("--fanout"),
        "{stderr}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_documented() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(1, 1)).await;
    let version = fleet.publish_document(0, document(1)).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    let call = jackdaw_trial::rig::session::send_once(
        fleet.hosts[0].call_address(),
        http::Method::GET,
        "/titles",
        "",
    );
    assert!(call.await.is_ok());
    let metrics = jackdaw_trial::rig::session::send_once(
        fleet.hosts[0].operator_address(),
        http::Method::GET,
        "/metrics",
        "",
    );
    let text =
        String::from_utf8_lossy(&metrics.await.expect("a complete response").body).into_owned();
    let page = include_str!("../../docs/OPERATORS.md");
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .collect();
    assert!(names.len() >= 5, "{text}");
    for name in names.iter().filter_map(|line| line.split(' ').next()) {
        assert!(page.contains(name), "{name} is not in docs/OPERATORS.md");
    }
}
