//! Checks that valid sheets are parsed in all their variants, and that damaged or ambiguous ones are rejected with the
//! position of every fault.

use std::time::Duration;

use hickoryspan_core::sheet::{CompletionPolicy, ShardScope, SheetDocument};
use hickoryspan_core::types::ByteCount;
use hickoryspan_sheet::{
    FaultKind, RowCount, SheetDate, SheetFaults, SheetReader, SheetRules, write_sheet,
};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../docs/examples/sheet.csv");
const SMALL: &str = "\
sheet;number;118;date;2026-12-04;format;1
kind;tenant;name;service;targets;shards;weight;rate;burst;priority;deadline_ms;policy;coverage_floor;note
service;quindio;sales;;sharded;;;;;;;;;
search;quindio;history;sales;;s1 s2;1,5;;;;;;;
caller;quindio;phone;;;;;20;40;;;;;Teléfono
class;quindio;fast;;;;;;;9;400;deadline_first;0,9;
service;vestera;desk;;single;;;;;;;;;
order;vestera;pull;desk;;all;2;;;;;;;
end;quindio;4;vestera;2
";

fn rules() -> SheetRules {
    SheetRules { expected_date: "2026-12-04".parse().ok(), ..SheetRules::default() }
}

fn read(text: &str) -> Result<SheetDocument, SheetFaults> {
    SheetReader::new(rules()).read(text.as_bytes())
}

fn faults(text: &str) -> Vec<(u32, u32, FaultKind)> {
    let faults = read(text).expect_err("the sheet has a fault");
    let position = |fault: &hickoryspan_sheet::SheetFault| {
        assert!(!fault.found.is_empty() && !fault.accepted.is_empty());
        (fault.position.line, fault.position.column, fault.kind)
    };
    faults.shown.iter().map(position).collect()
}

#[test]
fn example_sheet_is_parsed_with_both_tenants() {
    let document = read(EXAMPLE).unwrap();
    let quindio = &document.tenants[&"quindio".parse().unwrap()];
    let vestera = &document.tenants[&"vestera".parse().unwrap()];
    assert!(!quindio.searches[&"print-order".parse().unwrap()].idempotent);
    assert_eq!(quindio.searches[&"plate-check".parse().unwrap()].weight.0, 1.5);
    let plant = &quindio.classes[&"plant".parse().unwrap()];
    assert_eq!(plant.policy, CompletionPolicy::DeadlineFirst);
    assert_eq!(plant.deadline, Duration::from_millis(250));
    let thorough = &vestera.classes[&"thorough".parse().unwrap()];
    assert_eq!(thorough.policy, CompletionPolicy::CoverageFirst);
    let portraits = &vestera.searches[&"portraits".parse().unwrap()].scope;
    assert!(matches!(portraits, ShardScope::Listed(shards) if shards.len() == 3));
    assert_eq!(read(&write_sheet(&document)), Ok(document));
}

/// Spreadsheets save files with different encodings, line ends and delimiters, which must not change the content.
#[rstest]
#[case::byte_order_mark(format!("\u{feff}{SMALL}"))]
#[case::carriage_returns(SMALL.replace('\n', "\r\n"))]
#[case::old_line_ends(SMALL.replace('\n', "\r"))]
#[case::tabs(SMALL.replace(';', "\t"))]
#[case::commas(SMALL.replace("1,5", "\"1,5\"").replace("0,9", "\"0,9\"").replace(';', ","))]
#[case::decimal_points(SMALL.replace("1,5", "1.5").replace("0,9", "0.9"))]
#[case::quoted(SMALL.replace("quindio", "\"quindio\""))]
#[case::trailing_blanks(SMALL.replace('\n', ";; ;\n\n;;;\n"))]
#[case::leading_blank_lines(format!("\n;;;;\n{SMALL}"))]
#[case::non_breaking_spaces(SMALL.replace(";history;", ";\u{a0}history\u{202f};").replace("s1 s2", "s1\u{a0}s2"))]
#[case::capitals(SMALL.replace("service;", "Service;").replace("end;", "END;"))]
#[case::no_last_line_end(SMALL.trim_end().to_owned())]
fn spreadsheet_variants_have_the_same_content(#[case] text: String) {
    assert_eq!(read(&text), Ok(read(SMALL).unwrap()));
}

