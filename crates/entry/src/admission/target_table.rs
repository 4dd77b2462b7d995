use std::{collections::HashMap, sync::Arc, time::Duration};

use decide::eject::{TargetHealth, TargetUse, can_spare};
use model::{
    BootTime, DataCentreId, HostId,
    event::{info, warn},
};
use parking_lot::Mutex;
use ports::{SlotLease, TargetHost, TargetSlots, TargetState};

use crate::{dispatch::TargetConnection, event};

/// How long a lane may stay unused before its connection is closed. Short, because a
/// target that closes it at the moment of use leaves the fate of a request unknown.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// How long a target that refused work is left alone, first and at most.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Requests in flight by target, as other areas may read them.
pub(crate) type RunningCounts = Arc<Mutex<HashMap<HostId, u32>>>;

/// What this entry host has in flight to each target, and how each target does.
pub(crate) struct TargetTable {
    entries: HashMap<HostId, TargetUsage>,
    counts: RunningCounts,
    data_centre: DataCentreId,
    connect_timeout: Duration,
}

#[derive(Default)]
struct TargetUsage {
    in_flight: u32,
    /// Requests without a slot that may run all the same.
    unconfirmed: u32,
    idle_connections: Vec<IdleConnection>,
    health: TargetHealth,
    backoff: Duration,
    backoff_until: BootTime,
}

struct IdleConnection {
    connection: TargetConnection,
    since: BootTime,
}

/// A pool as the choice of a target needs it.
pub(crate) struct PoolView<'a> {
    /// Its targets.
    pub targets: &'a [TargetHost],
    /// The slots that this entry host may use.
    pub lease: &'a SlotLease,
    /// Connections that this entry host may hold to each target.
    pub max_connections: u32,
    /// How many hosts the pool must keep in service.
    pub budget: u32,
}

impl TargetTable {
    /// An empty table for an entry host in `data_centre`.
    pub fn new(
        data_centre: DataCentreId,
        connect_timeout: Duration,
        counts: RunningCounts,
    ) -> Self {
        Self {
            entries: HashMap::new(),
            counts,
            data_centre,
            connect_timeout,
        }
    }

