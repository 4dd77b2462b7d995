use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, HostId, work::TargetEntry};
use rand::Rng;

use super::{
    world::{LIST_TTL, SimOwner, Simulation},
    world_drain::entry_of,
};

/// Share of crashed targets whose host restarts under another id.
pub(super) const NEW_ID: f64 = 0.4;
/// Share of entries that lapse during a store outage.
const LAPSED_ENTRIES: f64 = 0.4;
/// Probability per second that an owner reads the whole list again.
const REREADS: f64 = 0.1;
/// Interval at which an owner polls the incarnations of hosts.
const INCARNATION_POLL: Duration = Duration::from_millis(500);

/// The host list in the store, with its events.
#[derive(Default)]
pub(super) struct HostList {
    revision: u64,
    entries: BTreeMap<HostId, TargetEntry>,
    events: Vec<ListEvent>,
}

struct ListEvent {
    revision: u64,
    at: BootTime,
    id: HostId,
    /// `None` if the entry was removed.
    entry: Option<TargetEntry>,
}

/// State of an owner's watch of the host list.
#[derive(Default)]
pub(super) struct ListWatch {
    started: bool,
    revision: u64,
    /// Delay of events.
    lag: Duration,
    pending_read: Option<ListRead>,
    incarnations: Vec<(BootTime, BTreeSet<HostId>)>,
    next_incarnation_poll: BootTime,
}

/// A read of the list in two pages, which are not from one snapshot.
struct ListRead {
    first: BTreeMap<HostId, TargetEntry>,
    split: HostId,
    revision: u64,
    second_at: BootTime,
}

impl HostList {
    fn write(&mut self, id: &HostId, entry: Option<TargetEntry>, at: BootTime) {
        self.revision += 1;
        match &entry {
            Some(entry) => self.entries.insert(id.clone(), entry.clone()),
            None => self.entries.remove(id),
        };
        self.events.push(ListEvent {
            revision: self.revision,
            at,
            id: id.clone(),
            entry,
        });
    }
}

impl Simulation {
    /// Writes the entries of running targets and removes lapsed ones.
    pub(super) fn update_host_list(&mut self) {
        if !self.faults.lists || self.store_outage.is_some() {
            return;
        }
        let now = self.now.boot;
        let after_outage = now.saturating_sub(self.store_restored_at) < Duration::from_secs(2);
        let mut events = Vec::new();
        for (name, state) in &mut self.targets {
            let known = self
                .host_list
                .entries
                .get(name)
                .map(|entry| entry.started_at);
            if !state.up || state.partitioned {
                state.entry_write_at = None;
                if known.is_some() && now >= state.down_since + LIST_TTL {
                    self.host_list.write(name, None, now);
                    events.push(format!("{name} is removed from the host list"));
                }
                continue;
            }
            if known == Some(state.started_at) {
                state.entry_write_at = None;
                continue;
            }
            let longest = if after_outage { 1900 } else { 800 };
            let first = now <= Duration::from_millis(1_000_100);
            let wait = match first {
                true => Duration::ZERO,
                false => Duration::from_millis(self.extra_rng.random_range(20..longest)),
            };
            let at = *state.entry_write_at.get_or_insert(now + wait);
            if now >= at {
                let entry = TargetEntry {
                    address: state.address.as_str().into(),
                    started_at: state.started_at,
                    ..entry_of(name, self.faults)
                };
                self.host_list.write(name, Some(entry), now);
                events.push(format!(
                    "{name} started at {:?} is listed",
                    state.started_at
                ));
            }
        }
        events.into_iter().for_each(|what| self.record_event(&what));
    }

    /// Removes a random share of the entries; running targets write theirs again.
    pub(super) fn expire_entries(&mut self) {
        let names: Vec<HostId> = self.host_list.entries.keys().cloned().collect();
        for name in names {
            if self.extra_rng.random_bool(LAPSED_ENTRIES) {
                self.host_list.write(&name, None, self.now.boot);
                self.record_event(&format!("the entry of {name} lapses"));
            }
        }
    }

