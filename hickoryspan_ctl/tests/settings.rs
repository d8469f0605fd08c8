//! Checks that all invalid settings are reported at once, and that the settings page of the documentation matches
//! `--help`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::process::{Command, Output};

use gumdrop::Options;
use hickoryspan_control::ControlOptions;
use hickoryspan_ctl::arguments::{CtlArguments, help_text};
use hickoryspan_runtime::settings::variable_name;

const SECRET: &str = "a-credential-for-tests";
const PAGE: &str = include_str!("../../docs/operations/settings.md");
/// Flags without an environment variable, because they only print something and exit.
const FLAGS_WITHOUT_VARIABLE: [&str; 4] = ["help", "version", "check-settings", "print-settings"];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickoryspan-ctl"))
        .args(arguments)
        .env_clear()
        .env("HICKORYSPAN_CREDENTIAL", SECRET)
        .output()
        .unwrap()
}

#[test]
fn invalid_settings_are_all_reported_and_end_the_process() {
    let wrong = ["--timeout=5x", "--control-addresses=here", "--command-id=a b"];
    let output = run(&[wrong.as_slice(), &["drain", "target", "a b"]].concat());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for flag in ["timeout", "control-addresses", "command-id", "operator"] {
        assert!(text.contains(&format!("--{flag} (HICKORYSPAN_")), "{flag} is missing in {text}");
    }
    assert!(text.contains("TargetId: \"a b\""), "{text}");
    assert!(!text.contains(SECRET), "{text}");
}

#[test]
fn invalid_arguments_end_the_process() {
    for arguments in [
        ["replica", "add", "7", "0.0.0.0:7100", "10.0.0.1:7101"].as_slice(),
        &["drain", "host", "a"],
        &["sheet"],
        &[],
        &["sheet", "check", "no-such-file", "--offline"],
    ] {
        assert_eq!(run(arguments).status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn version_needs_no_settings() {
    let output = run(&["--version"]);
    let expected = concat!("hickoryspan-ctl ", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8(output.stdout).unwrap().trim(), expected);
}

/// Names and descriptions of flags and arguments.
type FlagTable = BTreeSet<(String, String)>;

struct HelpPage {
    flags: FlagTable,
    commands: Vec<String>,
}

fn read_help(help: &str) -> HelpPage {
    let mut rows: Vec<(String, String)> = Vec::new();
    let (mut commands, mut section) = (Vec::new(), "");
    for line in help.lines() {
        let text = line.trim();
        match line.strip_prefix("  ") {
            None => section = text,
            Some(rest) if section == "Commands:" => {
                commands.extend(rest.split(' ').next().map(str::to_owned));
            }
            Some(rest) if !rest.starts_with(' ') => {
                let (name, meaning) = text.split_once("  ").unwrap_or((text, ""));
                rows.push((name.to_owned(), meaning.trim().to_owned()));
            }
            Some(_) => rows.last_mut().unwrap().1.push_str(text),
        }
    }
    HelpPage { flags: rows.into_iter().collect(), commands }
}

/// Collects the flags of a command and all its subcommands from their help texts.
fn collect_commands(path: &[String], found: &mut BTreeMap<String, FlagTable>) {
    let arguments = [path, &["--help".to_owned()]].concat();
    let parsed = CtlArguments::parse_args_default(&arguments).unwrap();
    let help = read_help(&help_text(&parsed));
    found.insert([&["hickoryspan-ctl".to_owned()], path].concat().join(" "), help.flags);
    for command in help.commands {
        collect_commands(&[path, &[command]].concat(), found);
    }
}

/// Reads the tables of the settings page by heading and checks the environment variables of the flags.
fn page_tables() -> BTreeMap<String, FlagTable> {
    let mut tables: BTreeMap<String, FlagTable> = BTreeMap::new();
    let mut heading = String::new();
    for line in PAGE.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            heading = title.trim_matches('`').to_owned();
        }
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        if !line.starts_with("| `") {
            continue;
        }
        let name = cells[0].trim_matches('`').to_owned();
        if let [_, variable, _] = cells[..] {
            let flag = name.split(' ').next().unwrap().trim_start_matches("--");
            let expected = match FLAGS_WITHOUT_VARIABLE.contains(&flag) {
                true => "-".to_owned(),
                false => format!("`{}`", variable_name(flag)),
            };
            assert_eq!(variable, expected, "{heading} {name}");
        }
        let meaning = (*cells.last().unwrap()).to_owned();
        tables.entry(heading.clone()).or_default().insert((name, meaning));
    }
    tables
}

#[test]
fn the_settings_page_agrees_with_the_help_of_both_programs() {
    let mut expected = BTreeMap::new();
    collect_commands(&[], &mut expected);
    let control = read_help(ControlOptions::usage());
    expected.insert("hickoryspan-control".to_owned(), control.flags);
    // Commands whose only flag is --help have no table.
    expected.retain(|_, flags| flags.len() > 1);
    assert_eq!(page_tables(), expected);
}
