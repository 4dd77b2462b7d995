use std::time::Duration;

use decide::work::{DeskTime, WorkDesk};
use model::event as log_event;
use ports::{LeaseStore, StoreFault, StoreItem};
use tokio::time::sleep;

use crate::{
    cell_options::CellOptions, event, log_page::page_entries, log_pages::LogSummary,
    prefix_watch::PrefixReader,
};

/// Pause after a failed call.
const FAULT_PAUSE: Duration = Duration::from_millis(50);

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
    let mut reader = PrefixReader::new(&prefix);
    while !reader.is_done() {
        if let Err(error) = reader.read_page(store).await {
            note_fault(&error);
            sleep(FAULT_PAUSE).await;
        }
    }
    let items = reader.items;
    let mut summary = LogSummary {
        first_page: items.first().map_or(0, |item| page_number(item, &prefix)),
        next_page: 0,
        pages: items.len(),
        bytes: items.iter().map(|item| item.value.len()).sum(),
    };
    for item in &items {
        summary.next_page = page_number(item, &prefix) + 1;
        match page_entries(&item.value) {
            Ok(entries) => entries.iter().for_each(|entry| desk.replay(entry, now())),
            Err(error) => log_event::error(
                &event::ENTRY_UNREADABLE,
                format_args!("key={} cause=\"{error}\"", item.key),
            ),
        }
    }
    desk.begin(now());
    summary
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
