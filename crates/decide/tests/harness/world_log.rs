use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use decide::work::LogAppend;
use model::BootTime;
use rand::Rng;
use wire::work::{LogEntry, log_entry::Event};

use super::{
    world::{SimOwner, Simulation},
    world_faults::WorldFaults,
};

/// Pages after which the log is compacted.
const COMPACT_AFTER: u64 = 12;
/// Entries of each page of a compacted log.
const ENTRIES_PER_PAGE: usize = 6;
/// Limit of replaced pages that one write removes.
const MAX_REMOVED_PAGES: usize = 2;
/// Time that an owner waits for the store's response.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which an entry that a caller waits for is retried while the store refuses writes.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// The pages of the job log in the store.
#[derive(Default)]
pub(super) struct StoredLog {
    pages: BTreeMap<u64, Vec<LogEntry>>,
}

/// A write that the store applies after its request timed out.
pub(super) struct DelayedWrite {
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

/// An owner's writes to the log.
#[derive(Default)]
pub(super) struct LogWriter {
    pending: VecDeque<(BootTime, LogAppend)>,
    write: Option<PageWrite>,
    first: u64,
    next: u64,
    replaced: VecDeque<u64>,
    /// Pages of a compacted log that are not written yet; `compacted_from` is its first page.
    compacted: VecDeque<Vec<LogEntry>>,
    compacted_from: u64,
    /// Pages of the log after the last compaction.
    base: u64,
}

struct PageWrite {
    change: PageChange,
    records: Vec<(BootTime, LogAppend)>,
    /// Whether an earlier attempt may have been applied.
    unconfirmed: bool,
    retry_at: BootTime,
    failed: bool,
}

/// Outcome of one attempt to write a page.
#[derive(PartialEq, Eq)]
enum WriteOutcome {
    Done,
    Succeeded,
    Refused,
    Unanswered,
}

impl WorldFaults {
    pub(super) fn has_store_faults(&self) -> bool {
        self.store_outage > 0.0 || self.lost_writes > 0.0 || self.short_log
    }
}

impl StoredLog {
    pub(super) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.pages.values().flatten()
    }

    /// Appends a page with one entry.
    pub(super) fn append(&mut self, entry: LogEntry) {
        let next = self.next();
        self.pages.insert(next, vec![entry]);
    }

    fn next(&self) -> u64 {
        self.pages.keys().last().map_or(0, |page| page + 1)
    }
}

impl LogWriter {
    pub(super) fn open(log: &StoredLog) -> Self {
        Self {
            first: log.pages.keys().next().copied().unwrap_or_default(),
            next: log.next(),
            ..Self::default()
        }
    }

    /// Skips a page that was not written through this writer.
    pub(super) fn skip_external_page(&mut self, log: &StoredLog) {
        self.next = log.next();
    }

    pub(super) fn push(&mut self, record: LogAppend, due: BootTime) {
        self.pending.push_back((due, record));
    }

    pub(super) fn is_failing(&self) -> bool {
        self.write.as_ref().is_some_and(|write| write.failed)
    }

    fn change(&self, entries: Vec<LogEntry>) -> PageChange {
        let removes = self.replaced.iter().take(MAX_REMOVED_PAGES);
        PageChange {
            page: self.next,
            entries,
            removes: removes.copied().collect(),
        }
    }

    /// Begins the next write if entries are due.
    fn begin(&mut self, now: BootTime) {
        if self.write.is_some() {
            return;
        }
        let (entries, records) = if let Some(page) = self.compacted.pop_front() {
            (page, Vec::new())
        } else {
            let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
            let records: Vec<_> = self.pending.drain(..due).collect();
            (entries_of(&records), records)
        };
        if !entries.is_empty() {
            self.write = Some(PageWrite {
                change: self.change(entries),
                records,
                unconfirmed: false,
                retry_at: now,
                failed: false,
            });
        }
    }

    fn finish_write(&mut self) {
        self.next += 1;
        let removed = self.replaced.len().min(MAX_REMOVED_PAGES);
        self.replaced.drain(..removed);
    }
}

impl Simulation {
    /// Writes an owner's due entries. Returns false if the store reports a successor.
    pub(super) fn write_log(&mut self, owner: &mut SimOwner) -> bool {
        let now = self.now.boot;
        loop {
            owner.writer.begin(now);
            let due = owner.writer.write.take_if(|write| write.retry_at <= now);
            let Some(mut write) = due else {
                return true;
            };
            self.reject_timed_out(owner, &mut write);
            if write.change.entries.is_empty() {
                continue;
            }
            match self.try_write(owner, &write) {
                WriteOutcome::Done => {
                    owner.writer.finish_write();
                    self.acknowledge_stored(owner, write.records);
                    self.compact_log(owner);
                }
                WriteOutcome::Succeeded => return false,
                failed => {
                    write.failed = true;
                    write.unconfirmed |= failed == WriteOutcome::Unanswered;
                    let wait = match failed {
                        WriteOutcome::Unanswered => STORE_TIMEOUT,
                        _ => super::world::TICK,
                    };
                    write.retry_at = now + wait;
                    owner.writer.write = Some(write);
                    return true;
                }
            }
        }
    }

