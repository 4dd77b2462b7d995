use std::collections::BTreeMap;

use model::{BootTime, HostId};
use store::HostEntry;

/// The host list as last read by this entry host.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListView {
    /// When the last complete list was requested; `None` before the first read.
    pub(crate) read_at: Option<BootTime>,
    /// Entries of the list by host.
    pub(crate) entries: BTreeMap<HostId, HostEntry>,
    /// When each unlisted host was first missing, shifted by the gaps between reads that are not
    /// counted.
    pub(crate) missing: BTreeMap<HostId, BootTime>,
}
