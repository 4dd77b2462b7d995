use std::{thread, time::Duration};

use decide::{
    config::{ChangePlan, ConfigLimits, ConfigState, ConfigWrite, PlanInput, plan_change},
    member::MemberList,
};
use model::{BootTime, Revision, event as log_event};
use ports::{ChangeError, ChangeOutcome, ChangeRequest};
use prost::Message as _;
use store::{StoreError, StoreVersion};
use wire::state::{ConfigRecord, MemberRecord};

use crate::{
    event,
    shared_state::SharedState,
    store_key::{CONFIG, CONFIG_BASES, MEMBERS, config_base, read_record},
};

/// Timeout of a submission; a change that is not accepted by then is reported as pending.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause before a store call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which the acknowledgements of the revision are checked.
const ACK_POLL: Duration = Duration::from_millis(3);

/// Writes one change of an operator to the store and waits until it is accepted.
pub(crate) struct ChangeSubmission<'a> {
    shared: &'a SharedState,
    request: &'a ChangeRequest,
    deadline: BootTime,
    /// True once the outcome of a write is unknown. From then on, no error may claim that
    /// nothing was recorded.
    outcome_unknown: bool,
}

impl<'a> ChangeSubmission<'a> {
    pub(crate) fn new(shared: &'a SharedState, request: &'a ChangeRequest) -> Self {
        Self {
            shared,
            request,
            deadline: shared.now() + SUBMIT_TIMEOUT,
            outcome_unknown: false,
        }
    }

    /// Writes the change and waits until it is accepted.
    pub(crate) fn run(mut self) -> Result<ChangeOutcome, ChangeError> {
        if self.request.change_id.is_empty() {
            return Err(ChangeError::Invalid("the change has no id".to_owned()));
        }
        loop {
            if let Some(outcome) = self.attempt()? {
                self.await_acceptance(outcome.revision)?;
                return Ok(outcome);
            }
            if self.shared.now() >= self.deadline {
                return Err(self.to_error("too many changes at once, or no answer of the store"));
            }
        }
    }

    /// Makes one read and one write. `None` means that another attempt is needed.
    fn attempt(&mut self) -> Result<Option<ChangeOutcome>, ChangeError> {
        let (version, record, state) = match self.read_newest() {
            Ok(newest) => newest,
            Err(error @ StoreError::Rejected(_)) => return Err(self.to_error(&error.to_string())),
            Err(error) if self.outcome_unknown => {
                log_event::debug(&event::CHANGE_OUTCOME_UNREAD, format_args!("cause={error}"));
                thread::sleep(RETRY_PAUSE);
                return Ok(None);
            }
            Err(error) => return Err(self.to_error(&error.to_string())),
        };
        match plan_change(&state, &record, &self.input(), &ConfigLimits::default()) {
            ChangePlan::Repeated(revision) => Ok(Some(ChangeOutcome {
                revision,
                repeated: !self.outcome_unknown,
            })),
            ChangePlan::Conflict {
                base,
                newest,
                touched,
            } => Err(ChangeError::Conflict {
                base,
                newest,
                touched,
            }),
            ChangePlan::Invalid(reason) => Err(ChangeError::Invalid(reason)),
            ChangePlan::Write(_) if !self.confirm_newest(record.revision)? => Ok(None),
            ChangePlan::Write(write) => self.write(version, *write),
        }
    }

    /// Reads the newest record and the configuration that results from it.
    ///
    /// A peer may deliver a newer change between the read and the comparison; the record is then
    /// read again. If this counted as a store failure, the loser of a race would get
    /// "unavailable" instead of a conflict. A store that shows less than what was known before the
    /// read has lost changes, and the caller is told at once.
    fn read_newest(&self) -> Result<(StoreVersion, ConfigRecord, ConfigState), StoreError> {
        loop {
            let peers = self.shared.lease.lock().newest_peer_config();
            let known = peers.max(self.shared.holder.active_config().revision);
            let (version, record) = read_record::<ConfigRecord>(self.shared.store(), CONFIG)?;
            self.shared.apply_config(&record)?;
            let state = self.shared.holder.state();
            if record.revision < known {
                self.await_revision(known);
            } else if state.revision == record.revision {
                return Ok((version, record, state));
            }
            if record.revision < known || state.revision < record.revision {
                return Err(StoreError::Unavailable(format!(
                    "the store shows revision {}, revision {} is in force",
                    record.revision,
                    known.max(state.revision)
                )));
            }
        }
    }

    /// Waits until this host holds a revision that a peer has shown, at most for a lease. After
    /// that time a host that is behind refuses work.
    fn await_revision(&self, revision: Revision) {
        let lease = self.shared.options.settings.lease_length;
        let limit = self.deadline.min(self.shared.now() + lease);
        while self.shared.holder.active_config().revision < revision && self.shared.now() < limit {
            thread::sleep(ACK_POLL);
        }
    }

    /// Waits until a quorum has confirmed that it holds nothing newer than `revision`, which was
    /// read from the store. Returns false if a newer one is known, so that the store has to be read
    /// again.
    ///
    /// If the store was restored from an old copy, a host that missed the newest changes would
    /// otherwise record a change on top of the old state.
    fn confirm_newest(&self, revision: Revision) -> Result<bool, ChangeError> {
        let began = self.shared.now();
        self.shared.request_echoes();
        loop {
            let lease = self.shared.lease.lock();
            let newest = lease.newest_peer_config();
            let acks = self.shared.acks.lock().clone();
            let confirmed = lease.is_newest_since(&acks, began);
            drop(lease);
            if newest > revision || self.shared.holder.active_config().revision > revision {
                return Ok(false);
            }
            if confirmed {
                return Ok(true);
            }
            if self.shared.now() >= self.deadline {
                return Err(self.to_error("a majority of entry hosts has not confirmed the state"));
            }
            thread::sleep(ACK_POLL);
        }
    }