    /// The target with the most room, out of those that did not just fail if there are any;
    /// among equals one in the own data centre, then the one that `tie` falls on.
    pub fn choose<'a>(
        &self,
        view: &PoolView<'a>,
        tie: usize,
        now: BootTime,
    ) -> Option<&'a TargetHost> {
        if now >= view.lease.expires {
            return None;
        }
        let count = view.targets.len().max(1);
        let usable = view
            .targets
            .iter()
            .enumerate()
            .filter_map(|(index, target)| {
                let free_slots = self.free_slots(view, target, now);
                (free_slots > 0).then_some((index, target, free_slots))
            });
        let best = usable.max_by_key(|(index, target, free_slots)| {
            let local = target.data_centre == self.data_centre;
            let healthy = !self.is_suspect(target, now);
            (healthy, *free_slots, local, (index + tie) % count)
        });
        best.map(|(_, target, _)| target)
    }

    /// Takes a slot of `target` and a lane to it.
    pub fn acquire(&mut self, target: &TargetHost) -> TargetConnection {
        let entry = self.entries.entry(target.host.clone()).or_default();
        entry.in_flight += 1;
        publish_count(&self.counts, &target.host, entry);
        let kept = entry
            .idle_connections
            .pop()
            .filter(|idle| idle.connection.address == target.address);
        match kept {
            Some(idle) => idle.connection,
            None => {
                TargetConnection::new(target.host.clone(), &target.address, self.connect_timeout)
            }
        }
    }

    /// Gives a slot back.
    pub fn release_slot(&mut self, host: &HostId) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        publish_count(&self.counts, host, entry);
    }

    /// Gives a slot back whose request may still run on the target.
    pub fn release_unconfirmed(&mut self, host: &HostId) {
        let entry = self.entries.entry(host.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.unconfirmed += 1;
    }

    /// Notes that such a request is surely over.
    pub fn end_unconfirmed(&mut self, host: &HostId) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.unconfirmed = entry.unconfirmed.saturating_sub(1);
        publish_count(&self.counts, host, entry);
    }

    /// Keeps a lane for the next request to its target, unless the target then has more
    /// than `part` connections from here: the part shrinks when an entry host joins.
    pub fn keep_connection(
        &mut self,
        connection: TargetConnection,
        max_connections: u32,
        now: BootTime,
    ) {
        let entry = self.entries.entry(connection.host.clone()).or_default();
        let others = entry.in_flight.saturating_sub(1) as usize + entry.idle_connections.len();
        if others < max_connections as usize {
            entry.idle_connections.push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Requests in flight to each of `targets` that has any.
    pub fn in_flight(&self, targets: &[TargetHost]) -> Vec<TargetSlots> {
        let entries = targets.iter().filter_map(|target| {
            let entry = self.entries.get(&target.host)?;
            (entry.in_flight > 0).then(|| TargetSlots {
                host: target.host.clone(),
                slots: entry.in_flight,
            })
        });
        entries.collect()
    }

    /// Closes lanes that were idle for long, and forgets targets that nothing is known of.
    pub fn sweep(&mut self, now: BootTime) {
        for entry in self.entries.values_mut() {
            entry
                .idle_connections
                .retain(|idle| now.saturating_sub(idle.since) < MAX_IDLE_TIME);
        }
        self.entries.retain(|_, entry| {
            entry.in_flight + entry.unconfirmed > 0
                || !entry.idle_connections.is_empty()
                || entry.health != TargetHealth::default()
                || now < entry.backoff_until
        });
    }

    /// Notes that a target answered.
    pub fn on_success(&mut self, host: &HostId) {
        let entry = self.entries.entry(host.clone()).or_default();
        entry.health.record_success();
        entry.backoff = Duration::ZERO;
    }

    /// Notes that a target failed a request, by an answer or without one.
    pub fn on_failure(
        &mut self,
        view: &PoolView<'_>,
        host: &HostId,
        answered: bool,
        now: BootTime,
    ) {
        let in_use = view
            .targets
            .iter()
            .filter(|target| target.state == TargetState::Serving && !self.is_ejected(target, now))
            .count();
        let may_eject = can_spare(in_use, view.budget);
        let entry = self.entries.entry(host.clone()).or_default();
        if !answered {
            // The connections may lead to a life of the target that is gone.
            entry.idle_connections.clear();
        }
        if entry.health.record_failure(now, may_eject) {
            metrics::counter!("lws_targets_ejected").increment(1);
            warn(&event::TARGET_EJECTED, format_args!("host={host}"));
        }
    }

    /// Notes that a target refused new work: it drains, or its slots are taken. It is left
    /// alone for a moment that grows to a second while it goes on refusing, so that a
    /// draining target is spared and one that was only full is not left idle for long.
    pub fn on_refusal(&mut self, host: &HostId, now: BootTime) {
        let entry = self.entries.entry(host.clone()).or_default();
        entry.backoff = (entry.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        entry.backoff_until = now + entry.backoff;
        info(
            &event::TARGET_REFUSED,
            format_args!("host={host} rest_ms={}", entry.backoff.as_millis()),
        );
    }

    fn free_slots(&self, view: &PoolView<'_>, target: &TargetHost, now: BootTime) -> u32 {
        let in_flight = self
            .entries
            .get(&target.host)
            .map_or(0, |entry| entry.in_flight);
        self.allowed_slots(view, target, now)
            .saturating_sub(in_flight)
    }

    fn allowed_slots(&self, view: &PoolView<'_>, target: &TargetHost, now: BootTime) -> u32 {
        if target.state != TargetState::Serving {
            return 0;
        }
        let leased = view
            .lease
            .targets
            .iter()
            .find(|slots| slots.host == target.host)
            .map_or(0, |slots| slots.slots)
            .min(view.max_connections);
        let Some(entry) = self.entries.get(&target.host) else {
            return leased;
        };
        if now < entry.backoff_until {
            return 0;
        }
        match entry.health.allowed_use(now) {
            TargetUse::Full => leased,
            TargetUse::Probe => leased.min(1),
            TargetUse::Ejected => 0,
        }
    }

    fn is_suspect(&self, target: &TargetHost, now: BootTime) -> bool {
        self.entries
            .get(&target.host)
            .is_some_and(|entry| entry.health.is_suspect(now))
    }

    fn is_ejected(&self, target: &TargetHost, now: BootTime) -> bool {
        self.entries
            .get(&target.host)
            .is_some_and(|entry| entry.health.allowed_use(now) != TargetUse::Full)
    }
}

fn publish_count(counts: &RunningCounts, host: &HostId, entry: &TargetUsage) {
    let running = entry.in_flight + entry.unconfirmed;
    let mut counts = counts.lock();
    if running == 0 {
        counts.remove(host);
    } else {
        counts.insert(host.clone(), running);
    }
}

/// Connections that one entry host may hold to a target that allows `connections` in all.
///
/// Each of `members` entry hosts keeps to its part without asking the others, so the sum
/// stays within what the target allows.
pub(crate) fn connection_share(max_connections: u32, members: usize) -> u32 {
    let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    (max_connections / members).max(1)
}
