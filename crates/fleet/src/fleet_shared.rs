use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use decide::{
    budget::{HostFacts, HostPhase},
    job::JobPolicy,
    wave::{FleetLimits, HostObservation},
};
use model::{BootTime, HostId, PoolId};
use parking_lot::Mutex;
use ports::{AuditSink, ConfigSource, MemberSource, QuotaPermit, QuotaSource, TargetState};
use store::{Clock, HostList, KeyStore};

use crate::{HostPort, JobTiming, MapSnapshot, list_view::ListView, target_view::TargetView};

/// Maximum sleep between two checks of the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Intervals and age limits of the fleet service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time between two reads of the host list.
    pub list_interval: Duration,
    /// Timeout of one watch on the pool map; each watch counts as a call to the store.
    pub watch_timeout: Duration,
    /// Time between two planning rounds.
    pub round_interval: Duration,
    /// Maximum age of a health report that is still used.
    pub health_age: Duration,
    /// How long a new planner only observes, so that the former one has stopped acting.
    pub takeover: Duration,
    /// Maximum age of a host list that counts as fresh.
    pub list_age: Duration,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            list_interval: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(5),
            round_interval: Duration::from_millis(500),
            health_age: Duration::from_secs(4),
            takeover: Duration::from_secs(3),
            list_age: Duration::from_secs(5),
        }
    }
}

/// State shared by the threads of the fleet service.
pub(crate) struct FleetShared {
    pub(crate) store: Arc<dyn KeyStore>,
    pub(crate) hosts: Arc<dyn HostList>,
    pub(crate) config: Arc<dyn ConfigSource>,
    pub(crate) members: Arc<dyn MemberSource>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) audit: Option<Arc<dyn AuditSink>>,
    pub(crate) quota: Arc<dyn QuotaSource>,
    pub(crate) port: Arc<dyn HostPort>,
    pub(crate) job_timing: JobTiming,
    pub(crate) job_policy: JobPolicy,
    /// Name of the log into which this entry host accepts jobs; empty before the first log.
    pub(crate) own_log: Mutex<String>,
    /// Quota permits, each with the time before which it must not be released.
    pub(crate) delayed_permits: Mutex<Vec<(BootTime, QuotaPermit)>>,
    /// Logs taken over by this entry host that hold no jobs any more.
    pub(crate) finished_logs: Mutex<BTreeSet<String>>,
    pub(crate) timing: FleetTiming,
    pub(crate) limits: FleetLimits,
    pub(crate) snapshot: Mutex<MapSnapshot>,
    pub(crate) list: ArcSwap<ListView>,
    pub(crate) targets: ArcSwap<TargetView>,
    pub(crate) stopping: AtomicBool,
}

impl FleetShared {
    /// Sleeps for `time`. Returns early with false if the service stops.
    pub(crate) fn pause(&self, time: Duration) -> bool {
        let until = self.clock.boot_now() + time;
        while !self.stopping.load(Ordering::Acquire) {
            let left = until.saturating_sub(self.clock.boot_now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(STOP_CHECK));
        }
        false
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Stores `snapshot` unless the current one is newer, and rebuilds the targets.
    pub(crate) fn adopt_snapshot(&self, snapshot: MapSnapshot) {
        {
            let mut held = self.snapshot.lock();
            if snapshot.version < held.version {
                return;
            }
            *held = snapshot;
        }
        self.rebuild_targets();
    }

    /// Rebuilds the targets of all pools from the pool map and the host list.
    pub(crate) fn rebuild_targets(&self) {
        let held = self.snapshot.lock();
        let list = self.list.load();
        let view = TargetView::build(&held.map, &list, &self.limits, self.clock.boot_now());
        self.targets.store(Arc::new(view));
    }

    /// Releases the delayed quota permits that are due.
    pub(crate) fn release_due_permits(&self) {
        let now = self.clock.boot_now();
        self.delayed_permits
            .lock()
            .retain(|(until, _)| now < *until);
    }

    /// True if the last read of the host list is recent enough.
    pub(crate) fn is_list_fresh(&self) -> bool {
        let Some(read_at) = self.list.load().read_at else {
            return false;
        };
        self.clock.boot_now().saturating_sub(read_at) <= self.timing.list_age
    }

    /// Returns the observation of each host in the pool map or the host list.
    pub(crate) fn observations(&self) -> BTreeMap<HostId, HostObservation> {
        let now = self.clock.boot_now();
        let list = self.list.load();
        let held = self.snapshot.lock();
        let mut observations = BTreeMap::new();
        for host in held.map.hosts.keys().chain(list.entries.keys()) {
            observations
                .entry(host.clone())
                .or_insert_with(|| list.observation(host, now));
        }
        observations
    }
}

impl FleetShared {
    /// Address of a host from the host list, or else from the pool map.
    pub(crate) fn host_address(&self, host: &HostId) -> Option<String> {
        if let Some(entry) = self.list.load().entries.get(host) {
            return Some(entry.address.clone());
        }
        let held = self.snapshot.lock();
        let state = held.map.hosts.get(host)?;
        Some(state.facts.address.clone())
    }

    /// True if a host is retired or not in the pool map; its tasks will not be reported again.
    pub(crate) fn is_host_gone(&self, host: &HostId) -> bool {
        let held = self.snapshot.lock();
        let state = held.map.hosts.get(host);
        held.version > 0 && state.is_none_or(|state| state.phase == HostPhase::Retired)
    }

    /// Returns the hosts of a pool with their facts and whether each is serving.
    pub(crate) fn pool_workers(&self, pool: &PoolId) -> Vec<(HostId, HostFacts, bool)> {
        let targets = self.targets.load().pool(pool);
        let held = self.snapshot.lock();
        let facts = |host: &HostId| held.map.hosts.get(host).map(|state| state.facts.clone());
        targets
            .iter()
            .filter_map(|target| {
                let serving = target.state == TargetState::Serving;
                Some((target.host.clone(), facts(&target.host)?, serving))
            })
            .collect()
    }
}
