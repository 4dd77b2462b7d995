//! Division of the fleet among pools that together want more than there is.

use std::collections::BTreeMap;

use decide::work::{PoolNeed, divide_fleet};
use model::WorkspaceId;
use proptest::prelude::*;

/// Differences below this are rounding.
const ROUNDING: f64 = 1e-6;

fn need(pool: &str, reserved: f64, claims: &[(&str, f64)], deferrable: f64) -> PoolNeed {
    let claims = claims.iter().map(|(name, cores)| ((*name).into(), *cores));
    PoolNeed {
        pool: pool.into(),
        reserved,
        claims: claims.collect(),
        deferrable,
    }
}

fn equal(_: &WorkspaceId) -> f64 {
    1.0
}

fn assert_parts(parts: &BTreeMap<model::PoolId, f64>, expected: &[(&str, f64)]) {
    for (pool, cores) in expected {
        let part = parts.get(*pool).copied().unwrap_or_default();
        assert!((part - cores).abs() < 0.01, "{pool}: {part}, not {cores}");
    }
}

/// Two pools want more than the fleet, a third is idle: it keeps what is reserved, and the two
/// divide the rest evenly however much more one of them asks for.
#[test]
fn divide_two_pools_above_room_beside_idle_one() {
    let needs = [
        need("a", 10.0, &[("x", 1000.0)], 0.0),
        need("b", 10.0, &[("x", 100.0)], 0.0),
        need("idle", 10.0, &[], 0.0),
    ];
    let parts = divide_fleet(130.0, &needs, equal);
    assert_parts(&parts, &[("a", 60.0), ("b", 60.0), ("idle", 10.0)]);
}

/// Guards against a pool that keeps the fleet for work that is too late to count, while another has
/// work that can still be on time.
#[test]
fn divide_overdue_work_gets_rest() {
    let needs = [
        need("overdue", 5.0, &[], 1000.0),
        need("timely", 5.0, &[("x", 70.0)], 0.0),
    ];
    let parts = divide_fleet(100.0, &needs, equal);
    assert_parts(&parts, &[("overdue", 25.0), ("timely", 75.0)]);
}

/// One workspace asks for twenty times what nineteen others ask for, in another pool than they.
#[test]
fn divide_large_workspace_beside_small_ones() {
    let names: Vec<String> = (0..19).map(|number| format!("small{number}")).collect();
    let small: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    let needs = [
        need("a", 0.0, &[("large", 400.0)], 0.0),
        need("b", 0.0, &small, 0.0),
    ];
    let parts = divide_fleet(40.0, &needs, equal);
    assert_parts(&parts, &[("a", 21.0), ("b", 19.0)]);
}

/// Less capacity than is reserved, as after the loss of a data centre: nothing negative is due.
#[test]
fn divide_less_than_reserved() {
    let needs = [
        need("a", 60.0, &[("x", 50.0)], 0.0),
        need("b", 60.0, &[], 9.0),
    ];
    assert_parts(
        &divide_fleet(50.0, &needs, equal),
        &[("a", 60.0), ("b", 60.0)],
    );
}

fn needs() -> impl Strategy<Value = Vec<PoolNeed>> {
    let claims = prop::collection::btree_map("[a-e]", 0.0..500.0, 0..5);
    let need = (0.0..20.0, claims, 0.0..300.0).prop_map(|(reserved, claims, deferrable)| {
        let claims = claims.into_iter().map(|(name, cores)| (name.into(), cores));
        (
            reserved,
            claims.collect::<BTreeMap<WorkspaceId, f64>>(),
            deferrable,
        )
    });
    prop::collection::vec(need, 1..6).prop_map(|needs| {
        let numbered = needs.into_iter().enumerate();
        let need = |(number, (reserved, claims, deferrable))| PoolNeed {
            pool: format!("pool{number}").into(),
            reserved,
            claims,
            deferrable,
        };
        numbered.map(need).collect()
    })
}

proptest! {
    /// Parts add up to no more than the fleet, and to all of it while any pool wants more.
    #[test]
    fn divide_uses_fleet(total in 200.0..2000.0, needs in needs()) {
        let parts = divide_fleet(total, &needs, equal);
        let sum: f64 = parts.values().sum();
        let all = |need: &PoolNeed| need.reserved + need.deferrable + need.claims.values().sum::<f64>();
        let wanted: f64 = needs.iter().map(all).sum();
        prop_assert!((sum - wanted.min(total)).abs() < ROUNDING);
    }

    /// No pool gets less than is reserved or more than it wants, and none gets cores for overdue work
    /// while work that still counts lacks them.
    #[test]
    fn divide_prefers_countable_work(total in 200.0..2000.0, needs in needs()) {
        let parts = divide_fleet(total, &needs, equal);
        let countable = |need: &PoolNeed| need.claims.values().sum::<f64>();
        let part = |need: &PoolNeed| parts[&need.pool] - need.reserved;
        for need in &needs {
            prop_assert!(part(need) > -ROUNDING);
            prop_assert!(part(need) <= countable(need) + need.deferrable + ROUNDING);
        }
        let is_short = needs.iter().any(|need| part(need) < countable(need) - ROUNDING);
        if is_short {
            for need in &needs {
                prop_assert!(part(need) <= countable(need) + ROUNDING);
            }
        }
    }
}