    fn try_write(&mut self, owner: &SimOwner, write: &PageWrite) -> WriteOutcome {
        if owner.partitioned_since.is_some() {
            return WriteOutcome::Unanswered;
        }
        let draw: f64 = self.extra_rng.random();
        if self.store_outage.is_some() {
            if draw < 0.5 {
                return WriteOutcome::Refused;
            }
            self.delay_write(owner.token, &write.change);
            return WriteOutcome::Unanswered;
        }
        let lost = self.faults.lost_writes;
        if draw < lost / 2.0 {
            self.delay_write(owner.token, &write.change);
            return WriteOutcome::Unanswered;
        }
        let is_owner = owner.token == self.current_token;
        let applied = is_owner && self.apply_change(&write.change);
        if draw < lost {
            return WriteOutcome::Unanswered;
        }
        if !is_owner {
            return WriteOutcome::Succeeded;
        }
        if !applied && !write.unconfirmed {
            self.violation(&format!("page {} exists already", write.change.page));
        }
        WriteOutcome::Done
    }

    /// Draws whether the store applies an unanswered write later.
    fn delay_write(&mut self, token: u64, change: &PageChange) {
        if self.extra_rng.random_bool(0.5) {
            return;
        }
        let wait = Duration::from_millis(self.extra_rng.random_range(100..3000));
        self.delayed_writes.push(DelayedWrite {
            at: self.now.boot + wait,
            token,
            change: change.clone(),
        });
    }

    pub(super) fn apply_delayed_writes(&mut self) {
        if self.store_outage.is_some() || self.delayed_writes.is_empty() {
            return;
        }
        let now = self.now.boot;
        let (due, remaining) = std::mem::take(&mut self.delayed_writes)
            .into_iter()
            .partition(|write| write.at <= now);
        self.delayed_writes = remaining;
        let due: Vec<DelayedWrite> = due;
        for write in due {
            if write.token == self.current_token {
                self.apply_change(&write.change);
            }
        }
    }

    /// Applies a change unless its page exists. Returns true if it was applied.
    fn apply_change(&mut self, change: &PageChange) -> bool {
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

    /// Drops requests of callers that timed out and certainly were not stored.
    fn reject_timed_out(&mut self, owner: &mut SimOwner, write: &mut PageWrite) {
        if write.unconfirmed || write.records.is_empty() {
            return;
        }
        let now = self.now.boot;
        let due = owner.writer.pending.iter().take_while(|(at, _)| *at <= now);
        let due = due.count();
        write.records.extend(owner.writer.pending.drain(..due));
        let mut remaining = Vec::new();
        for (since, record) in std::mem::take(&mut write.records) {
            let event = record.entry.event.as_ref();
            let awaited = event.filter(|event| {
                now >= since + CLIENT_WRITE_TIMEOUT
                    && matches!(event, Event::Accepted(_) | Event::Cancelled(_))
            });
            match awaited {
                Some(event) => self.complete_request(owner.token, event, false),
                None => remaining.push((since, record)),
            }
        }
        write.change.entries = entries_of(&remaining);
        write.records = remaining;
    }

    fn acknowledge_stored(&mut self, owner: &mut SimOwner, records: Vec<(BootTime, LogAppend)>) {
        for (_, record) in records {
            match &record.entry.event {
                Some(Event::Accepted(job)) => owner.scheduler.accept_job(job, self.now),
                Some(Event::Cancelled(id)) => owner.scheduler.cancel(&id.as_str().into(), self.now),
                _ => {}
            }
            owner.scheduler.handle_stored_entry(&record, self.now);
            if let Some(event) = &record.entry.event {
                self.complete_request(owner.token, event, true);
            }
        }
    }

    /// Begins to compact a long log. Its old pages are removed once the compacted log is written.
    fn compact_log(&mut self, owner: &mut SimOwner) {
        if !self.faults.short_log {
            return;
        }
        let log = &mut owner.writer;
        if log.compacted_from > log.first {
            if log.compacted.is_empty() {
                log.replaced.extend(log.first..log.compacted_from);
                log.first = log.compacted_from;
                log.base = log.next - log.first;
            }
            return;
        }
        if log.next - log.first < COMPACT_AFTER + log.base {
            return;
        }
        let entries = owner.scheduler.job_table.compacted_entries();
        log.compacted = entries
            .chunks(ENTRIES_PER_PAGE)
            .map(<[_]>::to_vec)
            .collect();
        log.compacted_from = if entries.is_empty() {
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
