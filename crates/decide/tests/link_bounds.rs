//! Tests of the limits that follow from the bandwidth of an owner's link.

use std::time::Duration;

use decide::link_bounds::{
    largest_backlog, largest_write, lease_length, max_starts_per_second, renewals_ahead,
};

/// 2 Mbit/s.
const NARROW: f64 = 250_000.0;
/// 200 Mbit/s.
const WIDE: f64 = 25_000_000.0;
/// Bytes of a log on the link.
const LOG_BYTES: f64 = 256_000.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against log pages that a narrow link does not carry before their response times out, and
/// against more pages than needed on a wide link.
#[test]
fn largest_write_follows_link() {
    let most = 256 << 10;
    assert!(largest_write(NARROW, most) <= 25_000);
    assert_eq!(largest_write(WIDE, most), most);
    assert!(largest_write(1.0, most) >= 4 << 10);
}

/// Guards against a lease that expires while its owner reads the log over a narrow link, and
/// against one so long that callers wait for a successor on a wide link.
#[test]
fn lease_length_follows_link() {
    let least = ms(1100);
    let log = LOG_BYTES / NARROW;
    assert!(lease_length(least, NARROW) >= ms(1100) + Duration::from_secs_f64(log));
    assert!(lease_length(least, WIDE) < ms(1150));
    assert!(lease_length(least, 1.0) <= ms(3100));
}

/// Guards against a lease that expires because no connection for its renewals can be opened while
/// the log arrives, and against unneeded renewals on a wide link.
#[test]
fn renewals_ahead_cover_log_read() {
    let every = ms(280);
    let renewals = u32::try_from(renewals_ahead(NARROW, every)).unwrap_or_default();
    let log = Duration::from_secs_f64(LOG_BYTES / NARROW);
    let lease = lease_length(ms(1100), NARROW);
    assert!(every * renewals + lease >= log * 2);
    assert_eq!(renewals_ahead(WIDE, every), 0);
}

/// Guards against a backlog that the next owner reads for longer than its lease lasts, and against
/// a limit that refuses work on a wide link.
#[test]
fn largest_backlog_follows_link() {
    assert!(largest_backlog(NARROW) * 2.0 <= LOG_BYTES);
    assert!(largest_backlog(WIDE) >= 10_000_000.0);
}

/// Guards against a limit on starts that refuses work on a wide link.
#[test]
fn max_starts_per_second_follows_link() {
    assert!((100.0..200.0).contains(&max_starts_per_second(NARROW)));
    assert!(max_starts_per_second(WIDE) >= 10_000.0);
    assert!(max_starts_per_second(0.0) >= 1.0);
}
