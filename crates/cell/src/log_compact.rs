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

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Writes what the log says in as few pages as hold it, if that is much shorter; the pages before
/// them can go then. `None` once the term is over.
///
/// A process that has just become the owner finds a log of unknown age. If each of a row of owners
/// with short terms wrote it anew, it would grow by a copy of itself with each.
///
/// The old pages go only when the new ones are stored, oldest first, and whatever part of them is
/// left says, with the new ones after it, the same as the new ones alone. So whenever the owner
/// dies, its successor reads what is true.
pub(crate) async fn compact_log(term: &Term, pages: &mut LogPages) -> Option<()> {
    let entries = term.scheduler.borrow().board.compacted_entries();
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

/// Notes about how many bytes an open job takes in a log of so many bytes.
pub(crate) fn measure_job_bytes(term: &Term, share: f64, bytes: usize) {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    term.log_queue.job_bytes.set(bytes as f64 * share);
}

/// Part of the bytes of all entries that one open job takes. The log tells of ended jobs, targets and
/// hosts as well, which do not grow with what is accepted.
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

/// Makes a change that is harmless to repeat, until it is known to be made; `None` once this
/// process no longer owns the cell.
async fn change_until_settled(term: &Term, change: StoreChange) -> Option<()> {
    loop {
        match term.ports.store.change(change.clone()).await {
            Ok(StoreOutcome::Done(_)) => return Some(()),
            Ok(StoreOutcome::Conflict(items)) => {
                if term.holds_owner_entry(&items) {
                    // An earlier sending of the same page has landed.
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
