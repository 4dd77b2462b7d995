use std::time::Duration;

use decide::work::{DeskTime, WorkDesk};
use model::event as log_event;
use ports::{LeaseStore, StoreFault, StoreItem};
use prost::Message;
use tokio::time::sleep;
use wire::work::LogPage;

use crate::{cell_options::CellOptions, event, prefix_watch::read_all};

/// Pause after a failed call.
const FAULT_PAUSE: Duration = Duration::from_millis(50);

/// What was read of a job log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LogSummary {
    /// Number of the first page; pages before it have been replaced by it.
    pub(crate) first_page: u64,
    /// Number that the next page gets.
    pub(crate) next_page: u64,
    /// Number of pages.
    pub(crate) pages: usize,
}

/// Reads the whole job log into a desk, trying until the store answers.
///
/// The owner's entry was written before, and every page is written under the condition that
/// its writer's entry still stands. So no page of an earlier owner can appear after this.
pub(crate) async fn read_log(
    store: &dyn LeaseStore,
    options: &CellOptions,
    desk: &mut WorkDesk,
    now: impl Fn() -> DeskTime,
) -> LogSummary {
    let prefix = options.log_prefix();
    let items = loop {
        match read_all(store, &prefix).await {
            Ok((items, _)) => break items,
            Err(error) => note_fault(&error),
        }
        sleep(FAULT_PAUSE).await;
    };
    let mut summary = LogSummary {
        first_page: items.first().map_or(0, |item| page_number(item, &prefix)),
        next_page: 0,
        pages: items.len(),
    };
    for item in &items {
        summary.next_page = page_number(item, &prefix) + 1;
        match LogPage::decode(item.value.as_slice()) {
            Ok(page) => page
                .entries
                .iter()
                .for_each(|entry| desk.replay(entry, now())),
            Err(error) => log_event::error(
                &event::ENTRY_UNREADABLE,
                format_args!("key={} cause=\"{error}\"", item.key),
            ),
        }
    }
    desk.begin(now());
    summary
}

/// Key of a page; keys sort as their numbers.
pub(crate) fn page_key(options: &CellOptions, page: u64) -> compact_str::CompactString {
    compact_str::format_compact!("{}{page:012}", options.log_prefix())
}

fn page_number(item: &StoreItem, prefix: &str) -> u64 {
    let number = item
        .key
        .strip_prefix(prefix)
        .and_then(|page| page.parse().ok());
    number.unwrap_or_else(|| {
        log_event::warn(
            &event::ENTRY_UNREADABLE,
            format_args!("key={} cause=\"no page number\"", item.key),
        );
        0
    })
}

fn note_fault(error: &StoreFault) {
    log_event::warn(
        &event::RECORD_FAILED,
        format_args!("step=\"read log\" cause=\"{error}\" next=retry"),
    );
}
