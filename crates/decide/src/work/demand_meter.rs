use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, PoolId};

/// Time constant in seconds of the current arrival rate. A shorter one follows single jobs, which
/// request up to a hundred core-seconds each.
const FAST_WINDOW_SECS: f64 = 0.8;
/// Time constant in seconds of the arrival rate that the current one is compared with.
const SLOW_WINDOW_SECS: f64 = 2.5;
/// How far ahead demand is forecast, in seconds: a host takes about two seconds from the order to
/// its first task.
const LOOKAHEAD_SECS: f64 = 2.0;
/// Capacity beyond the forecast demand, as a factor, since tasks do not pack onto hosts without
/// gaps. At 1.4 the additional hosts cost more than the work that they complete in time is worth.
const HEADROOM: f64 = 1.2;
/// How long a peak of demand is remembered before hosts are released. Releasing a host and getting
/// it back takes two moves, which cost as much as 2.3 s of an idle host at the measured prices.
const PEAK_HOLD: Duration = Duration::from_millis(2500);

/// Forecasts how many cores a pool will need.
///
/// Demand of the pools rises and falls in bursts of some seconds, at different times, to several
/// times the mean of a pool. Bursts may come once a day, so their order can't be learned; only a
/// rise of the arrival rate shows in time.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    pools: BTreeMap<PoolId, PoolArrivals>,
}

#[derive(Clone, Debug, Default)]
struct PoolArrivals {
    fast_rate: f64,
    slow_rate: f64,
    /// Sum of the work of recent arrivals and sum of its squares, with exponentially decaying
    /// weights.
    work_sum: f64,
    work_squares: f64,
    updated: BootTime,
    desired: f64,
    /// Highest recent demand in cores, and when it occurred.
    peak: f64,
    peak_at: BootTime,
}

impl DemandMeter {
    /// Records the arrival of a job with its work in core-seconds.
    pub fn record_arrival(&mut self, pool: &PoolId, work: f64, now: BootTime) {
        let demand = self.pools.entry(pool.clone()).or_default();
        demand.decay(now);
        demand.fast_rate += work / FAST_WINDOW_SECS;
        demand.slow_rate += work / SLOW_WINDOW_SECS;
        demand.work_sum += work;
        demand.work_squares += work * work;
    }

    /// Updates the forecast of a pool from its current demand in cores. `present` is for running
    /// tasks and those that could start, `long_running` for long-running tasks.
    pub fn observe(&mut self, pool: &PoolId, present: f64, long_running: f64, now: BootTime) {
        let demand = self.pools.entry(pool.clone()).or_default();
        demand.decay(now);
        let trend = (demand.fast_rate - demand.slow_rate) / (SLOW_WINDOW_SECS - FAST_WINDOW_SECS);
        let forecast = ((demand.fast_rate + trend * LOOKAHEAD_SECS) * demand.confidence()).max(0.0);
        demand.desired = (present.max(forecast) + long_running) * HEADROOM;
        let peak_expired = now.saturating_sub(demand.peak_at) > PEAK_HOLD;
        if demand.desired >= demand.peak || peak_expired {
            demand.peak = demand.desired;
            demand.peak_at = now;
        }
    }

    /// Returns the number of cores that a pool should have soon.
    pub fn desired(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |demand| demand.desired)
    }

    /// Returns the number of cores below which the pool releases no host.
    pub fn floor(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |demand| demand.peak)
    }
}

impl PoolArrivals {
    /// Returns how far the arrival rate can be trusted, from 0 to 1. One large job looks like a
    /// steep rise, but several jobs of similar size are one. So the result depends on how many
    /// arrivals of equal size would have the same variance.
    fn confidence(&self) -> f64 {
        if self.work_squares <= 0.0 {
            return 0.0;
        }
        let effective_arrivals = self.work_sum * self.work_sum / self.work_squares;
        (1.0 - 1.0 / effective_arrivals).max(0.0)
    }

    fn decay(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.fast_rate *= (-elapsed / FAST_WINDOW_SECS).exp();
        self.slow_rate *= (-elapsed / SLOW_WINDOW_SECS).exp();
        self.work_sum *= (-elapsed / SLOW_WINDOW_SECS).exp();
        self.work_squares *= (-elapsed / SLOW_WINDOW_SECS).exp();
    }
}
