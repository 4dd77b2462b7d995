use std::time::Duration;

use decide::work::WorkDesk;
use model::event as log_event;
use ports::{StoreFault, StoreItem};
use tokio::time::sleep;

use crate::{
    event,
    log_page::page_entries,
    log_pages::LogSummary,
    log_parts::{read_extent, read_parts},
    prefix_watch::PrefixReader,
    term::Term,
};

/// Pause after a failed call.
pub(crate) const FAULT_PAUSE: Duration = Duration::from_millis(50);

/// Reads the whole job log into a desk, trying until the store answers.
///
/// The owner's entry was written before, and every page is written under the condition that
/// its writer's entry still stands. So no page of an earlier owner can appear after this.
pub(crate) async fn read_log(term: &Term, desk: &mut WorkDesk) -> LogSummary {
    let prefix = term.options.log_prefix();
    let parts = match read_extent(term).await {
        Some(extent) => read_parts(term, &extent).await,
        None => None,
    };
    let (oldest, items) = match parts {
        Some((oldest, items)) => (Some(oldest), items),
        None => (None, read_below(term, &prefix).await),
    };
    let first_page = items.first().map_or(0, |item| page_number(item, &prefix));
    let mut summary = LogSummary {
        oldest_page: oldest.unwrap_or(first_page),
        first_page,
        next_page: 0,
        pages: items.len(),
        bytes: items.iter().map(|item| item.value.len()).sum(),
    };
    for item in &items {
        summary.next_page = page_number(item, &prefix) + 1;
        match page_entries(&item.value) {
            Ok(entries) => entries
                .iter()
                .for_each(|entry| desk.replay(entry, term.now())),
            Err(error) => log_event::error(
                &event::ENTRY_UNREADABLE,
                format_args!("key={} cause=\"{error}\"", item.key),
            ),
        }
    }
    desk.begin(term.now());
    summary
}

/// Reads all that stands below a prefix, trying until the store answers.
pub(crate) async fn read_below(term: &Term, prefix: &str) -> Vec<StoreItem> {
    let mut reader = PrefixReader::new(prefix);
    while !reader.is_done() {
        match reader.read_page(&*term.ports.store).await {
            Ok(()) => term.read_on(),
            Err(error) => {
                note_fault(&error);
                sleep(FAULT_PAUSE).await;
            }
        }
    }
    reader.items
}

pub(crate) fn page_number(item: &StoreItem, prefix: &str) -> u64 {
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

pub(crate) fn note_fault(error: &StoreFault) {
    log_event::warn(
        &event::RECORD_FAILED,
        format_args!("step=\"read log\" cause=\"{error}\" next=retry"),
    );
}
