//! Weighted max-min fair division of one resource.

use decide::max_min::{ShareClaim, divide_max_min};
use proptest::prelude::*;

/// Differences below this are rounding.
const ROUNDING: f64 = 1e-6;

fn claim(demand: f64, weight: f64) -> ShareClaim {
    ShareClaim { demand, weight }
}

/// One claimant asks for twenty times what each of nineteen others asks for.
#[test]
fn divide_large_claim_beside_small_ones() {
    let mut claims = vec![claim(1.0, 1.0); 19];
    claims.push(claim(400.0, 1.0));
    let amounts = divide_max_min(40.0, &claims);
    assert!(
        amounts[..19]
            .iter()
            .all(|amount| (amount - 1.0).abs() < ROUNDING)
    );
    assert!((amounts[19] - 21.0).abs() < ROUNDING);
}

#[test]
fn divide_by_weight() {
    let amounts = divide_max_min(30.0, &[claim(100.0, 1.0), claim(100.0, 2.0)]);
    assert!((amounts[0] - 10.0).abs() < ROUNDING);
    assert!((amounts[1] - 20.0).abs() < ROUNDING);
}

/// A claimant without a weight gets only what the others leave.
#[test]
fn divide_without_weight_gets_rest() {
    let amounts = divide_max_min(30.0, &[claim(100.0, 0.0), claim(20.0, 1.0)]);
    assert!((amounts[0] - 10.0).abs() < ROUNDING);
    assert!((amounts[1] - 20.0).abs() < ROUNDING);
}

fn claims() -> impl Strategy<Value = Vec<ShareClaim>> {
    let claim = (0.0..1000.0, 0.1..100.0).prop_map(|(demand, weight)| claim(demand, weight));
    prop::collection::vec(claim, 0..20)
}

proptest! {
    /// The sum never exceeds the total, and nothing is left over while a demand is unmet.
    #[test]
    fn divide_uses_total(total in 0.0..2000.0, claims in claims()) {
        let amounts = divide_max_min(total, &claims);
        let sum: f64 = amounts.iter().sum();
        let demand: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!((sum - demand.min(total)).abs() < ROUNDING);
    }

    /// Nobody gets more than it asks for, and nobody whose demand is unmet has less for its weight
    /// than another.
    #[test]
    fn divide_is_fair(total in 0.0..2000.0, claims in claims()) {
        let amounts = divide_max_min(total, &claims);
        for (one, &amount) in claims.iter().zip(&amounts) {
            prop_assert!(amount <= one.demand + ROUNDING);
            let is_unmet = amount < one.demand - ROUNDING;
            for (other, &other_amount) in claims.iter().zip(&amounts) {
                let level = (amount + ROUNDING) / one.weight;
                prop_assert!(!is_unmet || other_amount / other.weight <= level + ROUNDING);
            }
        }
    }
}
