use std::collections::BTreeMap;

use model::{ServiceId, TeamId};

use super::JobSize;

/// Part that a new observation has in an estimate.
const WEIGHT: f64 = 0.2;
/// Bounds of a correction: a few odd jobs must not make all others look tiny or huge.
const BOUNDS: (f64, f64) = (0.25, 4.0);

/// How far declared sizes are off, by team and service.
///
/// Teams declare sizes that are often wrong, and wrong in the same way. Memory is taken
/// as declared or larger, since a task that runs out of it fails; processors go both ways.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimates {
    ratios: BTreeMap<(TeamId, ServiceId), (f64, f64)>,
}

impl SizeEstimates {
    /// Learns that a job declared as `declared` was seen to use `seen`.
    pub fn observe(
        &mut self,
        team: &TeamId,
        service: &ServiceId,
        declared: JobSize,
        seen: JobSize,
    ) {
        let key = (team.clone(), service.clone());
        let ratio = self.ratios.entry(key).or_insert((1.0, 1.0));
        ratio.0 = blend(ratio.0, f64::from(seen.cores), f64::from(declared.cores));
        ratio.1 = blend(
            ratio.1,
            as_float(seen.memory_mb),
            as_float(declared.memory_mb),
        );
    }

    /// The size to place a job by.
    pub fn corrected_size(&self, team: &TeamId, service: &ServiceId, declared: JobSize) -> JobSize {
        let key = (team.clone(), service.clone());
        let Some((cores, memory)) = self.ratios.get(&key) else {
            return declared;
        };
        JobSize {
            cores: scale(u64::from(declared.cores), *cores)
                .try_into()
                .unwrap_or(u32::MAX),
            memory_mb: scale(declared.memory_mb, memory.max(1.0)),
            accelerators: declared.accelerators,
        }
    }
}

fn blend(held: f64, seen: f64, declared: f64) -> f64 {
    if declared <= 0.0 {
        return held;
    }
    (held * (1.0 - WEIGHT) + WEIGHT * seen / declared).clamp(BOUNDS.0, BOUNDS.1)
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn as_float(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product is positive and far below 2^52"
)]
fn scale(value: u64, ratio: f64) -> u64 {
    let scaled = (as_float(value) * ratio).ceil() as u64;
    scaled.max(u64::from(value > 0))
}
