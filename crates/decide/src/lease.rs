//! The serving lease: decides when an entry host may start new work.
//!
//! Start with [`LeaseMachine`]. Times are passed in as values of the boot clock; nothing here reads
//! a clock. `docs/design/01-membership.md` explains why the lease is safe.

mod peer_view;

use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, Incarnation, MemberId, Revision};
use wire::{peer::Beat, state::Member};

use crate::member::{ListAcks, MemberList, majority};

pub use peer_view::PeerView;

use peer_view::PeerAck;

/// Maximum number of tracked senders of heartbeats. Protects against strays that invent member
/// names.
const MAX_TRACKED_PEERS: usize = 256;

/// A guard that tests disable to show that their checker notices. Production code uses `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseMutation {
    /// All guards are enabled.
    #[default]
    None,
    /// The lease counts from when a response arrived, not from when its request was sent.
    CountFromReceipt,
    /// A majority's acknowledgement counts even if the majority knows a newer configuration.
    SkipRevision,
    /// A majority's acknowledgement counts even if the majority knows a newer member list.
    SkipList,
    /// Heartbeats of any incarnation of a member count, not only those of the listed one.
    AnyLife,
}

/// Times of the lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseOptions {
    /// How long a lease lasts from the sending of the heartbeat that renewed it.
    pub length: Duration,
    /// A member that was unresponsive for this long may be removed from the list if a majority
    /// agrees.
    pub unresponsive_after: Duration,
    /// The guard that a test disables.
    pub mutation: LeaseMutation,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(2),
            unresponsive_after: Duration::from_secs(10),
            mutation: LeaseMutation::None,
        }
    }
}

/// Why no new work may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRefusal {
    /// This incarnation of the host is not in the member list.
    NotListed,
    /// Neither the store nor a majority responded within the lease length.
    Lapsed,
    /// The lease expired while peers reported a newer configuration or member list.
    Behind,
}

/// State machine of one entry host's serving lease, renewed by heartbeats and store reads.
#[derive(Debug)]
pub struct LeaseMachine {
    options: LeaseOptions,
    own: MemberId,
    incarnation: Incarnation,
    list: MemberList,
    config_revision: Revision,
    config_hash: u64,
    leaving: bool,
    was_listed: bool,
    last_tick: Option<BootTime>,
    store_read: Option<BootTime>,
    peers: BTreeMap<MemberId, PeerView>,
}

impl LeaseMachine {
    /// Creates a machine without a lease.
    #[must_use]
    pub fn new(options: LeaseOptions, own: MemberId, incarnation: Incarnation) -> Self {
        Self {
            options,
            own,
            incarnation,
            list: MemberList::default(),
            config_revision: 0,
            config_hash: 0,
            leaving: false,
            was_listed: false,
            last_tick: None,
            store_read: None,
            peers: BTreeMap::new(),
        }
    }

