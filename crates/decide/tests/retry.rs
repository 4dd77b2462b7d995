//! The retry budget and the ejection of targets with any sequence of outcomes.

use std::time::Duration;

use decide::{
    eject::{TargetHealth, TargetUse, can_spare},
    retry::{RetryBudget, RetryWait},
};
use proptest::prelude::*;

proptest! {
    /// For any sequence of first attempts and failures, retries stay below their fraction of the
    /// first attempts plus the burst.
    #[test]
    fn budget_bounds_retries(outcomes in prop::collection::vec(any::<bool>(), 1..2000), burst in 1_u32..20, percent in 0_u32..30) {
        let mut budget = RetryBudget::new(percent, burst);
        let (mut first, mut retries) = (0_u32, 0_u32);
        for failed in outcomes {
            budget.record_first_attempt();
            first += 1;
            while failed && budget.take_retry() {
                retries += 1;
            }
            prop_assert!(retries <= burst + first * percent / 100);
        }
    }

    #[test]
    fn wait_within_ceiling(retry in 0_u32..100, chance in 0.0_f64..1.0) {
        let wait = RetryWait::default();
        let ceiling = wait.first.saturating_mul(1 << retry.saturating_sub(1).min(16)).min(wait.longest);
        prop_assert!(wait.wait(retry, chance) <= ceiling);
    }

    /// For any sequence of successes and failures, a pool never has fewer targets in use than its
    /// budget, even when all of them fail everything.
    #[test]
    fn ejection_keeps_budget(
        events in prop::collection::vec((0_usize..6, any::<bool>(), 0_u64..3000), 1..400),
        budget in 1_u32..6,
    ) {
        let mut healths = vec![TargetHealth::default(); 6];
        let mut now = Duration::ZERO;
        for (index, success, pause) in events {
            now += Duration::from_millis(pause);
            let in_use = count_full(&healths, now);
            if success {
                healths[index].record_success();
            } else {
                healths[index].record_failure(now, can_spare(in_use, budget));
            }
            prop_assert!(count_full(&healths, now) >= usize::try_from(budget).unwrap());
        }
    }
}

fn count_full(healths: &[TargetHealth], now: Duration) -> usize {
    healths
        .iter()
        .filter(|health| health.allowed_use(now) == TargetUse::Full)
        .count()
}

#[test]
fn ejection_grows_and_probes() {
    let mut health = TargetHealth::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..4 {
        assert!(!health.record_failure(now, true));
    }
    assert_eq!(health.allowed_use(now), TargetUse::Full);
    assert!(!health.clone().record_failure(now, false));
    assert!(health.record_failure(now, true));
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        assert_eq!(health.allowed_use(now), TargetUse::Ejected);
        let begun = now;
        while health.allowed_use(now) == TargetUse::Ejected {
            now += Duration::from_millis(10);
        }
        assert!(now - begun > last);
        last = now - begun;
        assert_eq!(health.allowed_use(now), TargetUse::Probe);
        assert!(
            health.record_failure(now, false),
            "a probe that fails ejects again"
        );
    }
    while health.allowed_use(now) == TargetUse::Ejected {
        now += Duration::from_millis(10);
    }
    health.record_success();
    assert_eq!(health.allowed_use(now), TargetUse::Full);
}
