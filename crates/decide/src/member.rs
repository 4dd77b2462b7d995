//! The member list and its quorums, also while the list changes.
//!
//! Start with [`MemberList`]. Every function maps a list to its successor; the caller writes it by
//! compare-and-swap. `docs/design/01-membership.md` explains why any two quorums in use share a
//! member.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{Incarnation, MemberId, Revision};
use wire::state::{Member, MemberRecord};

/// Size of a majority of `count` members.
#[must_use]
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The member list at one revision.
///
/// It holds the members and the *settled* members: those of the last list that a quorum was known
/// to hold. A quorum is a majority of both. So the list may change at any time and by any number of
/// members: a quorum of the new list always overlaps one of the settled list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberList {
    record: MemberRecord,
}

/// Why the list may not be changed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListRefusal {
    /// A newer incarnation of the member is listed.
    #[error("a newer life {0} is listed")]
    NewerIncarnation(Incarnation),
    /// The change is already in the list.
    #[error("nothing to change")]
    Unchanged,
    /// No quorum is known to hold the list.
    #[error("member list {0} is not known to a quorum")]
    NoQuorum(Revision),
}

impl MemberList {
    /// Wraps a stored record.
    #[must_use]
    pub fn new(record: MemberRecord) -> Self {
        Self { record }
    }

    /// The record to store.
    #[must_use]
    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Number of changes of the list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.record.revision
    }

    /// A host that holds this list must hold a configuration of at least this revision.
    #[must_use]
    pub fn config_floor(&self) -> Revision {
        self.record.config_floor
    }

    /// The members.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.record.members
    }

    /// The member with this id.
    #[must_use]
    pub fn find(&self, member: &str) -> Option<&Member> {
        self.record.members.iter().find(|m| m.id == member)
    }

    /// True if exactly this incarnation of the member is listed.
    #[must_use]
    pub fn contains(&self, member: &str, incarnation: Incarnation) -> bool {
        self.find(member)
            .is_some_and(|m| m.incarnation == incarnation)
    }

    /// True if the members are the settled ones.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.record.settled.is_empty()
    }
}

/// Quorums.
impl MemberList {
    /// True if the incarnations for which `agrees` is true form a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(&Member) -> bool) -> bool {
        let stamp = |member: &Member| agrees(member).then_some(());
        self.quorum_value(stamp).is_some()
    }

    /// The largest value that a quorum reaches, where `value` returns the value of one incarnation.
    pub fn quorum_value<V: Ord>(&self, value: impl Fn(&Member) -> Option<V>) -> Option<V> {
        let members = majority_value(self.members().iter(), &value)?;
        if self.is_settled() {
            return Some(members);
        }
        let settled = majority_value(self.record.settled.iter(), &value)?;
        Some(members.min(settled))
    }

    /// The list without the incarnations that are known to have ended. They acknowledge nothing any
    /// more, so a majority of the others shares a member with every quorum that may still form.
    #[must_use]
    pub fn without_ended(&self, acks: &ListAcks) -> Self {
        let mut living = self.clone();
        living.record.members.retain(|m| !acks.has_ended(m));
        if !self.is_settled() {
            living.record.settled.retain(|m| !acks.has_ended(m));
        }
        living
    }

    /// True once a quorum holds at least this revision of the list.
    #[must_use]
    pub fn is_held_by_quorum(&self, acks: &ListAcks) -> bool {
        let living = self.without_ended(acks);
        living.has_quorum(|member| acks.revision_of(member) >= self.revision())
    }
}

/// Changes of the list. Each is applied to the newest list. `floor` is the configuration revision
/// that the caller read from the store after it had read the list.
impl MemberList {
    /// The list with the next incarnation allocated; members and revision do not change. `mark` is
    /// unique to the caller, so that it can tell its own write from another's.
    #[must_use]
    pub fn with_next_incarnation(&self, mark: &[u8]) -> (Self, Incarnation) {
        let mut next = self.clone();
        next.record.claim_mark = mark.to_vec();
        next.record.last_incarnation += 1;
        let incarnation = next.record.last_incarnation;
        (next, incarnation)
    }

    /// Adds a member, or replaces an older incarnation of it.
    ///
    /// # Errors
    /// See [`ListRefusal`].
    pub fn join(&self, member: Member, floor: Revision) -> Result<Self, ListRefusal> {
        match self.find(&member.id) {
            Some(listed) if listed.incarnation > member.incarnation => {
                return Err(ListRefusal::NewerIncarnation(listed.incarnation));
            }
            Some(listed) if *listed == member => return Err(ListRefusal::Unchanged),
            _ => {}
        }
        let mut next = self.successor(floor);
        next.inherit_votes(&member);
        next.record.last_incarnation = next.record.last_incarnation.max(member.incarnation);
        next.record.members.retain(|m| m.id != member.id);
        next.record.members.push(member);
        next.record.members.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(next)
    }

