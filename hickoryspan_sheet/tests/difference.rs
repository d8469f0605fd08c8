//! Checks that the comparison of two sheets reports every removal under the name that operators confirm.

use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_sheet::{SheetDifference, SheetReader, removals};

const EXAMPLE: &str = include_str!("../../docs/examples/sheet.csv");

fn read(text: &str) -> SheetDocument {
    SheetReader::default().read(text.as_bytes()).expect("the sheet has no fault")
}

fn changed_example() -> SheetDocument {
    let text = EXAMPLE
        .replace("sheet;number;118;date;2026-12-04", "sheet;number;119;date;2026-12-05")
        .replace("caller;quindio;plant-floor", "caller;quindio;plant-hall")
        .replace("order;vestera;plate-pull", "search;vestera;plate-pull")
        .replace("plate-check;sales-console;;all;1,5", "plate-check;sales-console;;all;2");
    read(&text)
}

#[test]
fn difference_is_readable_and_serializable() {
    let difference = SheetDifference::between(&read(EXAMPLE), &changed_example());
    let expected = "sheet 118 of 2026-12-04 to sheet 119 of 2026-12-05: 5 changed rows
removed quindio/caller/plant-floor: rate 40, burst 80
added quindio/caller/plant-hall: rate 40, burst 80
changed quindio/search/plate-check: from service sales-console, shards all, weight 1.5 \
to service sales-console, shards all, weight 2
removed vestera/order/plate-pull: service restorers-desk, shards all, weight 2
added vestera/search/plate-pull: service restorers-desk, shards all, weight 2";
    assert_eq!(difference.to_string(), expected);
    let text = serde_json::to_string(&difference).unwrap();
    assert_eq!(serde_json::from_str::<SheetDifference>(&text).unwrap(), difference);
}

#[test]
fn removals_are_named_by_tenant_kind_and_name() {
    let names = removals(&read(EXAMPLE), &changed_example());
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    assert_eq!(names, ["quindio/caller/plant-floor", "vestera/order/plate-pull"]);
}

#[test]
fn removed_tenant_lists_each_of_its_rows() {
    let old = read(EXAMPLE);
    let mut new = old.clone();
    new.tenants.remove(&"vestera".parse().unwrap());
    assert_eq!(removals(&old, &new).len(), 19);
    assert!(removals(&new, &old).is_empty());
}
