use std::collections::BTreeMap;

use decide::quota::{QuotaAction, QuotaWrite};
use model::{MemberId, TeamId};
use ports::PeerLink;
use wire::peer::{QuotaTalk, envelope::Body};

use crate::shared_state::SharedState;

/// A store call for a team's quota record.
#[derive(Debug)]
pub(crate) enum QuotaCall {
    /// Read the record of a team.
    Read(TeamId),
    /// Write the record of a team.
    Write(QuotaWrite),
}

/// Adds a message to the batch of its receiver; returns a store call if the action is one.
pub(crate) fn route_action(
    action: QuotaAction,
    talks: &mut BTreeMap<MemberId, QuotaTalk>,
) -> Option<QuotaCall> {
    match action {
        QuotaAction::Read(team) => return Some(QuotaCall::Read(team)),
        QuotaAction::Write(write) => return Some(QuotaCall::Write(write)),
        QuotaAction::Ask(to, ask) => talks.entry(to).or_default().asks.push(ask),
        QuotaAction::Release(to, release) => {
            talks.entry(to).or_default().releases.push(release);
        }
        QuotaAction::SendRecord(to, note) => talks.entry(to).or_default().notes.push(note),
        QuotaAction::SendEnds(to, ends) => talks.entry(to).or_default().ends.extend(ends),
    }
    None
}

/// Sends one message to each receiver. A lost message only causes a delay: requests are
/// repeated, and the next write fences off units that were reserved without use.
pub(crate) fn send_talks(shared: &SharedState, talks: BTreeMap<MemberId, QuotaTalk>) {
    for (to, talk) in talks {
        let _ = shared.options.node.send(&to, Body::QuotaTalk(talk));
    }
}
