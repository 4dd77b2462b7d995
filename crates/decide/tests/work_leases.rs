//! The leases that an owner grants end before its successor starts their tasks elsewhere.

mod harness;

use std::time::Duration;

use harness::{SchedulerFixture, run_report, step};
use model::{BootTime, work::StartOrder};
use rstest::rstest;
use wire::work::{LogEntry, log_entry::Event};

/// By how much the clock of a target may be slower than that of another host, in thousandths.
const CLOCK_LAG_PERMILLE: u32 = 20;
/// Lease of the cell; its holder relies on it for a little less.
const OWNER_LEASE: Duration = Duration::from_secs(1);
/// Interval of the owner's polls and of the successor's ticks.
const INTERVAL: Duration = Duration::from_millis(50);
/// Longer than any owner sends orders after it has lost the store.
const OBSERVED: Duration = Duration::from_secs(30);
/// A successor has to start tasks of an unreachable target within this time.
const MAX_WAIT: Duration = Duration::from_millis(8300);

/// Lets an owner that reaches only the target of its task lose the store, and returns when the last
/// lease that it grants expires on a target with a slow clock. The owner relies on its ownership for
/// the time `sure` from now.
fn last_lease_end(owner: &mut SchedulerFixture, start: &StartOrder, sure: Duration) -> BootTime {
    let sole_until = owner.now.boot + sure;
    let mut last_end = BootTime::ZERO;
    while owner.now.boot < sole_until + OBSERVED {
        let sent = owner.now.boot;
        let clock = owner.scheduler.targets["t1"].clock_at(sent);
        let order = owner
            .scheduler
            .poll_order(&"t1".into(), sole_until, owner.now);
        let lease_until = order.and_then(|order| order.lease_until);
        if let (Some(until), Some(clock)) = (lease_until, clock) {
            let lease = (until - clock) * 1000 / (1000 - CLOCK_LAG_PERMILLE);
            last_end = last_end.max(sent + lease);
        }
        owner.report("t1", vec![run_report(start)], Vec::new());
        owner.advance(INTERVAL);
    }
    last_end
}

/// When a successor starts the first task; at most [`OBSERVED`] from now.
fn first_start(successor: &mut SchedulerFixture) -> BootTime {
    let limit = successor.now.boot + OBSERVED;
    while successor.starts.is_empty() && successor.now.boot < limit {
        successor.advance(INTERVAL);
    }
    successor.now.boot
}

/// Guards against running a task twice: an owner is partitioned together with the target of a task
/// and goes on renewing the lease there, while its successor reaches other targets. However many
/// these are, and whether or not an earlier owner handed over, the lease has to expire first.
#[rstest]
#[case::one_other_target(1, false, Duration::ZERO)]
#[case::most_targets(5, false, Duration::ZERO)]
#[case::earlier_hand_over(1, true, Duration::ZERO)]
#[case::store_ended_ownership_early(1, false, OWNER_LEASE)]
fn successor_starts_after_last_lease_of_predecessor(
    #[case] others: usize,
    #[case] handed_over: bool,
    #[case] sure: Duration,
) {
    let (mut owner, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    if handed_over {
        let event = Some(Event::HandedOver(1));
        owner.stored.push(LogEntry { event });
    }
    let mut successor = owner.successor(9);
    let elected = successor.now.boot;
    for number in 0..others {
        successor.add_target(&format!("other{number}"), 4000);
    }
    let lease_end = last_lease_end(&mut owner, &starts[0].1, sure);
    assert!(lease_end > elected, "the owner renews leases for a while");
    let started = first_start(&mut successor);
    assert_eq!(successor.starts.len(), 1);
    assert!(started > lease_end, "{started:?} before {lease_end:?}");
    assert!(started <= elected + MAX_WAIT, "{:?}", started - elected);
}

/// Guards against running a task twice: the successor reaches its target once, then loses it, while
/// the predecessor renewed the lease shortly before the successor's first poll.
#[test]
fn successor_loses_polled_target_waits_for_leases_of_predecessor() {
    let (mut owner, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    let mut successor = owner.successor(9);
    let elected = successor.now.boot;
    successor.add_target("other", 4000);
    let lease_end = last_lease_end(&mut owner, &starts[0].1, Duration::ZERO);
    successor.list_target("t1", 4000);
    successor.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    while successor.starts.is_empty() && successor.now.boot < elected + OBSERVED {
        successor.time_out_poll("t1");
        successor.advance(INTERVAL);
    }
    let started = successor.now.boot;
    assert!(started > lease_end, "{started:?} before {lease_end:?}");
}

/// An outage of the store during which an owner is certain to be the only one does not end the
/// tasks: the leases that it grants last for the whole time.
#[test]
fn poll_of_sole_owner_renews_whole_lease() {
    let (mut owner, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    for _ in 0..20 {
        let now = owner.now;
        let order = owner.scheduler.poll_order(&"t1".into(), now.boot, now);
        let clock = owner.scheduler.targets["t1"].clock_at(now.boot);
        let until = order.and_then(|order| order.lease_until);
        assert_eq!(until, clock.map(|clock| clock + Duration::from_secs(5)));
        owner.report("t1", vec![run_report(&starts[0].1)], Vec::new());
        owner.advance(Duration::from_secs(1));
    }
}
