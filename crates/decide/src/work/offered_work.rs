use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, JobId, PoolId, WorkspaceId};

use super::decaying_sum::DecayingSum;

/// Time constant in seconds of the recent rate at which work is offered. Shorter than most bursts, so
/// that the rate follows them; long enough for several jobs of a workspace.
const RECENT_WINDOW_SECS: f64 = 1.0;
/// Time constant in seconds of the rate that shows whether demand lasts: as long as it takes to
/// vacate a host and to move it.
const LASTING_WINDOW_SECS: f64 = 3.0;
/// How long an offered job is remembered after its first submission. Callers whose jobs were
/// refused return within this time, if at all.
const OFFER_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of remembered jobs; beyond it the oldest are forgotten. An entry takes about 150
/// bytes.
const MAX_OFFERS: usize = 20_000;
/// Rates below this many cores are dropped.
const MIN_RATE: f64 = 0.01;

/// Work that callers offer, whether it is accepted or refused.
///
/// What is accepted shows only what a pool can do, so a pool that refuses most of its jobs would
/// look as if nobody needed it. Repeated submissions of one job count once, from the first on.
#[derive(Clone, Debug, Default)]
pub struct OfferedWork {
    rates: BTreeMap<PoolId, BTreeMap<WorkspaceId, OfferRate>>,
    first_offers: BTreeMap<JobId, BootTime>,
    by_time: BTreeSet<(BootTime, JobId)>,
}

/// Rates of work over two windows, in cores.
#[derive(Clone, Copy, Debug)]
struct OfferRate {
    recent: DecayingSum,
    lasting: DecayingSum,
}

impl OfferedWork {
    /// Records a submission with its work in core-seconds, and returns when the job was first
    /// submitted.
    pub fn record_offer(
        &mut self,
        job: &JobId,
        pool: &PoolId,
        workspace: &WorkspaceId,
        work: f64,
        now: BootTime,
    ) -> BootTime {
        if let Some(first) = self.first_offers.get(job) {
            return *first;
        }
        self.forget_old_jobs(now);
        self.first_offers.insert(job.clone(), now);
        self.by_time.insert((now, job.clone()));
        let rates = self.rates.entry(pool.clone()).or_default();
        rates.entry(workspace.clone()).or_default().add(work, now);
        rates.retain(|_, rate| rate.lasting.at(now) >= MIN_RATE);
        now
    }

    /// Returns when a job was first submitted, and forgets it. For jobs that are accepted.
    pub fn take_first_offer(&mut self, job: &str) -> Option<BootTime> {
        let first = self.first_offers.remove(job)?;
        self.by_time.remove(&(first, job.into()));
        Some(first)
    }

    /// Returns the rate at which each workspace offers work to a pool, in cores.
    pub fn rates(&self, pool: &str, now: BootTime) -> impl Iterator<Item = (&WorkspaceId, f64)> {
        let rates = self.rates.get(pool).into_iter().flatten();
        rates.map(move |(workspace, rate)| (workspace, rate.recent.at(now)))
    }

    /// Same as [`OfferedWork::rates`], but follows a rise only if it lasts. A fall shows at once.
    pub fn lasting_rates(
        &self,
        pool: &str,
        now: BootTime,
    ) -> impl Iterator<Item = (&WorkspaceId, f64)> {
        let rates = self.rates.get(pool).into_iter().flatten();
        rates.map(move |(workspace, rate)| {
            let recent = rate.recent.at(now);
            (workspace, recent.min(rate.lasting.at(now)))
        })
    }

    fn forget_old_jobs(&mut self, now: BootTime) {
        while let Some((first, _)) = self.by_time.first()
            && (now.saturating_sub(*first) > OFFER_RETENTION || self.by_time.len() >= MAX_OFFERS)
        {
            if let Some((_, job)) = self.by_time.pop_first() {
                self.first_offers.remove(&job);
            }
        }
    }
}

impl Default for OfferRate {
    fn default() -> Self {
        Self {
            recent: DecayingSum::new(RECENT_WINDOW_SECS),
            lasting: DecayingSum::new(LASTING_WINDOW_SECS),
        }
    }
}

impl OfferRate {
    /// Adds offered work in core-seconds.
    fn add(&mut self, work: f64, now: BootTime) {
        self.recent.add(work / RECENT_WINDOW_SECS, now);
        self.lasting.add(work / LASTING_WINDOW_SECS, now);
    }
}
