use std::time::Duration;

use compact_str::CompactString;
use decide::work::{SchedulerTime, WorkScheduler};
use model::event as log_event;
use ports::{LeaseStore, LeaseStoreError, StoreItem};
use tokio::time::sleep;

use crate::{
    cell_options::CellOptions,
    event,
    log_cache::{LogCache, LogSummary, PageNumber},
    log_page::decode_page,
    log_pages::page_key,
    prefix_watch::PrefixReader,
};

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the whole job log into a scheduler, and retries until the store answers.
///
/// The owner's entry was written before this, and every page is written under the condition that
/// its writer's entry exists. So no page of an earlier owner can appear afterwards.
pub(crate) async fn read_log(
    store: &dyn LeaseStore,
    options: &CellOptions,
    log_cache: &LogCache,
    scheduler: &mut WorkScheduler,
    now: impl Fn() -> SchedulerTime,
) -> LogSummary {
    while let Err(error) = fetch_new_pages(store, options, log_cache).await {
        log_fault(&error);
        sleep(RETRY_DELAY).await;
    }
    log_cache.for_each_page(|page, value| match decode_page(value) {
        Ok(entries) => entries
            .iter()
            .for_each(|entry| scheduler.replay(entry, now())),
        Err(error) => log_event::error(
            &event::ENTRY_UNREADABLE,
            format_args!("key={} cause=\"{error}\"", page_key(options, page)),
        ),
    });
    scheduler.finish_replay(now());
    log_cache.summary()
}

/// Reads the pages of the job log after the last cached one. Pages that were read before a call
/// fails are kept.
pub(crate) async fn fetch_new_pages(
    store: &dyn LeaseStore,
    options: &CellOptions,
    log_cache: &LogCache,
) -> Result<(), LeaseStoreError> {
    let prefix = options.log_prefix();
    let last = log_cache.last_page();
    let after = last.map_or_else(CompactString::default, |page| page_key(options, page));
    let mut reader = PrefixReader::new(&prefix, after);
    while !reader.is_complete() {
        reader.read_page(store).await?;
        for item in reader.items.drain(..) {
            if let Some(number) = parse_page_number(&item, &prefix) {
                log_cache.insert(number, item.value);
            }
        }
    }
    Ok(())
}

fn parse_page_number(item: &StoreItem, prefix: &str) -> Option<PageNumber> {
    let number = item.key.strip_prefix(prefix)?.parse().ok();
    if number.is_none() {
        log_event::warn(
            &event::ENTRY_UNREADABLE,
            format_args!("key={} cause=\"no page number\"", item.key),
        );
    }
    number
}

fn log_fault(error: &LeaseStoreError) {
    log_event::warn(
        &event::RECORD_FAILED,
        format_args!("step=\"read log\" cause=\"{error}\" next=retry"),
    );
}
