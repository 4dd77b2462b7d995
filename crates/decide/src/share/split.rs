/// A claim on part of a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareClaim {
    /// Weight; a claim of weight 0 gets nothing.
    pub weight: f64,
    /// The most that the claim can use.
    pub demand: f64,
}

/// Weighted max-min fair split: no claim gets more than its demand, and unused parts go to the
/// others by weight.
///
/// Returns a part for each claim, in order. The parts sum to the smaller of `capacity` and the
/// total demand of claims with a positive weight.
pub fn fair_split(capacity: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let mut parts = vec![0.0; claims.len()];
    let mut open: Vec<usize> = (0..claims.len())
        .filter(|&index| 0.0 < claims[index].weight && 0.0 < claims[index].demand)
        .collect();
    // Sorted by the level at which each claim is saturated, one pass settles all of them.
    open.sort_by(|&left, &right| saturation(&claims[left]).total_cmp(&saturation(&claims[right])));
    let mut weight_left: f64 = open.iter().map(|&index| claims[index].weight).sum();
    let mut capacity_left = capacity.max(0.0);
    for index in open {
        let claim = &claims[index];
        let due = capacity_left * claim.weight / weight_left;
        parts[index] = due.min(claim.demand);
        capacity_left -= parts[index];
        weight_left -= claim.weight;
    }
    parts
}

/// Rounds `parts` to whole numbers with the same total, by largest remainder.
///
/// `rotation` rotates which of several equal remainders gets the odd unit, so that over many rounds
/// none is favoured.
pub fn apportion(parts: &[f64], rotation: usize) -> Vec<u32> {
    let total = parts.iter().sum::<f64>().round() as u32;
    let mut whole: Vec<u32> = parts.iter().map(|part| part.floor() as u32).collect();
    let count = parts.len();
    let mut order: Vec<usize> = (0..count)
        .map(|index| (index + rotation) % count.max(1))
        .collect();
    order.sort_by(|&left, &right| remainder(parts[right]).total_cmp(&remainder(parts[left])));
    let missing = total.saturating_sub(whole.iter().sum());
    for &index in order.iter().take(missing as usize) {
        whole[index] += 1;
    }
    whole
}

fn saturation(claim: &ShareClaim) -> f64 {
    claim.demand / claim.weight
}

fn remainder(part: f64) -> f64 {
    part - part.floor()
}
