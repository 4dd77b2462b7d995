use std::collections::BTreeMap;

use model::{ServiceId, TeamId};

use crate::float::as_float;

use super::JobSize;

/// Weight of a new observation in an estimate.
const WEIGHT: f64 = 0.2;
/// Bounds of a correction: a few unusual jobs must not make all others look tiny or huge.
const BOUNDS: (f64, f64) = (0.25, 4.0);

/// Ratios of actual to declared job sizes, by team and service.
///
/// Teams often declare wrong sizes, and wrong in the same way. Memory is corrected upwards only,
/// because a task that runs out of memory fails. Processors are corrected both ways.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimates {
    ratios: BTreeMap<(TeamId, ServiceId), (f64, f64)>,
}

impl SizeEstimates {
    /// Updates the ratios with a job that was declared as `declared` and used `actual`.
    pub fn observe(
        &mut self,
        team: &TeamId,
        service: &ServiceId,
        declared: JobSize,
        actual: JobSize,
    ) {
        let key = (team.clone(), service.clone());
        let ratio = self.ratios.entry(key).or_insert((1.0, 1.0));
        ratio.0 = blend(ratio.0, f64::from(actual.cores), f64::from(declared.cores));
        ratio.1 = blend(
            ratio.1,
            as_float(actual.memory_mb),
            as_float(declared.memory_mb),
        );
    }

    /// The estimated size to use for placement.
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

fn blend(held: f64, actual: f64, declared: f64) -> f64 {
    if declared <= 0.0 {
        return held;
    }
    (held * (1.0 - WEIGHT) + WEIGHT * actual / declared).clamp(BOUNDS.0, BOUNDS.1)
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
