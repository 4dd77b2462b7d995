use std::{collections::HashMap, sync::Arc, time::Duration};

use decide::eject::{TargetHealth, TargetUse, can_spare};
use model::{
    BootTime, DataCentreId, HostId,
    event::{info, warn},
};
use parking_lot::Mutex;
use ports::{SlotLease, TargetHost, TargetSlots, TargetState};

use crate::{dispatch::TargetConnection, event};

/// How long a connection may stay idle before it is closed. Short, because a request whose
/// target closes the connection just as it is used has an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Bounds of the backoff after a target has refused a request.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Requests in flight by target, shared with other subsystems for reading.
pub(crate) type RunningCounts = Arc<Mutex<HashMap<HostId, u32>>>;

/// Requests in flight on each target, its idle connections and its health.
pub(crate) struct TargetTable {
    entries: HashMap<HostId, TargetUsage>,
    counts: RunningCounts,
    data_centre: DataCentreId,
    connect_timeout: Duration,
}

#[derive(Default)]
struct TargetUsage {
    in_flight: u32,
    /// Requests that no longer hold a slot but may still be running.
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

/// The inputs about a pool for choosing a target.
pub(crate) struct PoolView<'a> {
    /// Targets of the pool.
    pub targets: &'a [TargetHost],
    /// Slots that this entry host may use.
    pub lease: &'a SlotLease,
    /// Maximum number of connections from this entry host to each target.
    pub max_connections: u32,
    /// Number of hosts that the pool must keep in service.
    pub budget: u32,
}

impl TargetTable {
    /// Creates an empty table for an entry host in `data_centre`.
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

    /// Chooses a target with a free slot. Targets without recent failures come first, then
    /// those with the most free slots, then those in the local data centre; `tie` rotates
    /// among equal ones.
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

    /// Takes a slot of `target` and returns a connection to it, reusing an idle one if
    /// possible.
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

    /// Releases a slot.
    pub fn release_slot(&mut self, host: &HostId) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        publish_count(&self.counts, host, entry);
    }

    /// Releases the slot of a request that may still run on the target.
    pub fn release_unconfirmed(&mut self, host: &HostId) {
        let entry = self.entries.entry(host.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.unconfirmed += 1;
    }

    /// Records that such a request can no longer be running.
    pub fn end_unconfirmed(&mut self, host: &HostId) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.unconfirmed = entry.unconfirmed.saturating_sub(1);
        publish_count(&self.counts, host, entry);
    }

    /// Keeps a connection for the next request to its target, unless there would be more
    /// than `max_connections` to that target. This limit shrinks when an entry host joins.
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

    /// The number of requests in flight for each of `targets` that has any.
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

    /// Closes connections that were idle for too long, and drops entries without any state.
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

    /// Records a successful response of a target.
    pub fn on_success(&mut self, host: &HostId) {
        let entry = self.entries.entry(host.clone()).or_default();
        entry.health.record_success();
        entry.backoff = Duration::ZERO;
    }

    /// Records a failed request; `answered` is false if there was no valid response.
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
            // The connections may lead to a process of the target that no longer exists.
            entry.idle_connections.clear();
        }
        if entry.health.record_failure(now, may_eject) {
            metrics::counter!("lws_targets_ejected").increment(1);
            warn(&event::TARGET_EJECTED, format_args!("host={host}"));
        }
    }

    /// Records that a target refused a request because it drains or has no free slot. The
    /// target gets no requests during a backoff that doubles up to one second while it
    /// keeps refusing, so that a draining target gets few requests and a target that was
    /// only briefly full is not idle for long.
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

/// Maximum number of connections from one entry host to a target that allows `connections`
/// in total.
///
/// Each of the `members` entry hosts keeps to its share without coordination, so the sum
/// stays within what the target allows.
pub(crate) fn connection_share(connections: u32, members: usize) -> u32 {
    let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    (connections / members).max(1)
}