#[test]
fn windows_1252_has_the_same_content() {
    let (bytes, _, _) = encoding_rs::WINDOWS_1252.encode(SMALL);
    assert!(std::str::from_utf8(&bytes).is_err());
    assert_eq!(SheetReader::new(rules()).read(&bytes), read(SMALL));
}

/// Each case introduces a fault, which must be reported with its line and column.
#[rstest]
#[case("sheet;number;118", "sheet;number;0", 1, 3, FaultKind::Header)]
#[case("sheet;number", "sheet;nummer", 1, 2, FaultKind::Header)]
#[case("sheet;number", "sheet|number", 1, 1, FaultKind::Header)]
#[case("2026-12-04", "2026-12-03", 1, 5, FaultKind::WrongDate)]
#[case("2026-12-04", "04/12/2026", 1, 5, FaultKind::Header)]
#[case("2026-12-04", "2026-02-30", 1, 5, FaultKind::Header)]
#[case("format;1", "format;2", 1, 7, FaultKind::FormatVersion)]
#[case("format;1", "format;1;x", 1, 8, FaultKind::Header)]
#[case("kind;tenant", "row;tenant", 2, 1, FaultKind::Column)]
#[case(";note", ";remark", 2, 14, FaultKind::Column)]
#[case(";note", ";name", 2, 14, FaultKind::Column)]
#[case("coverage_floor;note", "coverage_floor", 5, 14, FaultKind::Column)]
#[case("service;quindio;sales", "servis;vestera;x", 3, 1, FaultKind::UnknownKind)]
#[case("class;quindio", "class;quindo", 6, 2, FaultKind::UnknownTenant)]
#[case("class;quindio", "class;", 6, 2, FaultKind::MissingValue)]
#[case("phone;;;;;20", "phone;;;;;", 5, 8, FaultKind::MissingValue)]
#[case("phone;", "the phone;", 5, 3, FaultKind::MalformedValue)]
#[case("phone;;", "phone;sales;", 5, 4, FaultKind::UnusedCell)]
#[case("20;40", "1.500;40", 5, 8, FaultKind::AmbiguousNumber)]
#[case("20;40", "1,500;40", 5, 8, FaultKind::AmbiguousNumber)]
#[case("20;40", "0;40", 5, 8, FaultKind::OutOfRange)]
#[case("20;40", "-20;40", 5, 8, FaultKind::OutOfRange)]
#[case("20;40", "2e1;40", 5, 8, FaultKind::MalformedValue)]
#[case("20;40", "20;NaN", 5, 9, FaultKind::MalformedValue)]
#[case("20;40", "20;9999999999", 5, 9, FaultKind::OutOfRange)]
#[case("9;400", "256;400", 6, 10, FaultKind::OutOfRange)]
#[case("9;400", "9;0", 6, 11, FaultKind::OutOfRange)]
#[case("9;400", "9;0,5", 6, 11, FaultKind::OutOfRange)]
#[case("9;400", "9;400,5", 6, 11, FaultKind::MalformedValue)]
#[case("deadline_first", "deadline", 6, 12, FaultKind::MalformedValue)]
#[case("0,9", "1,1", 6, 13, FaultKind::OutOfRange)]
#[case("0,9", "90%", 6, 13, FaultKind::MalformedValue)]
#[case("0,9;", "0;95", 6, 14, FaultKind::UnusedCell)]
#[case("s1 s2", "s1 s2 s1", 4, 6, FaultKind::DuplicateShard)]
#[case("s1 s2", "s1 all", 4, 6, FaultKind::MalformedValue)]
#[case("history;sales", "history;desk", 4, 4, FaultKind::UnknownService)]
#[case("Teléfono", "\"Teléfono", 5, 1, FaultKind::OpenQuote)]
#[case("Teléfono", "Tel\u{0}fono", 5, 14, FaultKind::NotText)]
#[case("Teléfono", "a;b", 5, 15, FaultKind::Column)]
#[case("quindio;4", "quindio;5", 9, 3, FaultKind::RowCount)]
#[case("vestera;2\n", "vestera\n", 9, 5, FaultKind::RowCount)]
#[case(";vestera;2\n", "\n", 9, 4, FaultKind::Closing)]
#[case("vestera;2\n", "vestera;2;quindio;4\n", 9, 6, FaultKind::Closing)]
#[case("vestera;2\n", "vestera;2;digest:12\n", 9, 6, FaultKind::Digest)]
#[case("vestera;2\n", "vestera;2\nservice;x\n", 10, 1, FaultKind::AfterClosing)]
#[case("end;quindio;4;vestera;2\n", "", 9, 1, FaultKind::Truncated)]
fn fault_has_the_position_of_its_cell(
    #[case] old: &str,
    #[case] new: &str,
    #[case] line: u32,
    #[case] column: u32,
    #[case] kind: FaultKind,
) {
    assert!(SMALL.contains(old));
    let found = faults(&SMALL.replacen(old, new, 1));
    assert!(found.contains(&(line, column, kind)), "{found:?}");
}

