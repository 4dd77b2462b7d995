use std::{sync::Arc, time::Duration};

use decide::{
    lease::LeaseMachine,
    member::{ListRefusal, MemberList},
};
use model::{BootTime, Incarnation, MemberId, StepError, event as log_event};
use ports::{AuditRecord, PeerLink as _};
use prost::Message as _;
use store::{StoreError, StoreVersion};
use wire::{
    peer::envelope::Body,
    state::{ConfigRecord, MemberRecord},
};

use crate::{
    event,
    incarnation::claim_incarnation,
    shared_state::SharedState,
    store_key::{CONFIG, MEMBERS, read_record, store_step_error},
};

/// Interval at which the loop checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of reads without a hint, which make up for lost hints.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(15);

/// Minimum time between reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Reads member list and configuration from the store when the lease or a hint requires it, and
/// maintains the member list: joins, rejoins and removes members that are gone.
pub(crate) struct StoreLoop {
    shared: Arc<SharedState>,
    read_at: Option<BootTime>,
    failing: bool,
}

impl StoreLoop {
    pub(crate) fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            read_at: None,
            failing: false,
        }
    }

    /// Runs until the service stops, then removes this host from the list.
    pub(crate) fn run(mut self) {
        while !self.shared.is_stopping() {
            if self.is_due() {
                let outcome = self.run_round();
                self.log_outcome(outcome);
            }
            self.shared.await_store_wake(CHECK_INTERVAL);
        }
        if let Err(error) = self.leave_list() {
            log_event::warn(&event::MEMBER_LEAVE_FAILED, format_args!("cause={error}"));
        }
    }

    /// Reads are due while no majority renews the lease, after hints, and at long intervals.
    fn is_due(&self) -> bool {
        let now = self.shared.now();
        let since_read = self.read_at.map(|at| now.saturating_sub(at));
        let Some(since_read) = since_read else {
            return true;
        };
        if since_read < MIN_READ_INTERVAL {
            return false;
        }
        let lease = self.shared.lease.lock();
        let length = self.shared.options.settings.lease_length;
        let quorum_age = lease.quorum_acked_at().map(|at| now.saturating_sub(at));
        let renewed = quorum_age.is_some_and(|age| age < length / 2);
        !lease.is_listed()
            || lease.is_behind()
            || !renewed && since_read >= length / 4
            || since_read >= IDLE_READ_INTERVAL
            || !lease.list().is_settled() && since_read >= self.settle_interval(&lease)
            || self.has_lost_members(&lease, now) && since_read >= length / 4
    }

    fn has_lost_members(&self, lease: &LeaseMachine, now: BootTime) -> bool {
        let acks = self.shared.acks.lock();
        !lease.lost_members(now).is_empty()
            || lease.list().members().iter().any(|m| acks.has_ended(m))
    }

    /// Interval between this host's attempts to settle the list. It grows with the host's
    /// position in the list, so that usually a single host writes.
    fn settle_interval(&self, lease: &LeaseMachine) -> Duration {
        let members = lease.list().members();
        let position = members
            .iter()
            .position(|m| m.id == self.shared.own.as_str());
        let position = u32::try_from(position.unwrap_or(members.len())).unwrap_or(u32::MAX);
        CHECK_INTERVAL.saturating_mul(1 + 4 * position)
    }

    fn run_round(&mut self) -> Result<(), StepError> {
        let sent = self.shared.now();
        self.read_at = Some(sent);
        let (version, list) = self.read_all(sent)?;
        let incarnation = self.shared.incarnation();
        if !list.contains(&self.shared.own, incarnation) {
            return self.join(version, &list);
        }
        if self.remove_lost(version, &list)? {
            return Ok(());
        }
        self.settle_list(version, &list)
    }

    /// Reads the list before the configuration. So the configuration is at least at the revision
    /// of the list's floor, and a list written by this host may use it as floor.
    fn read_all(&self, sent: BootTime) -> Result<(StoreVersion, MemberList), StepError> {
        let store = self.shared.store();
        let (version, record) = read_record::<MemberRecord>(store, MEMBERS)
            .map_err(|error| store_step_error("read member list", error))?;
        let (_, config) = read_record::<ConfigRecord>(store, CONFIG)
            .map_err(|error| store_step_error("read configuration", error))?;
        self.shared
            .apply_config(&config)
            .map_err(|error| store_step_error("follow configuration", error))?;
        let held = self.shared.lease.lock().list().revision();
        if config.revision < self.shared.holder.active_config().revision || record.revision < held {
            // The store may have been restored from an old copy: this read must not renew the lease.
            let error = StoreError::Rejected(format!(
                "old revisions: configuration {}, members {}",
                config.revision, record.revision
            ));
            return Err(store_step_error("read list and configuration", error));
        }
        let list = MemberList::new(record);
        self.shared.apply_list(&list);
        self.ack_own_list();
        let mut lease = self.shared.lease.lock();
        if lease.list().revision() >= list.revision() {
            lease.record_store_read(sent);
        }
        Ok((version, list))
    }

    fn ack_own_list(&self) {
        let revision = self.shared.lease.lock().list().revision();
        self.shared
            .acks
            .lock()
            .record_held(&self.shared.own, self.shared.incarnation(), revision);
    }

    /// Joins the list. A newer incarnation in the list means that another process uses this id;
    /// an older one is this host before its restart. A host that was removed from the list starts
    /// a new incarnation, because the grants of the old one may have been reassigned.
    fn join(&self, version: StoreVersion, list: &MemberList) -> Result<(), StepError> {
        if self.shared.is_leaving() {
            return Ok(());
        }
        if self.shared.lease.lock().was_listed() {
            self.begin_incarnation()?;
            return Ok(());
        }
        let floor = self.shared.holder.active_config().revision;
        let next = match list.join(self.shared.own_member(), floor) {
            Ok(next) => next,
            Err(ListRefusal::NewerIncarnation(incarnation)) => {
                log_event::error(
                    &event::MEMBER_ID_TAKEN,
                    format_args!("incarnation={incarnation}"),
                );
                return Ok(());
            }
            Err(refusal) => {
                log_event::debug(&event::MEMBER_JOIN_WAITS, format_args!("cause={refusal}"));
                return Ok(());
            }
        };
        if !self.write_list(version, &next, "join member list")? {
            return Ok(());
        }
        self.audit(&self.shared.own, self.shared.incarnation(), "joined", &next);
        log_event::info(
            &event::MEMBER_JOINED,
            format_args!(
                "incarnation={} revision={}",
                self.shared.incarnation(),
                next.revision()
            ),
        );
        Ok(())
    }

    fn begin_incarnation(&self) -> Result<(), StepError> {
        let incarnation = claim_incarnation(self.shared.store())?;
        log_event::warn(
            &event::MEMBER_LIFE_BEGAN,
            format_args!("incarnation={incarnation}"),
        );
        self.shared.options.node.set_incarnation(incarnation);
        self.shared.lease.lock().begin_incarnation(incarnation);
        self.shared.quota.begin_incarnation(incarnation);
        Ok(())
    }

    /// Removes one lost member; true if there was one.
    fn remove_lost(&self, version: StoreVersion, list: &MemberList) -> Result<bool, StepError> {
        let now = self.shared.now();
        let lost = self.shared.lease.lock().lost_members(now);
        let acks = self.shared.acks.lock().clone();
        let mut members = list.members().iter();
        let Some(member) = members.find(|m| acks.has_ended(m) || lost.contains(&m.id)) else {
            return Ok(false);
        };
        let (id, incarnation) = (MemberId::from(member.id.as_str()), member.incarnation);
        self.remove_member(version, list, &id, incarnation, "remove lost member")?;
        Ok(true)
    }

    /// Settles the list. Any member may do so. The first in the list does it first, and the
    /// others only after longer intervals, so that they don't all write at the same time.
    fn settle_list(&self, version: StoreVersion, list: &MemberList) -> Result<(), StepError> {
        let acks = self.shared.acks.lock().clone();
        let floor = self.shared.holder.active_config().revision;
        let Ok(next) = list.settle(&acks, floor) else {
            return Ok(());
        };
        self.write_list(version, &next, "settle member list")?;
        Ok(())
    }

    /// Removes this host from the list. It has stopped serving, so this needs no majority.
    fn leave_list(&self) -> Result<(), StepError> {
        let own = &self.shared.own;
        let incarnation = self.shared.incarnation();
        self.shared.acks.lock().record_ended(own, incarnation);
        for _ in 0..5 {
            let (version, list) = self.read_all(BootTime::ZERO)?;
            if !list.contains(own, incarnation) {
                return Ok(());
            }
            match self.remove_member(version, &list, own, incarnation, "leave member list") {
                Ok(()) => {
                    self.send_last_beats(&list);
                    return Ok(());
                }
                Err(error) => {
                    log_event::debug(&event::MEMBER_LEAVE_FAILED, format_args!("cause={error}"));
                }
            }
        }
        Ok(())
    }

    /// Sends a last heartbeat, so that the other members learn of the changed list.
    fn send_last_beats(&self, list: &MemberList) {
        let now = self.shared.now();
        let own = self.shared.own.as_str();
        for member in list.members().iter().filter(|m| m.id != own) {
            let peer = MemberId::from(member.id.as_str());
            let beat = self.shared.lease.lock().next_beat(&peer, now);
            let _ = self.shared.options.node.send(&peer, Body::Beat(beat));
        }
    }

    fn remove_member(
        &self,
        version: StoreVersion,
        list: &MemberList,
        member: &MemberId,
        incarnation: Incarnation,
        step: &'static str,
    ) -> Result<(), StepError> {
        let floor = self.shared.holder.active_config().revision;
        let Ok(next) = list.remove(member, incarnation, floor) else {
            return Ok(());
        };
        if !self.write_list(version, &next, step)? {
            return Ok(());
        }
        self.audit(member, incarnation, "removed", &next);
        log_event::info(
            &event::MEMBER_REMOVED,
            format_args!(
                "member={member} incarnation={incarnation} revision={}",
                next.revision()
            ),
        );
        Ok(())
    }

    /// Writes the list; false if another host wrote first. After a lost response, the next read
    /// shows whether the write took effect.
    fn write_list(
        &self,
        version: StoreVersion,
        next: &MemberList,
        step: &'static str,
    ) -> Result<bool, StepError> {
        let bytes = next.record().encode_to_vec();
        match self.shared.store().swap(MEMBERS, version, &bytes) {
            Ok(_) => {
                self.shared.apply_list(next);
                self.ack_own_list();
                Ok(true)
            }
            Err(StoreError::Conflict { .. }) => {
                self.shared.wake_store();
                Ok(false)
            }
            Err(error) => Err(store_step_error(step, error)),
        }
    }

    /// Writes a change of the list to the audit trail.
    fn audit(&self, member: &MemberId, incarnation: Incarnation, change: &str, list: &MemberList) {
        self.shared.audit(AuditRecord {
            author: self.shared.own.to_string(),
            change_id: format!("members-{}", list.revision()),
            subject: format!("member {member}"),
            difference: format!("{change} incarnation={incarnation}"),
            revision_before: list.revision() - 1,
            revision_after: list.revision(),
        });
    }

    fn log_outcome(&mut self, outcome: Result<(), StepError>) {
        match outcome {
            Ok(()) if self.failing => {
                self.failing = false;
                log_event::info(&event::STORE_BACK, format_args!(""));
            }
            Ok(()) => {}
            Err(error) if self.failing => {
                log_event::debug(&event::STORE_FAILING, format_args!("cause={error}"));
            }
            Err(error) => {
                self.failing = true;
                log_event::warn(&event::STORE_FAILING, format_args!("cause={error}"));
            }
        }
    }
}
