/// Why a write did not take effect.
#[derive(Debug)]
pub(crate) enum WriteRefusal {
    Conflict(u64),
    TooLarge,
}

/// Kinds of calls that are counted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreCallKind {
    Read,
    Swap,
    Remove,
    Watch,
    List,
}
