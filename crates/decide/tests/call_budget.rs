//! Tests of the priorities and limits of an owner's calls on a narrow link.

use std::time::Duration;

use decide::call_budget::{CallBudget, CallClass, ListThrottle};

/// 2 Mbit/s.
const NARROW: f64 = 250_000.0;
/// 200 Mbit/s.
const WIDE: f64 = 25_000_000.0;
/// Bytes of a call with its response.
const BYTES: f64 = 1500.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends calls until no more are admitted, at most 10,000.
fn fill(budget: &mut CallBudget, class: CallClass) -> usize {
    let sent = (0..10_000).take_while(|_| {
        let admitted = budget.admits(class);
        if admitted {
            budget.begin(class);
        }
        admitted
    });
    sent.count()
}

/// Guards against an owner that polls all targets at once: their responses would fill its link for
/// longer than a renewal of its lease may take.
#[test]
fn call_budget_leaves_bandwidth_for_renewals() {
    let mut budget = CallBudget::new(NARROW);
    #[expect(clippy::cast_precision_loss, reason = "some calls")]
    let bytes = fill(&mut budget, CallClass::Start) as f64 * BYTES;
    assert!(bytes / NARROW <= 0.1, "{bytes} bytes in flight");
}

/// Guards against starts that wait for longer than an urgent start may take, and against a link that
/// is idle between two passes of the scheduler.
#[test]
fn start_room_follows_link() {
    let mut budget = CallBudget::new(NARROW);
    let room = budget.start_room(0);
    assert!((1..=fill(&mut budget, CallClass::Start)).contains(&room));
    assert_eq!(budget.start_room(room / 2), room - room / 2);
    assert_eq!(budget.start_room(room + 1), 0);
    assert!(CallBudget::new(WIDE).start_room(0) >= 256);
    assert!(CallBudget::new(0.0).start_room(0) >= 1);
}

/// Guards against responses that stay late permanently: a shared link carries less than its setting
/// says.
#[test]
fn call_budget_lowers_limit_after_late_responses() {
    let mut budget = CallBudget::new(NARROW);
    let before = fill(&mut budget, CallClass::Poll);
    for round in 1..=20_u64 {
        budget.end(CallClass::Poll, ms(400), ms(300 * round));
        budget.begin(CallClass::Poll);
    }
    (0..before).for_each(|_| budget.release(CallClass::Poll));
    let after = fill(&mut budget, CallClass::Poll);
    assert!(after * 2 < before, "{before} became {after}");
    (0..after).for_each(|_| budget.release(CallClass::Poll));
    for round in 0..2000_u64 {
        budget.begin(CallClass::Poll);
        budget.end(CallClass::Poll, ms(10), ms(7000 + round));
    }
    let recovered = fill(&mut budget, CallClass::Poll);
    assert!(recovered >= before, "{after} became {recovered}");
}

/// Guards against polls that delay starts, and starts that delay the renewals of running tasks.
#[test]
fn call_budget_keeps_priority_order() {
    let mut budget = CallBudget::new(NARROW);
    fill(&mut budget, CallClass::Poll);
    assert!(budget.admits(CallClass::Start));
    fill(&mut budget, CallClass::Start);
    assert!(!budget.admits(CallClass::Poll));
    assert!(budget.admits(CallClass::Stop));
    assert!(CallClass::Stop < CallClass::Renew && CallClass::Renew < CallClass::Start);
}

/// Guards against lost targets whose calls last until they time out and keep the owner from polling
/// targets that respond.
#[test]
fn call_budget_counts_probes_separately() {
    let mut budget = CallBudget::new(NARROW);
    let before = fill(&mut budget.clone(), CallClass::Poll);
    fill(&mut budget, CallClass::Probe);
    for round in 1..=100_u64 {
        budget.end(CallClass::Probe, ms(500), ms(500 * round));
        budget.begin(CallClass::Probe);
    }
    assert_eq!(fill(&mut budget, CallClass::Poll), before);
}

/// Guards against a limit that is too low on a wide link: 300 targets with three starts and a poll
/// each, half of them late.
#[test]
fn call_budget_does_not_limit_wide_link() {
    let mut budget = CallBudget::new(WIDE);
    for round in 1..=100_u64 {
        budget.begin(CallClass::Poll);
        let took = if round % 2 == 0 { 400 } else { 5 };
        budget.end(CallClass::Poll, ms(took), ms(300 * round));
    }
    assert!(fill(&mut budget, CallClass::Start) >= 400);
}

/// Guards against an owner whose event loop is ever further behind because it sends what its link carries,
/// and against polls that wait meanwhile: without them ended tasks keep their targets occupied.
#[test]
fn call_budget_limits_starts_of_late_loop() {
    let mut budget = CallBudget::new(WIDE);
    let (starts, polls) = (
        fill(&mut budget.clone(), CallClass::Start),
        fill(&mut budget.clone(), CallClass::Poll),
    );
    (0..200).for_each(|_| budget.begin(CallClass::Start));
    for round in 1..=20_u64 {
        budget.record_loop_delay(ms(80), ms(1000 + 50 * round));
    }
    (0..200).for_each(|_| budget.release(CallClass::Start));
    let late = fill(&mut budget.clone(), CallClass::Start);
    assert!((1..=100).contains(&late), "{late} starts in flight");
    assert!(budget.start_room(0) <= late);
    assert_eq!(fill(&mut budget.clone(), CallClass::Poll), polls);
    for round in 1..=100_u64 {
        budget.record_loop_delay(ms(2), ms(2000 + 50 * round));
    }
    assert_eq!(fill(&mut budget, CallClass::Start), starts);
}

/// Guards against lists of hosts that use most of a narrow link, and against a new owner that waits
/// between the two lists that show which incarnations have ended.
#[test]
fn list_throttle_bounds_slow_lists() {
    let mut pace = ListThrottle::default();
    let mut lists = Vec::new();
    let mut now = ms(1000);
    while now < ms(4000) {
        if pace.admits(now) {
            lists.push(now);
            pace.record_list(now, ms(200));
            now += ms(200);
        } else {
            now += ms(10);
        }
    }
    assert!(lists.len() <= 4, "{lists:?}");
    assert_eq!(lists[1], ms(1200));
}

/// Guards against a delay between lists that take no time.
#[test]
fn list_throttle_allows_fast_lists() {
    let mut pace = ListThrottle::default();
    for round in 1..100 {
        let now = ms(100 * round);
        assert!(pace.admits(now));
        pace.record_list(now, ms(8));
    }
}
