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
    /// Hosts on their way to it.
    pub incoming: u32,
    /// Fewest hosts that it must have in service.
    pub budget: u32,
    /// Hosts' worth of work that arrives, averaged over the last seconds.
    pub demand: f64,
    /// Host-seconds of work that waits.
    pub backlog: f64,
    /// True for a pool that only lends.
    pub spare: bool,
}

/// A number of hosts that go from one pool to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostMove {
    /// Pool that gives.
    pub from: PoolId,
    /// Pool that takes.
    pub to: PoolId,
    /// Hosts.
    pub count: u32,
}

/// When a move pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovePolicy {
    /// Time from the decision until a host serves in its new pool.
    pub move_time: Duration,
    /// Host-seconds that a move must save; its own time out of service is among them.
    pub min_saving: f64,
    /// Demand above this multiple of a pool's mean is a peak.
    pub peak_factor: f64,
    /// Part of its demand that a pool keeps as room before it gives hosts away.
    pub headroom: f64,
    /// Time in which a backlog should be worked off.
    pub backlog_time: Duration,
    /// How sure the forecast must be to move hosts ahead of a peak, from 0 to 1.
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

/// Decides moves from loads and from what it learnt of earlier peaks.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    policy: MovePolicy,
    forecast: PeakForecast,
}

impl MovePlanner {
    /// A planner that has seen nothing yet.
    pub fn new(policy: MovePolicy) -> Self {
        Self {
            policy,
            forecast: PeakForecast::default(),
        }
    }

    /// The moves to begin now. To be called about once a second, with all pools whose
    /// hosts can stand in for each other.
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
            let kept = if load.spare {
                0
            } else {
                self.retained_hosts(load)
            };
            (load.pool.clone(), load.serving.saturating_sub(kept))
        });
        free.filter(|(_, count)| *count > 0).collect()
    }

    fn retained_hosts(&self, load: &PoolLoad) -> u32 {
        let room = 1.0 + self.policy.headroom;
        let need = whole_hosts(load.demand * room + self.backlog_hosts(load));
        need.max(load.budget)
    }

    /// Hosts that pools lack for what already waits or arrives, the largest lack first.
    ///
    /// A lack that will be over before hosts have arrived and paid for their way is left
    /// alone: moving for each second's demand would keep hosts on the way and out of
    /// service most of the time.
    fn urgent_shortfalls(&self, loads: &[PoolLoad], now: Duration) -> Vec<(PoolId, u32)> {
        let mut wants: Vec<(PoolId, u32)> = loads
            .iter()
            .filter(|load| !load.spare)
            .filter_map(|load| {
                let need = load.demand + self.backlog_hosts(load);
                let held = load.serving + load.incoming;
                let lack = whole_hosts(need)
                    .checked_sub(held)
                    .filter(|lack| *lack > 0)?;
                self.is_worthwhile(load, lack, now)
                    .then(|| (load.pool.clone(), lack))
            })
            .collect();
        wants.sort_by_key(|(_, lack)| std::cmp::Reverse(*lack));
        wants
    }

    /// True if hosts that set out now save more than their price.
    fn is_worthwhile(&self, load: &PoolLoad, lack: u32, now: Duration) -> bool {
        let left = self.forecast.remaining_peak(&load.pool, now);
        let known = self.forecast.remaining_peak(&load.pool, Duration::ZERO) > Duration::ZERO;
        let useful = left.saturating_sub(self.policy.move_time).as_secs_f64();
        let saved_each = useful + load.backlog / f64::from(lack.max(1));
        !known || saved_each >= self.policy.min_saving
    }

    /// Hosts for the pool whose peak is expected next, from those that are free anyway.
    fn forecast_shortfall(&self, loads: &[PoolLoad]) -> Option<(PoolId, u32)> {
        let (next, sure) = self.forecast.next_pool()?;
        if sure < self.policy.min_confidence || self.forecast.in_peak(next) {
            return None;
        }
        let load = loads.iter().find(|load| load.pool == *next)?;
        let level = whole_hosts(self.forecast.peak_level(next));
        let lack = level.saturating_sub(load.serving + load.incoming);
        (lack > 0).then(|| (next.clone(), lack))
    }

    fn backlog_hosts(&self, load: &PoolLoad) -> f64 {
        load.backlog / self.policy.backlog_time.as_secs_f64().max(1.0)
    }
}

/// Takes up to `wanted` hosts for `pool`, from the pools that have most to give.
fn take_hosts(
    free: &mut BTreeMap<PoolId, u32>,
    pool: &PoolId,
    wanted: u32,
    moves: &mut Vec<HostMove>,
) {
    let mut left = wanted;
    while left > 0 {
        let giver = free
            .iter()
            .filter(|(from, count)| *from != pool && **count > 0)
            .max_by_key(|(_, count)| **count)
            .map(|(from, _)| from.clone());
        let Some(from) = giver else {
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
