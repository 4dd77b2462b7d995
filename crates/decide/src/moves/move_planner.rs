use std::{collections::BTreeMap, time::Duration};

use model::PoolId;

use super::PeakForecast;

/// The load of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolId,
    /// Hosts in service.
    pub serving: u32,
    /// Hosts moving to it.
    pub incoming: u32,
    /// Minimum number of hosts in service.
    pub budget: u32,
    /// Arriving work in hosts, averaged over the last seconds.
    pub demand: f64,
    /// Waiting work, in host-seconds.
    pub backlog: f64,
    /// True for a spare pool, which only gives hosts.
    pub spare: bool,
}

/// A number of hosts that move from one pool to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostMove {
    /// Pool that gives the hosts.
    pub from: PoolId,
    /// Pool that gets the hosts.
    pub to: PoolId,
    /// Number of hosts.
    pub count: u32,
}

/// Policy that decides when a move is worthwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovePolicy {
    /// Time from the decision until a host serves in its new pool.
    pub move_time: Duration,
    /// Host-seconds that a move must save, including its own time out of service.
    pub min_saving: f64,
    /// Demand above this multiple of a pool's mean is a peak.
    pub peak_factor: f64,
    /// Fraction of its demand that a pool keeps as spare capacity before it gives hosts away.
    pub headroom: f64,
    /// Time within which a backlog should be worked off.
    pub backlog_time: Duration,
    /// Minimum confidence in the forecast, from 0 to 1, for moving hosts ahead of a peak.
    pub min_confidence: f64,
}

impl Default for MovePolicy {
    fn default() -> Self {
        Self {
            move_time: Duration::from_secs(4),
            min_saving: 6.0,
            peak_factor: 1.8,
            headroom: 0.15,
            backlog_time: Duration::from_secs(4),
            min_confidence: 0.6,
        }
    }
}

/// Plans moves from pool loads and from the peaks observed so far.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    policy: MovePolicy,
    forecast: PeakForecast,
}

impl MovePlanner {
    /// Creates a planner without observations.
    pub fn new(policy: MovePolicy) -> Self {
        Self {
            policy,
            forecast: PeakForecast::default(),
        }
    }

    /// The moves to start now. Call it about once a second, with all pools that can use each
    /// other's hosts.
    pub fn plan(&mut self, loads: &[PoolLoad], now: Duration) -> Vec<HostMove> {
        for load in loads.iter().filter(|load| !load.spare) {
            self.forecast
                .observe(&load.pool, load.demand, now, self.policy.peak_factor);
        }
        let mut free = self.free_hosts(loads);
        let mut moves = Vec::new();
        for (pool, wanted) in self.urgent_shortfalls(loads, now) {
            take_hosts(&mut free, &pool, wanted, &mut moves);
        }
        if let Some((pool, wanted)) = self.forecast_shortfall(loads) {
            take_hosts(&mut free, &pool, wanted, &mut moves);
        }
        moves
    }
}

impl MovePlanner {
    /// Hosts that each pool can give without falling below its need or its budget.
    fn free_hosts(&self, loads: &[PoolLoad]) -> BTreeMap<PoolId, u32> {
        let free = loads.iter().map(|load| {
            let retained = if load.spare {
                0
            } else {
                self.retained_hosts(load)
            };
            (load.pool.clone(), load.serving.saturating_sub(retained))
        });
        free.filter(|(_, count)| *count > 0).collect()
    }

    fn retained_hosts(&self, load: &PoolLoad) -> u32 {
        let margin = 1.0 + self.policy.headroom;
        let need = whole_hosts(load.demand * margin + self.backlog_hosts(load));
        need.max(load.budget)
    }

    /// Hosts that pools shortfall for waiting and arriving work, largest shortfall first.
    ///
    /// A shortfall that ends before moved hosts would have saved more than their move costs is
    /// ignored. Following each second's demand would keep hosts moving and out of service most of
    /// the time.
    fn urgent_shortfalls(&self, loads: &[PoolLoad], now: Duration) -> Vec<(PoolId, u32)> {
        let mut shortfalls: Vec<(PoolId, u32)> = loads
            .iter()
            .filter(|load| !load.spare)
            .filter_map(|load| {
                let need = load.demand + self.backlog_hosts(load);
                let held = load.serving + load.incoming;
                let shortfall = whole_hosts(need)
                    .checked_sub(held)
                    .filter(|shortfall| *shortfall > 0)?;
                self.is_worthwhile(load, shortfall, now)
                    .then(|| (load.pool.clone(), shortfall))
            })
            .collect();
        shortfalls.sort_by_key(|(_, shortfall)| std::cmp::Reverse(*shortfall));
        shortfalls
    }

    /// True if hosts that move now save at least `min_saving`, or the length of the peak is unknown.
    fn is_worthwhile(&self, load: &PoolLoad, shortfall: u32, now: Duration) -> bool {
        let left = self.forecast.remaining_peak(&load.pool, now);
        let known = self.forecast.remaining_peak(&load.pool, Duration::ZERO) > Duration::ZERO;
        let useful = left.saturating_sub(self.policy.move_time).as_secs_f64();
        let saved_each = useful + load.backlog / f64::from(shortfall.max(1));
        !known || saved_each >= self.policy.min_saving
    }

    /// Hosts for the pool whose peak is expected next, taken from free hosts only.
    fn forecast_shortfall(&self, loads: &[PoolLoad]) -> Option<(PoolId, u32)> {
        let (next, confidence) = self.forecast.next_pool()?;
        if confidence < self.policy.min_confidence || self.forecast.in_peak(next) {
            return None;
        }
        let load = loads.iter().find(|load| load.pool == *next)?;
        let level = whole_hosts(self.forecast.peak_level(next));
        let shortfall = level.saturating_sub(load.serving + load.incoming);
        (shortfall > 0).then(|| (next.clone(), shortfall))
    }

    fn backlog_hosts(&self, load: &PoolLoad) -> f64 {
        load.backlog / self.policy.backlog_time.as_secs_f64().max(1.0)
    }
}

/// Takes up to `wanted` hosts for `pool`, from the pools with most free hosts.
fn take_hosts(
    free: &mut BTreeMap<PoolId, u32>,
    pool: &PoolId,
    wanted: u32,
    moves: &mut Vec<HostMove>,
) {
    let mut left = wanted;
    while left > 0 {
        let donor = free
            .iter()
            .filter(|(from, count)| *from != pool && **count > 0)
            .max_by_key(|(_, count)| **count)
            .map(|(from, _)| from.clone());
        let Some(from) = donor else {
            return;
        };
        let Some(held) = free.get_mut(&from) else {
            return;
        };
        let count = left.min(*held);
        *held -= count;
        left -= count;
        moves.push(HostMove {
            from,
            to: pool.clone(),
            count,
        });
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are positive and far below 2^32 hosts"
)]
fn whole_hosts(hosts: f64) -> u32 {
    hosts.max(0.0).ceil() as u32
}
