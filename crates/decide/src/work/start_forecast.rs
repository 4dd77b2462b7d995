use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{BootTime, PoolId};

/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// Starts within such a time are counted together.
const SLICE: Duration = Duration::from_millis(250);
/// How long tasks have to wait without a break until the starts of that time tell what the pool can
/// start. Before, they tell what it was asked for.
const MIN_BUSY_TIME: Duration = Duration::from_secs(2);
/// Longest wait that is foreseen.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Foresees how long tasks that are handed in now wait until they are started.
///
/// The pattern it answers: queues that ask for several times what their pool, or the link of the
/// owner, can start. What is accepted then waits until nobody needs it any more, and goes on
/// holding room when its callers have gone.
#[derive(Clone, Debug, Default)]
pub struct StartForecast {
    pools: BTreeMap<PoolId, PoolStartRate>,
    /// Most starts a second that the owner's link carries; zero if nothing is known of it.
    link_rate: f64,
}

/// How fast a pool starts what waits for it.
#[derive(Clone, Debug, Default)]
struct PoolStartRate {
    /// Since when tasks have waited without a break.
    busy_since: Option<BootTime>,
    /// Starts since a time, the newest last.
    slices: VecDeque<(BootTime, u32)>,
}

impl StartForecast {
    /// Sets how many starts a second the owner's link carries at most.
    pub fn set_link_rate(&mut self, starts_a_second: f64) {
        self.link_rate = starts_a_second;
    }

    /// How long the last of so many tasks that wait for all pools waits at least.
    pub fn link_wait(&self, tasks: u64) -> Duration {
        match self.link_rate > 0.0 {
            true => time_to_start(tasks, self.link_rate),
            false => Duration::ZERO,
        }
    }

    /// Notes that a task was given a target.
    pub fn record_start(&mut self, pool: &PoolId, now: BootTime) {
        self.pools.entry(pool.clone()).or_default().count(now);
    }

    /// Notes the pools for which tasks wait; to be told several times a second.
    pub fn observe_waiting(&mut self, waited_for: &BTreeSet<PoolId>, now: BootTime) {
        self.pools.retain(|pool, _| waited_for.contains(pool));
        for pool in waited_for {
            let pace = self.pools.entry(pool.clone()).or_default();
            pace.busy_since.get_or_insert(now);
        }
    }

    /// How long the last of so many tasks that wait for a pool is going to wait; zero if nothing is
    /// known of its pace.
    pub fn expected_wait(&self, pool: &PoolId, tasks: u64, now: BootTime) -> Duration {
        let pace = self.pools.get(pool);
        let pace = pace.and_then(|pace| pace.starts_a_second(now));
        pace.map_or(Duration::ZERO, |pace| time_to_start(tasks, pace))
    }
}

fn time_to_start(tasks: u64, starts_a_second: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let seconds = tasks as f64 / starts_a_second;
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
}

impl PoolStartRate {
    fn count(&mut self, now: BootTime) {
        let old = |(begun, _): &(BootTime, u32)| now.saturating_sub(*begun) > WINDOW;
        while self.slices.front().is_some_and(old) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some((begun, count)) if now.saturating_sub(*begun) < SLICE => *count += 1,
            _ => self.slices.push_back((now, 1)),
        }
    }

    /// What the pool starts while tasks wait for it; `None` before that has shown.
    fn starts_a_second(&self, now: BootTime) -> Option<f64> {
        let busy = self.busy_time(now).min(WINDOW);
        let starts = self.starts_since(now.saturating_sub(busy));
        // Hosts that are on their way begin to start tasks after some seconds.
        let known = busy >= if starts == 0 { WINDOW } else { MIN_BUSY_TIME };
        // No start at all counts as one, so that a wait is never without end.
        known.then(|| f64::from(starts.max(1)) / busy.as_secs_f64())
    }

    fn busy_time(&self, now: BootTime) -> Duration {
        let since = self.busy_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    fn starts_since(&self, since: BootTime) -> u32 {
        let recent = self.slices.iter().filter(|(begun, _)| *begun >= since);
        recent.map(|(_, count)| count).sum()
    }
}