    /// Removes this incarnation of a member.
    ///
    /// # Errors
    /// If it is not listed.
    pub fn remove(
        &self,
        member: &str,
        incarnation: Incarnation,
        floor: Revision,
    ) -> Result<Self, ListRefusal> {
        if !self.contains(member, incarnation) {
            return Err(ListRefusal::Unchanged);
        }
        let mut next = self.successor(floor);
        next.record.members.retain(|m| m.id != member);
        Ok(next)
    }

    /// Settles the list, once a quorum is known to hold it.
    ///
    /// # Errors
    /// See [`ListRefusal`].
    pub fn settle(&self, acks: &ListAcks, floor: Revision) -> Result<Self, ListRefusal> {
        if self.is_settled() {
            return Err(ListRefusal::Unchanged);
        }
        if !self.is_held_by_quorum(acks) {
            return Err(ListRefusal::NoQuorum(self.revision()));
        }
        let mut next = self.successor(floor);
        next.record.settled.clear();
        Ok(next)
    }

    /// Transfers the votes of settled incarnations to `member` if it has taken over their id or
    /// address. They have ended, because an id and an address belong to one process at a time.
    ///
    /// A vote must not simply expire. The failure this guards against: the only settled member
    /// restarts, others join, and they form a quorum without it. Disconnected, it considers itself
    /// a quorum of the list that it joined and keeps serving with a withdrawn key.
    fn inherit_votes(&mut self, member: &Member) {
        for settled in &mut self.record.settled {
            let is_same_id = settled.id == member.id && settled.incarnation < member.incarnation;
            if is_same_id || settled.id != member.id && has_address_of(member, settled) {
                settled.clone_from(member);
            }
        }
    }

    /// The next revision. Its settled members are those settled before; the very first list has no
    /// predecessor and is settled as it is.
    fn successor(&self, floor: Revision) -> Self {
        let mut next = self.clone();
        next.record.revision += 1;
        next.record.config_floor = next.record.config_floor.max(floor);
        if self.is_settled() {
            next.record.settled.clone_from(&self.record.members);
        }
        next
    }
}

/// The revision that each incarnation of a member is known to hold, and the incarnations that have
/// ended.
#[derive(Clone, Debug, Default)]
pub struct ListAcks {
    held: BTreeMap<(MemberId, Incarnation), Revision>,
    ended: BTreeMap<MemberId, Incarnation>,
}

impl ListAcks {
    /// Records that this incarnation of `member` holds at least `revision`.
    pub fn record_held(&mut self, member: &MemberId, incarnation: Incarnation, revision: Revision) {
        let held = self.held.entry((member.clone(), incarnation)).or_default();
        *held = (*held).max(revision);
    }

    /// Records that this incarnation of `member` and all earlier ones have ended: they neither
    /// serve nor acknowledge any more.
    pub fn record_ended(&mut self, member: &MemberId, incarnation: Incarnation) {
        let ended = self.ended.entry(member.clone()).or_default();
        *ended = (*ended).max(incarnation);
    }

    /// True if this incarnation is known to have ended.
    #[must_use]
    pub fn has_ended(&self, member: &Member) -> bool {
        let ended = self.ended.get(member.id.as_str());
        ended.is_some_and(|incarnation| *incarnation >= member.incarnation)
    }

    /// Removes incarnations that `list` does not name, so that memory stays bounded.
    pub fn prune_unlisted(&mut self, list: &MemberList) {
        let names = |id: &str, incarnation| {
            let settled = list.record().settled.iter();
            let mut incarnations = list.members().iter().chain(settled);
            incarnations.any(|m| m.id == id && m.incarnation == incarnation)
        };
        self.held
            .retain(|(id, incarnation), _| names(id, *incarnation));
        self.ended.retain(|id, incarnation| names(id, *incarnation));
    }

    fn revision_of(&self, member: &Member) -> Revision {
        let incarnation = (MemberId::from(member.id.as_str()), member.incarnation);
        self.held.get(&incarnation).copied().unwrap_or_default()
    }
}

/// True if both have the same host address; the wildcard address never matches.
fn has_address_of(new: &Member, old: &Member) -> bool {
    let address = old.peer_address.parse::<SocketAddr>();
    new.peer_address == old.peer_address && address.is_ok_and(|a| !a.ip().is_unspecified())
}

fn majority_value<'a, V: Ord>(
    members: impl Iterator<Item = &'a Member>,
    value: &impl Fn(&Member) -> Option<V>,
) -> Option<V> {
    let values: Vec<Option<V>> = members.map(value).collect();
    let needed = majority(values.len());
    let mut reached: Vec<V> = values.into_iter().flatten().collect();
    reached.sort_unstable_by(|a, b| b.cmp(a));
    reached.into_iter().nth(needed - 1)
}
