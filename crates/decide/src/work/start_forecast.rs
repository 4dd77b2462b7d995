use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{BootTime, PoolId};

/// Time window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// Length of a slice of the window; starts within a slice are counted together.
const SLICE: Duration = Duration::from_millis(250);
/// How long tasks must have been waiting without interruption before the count of starts shows the
/// capacity of the pool. Before that it only shows the demand.
const MIN_BUSY_TIME: Duration = Duration::from_secs(2);
/// How long an owner must have been behind before the count of its starts shows what it can handle.
const MIN_BEHIND_TIME: Duration = Duration::from_millis(750);
/// How long after its event loop was late an owner still counts as behind. The delay varies, since fewer
/// starts are sent because of it.
const LATE_LOOP_GAP: Duration = Duration::from_millis(500);
/// Time window in which starts are counted while the owner is behind.
const BEHIND_WINDOW: Duration = Duration::from_secs(1);
/// Upper limit of a forecast.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Forecasts how long tasks that are submitted now will wait for their start.
///
/// Queues may request several times what their pool, or the owner's network link or event loop, can
/// start. Without a forecast, jobs would be accepted that start only when nobody needs them any more,
/// and they would use resources after their callers have gone.
#[derive(Clone, Debug, Default)]
pub struct StartForecast {
    pools: BTreeMap<PoolId, StartRate>,
    /// Starts in all pools; busy while the owner is behind.
    owner: StartRate,
    /// When the owner's event loop was last late.
    late_loop_at: Option<BootTime>,
    /// Maximum starts a second on the owner's network link; zero if unknown.
    link_rate: f64,
}

/// Rate at which a pool, or the owner, starts waiting tasks.
#[derive(Clone, Debug, Default)]
struct StartRate {
    /// Start of the current period in which tasks have been waiting without interruption.
    busy_since: Option<BootTime>,
    /// Number of starts in each slice of the window, newest last.
    slices: VecDeque<(BootTime, u32)>,
}

impl StartForecast {
    /// Sets the maximum starts a second on the owner's network link.
    pub fn set_link_rate(&mut self, starts_a_second: f64) {
        self.link_rate = starts_a_second;
    }

    /// Returns the minimum wait of the last of `tasks` tasks that wait for any pool, as limited by
    /// the owner's network link.
    pub fn link_wait(&self, tasks: u64) -> Duration {
        match self.link_rate > 0.0 {
            true => time_to_start(tasks, self.link_rate),
            false => Duration::ZERO,
        }
    }

    /// Records that the owner's event loop is late.
    pub fn record_late_loop(&mut self, now: BootTime) {
        self.late_loop_at = Some(now);
        self.owner.busy_since.get_or_insert(now);
    }

    /// Records whether starts are held back that targets have room for. Must be called after each plan,
    /// and several times a second.
    pub fn observe_held_back(&mut self, is_held_back: bool, now: BootTime) {
        let late_recently = |late: BootTime| now.saturating_sub(late) <= LATE_LOOP_GAP;
        if is_held_back || self.late_loop_at.is_some_and(late_recently) {
            self.owner.busy_since.get_or_insert(now);
        } else {
            self.owner.busy_since = None;
        }
    }

    /// Returns for how long the owner has been behind without interruption: its event loop was late, or
    /// starts were held back.
    pub fn behind_time(&self, now: BootTime) -> Duration {
        self.owner.busy_time(now)
    }

    /// Returns how many tasks a second the owner starts while it is behind; `None` while it is not, and
    /// until the rate is known.
    pub fn owner_rate(&self, now: BootTime) -> Option<f64> {
        let behind = self.behind_time(now).min(BEHIND_WINDOW);
        let starts = || self.owner.starts_since(now.saturating_sub(behind));
        (behind >= MIN_BEHIND_TIME).then(|| rate_of(starts(), behind))
    }

    /// Records that a task was assigned to a target.
    pub fn record_start(&mut self, pool: &PoolId, now: BootTime) {
        self.owner.count(now);
        self.pools.entry(pool.clone()).or_default().count(now);
    }

    /// Records the pools for which tasks wait. Must be called several times a second.
    pub fn observe_waiting(&mut self, waiting_pools: &BTreeSet<PoolId>, now: BootTime) {
        self.pools.retain(|pool, _| waiting_pools.contains(pool));
        for pool in waiting_pools {
            let rate = self.pools.entry(pool.clone()).or_default();
            rate.busy_since.get_or_insert(now);
        }
    }

    /// Returns the expected wait of the last of `tasks` tasks that wait for a pool; zero if the
    /// pool's start rate is unknown.
    pub fn expected_wait(&self, pool: &PoolId, tasks: u64, now: BootTime) -> Duration {
        let rate = self.pools.get(pool);
        let rate = rate.and_then(|rate| rate.starts_a_second(now));
        rate.map_or(Duration::ZERO, |rate| time_to_start(tasks, rate))
    }
}

/// Returns the starts a second. At least one start is assumed, so that forecasts are always finite.
fn rate_of(starts: u32, time: Duration) -> f64 {
    f64::from(starts.max(1)) / time.as_secs_f64()
}

/// Returns the wait of the last of `tasks` tasks, up to the limit of a forecast.
pub(super) fn time_to_start(tasks: u64, starts_a_second: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let seconds = tasks as f64 / starts_a_second;
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
}

impl StartRate {
    fn count(&mut self, now: BootTime) {
        let old = |(began, _): &(BootTime, u32)| now.saturating_sub(*began) > WINDOW;
        while self.slices.front().is_some_and(old) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some((began, count)) if now.saturating_sub(*began) < SLICE => *count += 1,
            _ => self.slices.push_back((now, 1)),
        }
    }

    /// Returns the start rate of the pool while tasks wait for it; `None` until it is known.
    fn starts_a_second(&self, now: BootTime) -> Option<f64> {
        let busy = self.busy_time(now).min(WINDOW);
        let starts = self.starts_since(now.saturating_sub(busy));
        // Hosts that are being moved to the pool start their first tasks after some seconds.
        let known = busy >= if starts == 0 { WINDOW } else { MIN_BUSY_TIME };
        known.then(|| rate_of(starts, busy))
    }

    fn busy_time(&self, now: BootTime) -> Duration {
        let since = self.busy_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    fn starts_since(&self, since: BootTime) -> u32 {
        let recent = self.slices.iter().filter(|(began, _)| *began >= since);
        recent.map(|(_, count)| count).sum()
    }
}
