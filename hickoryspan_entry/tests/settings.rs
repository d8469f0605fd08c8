//! Guards against a daemon that starts with invalid settings or prints its credential.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::process::{Command, Output};

const CREDENTIAL: &str = "a-credential-for-tests";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickoryspan-entry"))
        .args(arguments)
        .env_clear()
        .env("HICKORYSPAN_CREDENTIAL", CREDENTIAL)
        .env("HICKORYSPAN_FAILURE_DOMAIN", "d1")
        .output()
        .unwrap()
}

const VALID_ARGUMENTS: [&str; 4] = [
    "--entry-id=e1",
    "--caller-address=127.0.0.1:0",
    "--admin-address=127.0.0.1:0",
    "--control-addresses=127.0.0.1:7100,127.0.0.1:7101",
];

#[test]
fn invalid_settings_are_all_reported_and_end_the_process() {
    let output = run(&["--check-settings", "--caller-address=here", "--read-time=1h"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for flag in ["entry-id", "caller-address", "admin-address", "control-addresses", "read-time"] {
        assert!(text.contains(&format!("--{flag} (HICKORYSPAN_")), "{flag} is missing in {text}");
    }
    assert!(!text.contains("--failure-domain"), "{text}");
}

#[test]
fn valid_settings_are_printed_without_the_credential() {
    let checked = run(&[&["--check-settings"], VALID_ARGUMENTS.as_slice()].concat());
    assert_eq!((checked.status.code(), checked.stdout.is_empty()), (Some(0), true));
    let printed = run(&[&["--print-settings"], VALID_ARGUMENTS.as_slice()].concat());
    assert_eq!(printed.status.code(), Some(0));
    let text = String::from_utf8(printed.stdout).unwrap();
    for line in ["--entry-id=e1", "--failure-domain=d1", "--read-time=5s", "--body-bytes=65536"] {
        assert!(text.lines().any(|shown| shown == line), "{line} is missing in {text}");
    }
    assert!(!text.contains(CREDENTIAL), "{text}");
}

#[test]
fn help_and_version_need_no_settings() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8(help.stdout).unwrap().contains("--caller-address"));
    let version = run(&["--version"]);
    let expected = concat!("hickoryspan-entry ", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8(version.stdout).unwrap().trim(), expected);
}
