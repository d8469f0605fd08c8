//! Tests that a process starts only with completely checked settings, and that the credential is never printed.

use std::collections::HashMap;
use std::time::Duration;

use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::settings::{SettingsReader, variable_name};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use rstest::rstest;

fn reader(variables: &[(&str, &str)]) -> SettingsReader {
    let variables: HashMap<String, String> =
        variables.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect();
    SettingsReader::new(move |name| variables.get(name).cloned())
}

#[test]
fn flags_take_precedence_over_variables() {
    let mut settings = reader(&[("HICKORYSPAN_LIMIT", "3")]);
    assert_eq!(settings.with_default("limit", Some("4"), 5u32, "a number", |_| true), 4);
    assert_eq!(settings.with_default("limit", None, 5u32, "a number", |_| true), 3);
    assert_eq!(variable_name("listen-address"), "HICKORYSPAN_LISTEN_ADDRESS");
}

#[test]
fn all_faults_are_reported_together() {
    let mut settings = reader(&[("HICKORYSPAN_LEASE", "1h")]);
    settings.required::<u32>("port", None, "a port", |_| true);
    settings.with_default("limit", Some("many"), 5u32, "a number", |_| true);
    let second = Duration::from_secs(1);
    settings.duration("lease", None, second, second..=10 * second);
    let faults = settings.finish().unwrap_err();
    assert_eq!(faults.0.len(), 3);
    let text = faults.to_string();
    assert!(text.contains("--port (HICKORYSPAN_PORT): missing; expected a port"), "{text}");
    assert!(text.contains("\"1h\" is not accepted; expected a duration from 1s to 10s"), "{text}");
}

#[test]
fn the_credential_is_never_printed() {
    const SECRET: &str = "0123456789abcdef-secret";
    let mut settings = reader(&[("HICKORYSPAN_CREDENTIAL", SECRET)]);
    let credential = settings.credential(None).unwrap();
    assert!(!format!("{credential:?}{:?}", settings.finish()).contains(SECRET));
    let mut short = reader(&[("HICKORYSPAN_CREDENTIAL", "too-short-secret"), ("X", "")]);
    assert!(short.credential(None).is_some());
    let mut short = reader(&[("HICKORYSPAN_CREDENTIAL", "short-secret")]);
    assert!(short.credential(None).is_none());
    assert!(!short.finish().unwrap_err().to_string().contains("short-secret"));
}

#[rstest]
#[case("Bearer 0123456789abcdef", true)]
#[case("Bearer 0123456789abcdeg", false)]
#[case("Bearer 0123456789abcde", false)]
#[case("0123456789abcdef", false)]
fn only_the_exact_credential_is_accepted(#[case] value: &str, #[case] accepted: bool) {
    let credential = SharedCredential::new("0123456789abcdef").unwrap();
    let mut headers = HeaderMap::new();
    assert!(!credential.matches_headers(&headers));
    headers.insert(AUTHORIZATION, value.parse().unwrap());
    assert_eq!(credential.matches_headers(&headers), accepted);
}