    /// Delivers events and reads of the host list to an owner.
    pub(super) fn deliver_list_events(&mut self, owner: &mut SimOwner) {
        if self.store_outage.is_some() || owner.partitioned_since.is_some() {
            owner.list_watch.pending_read = None;
            return;
        }
        let now = self.now.boot;
        let probability = REREADS * super::world::TICK.as_secs_f64();
        let reread = !owner.list_watch.started || self.extra_rng.random_bool(probability);
        if reread && owner.list_watch.pending_read.is_none() {
            self.begin_read(owner);
        }
        let list_read = owner
            .list_watch
            .pending_read
            .take_if(|read| now >= read.second_at);
        if let Some(list_read) = list_read {
            self.finish_read(owner, list_read);
        }
        if owner.list_watch.pending_read.is_some() {
            return;
        }
        let (from, lag) = (owner.list_watch.revision, owner.list_watch.lag);
        let is_due = |event: &&ListEvent| event.revision > from && event.at + lag <= now;
        let events: Vec<&ListEvent> = self.host_list.events.iter().filter(is_due).collect();
        if let Some(last) = events.last() {
            owner.list_watch.revision = last.revision;
        }
        for event in &events {
            match &event.entry {
                Some(entry) => owner.scheduler.upsert_target(entry.clone(), self.now),
                None => owner.scheduler.mark_target_unlisted(&event.id),
            }
        }
        if !events.is_empty() {
            let slow = self.extra_rng.random_bool(0.2);
            let longest = if slow { 500 } else { 60 };
            owner.list_watch.lag = Duration::from_millis(self.extra_rng.random_range(0..longest));
        }
    }

    fn begin_read(&mut self, owner: &mut SimOwner) {
        let names: Vec<&HostId> = self.host_list.entries.keys().collect();
        let split = self.extra_rng.random_range(0..=names.len());
        let split = names.get(split).copied().cloned().unwrap_or_default();
        let first = self.host_list.entries.range(..split.clone());
        let first = first.map(|(id, entry)| (id.clone(), entry.clone()));
        let wait = Duration::from_millis(self.extra_rng.random_range(0..400));
        owner.list_watch.started = true;
        owner.list_watch.pending_read = Some(ListRead {
            first: first.collect(),
            split,
            revision: self.host_list.revision,
            second_at: self.now.boot + wait,
        });
    }

    fn finish_read(&mut self, owner: &mut SimOwner, list_read: ListRead) {
        let mut read = list_read.first;
        let second = self.host_list.entries.range(list_read.split..);
        read.extend(second.map(|(id, entry)| (id.clone(), entry.clone())));
        let missing = owner.scheduler.listed_targets();
        for id in missing.iter().filter(|id| !read.contains_key(*id)) {
            owner.scheduler.mark_target_unlisted(id);
        }
        for entry in read.into_values() {
            owner.scheduler.upsert_target(entry, self.now);
        }
        owner.list_watch.revision = list_read.revision;
    }

    /// Delivers the incarnations that the hosts' control plane lists, and polls them again.
    pub(super) fn poll_incarnations(&mut self, owner: &mut SimOwner) {
        let now = self.now.boot;
        let (due, pending) = std::mem::take(&mut owner.list_watch.incarnations)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        owner.list_watch.incarnations = pending;
        let due: Vec<(BootTime, BTreeSet<HostId>)> = due;
        let asked = owner
            .list_watch
            .next_incarnation_poll
            .saturating_sub(INCARNATION_POLL);
        for (_, incarnations) in due {
            owner
                .scheduler
                .update_incarnations(&incarnations, asked, self.now);
        }
        let certain = !self.is_lease_lapsed(owner) && owner.partitioned_since.is_none();
        // Only one poll is in flight.
        let requests = certain
            && owner.list_watch.incarnations.is_empty()
            && now >= owner.list_watch.next_incarnation_poll;
        if !requests {
            return;
        }
        owner.list_watch.next_incarnation_poll = now + INCARNATION_POLL;
        let incarnations = self.targets.iter().filter(|(_, state)| {
            let down = state.hidden_while_down || state.returns_with_new_id;
            state.up || !down
        });
        let incarnations = incarnations.map(|(id, _)| id.clone()).collect();
        let wait = Duration::from_millis(self.extra_rng.random_range(20..400));
        owner
            .list_watch
            .incarnations
            .push((now + wait, incarnations));
    }

    /// Returns true if another incarnation of the host responds at the target's address.
    pub(super) fn has_moved_incarnation(&self, name: &HostId) -> bool {
        let Some(state) = self.targets.get(name).filter(|state| !state.up) else {
            return false;
        };
        let mut others = self.targets.iter().filter(|(other, _)| *other != name);
        others.any(|(_, other)| other.up && !other.partitioned && other.address == state.address)
    }
}
