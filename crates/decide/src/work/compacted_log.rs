use prost::Message;
use wire::work::LogEntry;

/// The pages of a compacted log, or the fact that they are too large to be worth writing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompactedLog {
    /// The packed pages.
    Pages(Vec<Vec<u8>>),
    /// The pages exceed the limit; with an estimate of their total size in bytes.
    TooLong(usize),
}

impl CompactedLog {
    /// Packs entries into pages of `page_bytes` before packing, and stops once the pages take more
    /// than `max_bytes` after packing.
    ///
    /// Packing blocks everything else in the process. If most of a log can't be compacted away, the
    /// cost is bounded by `max_bytes` and not by the size of the log.
    pub fn pack(
        entries: Vec<LogEntry>,
        page_bytes: usize,
        max_bytes: usize,
        pack: impl Fn(Vec<LogEntry>) -> Vec<u8>,
    ) -> Self {
        let all: usize = entries.iter().map(Message::encoded_len).sum();
        let (mut unpacked, mut packed) = (0, 0);
        let mut pages = Vec::new();
        for part in split_pages(entries, page_bytes) {
            unpacked += part.iter().map(Message::encoded_len).sum::<usize>();
            let page = pack(part);
            packed += page.len();
            if packed > max_bytes {
                return Self::TooLong(packed * all.max(1) / unpacked.max(1));
            }
            pages.push(page);
        }
        Self::Pages(pages)
    }
}

fn split_pages(entries: Vec<LogEntry>, page_bytes: usize) -> Vec<Vec<LogEntry>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.encoded_len();
        let is_page_started = parts
            .last()
            .is_some_and(|part: &Vec<LogEntry>| !part.is_empty());
        if bytes > page_bytes && is_page_started {
            bytes = entry.encoded_len();
            parts.push(Vec::new());
        }
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    parts
}
