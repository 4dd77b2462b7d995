//! What an owner may write, accept and rely on behind a link of a given width.

use decide::link_bounds::largest_write;

/// 2 Mbit/s.
const NARROW: f64 = 250_000.0;
/// 200 Mbit/s.
const WIDE: f64 = 25_000_000.0;

/// Guards against pages of the log that a narrow link does not carry before their answer counts as
/// lost, and against more pages than needed where it is wide.
#[test]
fn largest_write_follows_link() {
    let most = 256 << 10;
    assert!(largest_write(NARROW, most) <= 25_000);
    assert_eq!(largest_write(WIDE, most), most);
    assert!(largest_write(1.0, most) >= 4 << 10);
}
