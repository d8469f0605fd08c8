//! Tests that a control replica rejects invalid settings and never prints its credential.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::process::{Command, Output};

const SECRET: &str = "a-credential-for-tests";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickoryspan-control"))
        .args(arguments)
        .env_clear()
        .env("HICKORYSPAN_CREDENTIAL", SECRET)
        .output()
        .unwrap()
}

#[test]
fn all_invalid_settings_are_listed_before_exit() {
    let wrong = ["--peer-address=here", "--http-address=0.0.0.0:7101", "--initialize=again"];
    let limits = ["--max-body-bytes=1", "--max-connections=0", "--read-time=1h", "--drain-time=0s"];
    let output = run(&[wrong.as_slice(), &limits, &["--log-level=loud"]].concat());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for argument in wrong.iter().chain(&limits).chain(&["--data-folder=", "--log-level="]) {
        let flag = argument.split('=').next().unwrap();
        assert!(text.contains(&format!("{flag} (HICKORYSPAN_")), "{flag} is missing in {text}");
    }
    assert!(!text.contains(SECRET), "{text}");
}

#[test]
fn settings_are_printed_without_the_credential() {
    let output = run(&["--print-settings", "--data-folder=data", "--read-time=250ms"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    for line in ["--data-folder=data", "--read-time=250ms", "--http-address=127.0.0.1:7101"] {
        assert!(text.lines().any(|shown| shown == line), "{line} is missing in {text}");
    }
    assert!(!text.contains(SECRET), "{text}");
}

// Initializing a folder again would start a second deployment that accepts contradicting sheets.
#[test]
fn a_folder_is_initialized_once_and_must_exist() {
    let folder = tempfile::tempdir().unwrap();
    let folder = format!("--data-folder={}", folder.path().join("data").display());
    assert_eq!(run(&[&folder]).status.code(), Some(1));
    let first = run(&[&folder, "--initialize=first"]);
    assert_eq!(first.status.code(), Some(0));
    assert!(String::from_utf8(first.stdout).unwrap().starts_with("initialized replica "));
    for role in ["--initialize=first", "--initialize=additional"] {
        assert_eq!(run(&[&folder, role]).status.code(), Some(1));
    }
}
