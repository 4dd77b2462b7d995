use std::time::Duration;

use compact_str::CompactString;
use decide::work::{DeskTime, WorkDesk};
use model::event as log_event;
use ports::{LeaseStore, StoreError, StoreItem};
use tokio::time::sleep;

use crate::{
    cell_options::CellOptions,
    event,
    log_copy::{LogCopy, LogSummary, PageNumber},
    log_page::page_entries,
    log_pages::page_key,
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
    copy: &LogCopy,
    desk: &mut WorkDesk,
    now: impl Fn() -> DeskTime,
) -> LogSummary {
    while let Err(error) = catch_up(store, options, copy).await {
        note_fault(&error);
        sleep(FAULT_PAUSE).await;
    }
    copy.for_each(|page, value| match page_entries(value) {
        Ok(entries) => entries.iter().for_each(|entry| desk.replay(entry, now())),
        Err(error) => log_event::error(
            &event::ENTRY_UNREADABLE,
            format_args!("key={} cause=\"{error}\"", page_key(options, page)),
        ),
    });
    desk.begin(now());
    copy.summary()
}

/// Reads what was written of the job log since the last page that the copy holds. What comes before
/// a call fails is kept.
pub(crate) async fn catch_up(
    store: &dyn LeaseStore,
    options: &CellOptions,
    copy: &LogCopy,
) -> Result<(), StoreError> {
    let prefix = options.log_prefix();
    let last = copy.last();
    let after = last.map_or_else(CompactString::default, |page| page_key(options, page));
    let mut reader = PrefixReader::new(&prefix, after);
    while !reader.is_done() {
        reader.read_page(store).await?;
        for item in reader.items.drain(..) {
            if let Some(number) = page_number(&item, &prefix) {
                copy.take(number, item.value);
            }
        }
    }
    Ok(())
}

fn page_number(item: &StoreItem, prefix: &str) -> Option<PageNumber> {
    let number = item.key.strip_prefix(prefix)?.parse().ok();
    if number.is_none() {
        log_event::warn(
            &event::ENTRY_UNREADABLE,
            format_args!("key={} cause=\"no page number\"", item.key),
        );
    }
    number
}

fn note_fault(error: &StoreError) {
    log_event::warn(
        &event::RECORD_FAILED,
        format_args!("step=\"read log\" cause=\"{error}\" next=retry"),
    );
}