/// A repeated row must be rejected even if the row count of the closing row includes it.
#[rstest]
#[case("caller;quindio;phone;;;;;20;40;;;;;", FaultKind::DuplicateRow)]
#[case("caller;quindio;phone;;;;;21;40;;;;;", FaultKind::Contradiction)]
#[case("class;quindio;fast;;;;;;;9;401;deadline_first;0,9;", FaultKind::Contradiction)]
#[case("order;quindio;history;sales;;s1 s2;1,5;;;;;;;", FaultKind::Contradiction)]
fn repeated_name_is_refused(#[case] row: &str, #[case] kind: FaultKind) {
    let text = SMALL.replace("end;quindio;4", &format!("{row}\nend;quindio;5"));
    assert_eq!(faults(&text), [(9, 3, kind)]);
}

#[test]
fn missing_tenant_is_refused_even_if_the_counts_match() {
    let rows = |line: &&str| !line.contains(";vestera;") || line.starts_with("end");
    let text: String = SMALL.lines().filter(rows).map(|line| format!("{line}\n")).collect();
    let text = text.replace("vestera;2", "vestera;0");
    assert_eq!(faults(&text), [(8, 1, FaultKind::MissingTenant)]);
}

/// Guards against reports that stop at the first fault, which would need one run for each fault of a file. The faults
/// are in the order of the file.
#[test]
fn all_faults_are_reported_at_once() {
    let text = SMALL.replace("2026-12-04", "2026-12-05").replace("s1 s2;1,5", "s1 s1;1.500");
    let text = text.replace("quindio;4", "quindio;3").replace("desk;;all", "lab;;all");
    let expected = [
        (1, 5, FaultKind::WrongDate),
        (4, 6, FaultKind::DuplicateShard),
        (4, 7, FaultKind::AmbiguousNumber),
        (8, 4, FaultKind::UnknownService),
        (9, 3, FaultKind::RowCount),
    ];
    assert_eq!(faults(&text), expected);
    let shown = read(&text).unwrap_err().to_string();
    assert!(shown.starts_with("read sheet: 5 faults\nline 1, column 5: found \"2026-12-05\""));
    assert!(shown.contains("line 4, column 7: found \"1.500\"; accepted: 1.5 or 1500"), "{shown}");
}

#[test]
fn shown_faults_are_bounded_and_counted() {
    let row = "caller;quindio;x;;;;;0;0;;;;;\n".repeat(500);
    let reader = SheetReader::new(SheetRules { max_faults: 7, ..rules() });
    let refusal = reader.read(SMALL.replace("end;", &format!("{row}end;")).as_bytes()).unwrap_err();
    assert_eq!(refusal.shown.len(), 7);
    // Two values out of range in each of 500 rows, 499 repeated names and one wrong row count.
    assert_eq!(refusal.omitted, 1000 + 499 + 1 - 7);
}

