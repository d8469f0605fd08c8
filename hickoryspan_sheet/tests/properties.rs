//! Property tests: written sheets are parsed back unchanged, damaged files never yield a different sheet, and no input
//! causes a panic.

use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::sheet::{
    CallerSpec, ClassSpec, CompletionPolicy, SearchSpec, ServiceKind, ServiceSpec, ShardScope,
    SheetDocument, TenantSheet,
};
use hickoryspan_core::types::{
    CostRate, CostUnits, CoverageShare, ParseValueError, ServiceId, ShardId, SheetNumber,
};
use hickoryspan_sheet::{SheetDifference, SheetReader, removals, write_sheet};
use proptest::collection::{btree_map, btree_set, vec};
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("../../docs/examples/sheet.csv");
/// A sheet with one row of each kind, kept small because a test flips every bit of it.
const SMALL: &str = "\
sheet;number;118;date;2026-12-04;format;1
kind;tenant;name;service;targets;shards;weight;rate;burst;priority;deadline_ms;policy;coverage_floor
service;quindio;sales;;sharded
search;quindio;history;sales;;s1 s2;1,5
caller;quindio;phone;;;;;20;40
class;quindio;fast;;;;;;;9;400;deadline_first;0,9
service;vestera;desk;;single
order;vestera;pull;desk;;all;2
end;quindio;4;vestera;2
";
const NAME: &str = "[a-z][a-z0-9_./:-]{0,8}";
/// Fixed seed, so that failures can be reproduced.
const SEED: u64 = 118;

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn amount() -> impl Strategy<Value = f64> {
    // Thousandths include every number whose shortest form could be read with a thousands separator.
    prop_oneof![0.001..10_000.0, (1_u32..10_000_000).prop_map(|value| f64::from(value) / 1000.0)]
}

fn scope() -> impl Strategy<Value = ShardScope> {
    let shard = "s[a-z0-9-]{0,6}".prop_map(|name| ShardId::new(name).expect("valid name"));
    let listed = btree_set(shard, 1..5).prop_map(|shards| shards.into_iter().collect());
    prop_oneof![Just(ShardScope::All), listed.prop_map(ShardScope::Listed)]
}

fn search(services: Vec<ServiceId>) -> impl Strategy<Value = SearchSpec> {
    (select(services), scope(), amount(), any::<bool>()).prop_map(
        |(service, scope, weight, idempotent)| SearchSpec {
            service,
            scope,
            weight: CostUnits(weight),
            idempotent,
        },
    )
}

fn class() -> impl Strategy<Value = ClassSpec> {
    let policy = select(vec![CompletionPolicy::DeadlineFirst, CompletionPolicy::CoverageFirst]);
    (any::<u8>(), 1_u64..=600_000, policy, 0.0..=1.0).prop_map(
        |(priority, deadline, policy, coverage)| ClassSpec {
            priority,
            deadline: Duration::from_millis(deadline),
            policy,
            coverage_floor: CoverageShare::new(coverage),
        },
    )
}

fn caller() -> impl Strategy<Value = CallerSpec> {
    (amount(), amount())
        .prop_map(|(rate, burst)| CallerSpec { rate: CostRate(rate), burst: CostUnits(burst) })
}

fn name<T: FromStr<Err = ParseValueError> + Debug>() -> impl Strategy<Value = T> {
    NAME.prop_map(|name| name.parse().expect("valid name"))
}

fn tenant() -> impl Strategy<Value = TenantSheet> {
    let kind = select(vec![ServiceKind::Sharded, ServiceKind::Single]);
    let spec = kind.prop_map(|kind| ServiceSpec { kind });
    btree_map(name(), spec, 1..4).prop_flat_map(|services| {
        let searches = btree_map(name(), search(services.keys().cloned().collect()), 0..4);
        let callers = btree_map(name(), caller(), 0..4);
        let classes = btree_map(name(), class(), 0..4);
        (Just(services), searches, callers, classes).prop_map(
            |(services, searches, callers, classes)| TenantSheet {
                services,
                searches,
                callers,
                classes,
            },
        )
    })
}

