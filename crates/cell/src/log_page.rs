use std::io::{Read, Write};

use decide::link_bounds::largest_write;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use prost::Message;
use wire::work::{LogEntry, LogPage};

use crate::host_limits::HostLimits;

/// Maximum size of a page in bytes, before compression; the store takes values of up to a megabyte.
const MAX_PAGE_BYTES: usize = 256 << 10;
/// Smaller pages, in bytes, are not compressed, because that would cost more processor time than
/// the saved bytes are worth.
const DEFLATE_MIN_BYTES: usize = 4 << 10;
/// Maximum size of a page that is read, in bytes. Written pages are smaller, so a larger one is
/// corrupt.
const MAX_INFLATED_BYTES: u64 = 4 << 20;

/// Why a page can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PageError {
    #[error("decode: {0}")]
    Decode(#[from] prost::DecodeError),
    #[error("inflate: {0}")]
    Inflate(#[from] std::io::Error),
}

/// Maximum size of a page that an owner writes, in bytes before compression.
pub(crate) fn max_page_bytes(limits: &HostLimits) -> usize {
    largest_write(limits.link_bytes_per_second(), MAX_PAGE_BYTES)
}

/// Encodes entries as a page. Large pages are compressed, because ids and names repeat and a
/// successor behind a narrow link has to wait for every byte.
pub(crate) fn encode_page(entries: Vec<LogEntry>) -> Vec<u8> {
    let plain = LogPage {
        entries,
        ..LogPage::default()
    }
    .encode_to_vec();
    if plain.len() < DEFLATE_MIN_BYTES {
        return plain;
    }
    match deflate(&plain) {
        Ok(packed) => LogPage {
            packed,
            ..LogPage::default()
        }
        .encode_to_vec(),
        Err(error) => {
            log::warn!("deflate a page of the log: {error}");
            plain
        }
    }
}

/// Decodes the entries of a page.
///
/// # Errors
/// If the bytes are not a valid page.
pub(crate) fn decode_page(bytes: &[u8]) -> Result<Vec<LogEntry>, PageError> {
    let page = LogPage::decode(bytes)?;
    if page.packed.is_empty() {
        return Ok(page.entries);
    }
    let mut plain = Vec::new();
    DeflateDecoder::new(page.packed.as_slice())
        .take(MAX_INFLATED_BYTES)
        .read_to_end(&mut plain)?;
    Ok(LogPage::decode(plain.as_slice())?.entries)
}

fn deflate(plain: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}
