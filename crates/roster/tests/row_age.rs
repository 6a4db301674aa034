//! Guards against the row of a host that counts as live for ever.

use bv_roster::store_intervals;
use bv_types::Millis;

#[test]
fn row_of_the_future() {
    let now = Millis(1_000_000);
    for (written_at, is_live) in [
        (999_000, true),
        (1_000_500, true),
        (900_000, false),
        (1_100_000, false),
        (u64::MAX, false),
    ] {
        let found = store_intervals::is_row_live(3, Millis(written_at), now);
        assert_eq!(found, is_live, "{written_at}");
    }
}
