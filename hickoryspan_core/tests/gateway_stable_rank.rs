//! Tests the ranks by which processes of different releases order entries.

use hickoryspan_core::gateway::stable_rank::StableRank;

// A release with another order would keep its own connections beside those of the entries that still run the earlier
// one.
#[test]
fn ranks_are_those_of_the_first_release() {
    let rank = StableRank::new().text("east").number(3).text("entry-1").finish();
    assert_eq!(rank, 17184497115272004514);
    assert_eq!(StableRank::new().text("entry-1").text("east").finish(), 6074098711249394725);
}

#[test]
fn texts_do_not_run_into_each_other() {
    let left = StableRank::new().text("ab").text("c").finish();
    assert_ne!(left, StableRank::new().text("a").text("bc").finish());
}
