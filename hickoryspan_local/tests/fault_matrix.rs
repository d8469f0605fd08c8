//! Tests that every test named in the fault matrix exists and that the page is up to date.
//!
//! To regenerate `docs/FAULTS.md` from `docs/faults.csv`, run `HICKORYSPAN_WRITE_FAULTS=1 cargo test -p
//! hickoryspan_local --test fault_matrix`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// Steps of a request, followed by the steps of a state change, in the order of execution.
const STEPS: [&str; 21] = [
    "admit",
    "claim",
    "pin a snapshot",
    "route",
    "send",
    "wait",
    "hedge",
    "merge",
    "answer",
    "cancel",
    "accept",
    "replicate",
    "sync",
    "commit",
    "compact",
    "disseminate",
    "apply",
    "join",
    "renew",
    "drain",
    "leave",
];

struct MatrixCell {
    fault: String,
    step: String,
    test: String,
    reason: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn read_cells() -> Vec<MatrixCell> {
    let text = fs::read_to_string(root().join("docs/faults.csv")).unwrap();
    let cells = text.lines().skip(1).filter(|line| !line.is_empty()).map(|line| {
        let fields: Vec<&str> = line.split(';').collect();
        let [fault, step, test, reason] = fields[..] else { panic!("four fields: {line}") };
        let owned = str::to_owned;
        MatrixCell {
            fault: owned(fault),
            step: owned(step),
            test: owned(test),
            reason: owned(reason),
        }
    });
    cells.collect()
}

/// Returns the file of every function in the `tests` folders of the workspace, by function name.
fn existing_tests() -> BTreeMap<String, String> {
    let mut tests = BTreeMap::new();
    for folder in fs::read_dir(root()).unwrap() {
        let folder = folder.unwrap().path();
        let Ok(files) = fs::read_dir(folder.join("tests")) else { continue };
        for file in files {
            let path = file.unwrap().path();
            if path.extension().is_none_or(|extension| extension != "rs") {
                continue;
            }
            let name = path.strip_prefix(root()).unwrap().display().to_string();
            for line in fs::read_to_string(&path).unwrap().lines() {
                let line = line.strip_prefix("async ").unwrap_or(line);
                let Some(rest) = line.strip_prefix("fn ") else { continue };
                let end = rest.find(['(', '<']).unwrap_or(rest.len());
                tests.insert(rest[..end].to_owned(), name.clone());
            }
        }
    }
    tests
}

fn render(cells: &[MatrixCell], tests: &BTreeMap<String, String>) -> String {
    let mut faults: Vec<&str> = Vec::new();
    for cell in cells {
        if !faults.contains(&cell.fault.as_str()) {
            faults.push(&cell.fault);
        }
    }
    let all = faults.len() * STEPS.len();
    let mut text = String::from("# Fault matrix\n\n");
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "Written from `faults.csv` by the test `fault_matrix`; do not edit. {} faults at {} steps make {all} cells, of \
         which\n{} name a test or a reason; the others are open.\n",
        faults.len(),
        STEPS.len(),
        cells.len()
    );
    text.push_str("| fault | step | test or reason |\n|---|---|---|\n");
    for cell in cells {
        let proof = match tests.get(&cell.test) {
            Some(file) => format!("`{}` in `{file}`", cell.test),
            None => cell.reason.clone(),
        };
        let _ = writeln!(text, "| {} | {} | {proof} |", cell.fault, cell.step);
    }
    text.push_str("\n## Open cells\n\n| fault | steps without a test or reason |\n|---|---|\n");
    for fault in faults {
        let covered: BTreeSet<&str> = cells
            .iter()
            .filter(|cell| cell.fault == fault)
            .map(|cell| cell.step.as_str())
            .collect();
        let open: Vec<&str> = STEPS.into_iter().filter(|step| !covered.contains(step)).collect();
        let _ = writeln!(text, "| {fault} | {} |", open.join(", "));
    }
    text
}

#[test]
fn every_cell_names_an_existing_test_or_a_reason() {
    let tests = existing_tests();
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for cell in read_cells() {
        let place = format!("{} at {}", cell.fault, cell.step);
        if !STEPS.contains(&cell.step.as_str()) {
            problems.push(format!("{place}: unknown step"));
        }
        if !seen.insert(place.clone()) {
            problems.push(format!("{place}: stands twice"));
        }
        let has_test = tests.contains_key(&cell.test);
        if cell.test.is_empty() == cell.reason.is_empty() || (!cell.test.is_empty() && !has_test) {
            problems.push(format!("{place}: names no existing test and no reason: {}", cell.test));
        }
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

#[test]
fn the_page_agrees_with_the_matrix() {
    let page = root().join("docs/FAULTS.md");
    let text = render(&read_cells(), &existing_tests());
    if std::env::var_os("HICKORYSPAN_WRITE_FAULTS").is_some() {
        fs::write(&page, &text).unwrap();
    }
    assert_eq!(fs::read_to_string(page).unwrap(), text);
}
