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

/// Number of pages after which the log is compacted, however small they are.
const COMPACT_AFTER_PAGES: u64 = 480;
/// Bytes written after which the log is compacted again, unless the last compacted log was larger. A
/// successor reads at most twice the larger of both. That takes less than a second over 2 Mbit/s
/// while the open jobs fit in 90 KB.
const COMPACT_AFTER_BYTES: usize = 96 << 10;
/// The log is compacted only if that makes it shorter by at least this factor. Otherwise compaction
/// would add more to what the next owner reads than it ever removes.
const MIN_COMPACTION_RATIO: usize = 2;
/// Maximum number of keys that a change may remove besides writing a page. The store takes 32
/// entries in a change. Three of them are the owner's entry and the page as conditions, and the
/// write of the page.
const MAX_REMOVES_PER_CHANGE: usize = 28;

/// The state of the log: which pages are in force, which can be removed, and its size.
#[derive(Debug, Default)]
pub(crate) struct LogPages {
    /// Number of the first page in force.
    first: PageNumber,
    /// Number of the next page to be written.
    next: PageNumber,
    /// Bytes of the log after its last compaction.
    base_bytes: usize,
    /// Bytes written since.
    new_bytes: usize,
    /// Pages that compaction has replaced, oldest first.
    replaced: VecDeque<PageNumber>,
}

impl LogPages {
    /// The state of the log that a new owner has read.
    pub(crate) fn from_summary(summary: LogSummary) -> Self {
        Self {
            first: summary.start,
            next: summary.next,
            new_bytes: summary.bytes,
            replaced: (summary.oldest..summary.start).collect(),
            ..Self::default()
        }
    }

    /// Number of the next page to be written.
    pub(crate) fn next_page(&self) -> PageNumber {
        self.next
    }

    /// Appends the bounds of the log to an encoded page, so that a reader need not list the
    /// remaining pages in the store.
    pub(crate) fn with_bounds(&self, mut page: Vec<u8>) -> Vec<u8> {
        let oldest = self.replaced.get(MAX_REMOVES_PER_CHANGE);
        let bounds = LogPage {
            oldest: oldest.copied().unwrap_or(self.first),
            start: self.first,
            ..LogPage::default()
        };
        // Concatenated messages decode as one message that has the fields of both.
        page.extend(bounds.encode_to_vec());
        page
    }

    /// The change that writes the next page and removes replaced ones. It requires that the
    /// writer's entry as owner exists. So a delayed write of an earlier owner fails once its
    /// successor has read the log.
    ///
    /// Replaced pages are removed, oldest first, by changes that write a page anyway. Separate
    /// calls to remove a few of them each would delay writes that callers wait for, by seconds
    /// while the store is slow.
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

    /// Updates the state after the change that writes the next page was made, and caches the page.
    pub(crate) fn page_written(&mut self, log_cache: &LogCache, value: Vec<u8>) {
        self.new_bytes += value.len();
        log_cache.insert(self.next, value);
        self.next += 1;
        let removed = self.replaced.len().min(MAX_REMOVES_PER_CHANGE);
        self.replaced.drain(..removed);
    }

    /// True once the log should be compacted.
    pub(crate) fn needs_compaction(&self) -> bool {
        self.next - self.first >= COMPACT_AFTER_PAGES
            || self.new_bytes >= COMPACT_AFTER_BYTES.max(self.base_bytes)
    }

    /// Maximum size of a compacted log, in bytes, that is worth writing.
    pub(crate) fn max_compacted_bytes(&self) -> usize {
        if self.next - self.first >= COMPACT_AFTER_PAGES {
            return usize::MAX;
        }
        (self.base_bytes + self.new_bytes) / MIN_COMPACTION_RATIO
    }

    /// Skips a compaction: `bytes` of the log can't be saved, so they count as the base size and
    /// the next compaction is due later.
    pub(crate) fn postpone_compaction(&mut self, bytes: usize) {
        let all = self.base_bytes + self.new_bytes;
        self.base_bytes = bytes.min(all);
        self.new_bytes = all - self.base_bytes;
    }

    /// Updates the state after compaction: the pages from `start` on contain the whole state of the
    /// log.
    pub(crate) fn log_compacted(&mut self, start: PageNumber, bytes: usize) {
        self.replaced.extend(self.first..start);
        self.first = start;
        self.base_bytes = bytes;
        self.new_bytes = 0;
    }
}

/// Key of a page. The keys sort in the order of the page numbers.
pub(crate) fn page_key(options: &CellOptions, page: PageNumber) -> CompactString {
    compact_str::format_compact!("{}{page:012}", options.log_prefix())
}
