use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;

/// Kind of a store call. The platform counts each call; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key.
    Read,
    /// Compare-and-swap of one key.
    Swap,
    /// Removal of one key.
    Remove,
    /// Wait for a newer version of one key.
    Watch,
    /// Read of all keys with a prefix.
    List,
}

impl CallKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::Read,
        Self::Swap,
        Self::Remove,
        Self::Watch,
        Self::List,
    ];

    /// Name of the kind in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Swap => "swap",
            Self::Remove => "remove",
            Self::Watch => "watch",
            Self::List => "list",
        }
    }
}

/// Counts the calls of one client by kind, retries included.
#[derive(Debug, Default)]
pub struct StoreCounts {
    calls: [AtomicU64; CallKind::ALL.len()],
}

impl StoreCounts {
    /// Number of calls of one kind so far.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Number of calls of all kinds so far.
    pub fn total(&self) -> u64 {
        CallKind::ALL.iter().map(|kind| self.of(*kind)).sum()
    }

    pub(crate) fn count_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
        counter!("lws_store_calls", "kind" => kind.name()).increment(1);
    }

    pub(crate) fn count_failure(kind: CallKind, outcome: &'static str) {
        counter!("lws_store_failures", "kind" => kind.name(), "outcome" => outcome).increment(1);
    }
}
