//! Tests of the time for which watches of the store wait.

use std::time::Duration;

use decide::watch_bounds::longest_watch;

/// Maximum age of what watches without any change confirm, with this round trip.
fn calm_age(wait: Duration, round_trip: Duration) -> Duration {
    let (mut confirmed, mut now, mut max_age) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    for _ in 0..10 {
        let sent = now;
        now += wait + round_trip;
        max_age = max_age.max(now - confirmed);
        confirmed = sent;
    }
    max_age
}

/// Guards against a store without changes and without faults whose answers come too seldom for its
/// readers to go on.
#[test]
fn longest_watch_keeps_calm_age_below_maximum() {
    for max_age in [Duration::from_secs(2), Duration::from_secs(3)] {
        let wait = longest_watch(max_age);
        assert!(calm_age(wait, Duration::from_millis(4)) < max_age / 3);
        assert!(calm_age(wait, Duration::from_millis(700)) < max_age);
    }
}