    /// Starts a new incarnation: responses to the previous one no longer count.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.was_listed = false;
        self.store_read = None;
        self.peers.clear();
    }

    /// Applies a newer member list. The caller must hold a configuration of at least its
    /// `config_floor`.
    pub fn set_list(&mut self, list: MemberList) {
        if list.revision() >= self.list.revision() {
            self.list = list;
            self.was_listed |= self.is_listed();
            let list = &self.list;
            self.peers.retain(|member, _| list.find(member).is_some());
            self.promote_acks();
        }
    }

    /// Applies a newer configuration.
    pub fn set_config(&mut self, revision: Revision, hash: u64) {
        if revision >= self.config_revision {
            self.config_revision = revision;
            self.config_hash = hash;
            self.promote_acks();
        }
    }

    /// Marks this host as leaving in all further heartbeats.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The member list in use.
    #[must_use]
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// State of the peers by member.
    #[must_use]
    pub fn peers(&self) -> &BTreeMap<MemberId, PeerView> {
        &self.peers
    }

    /// Records that the loop that sends heartbeats runs.
    pub fn tick(&mut self, now: BootTime) {
        self.last_tick = Some(now);
    }

    /// The next heartbeat to `to`, sent at `now`.
    pub fn next_beat(&mut self, to: &MemberId, now: BootTime) -> Beat {
        let silent = self.unresponsive_members(now);
        let view = self.peers.entry(to.clone()).or_default();
        Beat {
            beat: view.begin_beat(now),
            echo: view.last_beat(),
            echo_incarnation: view.incarnation,
            member_revision: self.list.revision(),
            config_revision: self.config_revision,
            config_hash: self.config_hash,
            leaving: self.leaving,
            silent,
            echo_now: false,
        }
    }

    /// Handles a heartbeat of `incarnation` of `from` that arrived at `now`.
    pub fn handle_beat(
        &mut self,
        from: &MemberId,
        incarnation: Incarnation,
        beat: &Beat,
        now: BootTime,
    ) {
        let mutation = self.options.mutation;
        if self.peers.len() >= MAX_TRACKED_PEERS && !self.peers.contains_key(from) {
            return;
        }
        let own_incarnation = beat.echo_incarnation == self.incarnation;
        let view = self.peers.entry(from.clone()).or_default();
        if incarnation < view.incarnation {
            return;
        }
        if incarnation > view.incarnation {
            view.reset(incarnation);
        }
        if !view.apply_beat(beat, now) {
            return;
        }
        if !own_incarnation && mutation != LeaseMutation::AnyLife {
            return;
        }
        let Some(sent) = view.sent_at(beat.echo) else {
            return;
        };
        let receipt = mutation == LeaseMutation::CountFromReceipt;
        view.record_ack(PeerAck {
            at: if receipt { now } else { sent },
            config: beat.config_revision,
            members: beat.member_revision,
        });
        self.promote_acks();
    }

    /// Records a read of configuration and member list from the store that was sent at `sent`. The
    /// caller has applied everything that it returned.
    pub fn record_store_read(&mut self, sent: BootTime) {
        self.store_read = self.store_read.max(Some(sent));
    }

    /// When the lease expires; `None` if there is none.
    #[must_use]
    pub fn expiry(&self) -> Option<BootTime> {
        if !self.is_listed() {
            return None;
        }
        let renewed = self.quorum_acked_at().max(self.store_read)?;
        Some(renewed + self.options.length)
    }

    /// Send time of the newest heartbeat that a quorum has acknowledged.
    #[must_use]
    pub fn quorum_acked_at(&self) -> Option<BootTime> {
        let any_life = self.options.mutation == LeaseMutation::AnyLife;
        self.list.quorum_value(|member| {
            if member.id == self.own.as_str() {
                return self
                    .last_tick
                    .filter(|_| member.incarnation == self.incarnation);
            }
            let view = self.peers.get(member.id.as_str())?;
            let same_incarnation = view.incarnation == member.incarnation;
            view.counted_ack_at()
                .filter(|_| same_incarnation || any_life)
        })
    }

    /// Checks whether new work may start at `now`.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check(&self, now: BootTime) -> Result<(), LeaseRefusal> {
        if !self.is_listed() {
            return Err(LeaseRefusal::NotListed);
        }
        if self.expiry().is_some_and(|end| now < end) {
            return Ok(());
        }
        if self.is_behind() {
            return Err(LeaseRefusal::Behind);
        }
        Err(LeaseRefusal::Lapsed)
    }

    /// True if a peer holds a newer member list, or a listed peer a newer configuration.
    ///
    /// An unlisted peer counts for the list: it may have joined just now, which the list held here
    /// can't show.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let newer_list = |view: &PeerView| view.member_revision > self.list.revision();
        let newer_config = |view: &PeerView| view.config_revision > self.config_revision;
        self.peers.values().any(newer_list) || self.listed_peers().any(|(_, v)| newer_config(v))
    }

    /// True if this incarnation of the host is in the list.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.list.contains(&self.own, self.incarnation)
    }

    /// True if this incarnation of the host has ever been in the list.
    #[must_use]
    pub fn was_listed(&self) -> bool {
        self.was_listed
    }

    /// True if a quorum of the list, without the incarnations that are known to have ended, has
    /// acknowledged heartbeats sent at `since` or later, and none of these acknowledgements shows a
    /// newer configuration or list than this host holds.
    ///
    /// Every change that was accepted before `since` is held by a quorum. So this host holds it too.
    #[must_use]
    pub fn is_newest_since(&self, acks: &ListAcks, since: BootTime) -> bool {
        self.is_listed()
            && self.list.without_ended(acks).has_quorum(|member| {
                if member.id == self.own.as_str() {
                    return member.incarnation == self.incarnation;
                }
                let view = self.peers.get(member.id.as_str());
                view.is_some_and(|view| {
                    view.incarnation == member.incarnation && view.counted_ack_at() >= Some(since)
                })
            })
    }

    /// Newest revision of the configuration that a listed peer has shown.
    #[must_use]
    pub fn newest_peer_config(&self) -> Revision {
        let revisions = self.listed_peers().map(|(_, view)| view.config_revision);
        revisions.max().unwrap_or_default()
    }

    /// True if a quorum of `list` is known to hold at least `revision` of the configuration, and
    /// that revision with the same content as this host.
    #[must_use]
    pub fn quorum_holds_config(&self, list: &MemberList, revision: Revision) -> bool {
        list.has_quorum(|member| self.member_holds_config(member, revision))
    }

    /// True if all members of `list` are known to hold at least `revision` of the configuration.
    #[must_use]
    pub fn all_hold_config(&self, list: &MemberList, revision: Revision) -> bool {
        let mut members = list.members().iter();
        members.all(|member| self.member_holds_config(member, revision))
    }

    fn member_holds_config(&self, member: &Member, revision: Revision) -> bool {
        if member.id == self.own.as_str() {
            return member.incarnation == self.incarnation && self.config_revision >= revision;
        }
        let view = self.peers.get(member.id.as_str());
        view.is_some_and(|view| {
            let comparable = view.config_revision == self.config_revision;
            view.incarnation == member.incarnation
                && view.config_revision >= revision
                && (!comparable || view.config_hash == self.config_hash)
        })
    }

    /// Listed members that have been unresponsive to this host for `unresponsive_after`.
    #[must_use]
    pub fn unresponsive_members(&self, now: BootTime) -> Vec<String> {
        let after = self.options.unresponsive_after;
        let members = self.list.members().iter().map(|m| &m.id);
        members
            .filter(|id| id.as_str() != self.own.as_str())
            .filter(|id| {
                let view = self.peers.get(id.as_str());
                view.is_some_and(|view| view.is_unresponsive(now, after))
            })
            .cloned()
            .collect()
    }

    /// Listed members that a majority reports as unresponsive.
    ///
    /// The report of one host is not enough. If only its own link is cut while all others reach the
    /// member, the member would be removed and rejoin forever.
    #[must_use]
    pub fn lost_members(&self, now: BootTime) -> Vec<String> {
        let needed = majority(self.list.members().len());
        let mut lost = self.unresponsive_members(now);
        lost.retain(|member| {
            let agrees = |view: &PeerView| {
                !view.is_unresponsive(now, self.options.length)
                    && view.reports_unresponsive.contains(member)
            };
            1 + self.listed_peers().filter(|(_, v)| agrees(v)).count() >= needed
        });
        lost
    }

    fn listed_peers(&self) -> impl Iterator<Item = (&MemberId, &PeerView)> {
        self.peers
            .iter()
            .filter(|(member, view)| self.list.contains(member, view.incarnation))
    }

    /// Counts the newest acknowledgement of each peer that knows nothing newer than this host.
    ///
    /// The failure this guards against: an operator was told that a key is withdrawn, and a host
    /// that missed the change keeps accepting the key because a majority keeps renewing its lease.
    /// Any majority contains a member that knows the withdrawal; its acknowledgement does not count
    /// here until this host knows it too.
    fn promote_acks(&mut self) {
        let (config, members) = (self.config_revision, self.list.revision());
        let mutation = self.options.mutation;
        for view in self.peers.values_mut() {
            let Some(ack) = view.newest_ack() else {
                continue;
            };
            let behind = ack.config > config && mutation != LeaseMutation::SkipRevision
                || ack.members > members && mutation != LeaseMutation::SkipList;
            if !behind {
                view.count_ack(ack);
            }
        }
    }
}
