use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, PoolId};

/// Time over which the present rate of arrivals is averaged. Shorter follows single jobs, which
/// ask for up to a hundred core-seconds each.
const FAST_WINDOW_SECS: f64 = 0.8;
/// Time over which the rate is averaged that the present one is compared with.
const SLOW_WINDOW_SECS: f64 = 2.5;
/// How far ahead demand is foreseen: a host takes about two seconds from the order until its
/// first task.
const LOOKAHEAD_SECS: f64 = 2.0;
/// Room beyond the foreseen demand, as a factor: tasks do not fill hosts without gaps. With 1.4
/// the hosts cost as much more as the work that it brings in time is worth.
const HEADROOM: f64 = 1.2;
/// How long a peak of demand is remembered before hosts are given back. Giving a host away and
/// taking it back costs two moves, as much as 2.3 s of an idle host at the prices measured.
const PEAK_HOLD: Duration = Duration::from_millis(2500);

/// Foresees how many cores a pool will need.
///
/// The pattern it answers: demand that rises and falls by turns within some seconds, each pool
/// in its time asking for several times its mean. Turns may come once a day, so that nothing
/// can be learned of their order; what shows in time is that arrivals rise.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    pools: BTreeMap<PoolId, PoolArrivals>,
}

#[derive(Clone, Debug, Default)]
struct PoolArrivals {
    fast_rate: f64,
    slow_rate: f64,
    /// Sums of the work of late arrivals and of its squares, each counting less with its age.
    work_sum: f64,
    work_squares: f64,
    updated: BootTime,
    desired: f64,
    /// The highest need of the last while, and when it was seen.
    peak: f64,
    peak_at: BootTime,
}

impl DemandMeter {
    /// Notes the work of a job that was handed in, in core-seconds.
    pub fn record_arrival(&mut self, pool: &PoolId, work: f64, now: BootTime) {
        let demand = self.pools.entry(pool.clone()).or_default();
        demand.decay(now);
        demand.fast_rate += work / FAST_WINDOW_SECS;
        demand.slow_rate += work / SLOW_WINDOW_SECS;
        demand.work_sum += work;
        demand.work_squares += work * work;
    }

    /// Notes what a pool needs at present, in cores: for tasks at work and for those that
    /// could start. `lasting` is the part of tasks that go on.
    pub fn observe(&mut self, pool: &PoolId, present: f64, lasting: f64, now: BootTime) {
        let demand = self.pools.entry(pool.clone()).or_default();
        demand.decay(now);
        let trend = (demand.fast_rate - demand.slow_rate) / (SLOW_WINDOW_SECS - FAST_WINDOW_SECS);
        let foreseen = ((demand.fast_rate + trend * LOOKAHEAD_SECS) * demand.confidence()).max(0.0);
        demand.desired = (present.max(foreseen) + lasting) * HEADROOM;
        let lapsed = now.saturating_sub(demand.peak_at) > PEAK_HOLD;
        if demand.desired >= demand.peak || lapsed {
            demand.peak = demand.desired;
            demand.peak_at = now;
        }
    }

    /// Cores that a pool should have soon.
    pub fn desired(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |demand| demand.desired)
    }

    /// Cores below which nothing is given back.
    pub fn floor(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |demand| demand.peak)
    }
}

impl PoolArrivals {
    /// How far the arrivals are to be believed, from 0 to 1. One large job looks like a steep
    /// rise, several of a size are one: so it depends on how many arrivals of equal size would
    /// scatter as much as these.
    fn confidence(&self) -> f64 {
        if self.work_squares <= 0.0 {
            return 0.0;
        }
        let alike = self.work_sum * self.work_sum / self.work_squares;
        (1.0 - 1.0 / alike).max(0.0)
    }

    fn decay(&mut self, now: BootTime) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.fast_rate *= (-passed / FAST_WINDOW_SECS).exp();
        self.slow_rate *= (-passed / SLOW_WINDOW_SECS).exp();
        self.work_sum *= (-passed / SLOW_WINDOW_SECS).exp();
        self.work_squares *= (-passed / SLOW_WINDOW_SECS).exp();
    }
}