#[rstest]
#[case(SheetRules { max_size: ByteCount(100), ..rules() })]
#[case(SheetRules { max_rows: RowCount(5), ..rules() })]
fn too_large_files_are_refused(#[case] rules: SheetRules) {
    let refusal = SheetReader::new(rules).read(SMALL.as_bytes()).unwrap_err();
    assert_eq!(refusal.shown[0].kind, FaultKind::TooLarge);
    assert_eq!(refusal.shown.len(), 1);
}

/// Binary files must be reported as such with a single fault, not as sheets with many faults.
#[rstest]
#[case(b"PK\x03\x04\x14\0\x06\0")]
#[case(b"\x7fELF\x02\x01\x01")]
#[case(b"\x81\x8d\x8f")]
fn binary_files_are_refused(#[case] bytes: &[u8]) {
    let refusal = SheetReader::default().read(bytes).unwrap_err();
    assert_eq!(refusal.shown.len(), 1);
    assert_eq!(refusal.shown[0].kind, FaultKind::NotText);
}

#[test]
fn utf_16_is_refused_with_its_name() {
    let bytes: Vec<u8> = SMALL.encode_utf16().flat_map(u16::to_le_bytes).collect();
    let refusal = SheetReader::default().read(&[&[0xff, 0xfe], &*bytes].concat()).unwrap_err();
    assert!(refusal.to_string().contains("UTF-16"));
}

#[rstest]
#[case("2026-12-04", 0, 0, true)]
#[case("2026-12-05", 0, 0, false)]
#[case("2026-12-05", 1, 0, true)]
#[case("2026-12-06", 1, 0, false)]
#[case("2026-12-03", 0, 1, true)]
#[case("2026-12-02", 0, 1, false)]
fn accepted_dates_include_exactly_the_configured_days(
    #[case] expected: SheetDate,
    #[case] days_before: u32,
    #[case] days_after: u32,
    #[case] is_accepted: bool,
) {
    let expected_date = Some(expected);
    let rules = SheetRules { expected_date, days_before, days_after, ..SheetRules::default() };
    assert_eq!(SheetReader::new(rules).read(SMALL.as_bytes()).is_ok(), is_accepted);
}

/// Thousands separators must not be taken for decimal separators, or the reverse.
#[rstest]
#[case("1500", 1500.0)]
#[case("1.500,25", 1500.25)]
#[case("1,500.25", 1500.25)]
#[case("1.500.000", 1_500_000.0)]
#[case("1 500", 1500.0)]
#[case("1\u{a0}500,5", 1500.5)]
#[case("1'500", 1500.0)]
#[case("0,500", 0.5)]
#[case("1500,250", 1500.25)]
#[case("12,50", 12.5)]
fn unambiguous_numbers_are_accepted(#[case] text: &str, #[case] value: f64) {
    let document = read(&SMALL.replace("20;40", &format!("{text};40"))).unwrap();
    let quindio = &document.tenants[&"quindio".parse().unwrap()];
    assert_eq!(quindio.callers[&"phone".parse().unwrap()].rate.0, value);
}

#[rstest]
#[case("1.50.000")]
#[case("1.500,000.0")]
#[case("1,500.000,0")]
#[case(",5")]
#[case("5,")]
#[case("1 50")]
#[case("+5")]
#[case("5 kg")]
fn malformed_numbers_are_refused(#[case] text: &str) {
    let found = faults(&SMALL.replace("20;40", &format!("{text};40")));
    assert_eq!(found, [(5, 8, FaultKind::MalformedValue)]);
}

#[test]
fn edited_sheet_with_a_digest_is_refused_until_the_digest_is_removed() {
    let text = write_sheet(&read(SMALL).unwrap()).replace(";20;40;", ";20;41;");
    assert_eq!(faults(&text), [(9, 6, FaultKind::Digest)]);
    let edited = read(&SMALL.replace("20;40", "20;41")).unwrap();
    let refusal = read(&text).unwrap_err();
    assert!(refusal.to_string().contains(&edited.digest().to_string()));
    let (without, _) = text.split_once(";digest:").unwrap();
    assert_eq!(read(without), Ok(edited));
    let strict = SheetReader::new(SheetRules { require_digest: true, ..rules() });
    let refusal = strict.read(without.as_bytes()).unwrap_err();
    assert_eq!(refusal.shown[0].kind, FaultKind::Digest);
}
