use std::time::Duration;

use model::event as log_event;
use ports::{StoreChange, StoreOutcome};
use prost::Message;
use tokio::time::sleep;
use wire::work::LogEntry;

use crate::{
    event,
    job_log::{PAGE_BYTES, page_change},
    log_reader::page_key,
    term::Term,
};

/// Pages after which the log is replaced by a shorter one. A successor reads 500 pages with one
/// call to the store, in about 40 ms.
pub(crate) const COMPACT_AFTER: u64 = 480;
/// Keys that one change may remove; the store takes 32 entries, one of which is the condition.
const REMOVED_AT_ONCE: usize = 30;
/// Pause after a failed call.
const FAULT_PAUSE: Duration = Duration::from_millis(50);

/// Writes what the log says in as few pages as hold it, from page `next` on, and removes the
/// pages from `first` up to there. Returns the number of the next page, or `None` once the term
/// is over.
///
/// The old pages go only when the new ones are stored, and both together say the same as the
/// new ones alone. So whenever the owner dies, its successor reads what is true.
pub(crate) async fn compact(term: &Term, first: u64, next: u64) -> Option<u64> {
    let entries = term.desk.borrow().board.entries();
    let count = entries.len();
    let mut page = next;
    for part in parts_of(entries) {
        settle_change(term, page_change(term, page, part)).await?;
        page += 1;
    }
    let old: Vec<u64> = (first..next).collect();
    for pages in old.chunks(REMOVED_AT_ONCE) {
        let change = StoreChange {
            expect: vec![(term.options.owner_key(), term.token)],
            writes: Vec::new(),
            removes: pages
                .iter()
                .map(|&page| page_key(&term.options, page))
                .collect(),
        };
        settle_change(term, change).await?;
    }
    log_event::info(
        &event::LOG_COMPACTED,
        format_args!(
            "from={first} to={next} pages={} entries={count}",
            page - next
        ),
    );
    Some(page)
}

/// Makes a change that is harmless to repeat, until it is known to be made; `None` once this
/// process no longer owns the cell.
async fn settle_change(term: &Term, change: StoreChange) -> Option<()> {
    loop {
        match term.ports.store.change(change.clone()).await {
            Ok(StoreOutcome::Done(_)) => return Some(()),
            Ok(StoreOutcome::Conflict(items)) => {
                let owner = items
                    .iter()
                    .find(|item| item.key == term.options.owner_key());
                if owner.is_some_and(|item| item.revision == term.token) {
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
                sleep(FAULT_PAUSE).await;
            }
        }
    }
}

fn parts_of(entries: Vec<LogEntry>) -> Vec<Vec<LogEntry>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.encoded_len();
        if bytes > PAGE_BYTES {
            bytes = entry.encoded_len();
            parts.push(Vec::new());
        }
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    parts
}
