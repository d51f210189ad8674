//! Validation of the settings of the entry and agent daemons, and their help texts.

use std::process::{Command, Output};

use rstest::rstest;

fn run_daemon(daemon: &str, arguments: &[&str]) -> Output {
    let binary = match daemon {
        "entry" => env!("CARGO_BIN_EXE_bilberry-entry"),
        _ => env!("CARGO_BIN_EXE_bilberry-agent"),
    };
    Command::new(binary)
        .args(arguments)
        .env_clear()
        .output()
        .unwrap()
}

/// Guards against a daemon that reports only the first invalid setting, or starts despite it.
#[rstest]
#[case("entry", &["--max-body", "x"], &["--name", "--data-centre", "--max-body"])]
#[case(
    "agent",
    &["--kind", "x", "--cold-limit", "0"],
    &["--name", "--data-centre", "--target", "--service", "--kind", "cold limit", "control addresses"]
)]
fn all_invalid_settings_are_reported(
    #[case] daemon: &str,
    #[case] arguments: &[&str],
    #[case] reported_settings: &[&str],
) {
    let output = run_daemon(daemon, arguments);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for setting in reported_settings {
        assert!(
            errors.contains(setting),
            "{setting} is not reported: {errors}"
        );
    }
}

/// Guards against a daemon that starts with settings that parse but cannot be used.
#[rstest]
#[case("agent", &["--cold-limit", "9", "--most-slots", "8"], "cold limit")]
#[case("agent", &["--target-url", "ftp://x"], "target URL")]
#[case("agent", &["--listen", "0.0.0.0:0"], "link address")]
#[case("entry", &["--keys", "/no/such/folder"], "keys folder")]
#[case("entry", &["--controls", ""], "control addresses")]
fn unusable_settings_are_rejected(
    #[case] daemon: &str,
    #[case] arguments: &[&str],
    #[case] reported_setting: &str,
) {
    let mut all_arguments = vec!["--name", "n-1", "--data-centre", "praha-1"];
    if daemon == "agent" {
        all_arguments.extend(["--target", "t-1", "--service", "s-1"]);
    }
    all_arguments.extend(arguments);

    let output = run_daemon(daemon, &all_arguments);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(reported_setting), "{errors}");
}

/// Guards against a help text that lacks units or default values.
#[rstest]
#[case("entry", "16777216")]
#[case("agent", "most-slots")]
fn help_states_units_and_defaults(#[case] daemon: &str, #[case] text: &str) {
    let output = run_daemon(daemon, &["--help"]);

    let help = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(help.contains(text), "{help}");
    assert!(help.contains("default"), "{help}");
}