prop_compose! {
    fn document()(number in 1_u64..1_000_000, day in 1..=28, first in tenant(), second in tenant())
        -> SheetDocument {
        SheetDocument {
            number: SheetNumber(number),
            date: format!("2026-12-{day:02}").into(),
            tenants: [("quindio", first), ("vestera", second)]
                .into_iter()
                .map(|(name, sheet)| (name.parse().expect("valid name"), sheet))
                .collect(),
        }
    }
}

/// Checks that a damaged file yields the same document or is rejected with at least one fault.
fn check_damaged(bytes: &[u8], document: &SheetDocument) -> Result<(), TestCaseError> {
    match SheetReader::default().read(bytes) {
        Ok(read) => prop_assert_eq!(&read, document),
        Err(faults) => prop_assert!(!faults.shown.is_empty()),
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn written_sheets_are_parsed_back(document in document()) {
        let text = write_sheet(&document);
        let read = SheetReader::default().read(text.as_bytes());
        prop_assert_eq!(read.as_ref(), Ok(&document), "{}", text);
    }

    #[test]
    fn changed_bytes_never_yield_a_different_sheet(
        document in document(),
        changes in vec((any::<Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = write_sheet(&document).into_bytes();
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        check_damaged(&bytes, &document)?;
    }

    #[test]
    fn removed_or_repeated_lines_are_refused(
        document in document(),
        line in any::<Index>(),
        is_repeated in any::<bool>(),
    ) {
        let text = write_sheet(&document);
        // Without the digest, the row counts alone must reveal the change.
        let (text, _) = text.split_once(";digest:").unwrap();
        let mut lines: Vec<&str> = text.lines().collect();
        let index = line.index(lines.len());
        if is_repeated {
            lines.insert(index, lines[index]);
        } else {
            lines.remove(index);
        }
        let read = SheetReader::default().read(lines.join("\n").as_bytes());
        prop_assert!(read.is_err());
    }

    #[test]
    fn arbitrary_bytes_are_refused_without_a_panic(bytes in vec(any::<u8>(), 0..2000)) {
        let refusal = SheetReader::default().read(&bytes);
        prop_assert!(refusal.is_err_and(|faults| !faults.shown.is_empty()));
    }

    #[test]
    fn arbitrary_rows_never_panic(rows in "([a-z]{0,6}[;,\"\r\n\t\u{a0}0-9.]{0,4}){0,60}") {
        let header: Vec<&str> = EXAMPLE.lines().take(2).collect();
        let text = format!("{}\n{rows}\nend;quindio;0;vestera;0", header.join("\n"));
        let refusal = SheetReader::default().read(text.as_bytes());
        prop_assert!(refusal.is_err_and(|faults| !faults.shown.is_empty()));
    }

    #[test]
    fn removals_are_exactly_the_rows_missing_in_the_new_sheet(old in document(), new in document()) {
        prop_assert_eq!(SheetDifference::between(&old, &old).changes, []);
        let removed = removals(&old, &new);
        prop_assert_eq!(&removed, &SheetDifference::between(&old, &new).removals());
        for (tenant, sheet) in &old.tenants {
            for caller in sheet.callers.keys() {
                let path = format!("{tenant}/caller/{caller}");
                let is_removed = !new.tenants[tenant].callers.contains_key(caller);
                prop_assert_eq!(removed.iter().any(|removal| **removal == *path), is_removed);
            }
        }
    }
}

/// Guards against a partial upload that replaces the configuration. Truncates the example at every byte, with and
/// without a digest.
#[test]
fn truncated_files_never_yield_a_different_sheet() {
    let document = SheetReader::default().read(EXAMPLE.as_bytes()).unwrap();
    for text in [EXAMPLE, &write_sheet(&document)] {
        for end in 0..text.len() {
            check_damaged(&text.as_bytes()[..end], &document).unwrap();
        }
    }
}

/// Guards against transfers that damage single bits. Flips every bit of a written sheet.
#[test]
fn flipped_bits_never_yield_a_different_sheet() {
    let document = SheetReader::default().read(SMALL.as_bytes()).unwrap();
    let mut bytes = write_sheet(&document).into_bytes();
    for index in 0..bytes.len() {
        for bit in 0..8 {
            bytes[index] ^= 1 << bit;
            check_damaged(&bytes, &document).unwrap();
            bytes[index] ^= 1 << bit;
        }
    }
}
