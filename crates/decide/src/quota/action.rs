use model::{MemberId, Revision, TeamId};
use wire::{
    peer::{QuotaAsk, QuotaEnd, QuotaNote, QuotaRelease},
    state::QuotaRecord,
};

/// What the caller of the machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaAction {
    /// Read the team's record and hand it to `apply_record`.
    Read(TeamId),
    /// Write the team's record and hand the outcome to `handle_write_outcome`.
    Write(QuotaWrite),
    /// Send a question.
    Ask(MemberId, QuotaAsk),
    /// Send units that are no longer used here.
    Release(MemberId, QuotaRelease),
    /// Send the record that the store holds.
    SendRecord(MemberId, QuotaNote),
    /// Send how long ago incarnations ended that hold units.
    SendEnds(MemberId, Vec<QuotaEnd>),
}

/// A write of a team's record by compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaWrite {
    /// The team.
    pub team: TeamId,
    /// Version that the key must have; 0 if it must be absent.
    pub expect: Revision,
    /// The record to write.
    pub record: QuotaRecord,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Done(Revision),
    /// The key has another version; nothing was written.
    Conflict,
    /// Nothing was written: the store can't be reached.
    NotDone,
    /// No answer came: the write may have taken effect, or may still.
    Unknown,
}
