use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use decide::work::LogAppend;
use model::BootTime;
use rand::Rng;
use wire::work::{LogEntry, log_entry::Event};

use super::{
    world::{DeskWorld, WorldOwner},
    world_faults::WorldFaults,
};

/// Pages after which the log is replaced by a shorter one.
const LONG_LOG: u64 = 12;
/// Entries of a page of the shorter one.
const PAGE_ENTRIES: usize = 6;
/// Replaced pages that go with each page that is written.
const REMOVED_AT_ONCE: usize = 2;
/// How long an owner waits for the store's answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an entry that a caller waits for is tried while the store refuses.
const PATIENCE: Duration = Duration::from_millis(150);

/// The pages that the store holds.
#[derive(Default)]
pub(super) struct WorldLog {
    pages: BTreeMap<u64, Vec<LogEntry>>,
}

/// A page whose request the store carries out late.
pub(super) struct LatePage {
    at: BootTime,
    token: u64,
    change: PageChange,
}

#[derive(Clone)]
struct PageChange {
    page: u64,
    entries: Vec<LogEntry>,
    removes: Vec<u64>,
}

/// The log as its owner writes it.
#[derive(Default)]
pub(super) struct OwnerLog {
    pending: VecDeque<(BootTime, LogAppend)>,
    write: Option<PageWrite>,
    first: u64,
    next: u64,
    replaced: VecDeque<u64>,
    /// What is left to write of a shorter log, and the page that it begins with.
    shorter: VecDeque<Vec<LogEntry>>,
    shorter_from: u64,
    /// Pages that it had when it was last made shorter.
    base: u64,
}

struct PageWrite {
    change: PageChange,
    records: Vec<(BootTime, LogAppend)>,
    /// Whether an attempt may have been carried out.
    unsure: bool,
    again: BootTime,
    failed: bool,
}

/// What became of one attempt to write a page.
#[derive(PartialEq, Eq)]
enum Attempt {
    Done,
    Succeeded,
    Refused,
    Unanswered,
}

impl WorldFaults {
    pub(super) fn has_store_faults(&self) -> bool {
        self.store_away > 0.0 || self.lost_writes > 0.0 || self.short_log
    }
}

impl WorldLog {
    pub(super) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.pages.values().flatten()
    }

    /// Adds a page of one entry.
    pub(super) fn append(&mut self, entry: LogEntry) {
        let next = self.next();
        self.pages.insert(next, vec![entry]);
    }

    fn next(&self) -> u64 {
        self.pages.keys().last().map_or(0, |page| page + 1)
    }
}

impl OwnerLog {
    pub(super) fn found(log: &WorldLog) -> Self {
        Self {
            first: log.pages.keys().next().copied().unwrap_or_default(),
            next: log.next(),
            ..Self::default()
        }
    }

    /// Takes in that a page was written beside.
    pub(super) fn skip_page(&mut self, log: &WorldLog) {
        self.next = log.next();
    }

    pub(super) fn add(&mut self, record: LogAppend, due: BootTime) {
        self.pending.push_back((due, record));
    }

    pub(super) fn is_failing(&self) -> bool {
        self.write.as_ref().is_some_and(|write| write.failed)
    }

    fn change(&self, entries: Vec<LogEntry>) -> PageChange {
        let removes = self.replaced.iter().take(REMOVED_AT_ONCE);
        PageChange {
            page: self.next,
            entries,
            removes: removes.copied().collect(),
        }
    }

    /// Begins to write the next page, if there is something to write.
    fn begin(&mut self, now: BootTime) {
        if self.write.is_some() {
            return;
        }
        let (entries, records) = if let Some(part) = self.shorter.pop_front() {
            (part, Vec::new())
        } else {
            let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
            let records: Vec<_> = self.pending.drain(..due).collect();
            (entries_of(&records), records)
        };
        if !entries.is_empty() {
            self.write = Some(PageWrite {
                change: self.change(entries),
                records,
                unsure: false,
                again: now,
                failed: false,
            });
        }
    }

    fn wrote(&mut self) {
        self.next += 1;
        let removed = self.replaced.len().min(REMOVED_AT_ONCE);
        self.replaced.drain(..removed);
    }
}

impl DeskWorld {
    /// Writes what an owner has to write; false once it knows that it has been succeeded.
    pub(super) fn write_log(&mut self, owner: &mut WorldOwner) -> bool {
        let now = self.now.boot;
        loop {
            owner.log.begin(now);
            let due = owner.log.write.take_if(|write| write.again <= now);
            let Some(mut write) = due else {
                return true;
            };
            self.refuse_old(owner, &mut write);
            if write.change.entries.is_empty() {
                continue;
            }
            match self.try_write(owner, &write) {
                Attempt::Done => {
                    owner.log.wrote();
                    self.settle(owner, write.records);
                    self.shorten(owner);
                }
                Attempt::Succeeded => return false,
                failed => {
                    write.failed = true;
                    write.unsure |= failed == Attempt::Unanswered;
                    let wait = match failed {
                        Attempt::Unanswered => STORE_TIMEOUT,
                        _ => super::world::TICK,
                    };
                    write.again = now + wait;
                    owner.log.write = Some(write);
                    return true;
                }
            }
        }
    }

