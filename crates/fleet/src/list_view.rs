use std::collections::BTreeMap;

use model::{BootTime, HostId};
use store::HostEntry;

/// The host list as this entry host last read it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListView {
    /// When the newest whole list was asked for; `None` before the first.
    pub(crate) read_at: Option<BootTime>,
    /// Its entries.
    pub(crate) entries: BTreeMap<HostId, HostEntry>,
    /// When each host that is not listed was first found missing.
    pub(crate) missing: BTreeMap<HostId, BootTime>,
}
