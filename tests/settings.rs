//! Validation of the daemon's settings.

use clap::{CommandFactory, Parser};
use jackdawpulley::Error;
use jackdawpulley::settings::Settings;

/// Settings with ports on the loopback address 127.0.0.`host`, and `extra` flags.
///
/// The check binds the ports briefly and tests run concurrently, so each test uses its own address.
fn settings(host: u8, extra: &[&str]) -> Settings {
    let address = |port| format!("127.0.0.{host}:{port}");
    let args = [
        "jackdawpulley".to_owned(),
        "--data-centre=eros".to_owned(),
        format!("--peer-addr={}", address(17_001)),
        format!("--call-addr={}", address(17_002)),
        format!("--target-addr={}", address(17_003)),
        format!("--operator-addr={}", address(17_004)),
        format!("--log-addr={}", address(17_000)),
    ];
    let args = args
        .into_iter()
        .chain(extra.iter().map(|flag| (*flag).to_owned()));
    Settings::try_parse_from(args).expect("the flags are known")
}

fn faults(settings: &Settings) -> Vec<String> {
    match settings.check() {
        Err(Error::Settings { faults }) => faults,
        _ => Vec::new(),
    }
}

#[test]
fn all_faults_are_reported_together() {
    let mut wrong = settings(9, &["--readers", "0", "--probe-timeout-ms", "2000"]);
    wrong.data_centre = " ".into();
    wrong.call_addr = wrong.peer_addr;
    wrong.target_addr = "192.0.2.1:1".parse().expect("an address");
    let faults = faults(&wrong);
    for part in [
        "--readers",
        "--probe-timeout-ms",
        "--data-centre",
        "--call-addr",
        "loopback",
    ] {
        assert!(
            faults.iter().any(|fault| fault.contains(part)),
            "{part} in {faults:?}"
        );
    }
}

#[test]
fn valid_settings_pass() {
    assert_eq!(faults(&settings(8, &[])), Vec::<String>::new());
}

#[test]
fn every_flag_has_a_variable_and_is_documented() {
    let page = include_str!("../docs/OPERATORS.md");
    let command = Settings::command();
    for arg in command.get_arguments() {
        let Some(flag) = arg.get_long().filter(|flag| *flag != "check-settings") else {
            continue;
        };
        assert!(
            arg.get_env().is_some(),
            "--{flag} has no environment variable"
        );
        assert!(
            page.contains(&format!("`--{flag}`")),
            "--{flag} is not in docs/OPERATORS.md"
        );
    }
}
