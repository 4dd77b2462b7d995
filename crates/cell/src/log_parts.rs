//! Reads the job log in parts that leave room for the owner's renewals on a narrow link.

use std::time::Duration;

use model::event as log_event;
use ports::StoreItem;
use prost::Message;
use tokio::time::{Instant, sleep};
use wire::work::LogExtent;

use crate::{
    event,
    log_reader::{FAULT_PAUSE, note_fault, page_number, read_below},
    term::Term,
};

/// Digits of a page's number in its key.
const PAGE_DIGITS: usize = 12;
/// Largest part, as a power of ten pages.
const LARGEST_PART: u32 = 2;
/// Power of ten pages of the first part behind a link that is not known to be wide.
const FIRST_PART: u32 = 1;
/// Bandwidth from which on the largest part takes less than a renewal may wait, in megabits a
/// second.
const WIDE_LINK: f64 = 20.0;
/// A part that takes less is followed by larger ones.
const QUICK: Duration = Duration::from_millis(50);
/// A part that takes longer is followed by smaller ones. The lease lasts for some of these times.
const SLOW: Duration = Duration::from_millis(200);
/// Replaced pages that are believed to be left; an owner removes them as it writes.
const MOST_REPLACED: u64 = 10_000;

/// Reads which pages the log has; `None` if no owner has written that yet.
pub(crate) async fn read_extent(term: &Term) -> Option<LogExtent> {
    let key = term.options.extent_key();
    let item = loop {
        match term.ports.store.read(&key).await {
            Ok(item) => break item?,
            Err(error) => {
                note_fault(&error);
                sleep(FAULT_PAUSE).await;
            }
        }
    };
    match LogExtent::decode(item.value.as_slice()) {
        Ok(extent) => Some(extent),
        Err(error) => {
            log_event::error(
                &event::ENTRY_UNREADABLE,
                format_args!("key={key} cause=\"{error}\""),
            );
            None
        }
    }
}

/// Reads the pages in force, and tells which is the oldest page that may be there; `None` if pages
/// are missing, so that the whole log has to be read.
///
/// Asked for in one call, a long log fills a narrow link for longer than the lease lasts, and no
/// renewal gets through: owner after owner would lose the cell while it reads.
pub(crate) async fn read_parts(term: &Term, extent: &LogExtent) -> Option<(u64, Vec<StoreItem>)> {
    let prefix = term.options.log_prefix();
    let wide = term.options.limits.link_mbps >= WIDE_LINK;
    let mut power = if wide { LARGEST_PART } else { FIRST_PART };
    let mut items: Vec<StoreItem> = Vec::new();
    let mut page = extent.first;
    loop {
        let part = part_at(page, power, page == extent.first);
        let begun = Instant::now();
        let found = read_below(term, &part_prefix(&prefix, page, part)).await;
        let size = 10_u64.pow(part);
        let end = (page / size + 1) * size;
        let in_part = |item: &StoreItem| (page..end).contains(&page_number(item, &prefix));
        items.extend(found.into_iter().filter(in_part));
        let next = items
            .last()
            .map_or(0, |item| page_number(item, &prefix) + 1);
        // The extent does not count here: an owner of an older version may have written more.
        if next < end {
            break;
        }
        power = power_after(power, begun.elapsed());
        page = end;
    }
    let next = items
        .last()
        .map_or(0, |item| page_number(item, &prefix) + 1);
    let complete = next >= extent.next && items.len() as u64 == next.saturating_sub(extent.first);
    let oldest = extent.oldest.min(extent.first);
    let oldest = oldest.max(extent.first.saturating_sub(MOST_REPLACED));
    (complete && !items.is_empty()).then_some((oldest, items))
}

/// Power of ten of the part that begins at a page. Only the first may hold pages before it, which
/// later parts would bring once more.
fn part_at(page: u64, power: u32, first: bool) -> u32 {
    let most = if first { power.min(FIRST_PART) } else { power };
    let fits = |power: &u32| first || page.is_multiple_of(10_u64.pow(*power));
    (0..=most).rev().find(fits).unwrap_or(0)
}

fn power_after(power: u32, took: Duration) -> u32 {
    if took > SLOW {
        power.saturating_sub(1)
    } else if took < QUICK {
        (power + 1).min(LARGEST_PART)
    } else {
        power
    }
}

/// What the keys of the pages of a part begin with.
fn part_prefix(prefix: &str, page: u64, power: u32) -> String {
    let digits = PAGE_DIGITS - power as usize;
    format!("{prefix}{:0digits$}", page / 10_u64.pow(power))
}
