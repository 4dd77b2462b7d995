use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, HostId, work::TargetEntry};
use rand::Rng;

use super::{
    target,
    world::{CAPACITY, DeskWorld, LIST_LAPSE, WorldOwner},
};

/// Part of the crashed targets whose host comes back under another id.
pub(super) const FRESH_ID: f64 = 0.4;
/// Part of the entries that lapse while the store is away.
const LAPSED: f64 = 0.4;
/// How often an owner reads the whole list anew, as a chance a second.
const READS_ANEW: f64 = 0.1;
/// How often hosts are listed.
const LIVES_EVERY: Duration = Duration::from_millis(500);

/// The host list in the store.
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
    /// `None` where the entry was removed.
    entry: Option<TargetEntry>,
}

/// How far an owner has followed the host list.
#[derive(Default)]
pub(super) struct OwnerWatch {
    started: bool,
    revision: u64,
    /// How old an event is when it is heard of.
    lag: Duration,
    reading: Option<ListReading>,
    lives: Vec<(BootTime, BTreeSet<HostId>)>,
    lives_at: BootTime,
}

/// A list that is read in two pages, which are no snapshot.
struct ListReading {
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

impl DeskWorld {
    /// Lets targets write their entries, and the store remove those that have lapsed.
    pub(super) fn write_entries(&mut self) {
        if !self.faults.lists || self.store_away.is_some() {
            return;
        }
        let now = self.now.boot;
        let back = now.saturating_sub(self.store_back) < Duration::from_secs(2);
        let mut told = Vec::new();
        for (name, state) in &mut self.targets {
            let known = self.list.entries.get(name).map(|entry| entry.started_at);
            if !state.up || state.cut {
                state.writes_at = None;
                if known.is_some() && now >= state.down_since + LIST_LAPSE {
                    self.list.write(name, None, now);
                    told.push(format!("{name} leaves the list"));
                }
                continue;
            }
            if known == Some(state.born) {
                state.writes_at = None;
                continue;
            }
            let longest = if back { 1900 } else { 800 };
            let first = now <= Duration::from_millis(1_000_100);
            let wait = match first {
                true => Duration::ZERO,
                false => Duration::from_millis(self.more.random_range(20..longest)),
            };
            let at = *state.writes_at.get_or_insert(now + wait);
            if now >= at {
                let entry = TargetEntry {
                    address: state.address.as_str().into(),
                    started_at: state.born,
                    ..target(name, CAPACITY)
                };
                self.list.write(name, Some(entry), now);
                told.push(format!("{name} of {:?} is listed", state.born));
            }
        }
        told.into_iter().for_each(|what| self.note(&what));
    }

    /// Entries lapse with the store; targets that live write them anew.
    pub(super) fn lapse_entries(&mut self) {
        let names: Vec<HostId> = self.list.entries.keys().cloned().collect();
        for name in names {
            if self.more.random_bool(LAPSED) {
                self.list.write(&name, None, self.now.boot);
                self.note(&format!("the entry of {name} lapses"));
            }
        }
    }

    /// Tells an owner what it hears of the host list.
    pub(super) fn follow_list(&mut self, owner: &mut WorldOwner) {
        if self.store_away.is_some() || owner.alone_since.is_some() {
            owner.watch.reading = None;
            return;
        }
        let now = self.now.boot;
        let part = READS_ANEW * super::world::TICK.as_secs_f64();
        let anew = !owner.watch.started || self.more.random_bool(part);
        if anew && owner.watch.reading.is_none() {
            self.begin_reading(owner);
        }
        let reading = owner.watch.reading.take_if(|read| now >= read.second_at);
        if let Some(reading) = reading {
            self.end_reading(owner, reading);
        }
        if owner.watch.reading.is_some() {
            return;
        }
        let (from, lag) = (owner.watch.revision, owner.watch.lag);
        let heard = |event: &&ListEvent| event.revision > from && event.at + lag <= now;
        let events: Vec<&ListEvent> = self.list.events.iter().filter(heard).collect();
        if let Some(last) = events.last() {
            owner.watch.revision = last.revision;
        }
        for event in &events {
            match &event.entry {
                Some(entry) => owner.desk.upsert_target(entry.clone(), self.now),
                None => owner.desk.mark_target_unlisted(&event.id),
            }
        }
        if !events.is_empty() {
            let slow = self.more.random_bool(0.2);
            let longest = if slow { 500 } else { 60 };
            owner.watch.lag = Duration::from_millis(self.more.random_range(0..longest));
        }
    }

    fn begin_reading(&mut self, owner: &mut WorldOwner) {
        let names: Vec<&HostId> = self.list.entries.keys().collect();
        let split = self.more.random_range(0..=names.len());
        let split = names.get(split).copied().cloned().unwrap_or_default();
        let first = self.list.entries.range(..split.clone());
        let first = first.map(|(id, entry)| (id.clone(), entry.clone()));
        let wait = Duration::from_millis(self.more.random_range(0..400));
        owner.watch.started = true;
        owner.watch.reading = Some(ListReading {
            first: first.collect(),
            split,
            revision: self.list.revision,
            second_at: self.now.boot + wait,
        });
    }

    fn end_reading(&mut self, owner: &mut WorldOwner, reading: ListReading) {
        let mut read = reading.first;
        let second = self.list.entries.range(reading.split..);
        read.extend(second.map(|(id, entry)| (id.clone(), entry.clone())));
        let missing = owner.desk.listed_targets();
        for id in missing.iter().filter(|id| !read.contains_key(*id)) {
            owner.desk.mark_target_unlisted(id);
        }
        for entry in read.into_values() {
            owner.desk.upsert_target(entry, self.now);
        }
        owner.watch.revision = reading.revision;
    }

    /// Tells an owner which lives the control of hosts lists.
    pub(super) fn follow_lives(&mut self, owner: &mut WorldOwner) {
        let now = self.now.boot;
        let (due, kept) = std::mem::take(&mut owner.watch.lives)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        owner.watch.lives = kept;
        let due: Vec<(BootTime, BTreeSet<HostId>)> = due;
        let asked = owner.watch.lives_at.saturating_sub(LIVES_EVERY);
        for (_, lives) in due {
            owner.desk.update_incarnations(&lives, asked, self.now);
        }
        let certain = !self.is_lapsed(owner) && owner.alone_since.is_none();
        // One list is asked for at a time.
        let asks = certain && owner.watch.lives.is_empty() && now >= owner.watch.lives_at;
        if !asks {
            return;
        }
        owner.watch.lives_at = now + LIVES_EVERY;
        let lives = self.targets.iter().filter(|(_, state)| {
            let down = state.hidden || state.replaced;
            state.up || !down
        });
        let lives = lives.map(|(id, _)| id.clone()).collect();
        let wait = Duration::from_millis(self.more.random_range(20..400));
        owner.watch.lives.push((now + wait, lives));
    }

    /// True if another life of its host answers where a target was.
    pub(super) fn lives_elsewise(&self, name: &HostId) -> bool {
        let Some(state) = self.targets.get(name).filter(|state| !state.up) else {
            return false;
        };
        let mut others = self.targets.iter().filter(|(other, _)| *other != name);
        others.any(|(_, other)| other.up && !other.cut && other.address == state.address)
    }
}
