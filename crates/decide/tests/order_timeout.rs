//! Timeouts of orders by the answers that were measured, under loads whose answers are lost or late.

use std::time::Duration;

use decide::order_timeout::{MAX_ORDER_TIMEOUT, OrderTimeout};
use rstest::rstest;

const SAMPLES: usize = 200;

fn measured(millis: impl Fn(usize) -> u64) -> OrderTimeout {
    let mut timeouts = OrderTimeout::default();
    for number in 0..SAMPLES {
        timeouts.record(Duration::from_millis(millis(number)));
    }
    timeouts
}

/// Guards against a timeout that is derived from too few answers.
#[test]
fn timeout_is_longest_at_first() {
    let mut timeouts = OrderTimeout::default();
    assert_eq!(timeouts.timeout(), MAX_ORDER_TIMEOUT);
    timeouts.record(Duration::from_millis(3));
    assert_eq!(timeouts.timeout(), MAX_ORDER_TIMEOUT);
}

/// Guards against steps that are late because each lost answer delays its task by half a second
/// although answers take milliseconds.
#[rstest]
#[case::steady(measured(|_| 3))]
#[case::two_data_centres(measured(|number| if number % 2 == 0 { 2 } else { 8 }))]
fn timeout_follows_quick_answers(#[case] timeouts: OrderTimeout) {
    assert!(timeouts.timeout() <= Duration::from_millis(100));
}

/// Guards against looking up orders whose answers wait behind others on a slow link.
#[rstest]
#[case::slow(measured(|_| 300), 300)]
#[case::uneven(measured(|number| if number % 4 == 0 { 120 } else { 20 }), 120)]
fn timeout_exceeds_slow_answers(#[case] timeouts: OrderTimeout, #[case] longest_ms: u64) {
    assert!(timeouts.timeout() > Duration::from_millis(longest_ms));
}

/// Guards against losing most of the speed-up while a twentieth of the answers is lost, as in a peak
/// of demand during which targets carry out orders late.
#[test]
fn timeout_stays_short_with_lost_answers() {
    let mut timeouts = measured(|_| 3);
    let mut sum = Duration::ZERO;
    for number in 0..SAMPLES {
        match number % 20 {
            0 => timeouts.record_timeout(),
            _ => timeouts.record(Duration::from_millis(3)),
        }
        sum += timeouts.timeout();
    }
    let mean = sum / u32::try_from(SAMPLES).unwrap_or(1);
    assert!(mean <= MAX_ORDER_TIMEOUT / 3, "{mean:?}");
}

/// Guards against a link that has become slow and is never given more time, because answers that
/// come after the timeout are not measured.
#[test]
fn timeout_grows_without_answers() {
    let mut timeouts = measured(|_| 3);
    for _ in 0..40 {
        timeouts.record_timeout();
    }
    assert_eq!(timeouts.timeout(), MAX_ORDER_TIMEOUT);
}
