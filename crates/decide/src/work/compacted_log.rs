use prost::Message;
use wire::work::LogEntry;

/// The entries of a log as pages, or that they take too many bytes for it to be worth writing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompactedLog {
    /// The packed pages.
    Pages(Vec<Vec<u8>>),
    /// They take more than they may: about so many bytes.
    TooLong(usize),
}

impl CompactedLog {
    /// Packs entries into pages of `page_bytes` before packing, until they take more than `most`.
    ///
    /// Packing holds back whatever else the process does. Where most of a log has to stay, the work
    /// is bounded by what the log may become, not by what it says.
    pub fn pack(
        entries: Vec<LogEntry>,
        page_bytes: usize,
        most: usize,
        pack: impl Fn(Vec<LogEntry>) -> Vec<u8>,
    ) -> Self {
        let all: usize = entries.iter().map(Message::encoded_len).sum();
        let (mut plain, mut packed) = (0, 0);
        let mut pages = Vec::new();
        for part in split_pages(entries, page_bytes) {
            plain += part.iter().map(Message::encoded_len).sum::<usize>();
            let page = pack(part);
            packed += page.len();
            if packed > most {
                return Self::TooLong(packed * all.max(1) / plain.max(1));
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
        let begun = parts
            .last()
            .is_some_and(|part: &Vec<LogEntry>| !part.is_empty());
        if bytes > page_bytes && begun {
            bytes = entry.encoded_len();
            parts.push(Vec::new());
        }
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    parts
}
