//! Settings of the entry and agent daemons.

use std::process::{Command, Output};

use rstest::rstest;

fn run(daemon: &str, arguments: &[&str]) -> Output {
    let path = match daemon {
        "entry" => env!("CARGO_BIN_EXE_bilberry-entry"),
        _ => env!("CARGO_BIN_EXE_bilberry-agent"),
    };
    Command::new(path)
        .args(arguments)
        .env_clear()
        .output()
        .unwrap()
}

/// Guards against a start that shows one fault at a time, or runs with faulty settings.
#[rstest]
#[case("entry", &["--max-body", "x"], &["--name", "--data-centre", "--max-body"])]
#[case(
    "agent",
    &["--kind", "x", "--cold-limit", "0"],
    &["--name", "--data-centre", "--target", "--service", "--kind", "cold limit", "control addresses"]
)]
fn every_fault_is_listed(
    #[case] daemon: &str,
    #[case] arguments: &[&str],
    #[case] faults: &[&str],
) {
    let output = run(daemon, arguments);

    let listed = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{listed}");
    for fault in faults {
        assert!(listed.contains(fault), "{fault} is not in {listed}");
    }
}

/// Guards against settings that read well but cannot work.
#[rstest]
#[case("agent", &["--cold-limit", "9", "--most-slots", "8"], "cold limit")]
#[case("agent", &["--target-url", "ftp://x"], "target URL")]
#[case("agent", &["--listen", "0.0.0.0:0"], "link address")]
#[case("entry", &["--keys", "/no/such/folder"], "keys folder")]
#[case("entry", &["--controls", ""], "control addresses")]
fn settings_that_cannot_work_are_refused(
    #[case] daemon: &str,
    #[case] arguments: &[&str],
    #[case] fault: &str,
) {
    let mut all = vec!["--name", "n-1", "--data-centre", "praha-1"];
    if daemon == "agent" {
        all.extend(["--target", "t-1", "--service", "s-1"]);
    }
    all.extend(arguments);

    let output = run(daemon, &all);

    let listed = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{listed}");
    assert!(listed.contains(fault), "{listed}");
}

/// Guards against help that lacks a unit or a default.
#[rstest]
#[case("entry", "16777216")]
#[case("agent", "most-slots")]
fn help_names_units_and_defaults(#[case] daemon: &str, #[case] text: &str) {
    let output = run(daemon, &["--help"]);

    let help = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(help.contains(text), "{help}");
    assert!(help.contains("default"), "{help}");
}
