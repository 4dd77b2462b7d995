use std::{cell::RefCell, collections::BTreeMap};

use prost::Message;
use wire::work::LogPage;

/// Number of a page of the job log.
pub(crate) type PageNumber = u64;

/// Pages of the job log that this process has read or written.
///
/// A page never changes, so a successor that has the pages cached reads only the ones written
/// since. Reading a long log takes longer than the timeouts of callers and targets, especially
/// behind a narrow link.
#[derive(Debug, Default)]
pub(crate) struct LogCache {
    state: RefCell<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    pages: BTreeMap<PageNumber, Vec<u8>>,
    /// Number of the oldest page in the store, if a page has recorded it.
    oldest: Option<PageNumber>,
}

/// Which pages of a log are in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LogSummary {
    /// Number of the oldest page.
    pub(crate) oldest: PageNumber,
    /// Number of the first page in force.
    pub(crate) start: PageNumber,
    /// Number of the next page to be written.
    pub(crate) next: PageNumber,
    /// Bytes of the pages in force.
    pub(crate) bytes: usize,
}

impl LogSummary {
    /// Number of pages in force.
    pub(crate) fn pages(&self) -> u64 {
        self.next - self.start
    }
}

impl LogCache {
    /// Number of the last cached page.
    pub(crate) fn last_page(&self) -> Option<PageNumber> {
        let state = self.state.borrow();
        state.pages.last_key_value().map(|(&number, _)| number)
    }

    /// Adds a page that was written, or read, after the last one.
    ///
    /// Pages are numbered without gaps. If one is missing, compaction has replaced it and all pages
    /// before it.
    pub(crate) fn insert(&self, number: PageNumber, value: Vec<u8>) {
        let expected = self.last_page().map(|last| last + 1);
        let mut state = self.state.borrow_mut();
        if expected.is_some_and(|expected| expected != number) {
            *state = CacheState::default();
        }
        // Replaying the log reports pages that can't be decoded.
        let bounds = LogPage::decode(value.as_slice()).unwrap_or_default();
        state.pages.insert(number, value);
        if bounds.start > 0 {
            state.pages = state.pages.split_off(&bounds.start);
            state.oldest = Some(bounds.oldest);
        }
    }

    /// Summarises the cached pages.
    pub(crate) fn summary(&self) -> LogSummary {
        let state = self.state.borrow();
        let Some((&start, _)) = state.pages.first_key_value() else {
            return LogSummary::default();
        };
        LogSummary {
            oldest: state.oldest.unwrap_or(start),
            start,
            next: self.last_page().map_or(0, |last| last + 1),
            bytes: state.pages.values().map(Vec::len).sum(),
        }
    }

    /// Calls `visit` with each page in force, in order.
    pub(crate) fn for_each_page(&self, mut visit: impl FnMut(PageNumber, &[u8])) {
        let state = self.state.borrow();
        state
            .pages
            .iter()
            .for_each(|(&page, value)| visit(page, value));
    }
}
