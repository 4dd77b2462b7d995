//! Weighted max-min fair division of one resource.

/// What one claimant asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareClaim {
    /// Amount that the claimant can use; it never gets more.
    pub demand: f64,
    /// Weight of the claimant. One without a weight gets what the others leave.
    pub weight: f64,
}

/// Divides `total` among claimants and returns the amount of each, in the order of `claims`.
///
/// Nobody gets more than its demand, and what one does not need goes to the others by their
/// weights. So a claimant that asks for less than its weighted share gets all of it, whatever the
/// others ask for, and nothing is left over while any demand is unmet.
pub fn divide_max_min(total: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let mut amounts = vec![0.0; claims.len()];
    let weighted = |index: &usize| claims[*index].weight > 0.0;
    let (by_weight, rest): (Vec<usize>, Vec<usize>) = (0..claims.len()).partition(weighted);
    let weight = |index: usize| claims[index].weight;
    let left = fill(total.max(0.0), claims, by_weight, weight, &mut amounts);
    fill(left, claims, rest, |_| 1.0, &mut amounts);
    amounts
}

/// Divides `total` among the claimants `indices` and returns what is left.
fn fill(
    total: f64,
    claims: &[ShareClaim],
    mut indices: Vec<usize>,
    weight: impl Fn(usize) -> f64,
    amounts: &mut [f64],
) -> f64 {
    // Those that need the least for their weight are satisfied first.
    let level = |index: usize| claims[index].demand.max(0.0) / weight(index);
    indices.sort_by(|&one, &other| level(one).total_cmp(&level(other)));
    let mut weights: f64 = indices.iter().map(|&index| weight(index)).sum();
    let mut left = total;
    for index in indices {
        let part = if weights > 0.0 {
            left * weight(index) / weights
        } else {
            0.0
        };
        let amount = claims[index].demand.max(0.0).min(part);
        amounts[index] = amount;
        left -= amount;
        weights -= weight(index);
    }
    left.max(0.0)
}
