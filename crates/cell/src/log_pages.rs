use std::collections::VecDeque;

use compact_str::CompactString;
use model::work::FencingToken;
use ports::{StoreChange, StoreWrite};
use prost::Message;
use wire::work::LogPage;

use crate::{
    cell_options::CellOptions,
    log_cache::{LogCache, LogSummary, PageNumber},
};

/// Pages after which the log is replaced by a shorter one, however small they are.
const COMPACT_AFTER_PAGES: u64 = 480;
/// Bytes after which it is, unless the shorter one had more. A successor reads at most twice the
/// larger of both: within a second over 2 Mbit/s while what is open fits 90 KB.
const COMPACT_AFTER_BYTES: usize = 96 << 10;
/// A shorter log is written only if the log is at least so many times as long. Otherwise it would
/// add more to what the next owner reads than it ever takes away.
const MIN_COMPACTION_RATIO: usize = 2;
/// Keys that a change which writes a page may remove beside: the store takes 32 entries, three of
/// which are the owner's entry, the page as a condition, and the page.
const MAX_REMOVES_PER_CHANGE: usize = 28;

/// Where the log stands: which pages are in force, which can go, and how large it has become.
#[derive(Debug, Default)]
pub(crate) struct LogPages {
    /// Number of the first page in force.
    first: PageNumber,
    /// Number that the next page gets.
    next: PageNumber,
    /// Bytes that the log had when it was last made shorter.
    base_bytes: usize,
    /// Bytes written since.
    new_bytes: usize,
    /// Pages that a shorter log has replaced, oldest first.
    replaced: VecDeque<PageNumber>,
}

impl LogPages {
    /// The log as a new owner found it.
    pub(crate) fn from_summary(summary: LogSummary) -> Self {
        Self {
            first: summary.start,
            next: summary.next,
            new_bytes: summary.bytes,
            replaced: (summary.oldest..summary.start).collect(),
            ..Self::default()
        }
    }

    /// Number that the next page gets.
    pub(crate) fn next_page(&self) -> PageNumber {
        self.next
    }

    /// The next page with what it tells of the log, so that whoever reads it need not ask the store
    /// which pages are left.
    pub(crate) fn with_bounds(&self, mut page: Vec<u8>) -> Vec<u8> {
        let oldest = self.replaced.get(MAX_REMOVES_PER_CHANGE);
        let bounds = LogPage {
            oldest: oldest.copied().unwrap_or(self.first),
            start: self.first,
            ..LogPage::default()
        };
        // Messages that follow each other are read as one with the fields of both.
        page.extend(bounds.encode_to_vec());
        page
    }

    /// The change that writes the next page and removes replaced ones: only while the writer's
    /// entry as owner stands, so that what an earlier owner sent can't land after its successor
    /// has read the log.
    ///
    /// Replaced pages go with pages that are written anyway, oldest first: a call of its own for
    /// each few of them would hold back what callers wait for, for seconds while the store is slow.
    pub(crate) fn write_change(
        &self,
        options: &CellOptions,
        token: FencingToken,
        value: Vec<u8>,
    ) -> StoreChange {
        let key = page_key(options, self.next);
        let removes = self.replaced.iter().take(MAX_REMOVES_PER_CHANGE);
        let removes = removes.map(|&page| page_key(options, page)).collect();
        StoreChange {
            expect: vec![(options.owner_key(), token), (key.clone(), 0)],
            writes: vec![StoreWrite {
                key,
                value,
                lease: None,
            }],
            removes,
        }
    }

    /// Takes in that the change which writes the next page was made, and keeps the page in the copy.
    pub(crate) fn page_written(&mut self, log_cache: &LogCache, value: Vec<u8>) {
        self.new_bytes += value.len();
        log_cache.insert(self.next, value);
        self.next += 1;
        let removed = self.replaced.len().min(MAX_REMOVES_PER_CHANGE);
        self.replaced.drain(..removed);
    }

    /// True once the log should be replaced by a shorter one.
    pub(crate) fn needs_compaction(&self) -> bool {
        self.next - self.first >= COMPACT_AFTER_PAGES
            || self.new_bytes >= COMPACT_AFTER_BYTES.max(self.base_bytes)
    }

    /// Bytes of a log that says the same at which it is still short enough to be written.
    pub(crate) fn max_compacted_bytes(&self) -> usize {
        if self.next - self.first >= COMPACT_AFTER_PAGES {
            return usize::MAX;
        }
        (self.base_bytes + self.new_bytes) / MIN_COMPACTION_RATIO
    }

    /// Takes in that of the log `bytes` have to stay, so that it is not long yet.
    pub(crate) fn postpone_compaction(&mut self, bytes: usize) {
        let all = self.base_bytes + self.new_bytes;
        self.base_bytes = bytes.min(all);
        self.new_bytes = all - self.base_bytes;
    }

    /// Takes in that the pages from `start` on say all that the log has to say.
    pub(crate) fn log_compacted(&mut self, start: PageNumber, bytes: usize) {
        self.replaced.extend(self.first..start);
        self.first = start;
        self.base_bytes = bytes;
        self.new_bytes = 0;
    }
}

/// Key of a page; keys sort as their numbers.
pub(crate) fn page_key(options: &CellOptions, page: PageNumber) -> CompactString {
    compact_str::format_compact!("{}{page:012}", options.log_prefix())
}