    fn write(
        &mut self,
        version: StoreVersion,
        mut write: ConfigWrite,
    ) -> Result<Option<ChangeOutcome>, ChangeError> {
        if let Some(base) = &write.base {
            let suffix = format!("{}-{:x}", self.shared.own, self.shared.now().as_nanos());
            let key = config_base(base.revision, &suffix);
            let outcome = self.shared.store().swap(&key, 0, &base.encode_to_vec());
            // A base whose write failed is abandoned; no record refers to it.
            if let Err(error) = outcome {
                return Err(self.to_error(&error.to_string()));
            }
            write.record.base_key = key;
        }
        let bytes = write.record.encode_to_vec();
        match self.shared.store().swap(CONFIG, version, &bytes) {
            Ok(_) => {
                let followed = self.shared.apply_config(&write.record);
                if let Err(error) = followed {
                    return Err(ChangeError::Pending(error.to_string()));
                }
                if write.base.is_some() {
                    self.remove_old_bases(&write.record);
                }
                Ok(Some(ChangeOutcome {
                    revision: write.next.revision,
                    repeated: false,
                }))
            }
            Err(StoreError::Conflict { .. }) => Ok(None),
            Err(StoreError::Unknown(error)) => {
                // The write may take effect after a read that does not show it. The next attempt
                // expects the same version, so at most one of the two writes takes effect.
                log_event::info(
                    &event::CHANGE_OUTCOME_UNKNOWN,
                    format_args!("change={} cause={error}", self.request.change_id),
                );
                self.outcome_unknown = true;
                thread::sleep(RETRY_PAUSE);
                Ok(None)
            }
            Err(error) => Err(self.to_error(&error.to_string())),
        }
    }

    /// Waits until a majority of the member list has confirmed the revision, and the others have
    /// confirmed it too or refuse work.
    ///
    /// The list is read after the change was recorded. A list that is written later either
    /// includes the change in its configuration floor, or differs from this one by one step, so
    /// that their majorities overlap.
    fn await_acceptance(&self, revision: Revision) -> Result<(), ChangeError> {
        let pending = |cause: &str| ChangeError::Pending(format!("revision {revision}: {cause}"));
        let list = loop {
            match read_record::<MemberRecord>(self.shared.store(), MEMBERS) {
                Ok((_, record)) => break MemberList::new(record),
                Err(_) if self.shared.now() < self.deadline => thread::sleep(RETRY_PAUSE),
                Err(error) => return Err(pending(&error.to_string())),
            }
        };
        loop {
            if self.is_accepted(&list, revision) {
                break;
            }
            if self.shared.now() >= self.deadline {
                return Err(pending("a majority of entry hosts has not confirmed it"));
            }
            thread::sleep(ACK_POLL);
        }
        self.await_all(&list, revision);
        Ok(())
    }

    /// Waits until all entry hosts hold an accepted revision, at most for a lease: no majority
    /// renews the lease of a host that lacks it, so that it refuses work by then.
    fn await_all(&self, list: &MemberList, revision: Revision) {
        let lease = self.shared.options.settings.lease_length;
        let limit = self.deadline.min(self.shared.now() + lease);
        while self.shared.now() < limit {
            let not_ended = list.without_ended(&self.shared.acks.lock());
            let lease = self.shared.lease.lock();
            if lease.all_hold_config(&not_ended, revision) {
                return;
            }
            drop(lease);
            thread::sleep(ACK_POLL);
        }
    }

    fn is_accepted(&self, list: &MemberList, revision: Revision) -> bool {
        let not_ended = list.without_ended(&self.shared.acks.lock());
        self.shared
            .lease
            .lock()
            .quorum_holds_config(&not_ended, revision)
    }

    /// Removes bases older than the one that the record refers to. Newer ones may belong to a
    /// change whose record is not written yet.
    fn remove_old_bases(&self, record: &ConfigRecord) {
        let store = self.shared.store();
        let Ok(bases) = store.list(CONFIG_BASES) else {
            return;
        };
        let oldest = config_base(record.base_revision, "");
        for (key, stored) in bases.iter().filter(|(key, _)| *key < oldest) {
            if let Err(error) = store.remove(key, stored.version) {
                log_event::debug(
                    &event::CONFIG_BASE_KEPT,
                    format_args!("key={key} cause={error}"),
                );
            }
        }
    }

    fn input(&self) -> PlanInput<'_> {
        let unix_ms = self.shared.options.clock.unix_now().as_millis();
        PlanInput {
            change_id: &self.request.change_id,
            author: &self.request.author,
            unix_ms: u64::try_from(unix_ms).unwrap_or(u64::MAX),
            base: self.request.base,
            sections: &self.request.sections,
            keys: &self.request.keys,
        }
    }

    fn to_error(&self, cause: &str) -> ChangeError {
        if self.outcome_unknown {
            return ChangeError::Pending(cause.to_owned());
        }
        ChangeError::Unavailable(cause.to_owned())
    }
}
