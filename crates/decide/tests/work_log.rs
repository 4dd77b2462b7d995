//! Packing the pages of a compacted log.

use std::cell::Cell;

use decide::work::CompactedLog;
use prost::Message;
use wire::work::{LogEntry, LogPage, log_entry::Event};

const PAGE_BYTES: usize = 1000;

/// Returns entries of slightly more than 10,000 bytes.
fn entries() -> Vec<LogEntry> {
    let entry = |number: usize| LogEntry {
        event: Some(Event::Released(format!("{number:0>100}"))),
    };
    (0..100).map(entry).collect()
}

fn encode(entries: Vec<LogEntry>) -> Vec<u8> {
    let page = LogPage {
        entries,
        ..LogPage::default()
    };
    page.encode_to_vec()
}

/// Guards against losing an entry between two pages, and against a page above the limit.
#[test]
fn pack_keeps_entries() {
    let CompactedLog::Pages(pages) = CompactedLog::pack(entries(), PAGE_BYTES, usize::MAX, encode)
    else {
        panic!("too long");
    };
    let decoded = pages.iter().map(|page| LogPage::decode(page.as_slice()));
    let found: Vec<LogEntry> = decoded.flatten().flat_map(|page| page.entries).collect();
    assert_eq!(found, entries());
    let fits = |page: &Vec<u8>| page.len() <= PAGE_BYTES + PAGE_BYTES / 10;
    assert!(pages.iter().all(fits));
}

/// Guards against an owner that serves no requests while it packs a log that it will not write.
#[test]
fn pack_stops_above_limit() {
    let packed = Cell::new(0);
    let pack = |part: Vec<LogEntry>| {
        packed.set(packed.get() + 1);
        encode(part)
    };
    let whole: usize = entries().iter().map(Message::encoded_len).sum();
    let log = CompactedLog::pack(entries(), PAGE_BYTES, 2 * PAGE_BYTES, pack);
    let CompactedLog::TooLong(bytes) = log else {
        panic!("{log:?}");
    };
    assert!(packed.get() <= 3, "{} pages", packed.get());
    assert!(bytes.abs_diff(whole) < whole / 10, "{bytes} of {whole}");
}

/// Guards against an empty page before an entry that is longer than a page.
#[test]
fn pack_of_long_entry_begins_with_it() {
    let pages = CompactedLog::pack(entries(), 1, usize::MAX, encode);
    let CompactedLog::Pages(pages) = pages else {
        panic!("too long");
    };
    assert_eq!(pages.len(), entries().len());
}

/// Guards against a log without entries that produces no page, so that the old pages are never
/// removed.
#[test]
fn pack_of_nothing_is_a_page() {
    let log = CompactedLog::pack(Vec::new(), PAGE_BYTES, 0, encode);
    assert_eq!(log, CompactedLog::Pages(vec![Vec::new()]));
}