    fn try_write(&mut self, owner: &WorldOwner, write: &PageWrite) -> Attempt {
        if owner.alone_since.is_some() {
            return Attempt::Unanswered;
        }
        let draw: f64 = self.more.random();
        if self.store_away.is_some() {
            if draw < 0.5 {
                return Attempt::Refused;
            }
            self.hold_page(owner.token, &write.change);
            return Attempt::Unanswered;
        }
        let lost = self.faults.lost_writes;
        if draw < lost / 2.0 {
            self.hold_page(owner.token, &write.change);
            return Attempt::Unanswered;
        }
        let stands = owner.token == self.token;
        let landed = stands && self.land(&write.change);
        if draw < lost {
            return Attempt::Unanswered;
        }
        if !stands {
            return Attempt::Succeeded;
        }
        if !landed && !write.unsure {
            self.found(&format!("page {} is taken", write.change.page));
        }
        Attempt::Done
    }

    /// The store may carry a request out that nobody waits for any more.
    fn hold_page(&mut self, token: u64, change: &PageChange) {
        if self.more.random_bool(0.5) {
            return;
        }
        let wait = Duration::from_millis(self.more.random_range(100..3000));
        self.late_pages.push(LatePage {
            at: self.now.boot + wait,
            token,
            change: change.clone(),
        });
    }

    pub(super) fn land_late_pages(&mut self) {
        if self.store_away.is_some() || self.late_pages.is_empty() {
            return;
        }
        let now = self.now.boot;
        let (due, kept) = std::mem::take(&mut self.late_pages)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late_pages = kept;
        let due: Vec<LatePage> = due;
        for late in due {
            if late.token == self.token {
                self.land(&late.change);
            }
        }
    }

    /// Makes a change unless its page is there; true if it was made.
    fn land(&mut self, change: &PageChange) -> bool {
        if self.log.pages.contains_key(&change.page) {
            return false;
        }
        for page in &change.removes {
            self.log.pages.remove(page);
        }
        for entry in &change.entries {
            if let Some(Event::Cancelled(job)) = &entry.event {
                let now = self.now.boot;
                self.cancels_stored.entry(job.clone()).or_insert(now);
            }
        }
        self.log.pages.insert(change.page, change.entries.clone());
        true
    }

    /// Gives up what callers wait for and the store has surely not taken.
    fn refuse_old(&mut self, owner: &mut WorldOwner, write: &mut PageWrite) {
        if write.unsure || write.records.is_empty() {
            return;
        }
        let now = self.now.boot;
        let due = owner.log.pending.iter().take_while(|(at, _)| *at <= now);
        let due = due.count();
        write.records.extend(owner.log.pending.drain(..due));
        let mut kept = Vec::new();
        for (since, record) in std::mem::take(&mut write.records) {
            let event = record.entry.event.as_ref();
            let awaited = event.filter(|event| {
                now >= since + PATIENCE && matches!(event, Event::Accepted(_) | Event::Cancelled(_))
            });
            match awaited {
                Some(event) => self.answer_ask(owner.token, event, false),
                None => kept.push((since, record)),
            }
        }
        write.change.entries = entries_of(&kept);
        write.records = kept;
    }

    fn settle(&mut self, owner: &mut WorldOwner, records: Vec<(BootTime, LogAppend)>) {
        for (_, record) in records {
            match &record.entry.event {
                Some(Event::Accepted(job)) => owner.desk.accept_job(job, self.now),
                Some(Event::Cancelled(job)) => owner.desk.cancel(&job.as_str().into(), self.now),
                _ => {}
            }
            owner.desk.handle_stored_entry(&record, self.now);
            if let Some(event) = &record.entry.event {
                self.answer_ask(owner.token, event, true);
            }
        }
    }

    /// Begins a shorter log where it has become long; its old pages go once it is written.
    fn shorten(&mut self, owner: &mut WorldOwner) {
        if !self.faults.short_log {
            return;
        }
        let log = &mut owner.log;
        if log.shorter_from > log.first {
            if log.shorter.is_empty() {
                log.replaced.extend(log.first..log.shorter_from);
                log.first = log.shorter_from;
                log.base = log.next - log.first;
            }
            return;
        }
        if log.next - log.first < LONG_LOG + log.base {
            return;
        }
        let entries = owner.desk.job_table.compacted_entries();
        log.shorter = entries.chunks(PAGE_ENTRIES).map(<[_]>::to_vec).collect();
        log.shorter_from = if entries.is_empty() {
            log.first
        } else {
            log.next
        };
    }
}

fn entries_of(records: &[(BootTime, LogAppend)]) -> Vec<LogEntry> {
    let entries = records.iter().map(|(_, record)| record.entry.clone());
    entries.collect()
}
