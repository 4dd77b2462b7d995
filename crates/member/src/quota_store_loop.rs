use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use decide::quota::{QuotaAction, QuotaWrite, WriteOutcome};
use model::{TeamId, event as log_event};
use ports::AuditRecord;
use prost::Message as _;
use store::StoreError;
use wire::state::QuotaRecord;

use crate::{
    event,
    quota_call::{QuotaCall, route_action, send_talks},
    shared_state::SharedState,
    store_key::{quota_key, read_record},
};

/// Interval at which the loop checks whether the service is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time that releasing grants may delay the end of the process.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and writes the quota records of teams, one call at a time.
pub(crate) struct QuotaStoreLoop {
    shared: Arc<SharedState>,
    calls: Receiver<QuotaCall>,
}

impl QuotaStoreLoop {
    pub(crate) fn new(shared: Arc<SharedState>, calls: Receiver<QuotaCall>) -> Self {
        Self { shared, calls }
    }

    /// Runs until the service stops.
    pub(crate) fn run(self) {
        while !self.shared.is_stopping() {
            match self.calls.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(call) => perform_call(&self.shared, call),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}

/// Releases the unused units of this host when it stops.
pub(crate) fn release_grants(shared: &SharedState) {
    shared.quota.machine().lock().set_leaving();
    let now = shared.now();
    let actions = shared.quota.machine().lock().tick(now);
    for action in actions {
        // If the store is down or slow, the grants stay recorded. Other hosts take them over
        // once no work of this host can be running.
        if shared.now().saturating_sub(now) > RELEASE_TIMEOUT {
            return;
        }
        if let QuotaAction::Write(write) = action {
            perform_call(shared, QuotaCall::Write(write));
        }
    }
}

fn perform_call(shared: &SharedState, call: QuotaCall) {
    match call {
        QuotaCall::Read(team) => read_team(shared, &team),
        QuotaCall::Write(write) => write_team(shared, &write),
    }
    shared.quota.wake();
}

fn read_team(shared: &SharedState, team: &TeamId) {
    match read_record::<QuotaRecord>(shared.store(), &quota_key(team)) {
        Ok((version, record)) => {
            let now = shared.now();
            let mut machine = shared.quota.machine().lock();
            machine.apply_read(team, version, record, now);
        }
        Err(error) => log_event::debug(
            &event::QUOTA_CALL_FAILED,
            format_args!("team={team} cause={error}"),
        ),
    }
}

fn write_team(shared: &SharedState, write: &QuotaWrite) {
    let bytes = write.record.encode_to_vec();
    let answer = shared
        .store()
        .swap(&quota_key(&write.team), write.expect, &bytes);
    let outcome = match &answer {
        Ok(version) => WriteOutcome::Done(*version),
        Err(StoreError::Conflict { .. }) => WriteOutcome::Conflict,
        Err(StoreError::Unknown(_)) => WriteOutcome::Unknown,
        Err(StoreError::Unavailable(_) | StoreError::Rejected(_)) => WriteOutcome::NotDone,
    };
    metrics::counter!("lws_quota_writes").increment(1);
    if let Err(error) = &answer {
        log_event::debug(
            &event::QUOTA_CALL_FAILED,
            format_args!("team={} cause={error}", write.team),
        );
    }
    if let Ok(version) = answer {
        audit_grants(shared, write, version);
    }
    let now = shared.now();
    let actions = {
        let mut machine = shared.quota.machine().lock();
        machine.handle_write_outcome(&write.team, outcome, now)
    };
    let mut talks = BTreeMap::new();
    for action in actions {
        route_action(action, &mut talks);
    }
    send_talks(shared, talks);
}

fn audit_grants(shared: &SharedState, write: &QuotaWrite, version: u64) {
    let grants = write.record.grants.iter();
    let parts: Vec<String> = grants
        .map(|g| format!("{}#{}={}", g.member, g.incarnation, g.units))
        .collect();
    shared.audit(AuditRecord {
        author: shared.own.to_string(),
        change_id: format!("quota-{}-{version}", write.team),
        subject: format!("grant {}", write.team),
        difference: format!("limit={} {}", write.record.limit, parts.join(" ")),
        revision_before: write.expect,
        revision_after: version,
    });
}
