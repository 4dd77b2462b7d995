use std::time::Duration;

use decide::work::CompactedLog;
use model::event as log_event;
use ports::{StoreChange, StoreOutcome};
use prost::Message;
use tokio::time::sleep;
use wire::work::{LogEntry, log_entry::Event};

use crate::{
    event,
    log_page::{encode_page, max_page_bytes},
    log_pages::LogPages,
    term::Term,
};

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Rewrites the log in as few pages as possible if that makes it much shorter. The pages before
/// them can then be removed. Returns `None` once the term is over.
///
/// A new owner finds a log of unknown age. If each owner in a series of short terms rewrote it
/// unconditionally, the log would grow by a copy of itself with each of them.
///
/// The old pages are removed, oldest first, only after the new ones are stored. Any remaining part
/// of the old pages, followed by the new ones, has the same meaning as the new ones alone. So a
/// successor reads the correct state whenever the owner dies.
pub(crate) async fn compact_log(term: &Term, pages: &mut LogPages) -> Option<()> {
    let entries = term.scheduler.borrow().job_table.compacted_entries();
    let (count, share) = (entries.len(), job_byte_share(&entries));
    let largest = max_page_bytes(&term.options.limits);
    let values =
        match CompactedLog::pack(entries, largest, pages.max_compacted_bytes(), encode_page) {
            CompactedLog::Pages(values) => values,
            CompactedLog::TooLong(bytes) => {
                measure_job_bytes(term, share, bytes);
                pages.postpone_compaction(bytes);
                return Some(());
            }
        };
    let bytes = values.iter().map(Vec::len).sum();
    measure_job_bytes(term, share, bytes);
    let start = pages.next_page();
    for value in values {
        let value = pages.with_bounds(value);
        let change = pages.write_change(&term.options, term.token, value.clone());
        change_until_settled(term, change).await?;
        pages.page_written(&term.log_cache, value);
    }
    pages.log_compacted(start, bytes);
    log_event::info(
        &event::LOG_COMPACTED,
        format_args!(
            "to={start} pages={} entries={count} bytes={bytes}",
            pages.next_page() - start
        ),
    );
    Some(())
}

/// Updates the estimate of the bytes that one open job takes, for a log of this many bytes.
pub(crate) fn measure_job_bytes(term: &Term, share: f64, bytes: usize) {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    term.log_queue.job_bytes.set(bytes as f64 * share);
}

/// The share of the bytes of all entries that one open job takes. The log also describes ended
/// jobs, targets and hosts, which do not grow with the number of accepted jobs.
pub(crate) fn job_byte_share(entries: &[LogEntry]) -> f64 {
    let (mut jobs, mut job_bytes, mut all_bytes) = (0, 0.0, 0.0);
    for entry in entries {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let length = entry.encoded_len() as f64;
        all_bytes += length;
        if matches!(entry.event, Some(Event::Accepted(_))) {
            jobs += 1;
            job_bytes += length;
        }
    }
    match jobs {
        0 => 0.0,
        _ => job_bytes / all_bytes / f64::from(jobs),
    }
}

/// Retries an idempotent change until it is known to be made. Returns `None` once this process no
/// longer owns the cell.
async fn change_until_settled(term: &Term, change: StoreChange) -> Option<()> {
    loop {
        match term.ports.store.change(change.clone()).await {
            Ok(StoreOutcome::Done(_)) => return Some(()),
            Ok(StoreOutcome::Conflict(items)) => {
                if term.holds_owner_entry(&items) {
                    // An earlier attempt to write the same page succeeded.
                    return Some(());
                }
                term.end("succeeded");
                return None;
            }
            Ok(StoreOutcome::LeaseEnded) => {
                term.end("lease ended");
                return None;
            }
            Err(error) => {
                log::debug!("compact the log: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
