//! The serving lease: when an entry host may start new work.
//!
//! Start with [`LeaseMachine`]. Times go in as values on the boot clock; nothing here reads
//! a clock. `docs/design/01-membership.md` holds the argument.

mod peer_view;

use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, Incarnation, MemberId, Revision};
use wire::peer::Beat;

use crate::member::{MemberList, majority};

pub use peer_view::PeerView;

use peer_view::PeerAck;

/// Senders of beats that are kept in view, against strays that make up names.
const MAX_TRACKED_PEERS: usize = 256;

/// A guard that a test takes away, to show that its checker notices. Sources use `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseMutation {
    /// Every guard is in place.
    #[default]
    None,
    /// The lease counts from when an answer came, not from when its question was sent.
    CountFromReceipt,
    /// A majority's word counts even if the majority knows a newer configuration.
    SkipRevision,
    /// A majority's word counts even if the majority knows a newer member list.
    SkipList,
    /// Beats of any incarnation of a member count, not only of the listed one.
    AnyLife,
}

/// How a lease is counted.
#[derive(Clone, Copy, Debug)]
pub struct LeaseOptions {
    /// How long a lease lasts from the sending of the question that renewed it.
    pub length: Duration,
    /// A member unheard for this long may leave the list, if a majority agrees.
    pub unresponsive_after: Duration,
    /// Which guard a test takes away.
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
    /// Neither the store nor a majority was heard within the lease length.
    Lapsed,
    /// The lease lapsed while peers vouched for a newer configuration or member list.
    Behind,
}

/// Counts the serving lease of one entry host from beats and store reads.
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
    /// A machine that holds nothing yet.
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

    /// Begins another incarnation: what was heard as answers to the incarnation before counts no more.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.was_listed = false;
        self.store_read = None;
        self.peers.clear();
    }

    /// Takes a newer member list. The caller holds a configuration of its floor.
    pub fn set_list(&mut self, list: MemberList) {
        if list.revision() >= self.list.revision() {
            self.list = list;
            self.was_listed |= self.is_listed();
            let list = &self.list;
            self.peers.retain(|member, _| list.find(member).is_some());
            self.promote_acks();
        }
    }

    /// Takes a newer configuration.
    pub fn set_config(&mut self, revision: Revision, hash: u64) {
        if revision >= self.config_revision {
            self.config_revision = revision;
            self.config_hash = hash;
            self.promote_acks();
        }
    }

    /// From now on beats say that this host leaves.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The list in use.
    #[must_use]
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// What is known of the peers.
    #[must_use]
    pub fn peers(&self) -> &BTreeMap<MemberId, PeerView> {
        &self.peers
    }

    /// Notes that the duty that sends beats runs.
    pub fn tick(&mut self, now: BootTime) {
        self.last_tick = Some(now);
    }

    /// The next beat for `to`, sent at `now`.
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
        }
    }

    /// Takes a beat of `incarnation` of `from` that arrived at `now`.
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

    /// Notes a read of configuration and member list from the store: sent at `sent`, and
    /// everything that it showed is held by now.
    pub fn record_store_read(&mut self, sent: BootTime) {
        self.store_read = self.store_read.max(Some(sent));
    }

    /// When the lease ends; `None` if there is none.
    #[must_use]
    pub fn expiry(&self) -> Option<BootTime> {
        if !self.is_listed() {
            return None;
        }
        let renewed = self.quorum_acked_at().max(self.store_read)?;
        Some(renewed + self.options.length)
    }

    /// When the question was sent that a quorum answered last.
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

    /// Whether new work may start at `now`.
    ///
    /// # Errors
    /// Why not.
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

    /// True if a peer holds a newer member list, or a listed one a newer configuration.
    ///
    /// The word of an unlisted peer counts here: it may have joined just now, which the
    /// list held here can't show.
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

    /// True if this incarnation of the host has been in the list at some time.
    #[must_use]
    pub fn was_listed(&self) -> bool {
        self.was_listed
    }

    /// True if a quorum of `list` is known to hold at least `revision` of the configuration.
    #[must_use]
    pub fn quorum_holds(&self, list: &MemberList, revision: Revision) -> bool {
        list.has_quorum(|member| {
            if member.id == self.own.as_str() {
                return member.incarnation == self.incarnation && self.config_revision >= revision;
            }
            let view = self.peers.get(member.id.as_str());
            view.is_some_and(|view| {
                view.incarnation == member.incarnation && view.config_revision >= revision
            })
        })
    }

    /// Listed members that this host has not heard for long.
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

    /// Listed members that a majority has not heard for long.
    ///
    /// One host's word is not enough: its own link may be cut while all others hear the
    /// member, and the member would be dropped and rejoin for ever.
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

    /// Counts the newest word of each peer that knows nothing newer than this host.
    ///
    /// The failure this guards against: an operator was told that a key is withdrawn, and a
    /// host that missed it goes on accepting the key, because a majority keeps renewing its
    /// lease. Any majority holds a member that knows the withdrawal; its word does not count
    /// here until this host knows it too.
    fn promote_acks(&mut self) {
        let (config, members) = (self.config_revision, self.list.revision());
        let mutation = self.options.mutation;
        for view in self.peers.values_mut() {
            let Some(vouch) = view.newest_ack() else {
                continue;
            };
            let behind = vouch.config > config && mutation != LeaseMutation::SkipRevision
                || vouch.members > members && mutation != LeaseMutation::SkipList;
            if !behind {
                view.count_ack(vouch);
            }
        }
    }
}
