use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::{budget::HostFacts, wave::HostObservation};
use model::{BootTime, HostId};
use store::HostEntry;

use crate::{fleet_shared::FleetShared, list_view::ListView};

/// Reads the host list periodically until the service stops.
pub(crate) fn run_list_watch(shared: &Arc<FleetShared>) {
    loop {
        read_list(shared);
        shared.release_due_permits();
        if !shared.pause(shared.timing.list_interval) {
            return;
        }
    }
}

/// Reads the list once. If that fails, the last view stays, because an unavailable list
/// does not mean that hosts are lost.
fn read_list(shared: &FleetShared) {
    let asked_at = shared.clock.boot_now();
    match shared.hosts.hosts() {
        Ok(entries) => {
            let known: Vec<HostId> = shared.snapshot.lock().map.hosts.keys().cloned().collect();
            let view = shared.list.load().after_read(entries, &known, asked_at);
            shared.list.store(Arc::new(view));
            shared.rebuild_targets();
        }
        Err(e) => {
            metrics::counter!("lws_fleet_list_errors").increment(1);
            log::warn!(target: "E0601", "host-list-unread cause={e}");
        }
    }
}

impl ListView {
    /// Returns the view after a read of `entries`; `known` are the hosts of the pool map.
    ///
    /// Absence is counted between successful reads only, and each gap between reads counts
    /// up to a limit. So the first read after an outage of the list does not make a host
    /// lost at once.
    pub(crate) fn after_read(
        &self,
        entries: Vec<HostEntry>,
        known: &[HostId],
        asked_at: BootTime,
    ) -> Self {
        let entries: BTreeMap<HostId, HostEntry> = entries
            .into_iter()
            .map(|entry| (entry.host.clone(), entry))
            .collect();
        let unread = self
            .read_at
            .map_or(Duration::ZERO, |read_at| asked_at.saturating_sub(read_at));
        let gap = unread.saturating_sub(Self::MAX_COUNTED_GAP);
        let missing = known
            .iter()
            .filter(|host| !entries.contains_key(*host))
            .map(|host| {
                let since = self
                    .missing
                    .get(host)
                    .map_or(asked_at, |since| *since + gap);
                (host.clone(), since)
            })
            .collect();
        Self {
            read_at: Some(asked_at),
            entries,
            missing,
        }
    }

    /// Returns the facts and the absence of `host` according to the list.
    pub(crate) fn observation(&self, host: &HostId, now: BootTime) -> HostObservation {
        let entry = self.entries.get(host);
        HostObservation {
            facts: entry.map(facts_of),
            leaving: entry.is_some_and(|entry| entry.leaving),
            missing_for: self.missing_for(host, now),
            ..HostObservation::default()
        }
    }

    /// How long `host` has been missing from the list, up to the last read.
    pub(crate) fn missing_for(&self, host: &HostId, now: BootTime) -> Duration {
        let Some(since) = self.missing.get(host) else {
            return Duration::ZERO;
        };
        let read_at = self.read_at.unwrap_or(now);
        read_at.saturating_sub(*since)
    }

    /// Maximum time between two reads that counts towards an absence.
    const MAX_COUNTED_GAP: Duration = Duration::from_secs(3);
}

fn facts_of(entry: &HostEntry) -> HostFacts {
    HostFacts {
        address: entry.address.clone(),
        role: entry.role,
        service: entry.service.clone(),
        data_centre: entry.data_centre.clone(),
        rack: entry.rack.clone(),
        cores: entry.cores,
        memory_mb: entry.memory_mb,
        accelerators: entry.accelerators,
    }
}
