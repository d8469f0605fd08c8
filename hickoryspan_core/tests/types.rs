//! Tests that identifiers and quantities can be parsed from their text form.

use hickoryspan_core::types::{
    CoverageShare, KeyRange, RequestFingerprint, ShardId, SnapshotVersion, TenantId,
};
use rstest::rstest;

#[rstest]
#[case("quindio")]
#[case("print-shop/3")]
fn identifiers_round_trip(#[case] text: &str) {
    let id: TenantId = text.parse().unwrap();
    assert_eq!(id.to_string(), text);
}

#[rstest]
#[case("")]
#[case("two words")]
#[case("línea")]
fn unsafe_identifiers_are_refused(#[case] text: &str) {
    assert!(text.parse::<ShardId>().is_err());
    assert!(serde_json::from_value::<ShardId>(text.into()).is_err());
}

#[test]
fn digests_round_trip() {
    let digest = RequestFingerprint::of_parts([b"a".as_slice(), b"b".as_slice()]);
    assert_eq!(digest.to_string().parse::<RequestFingerprint>(), Ok(digest));
    assert_ne!(digest, RequestFingerprint::of_parts([b"ab".as_slice(), b"".as_slice()]));
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(340)]
fn even_ranges_cover_the_key_space_once(#[case] count: u32) {
    let ranges = KeyRange::split_evenly(count);
    assert_eq!(ranges.first().map(|range| range.first), Some(0));
    assert_eq!(ranges.last().map(|range| range.last), Some(u64::MAX));
    assert!(ranges.windows(2).all(|pair| pair[0].last + 1 == pair[1].first));
    assert!(ranges.iter().all(|range| range.to_string().parse() == Ok(*range)));
}

#[test]
fn numbers_round_trip_and_shares_stay_in_range() {
    assert_eq!("7".parse(), Ok(SnapshotVersion(7)));
    assert!("-1".parse::<SnapshotVersion>().is_err());
    assert_eq!(CoverageShare::new(f64::NAN), CoverageShare::NONE);
    assert!("1.5".parse::<CoverageShare>().is_err());
}
