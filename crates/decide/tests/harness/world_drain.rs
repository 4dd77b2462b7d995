use std::{collections::BTreeSet, time::Duration};

use model::{BootTime, DataCentreId, HostId, work::TargetEntry};
use rand::Rng;

use super::{
    target,
    world::{CAPACITY, SimOwner, Simulation, TICK},
    world_faults::WorldFaults,
};

/// Time after which no start may arrive in a drained data centre.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// Longest time of a read: a dead connection is noticed after two seconds, and the requests are then
/// read again.
const MAX_READ_DELAY: Duration = Duration::from_millis(2600);
/// Maximum age of the last read for new work to be started.
const REQUESTS_MAX_AGE: Duration = Duration::from_secs(3);
/// Share of reads that are late.
const LATE_READS: f64 = 0.3;
/// Longest drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 12_000;

/// The drains that operators requested.
#[derive(Default)]
pub(super) struct DrainRequests {
    /// Drained data centres, with the time of the request and of its end.
    active: Vec<(DataCentreId, BootTime, BootTime)>,
}

/// State of an owner's watch of the requests.
#[derive(Default)]
pub(super) struct DrainWatch {
    read: Option<DrainRead>,
    /// All requests made before this time have been read; `None` before the first read.
    read_at: Option<BootTime>,
}

/// A read of the requests on its way to the owner.
struct DrainRead {
    taken_at: BootTime,
    arrives: BootTime,
    drained: BTreeSet<DataCentreId>,
}

impl DrainWatch {
    /// Returns true if the requests were read recently enough to start work.
    pub(super) fn is_current(&self, now: BootTime) -> bool {
        self.read_at
            .is_some_and(|read_at| now.saturating_sub(read_at) < REQUESTS_MAX_AGE)
    }
}

/// Entry of a target in one of two data centres.
pub(super) fn entry_of(name: &HostId, faults: WorldFaults) -> TargetEntry {
    TargetEntry {
        data_centre: data_centre_of(name),
        pool: faults.pool_of(name),
        ..target(name, CAPACITY)
    }
}

fn data_centre_of(name: &HostId) -> DataCentreId {
    let digits = name.chars().filter_map(|letter| letter.to_digit(10));
    match digits.sum::<u32>() % 2 {
        0 => "north".into(),
        _ => "south".into(),
    }
}

impl DrainRequests {
    fn drained(&self) -> BTreeSet<DataCentreId> {
        let names = self.active.iter().map(|(name, ..)| name.clone());
        names.collect()
    }

    /// Ends all drains.
    pub(super) fn clear(&mut self) {
        self.active.clear();
    }
}

impl Simulation {
    /// Draws new drains, and ends those whose time has come.
    pub(super) fn update_drains(&mut self) {
        let now = self.now.boot;
        self.drains.active.retain(|(_, _, until)| now < *until);
        let probability = self.faults.drains * TICK.as_secs_f64();
        let drawn = self.faults.drains > 0.0 && self.extra_rng.random::<f64>() < probability;
        if drawn && self.store_outage.is_none() {
            let name = match self.extra_rng.random_bool(0.5) {
                true => "north",
                false => "south",
            };
            let length = Duration::from_millis(self.extra_rng.random_range(500..MAX_DRAIN_MS));
            if !self.drains.drained().contains(name) {
                self.drains.active.push((name.into(), now, now + length));
                self.record_event(&format!("{name} is drained"));
            }
        }
    }

    /// Delivers the requests of operators to an owner that reaches the store.
    pub(super) fn deliver_drains(&mut self, owner: &mut SimOwner) {
        if self.store_outage.is_some() || owner.partitioned_since.is_some() {
            owner.drain_watch.read = None;
            return;
        }
        let now = self.now.boot;
        let watch = &mut owner.drain_watch;
        if let Some(read) = watch.read.take_if(|read| now >= read.arrives) {
            watch.read_at = Some(read.taken_at);
            owner.scheduler.set_drained_data_centres(read.drained);
        }
        if self.faults.drains == 0.0 && self.drains.active.is_empty() {
            // No random draws, so that seeds without drains reproduce the same runs.
            watch.read_at = Some(now);
            owner.scheduler.set_drained_data_centres(BTreeSet::new());
        } else if watch.read.is_none() {
            let late = self.extra_rng.random_bool(LATE_READS);
            let longest = if late { MAX_READ_DELAY } else { TICK * 3 };
            let delay = longest.mul_f64(self.extra_rng.random::<f64>());
            watch.read = Some(DrainRead {
                taken_at: now,
                arrives: now + delay,
                drained: self.drains.drained(),
            });
        }
    }

    /// Checks that a start that was delivered in time is not in a data centre that was drained
    /// long before.
    pub(super) fn check_not_drained(&mut self, on: &HostId, task: &str) {
        let now = self.now.boot;
        let data_centre = data_centre_of(on);
        let drain = self
            .drains
            .active
            .iter()
            .find(|(name, ..)| *name == data_centre);
        if let Some((name, since, _)) = drain
            && now > *since + DRAIN_LIMIT
        {
            let fault = format!("{task} starts on {on} in {name}, drained since {since:?}");
            self.violation(&fault);
        }
    }
}
