use model::{MemberId, Revision, TeamId};
use wire::{
    peer::{QuotaAsk, QuotaEnd, QuotaNote, QuotaRelease},
    state::QuotaRecord,
};

/// An action that the caller of the machine has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaAction {
    /// Read the team's record from the store and pass it to `apply_read`.
    Read(TeamId),
    /// Write the team's record and pass the outcome to `handle_write_outcome`.
    Write(QuotaWrite),
    /// Ask another host for units.
    Ask(MemberId, QuotaAsk),
    /// Release units to another host, which may add them to its own grant.
    Release(MemberId, QuotaRelease),
    /// Send another host the record that the store holds.
    SendRecord(MemberId, QuotaNote),
    /// Send another host the ages of ended incarnations that still hold units.
    SendEnds(MemberId, Vec<QuotaEnd>),
}

/// A compare-and-swap write of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaWrite {
    /// The team.
    pub team: TeamId,
    /// Expected version of the key; 0 if the key must be absent.
    pub expect: Revision,
    /// The record to write.
    pub record: QuotaRecord,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Done(Revision),
    /// The key has another version; nothing was written.
    Conflict,
    /// Nothing was written because the store is unreachable.
    NotDone,
    /// No response: the write may have taken effect, or may take effect later.
    Unknown,
}
