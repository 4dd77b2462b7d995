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

/// Longest sleep between two looks at the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Intervals of the fleet's duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time between two reads of the host list.
    pub list_interval: Duration,
    /// How long one watch on the pool map waits; each counts as a call to the store.
    pub watch_timeout: Duration,
    /// Time between two planning rounds.
    pub round_interval: Duration,
    /// Age at which an answer of a health endpoint no longer counts.
    pub health_age: Duration,
    /// Time a new planner only watches, so that the one before has stopped acting.
    pub takeover: Duration,
    /// Age at which the host list no longer counts as fresh.
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

/// What the threads of the fleet share.
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
    /// Log into which jobs are accepted here; empty before there is one.
    pub(crate) own_log: Mutex<String>,
    /// Units of team limits that are free only after a time.
    pub(crate) delayed_permits: Mutex<Vec<(BootTime, QuotaPermit)>>,
    /// Logs taken over here that hold no jobs any more.
    pub(crate) finished_logs: Mutex<BTreeSet<String>>,
    pub(crate) timing: FleetTiming,
    pub(crate) limits: FleetLimits,
    pub(crate) snapshot: Mutex<MapSnapshot>,
    pub(crate) list: ArcSwap<ListView>,
    pub(crate) targets: ArcSwap<TargetView>,
    pub(crate) stopping: AtomicBool,
}

impl FleetShared {
    /// Sleeps for `time`, or less if the service stops; false once it does.
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

    /// Takes over `snapshot` unless a newer one is held, and renews the targets.
    pub(crate) fn adopt(&self, snapshot: MapSnapshot) {
        {
            let mut held = self.snapshot.lock();
            if snapshot.version < held.version {
                return;
            }
            *held = snapshot;
        }
        self.rebuild_targets();
    }

    /// Computes the targets of all pools from the map and the host list.
    pub(crate) fn rebuild_targets(&self) {
        let held = self.snapshot.lock();
        let list = self.list.load();
        let view = TargetView::build(&held.map, &list, &self.limits, self.clock.boot_now());
        self.targets.store(Arc::new(view));
    }

    /// Gives back units of team limits whose time has come.
    pub(crate) fn release_due_permits(&self) {
        let now = self.clock.boot_now();
        self.delayed_permits
            .lock()
            .retain(|(until, _)| now < *until);
    }

    /// True if the host list was read lately.
    pub(crate) fn list_fresh(&self) -> bool {
        let Some(read_at) = self.list.load().read_at else {
            return false;
        };
        self.clock.boot_now().saturating_sub(read_at) <= self.timing.list_age
    }

    /// What the host list says of each host of the map and of hosts that are new.
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
    /// Where a host listens, by the host list or else the pool map.
    pub(crate) fn host_address(&self, host: &HostId) -> Option<String> {
        if let Some(entry) = self.list.load().entries.get(host) {
            return Some(entry.address.clone());
        }
        let held = self.snapshot.lock();
        let state = held.map.hosts.get(host)?;
        Some(state.facts.address.clone())
    }

    /// True for a host that was given up, and will not answer for its tasks again.
    pub(crate) fn is_host_gone(&self, host: &HostId) -> bool {
        let held = self.snapshot.lock();
        let state = held.map.hosts.get(host);
        held.version > 0 && state.is_none_or(|state| state.phase == HostPhase::Retired)
    }

    /// The workers of a pool, and whether each takes new work.
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
