use std::io::Read;

use flate2::read::DeflateDecoder;
use prost::Message;
use wire::work::LogPage;

/// Most bytes of an unpacked page.
const MAX_PAGE_BYTES: u64 = 4 << 20;

/// The plain form of a packed page of the log.
pub(crate) fn unpack_page(value: &[u8]) -> Option<Vec<u8>> {
    let page = LogPage::decode(value).ok()?;
    if page.packed.is_empty() {
        return None;
    }
    let mut plain = Vec::new();
    let mut unpacked = DeflateDecoder::new(page.packed.as_slice()).take(MAX_PAGE_BYTES);
    unpacked.read_to_end(&mut plain).ok()?;
    Some(plain)
}
