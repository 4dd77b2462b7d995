use std::{collections::BTreeMap, time::Duration};

use model::PoolId;

/// Weight of a new observation in an estimate.
const WEIGHT: f64 = 0.3;

/// Forecast of alternating demand peaks of pools.
///
/// A peak begins when a pool's demand exceeds its running mean by a factor. For each pool the
/// forecast keeps the height and length of its peaks, and which pool peaked next.
#[derive(Clone, Debug, Default)]
pub struct PeakForecast {
    pools: BTreeMap<PoolId, PoolPeaks>,
    current_peak: Option<(PoolId, Duration)>,
    successors: BTreeMap<PoolId, BTreeMap<PoolId, f64>>,
}

#[derive(Clone, Debug, Default)]
struct PoolPeaks {
    mean: f64,
    peak_height: f64,
    peak_length: f64,
    in_peak: bool,
}

impl PeakForecast {
    /// Updates the forecast with the demand of a pool, in hosts, at `now`.
    pub fn observe(&mut self, pool: &PoolId, demand: f64, now: Duration, factor: f64) {
        let peaks = self.pools.entry(pool.clone()).or_insert_with(|| PoolPeaks {
            mean: demand,
            ..PoolPeaks::default()
        });
        peaks.mean += (demand - peaks.mean) * 0.005;
        let high = demand > peaks.mean.max(0.1) * factor;
        if high {
            peaks.peak_height = if peaks.in_peak {
                peaks.peak_height.max(demand)
            } else {
                demand.max(peaks.peak_height * 0.9)
            };
        }
        let began = high && !peaks.in_peak;
        let ended = !high && peaks.in_peak;
        peaks.in_peak = high;
        if began {
            self.begin_peak(pool, now);
        }
        if ended {
            self.end_peak(pool, now);
        }
    }

    /// True while a pool is at its peak.
    pub fn in_peak(&self, pool: &PoolId) -> bool {
        self.pools.get(pool).is_some_and(|peaks| peaks.in_peak)
    }

    /// Demand of a pool at its peaks, in hosts; zero before the first.
    pub fn peak_level(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |peaks| peaks.peak_height)
    }

    /// Time after `now` for which the peak of a pool is expected to last.
    pub fn remaining_peak(&self, pool: &PoolId, now: Duration) -> Duration {
        let Some((peaking, began)) = &self.current_peak else {
            return Duration::ZERO;
        };
        let peaks = self.pools.get(pool).filter(|_| peaking == pool);
        let length = peaks.map_or(0.0, |peaks| peaks.peak_length);
        Duration::from_secs_f64(length).saturating_sub(now.saturating_sub(*began))
    }

    /// The pool most likely to peak next, with the confidence from 0 to 1.
    pub fn next_pool(&self) -> Option<(&PoolId, f64)> {
        let (peaking, _) = self.current_peak.as_ref()?;
        let followers = self.successors.get(peaking)?;
        let total: f64 = followers.values().sum();
        let best = followers.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        // The constant keeps the confidence low after a single observation.
        Some((best.0, best.1 / (total + 0.5)))
    }

    fn begin_peak(&mut self, pool: &PoolId, now: Duration) {
        if let Some((before, _)) = &self.current_peak {
            let followers = self.successors.entry(before.clone()).or_default();
            for count in followers.values_mut() {
                *count *= 1.0 - WEIGHT;
            }
            *followers.entry(pool.clone()).or_default() += 1.0;
        }
        self.current_peak = Some((pool.clone(), now));
    }

    fn end_peak(&mut self, pool: &PoolId, now: Duration) {
        let Some((peaking, began)) = &self.current_peak else {
            return;
        };
        if peaking != pool {
            return;
        }
        let length = now.saturating_sub(*began).as_secs_f64();
        if let Some(peaks) = self.pools.get_mut(pool) {
            peaks.peak_length = if peaks.peak_length > 0.0 {
                peaks.peak_length * (1.0 - WEIGHT) + length * WEIGHT
            } else {
                length
            };
        }
    }
}
