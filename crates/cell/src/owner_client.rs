use std::{cell::RefCell, time::Duration};

use compact_str::CompactString;
use decide::refused_queues::RefusedQueues;
use link::{CallClient, HttpCallError};
use model::work::FencingToken;
use store::{BootClock, Clock};
use tokio::time::Instant;
use wire::work::{AnswerKind, JobRecord, OwnerAnswer, OwnerCall, owner_call::Ask};

use crate::{owner_view::OwnerEntry, peer_call::call_peer};

/// Longest wait for one answer of the owner before it is asked again over a new connection. A dead
/// connection would otherwise use up the caller's whole timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Part of [`CALL_TIMEOUT`] that is reserved for the owner's response to travel back. An owner that
/// has no result in time says so before the timeout. Without any response the call may have taken
/// effect, and the caller could not be told to retry.
const CALL_MARGIN: Duration = Duration::from_millis(150);

/// State of one call to the owner across its retries.
pub(crate) struct OwnerCallState {
    pub(crate) deadline: Instant,
    pub(crate) started_at: Instant,
    /// The last owner that did not answer: the call may have taken effect there.
    pub(crate) unanswered_by: Option<FencingToken>,
    pub(crate) owner: CompactString,
}

/// Calls the owner of the cell if it is another process.
pub(crate) struct OwnerClient {
    client: CallClient,
    refused_queues: RefCell<RefusedQueues>,
}

impl OwnerClient {
    pub(crate) fn new(client: CallClient) -> Self {
        Self {
            client,
            refused_queues: RefCell::default(),
        }
    }

    /// Sends a call to an owner; `None` if there is no answer.
    pub(crate) async fn send(
        &self,
        ask: &Ask,
        owner: &OwnerEntry,
        state: &mut OwnerCallState,
    ) -> Option<OwnerAnswer> {
        match ask {
            Ask::Submit(record) => self.submit(ask, record, owner, state).await,
            _ => self.call(ask, owner, state).await,
        }
    }

    /// Sends the submission of a job, after a dry run if the owner recently refused jobs of the
    /// queue.
    async fn submit(
        &self,
        submission: &Ask,
        record: &JobRecord,
        owner: &OwnerEntry,
        state: &mut OwnerCallState,
    ) -> Option<OwnerAnswer> {
        let (queues, queue) = (&self.refused_queues, &record.queue);
        let now = BootClock.boot_now();
        let needs_dry_run = queues.borrow().needs_dry_run(queue, now);
        if needs_dry_run {
            let answer = self.call(&dry_run(record), owner, state).await?;
            match answer.kind() {
                AnswerKind::WouldRefuse => {
                    queues.borrow_mut().record_refusal(queue, now);
                    return Some(answer);
                }
                // A process of an earlier version refuses every dry run.
                AnswerKind::WouldAccept | AnswerKind::Refused => {}
                _ => return Some(answer),
            }
        }
        let answer = self.call(submission, owner, state).await?;
        match answer.kind() {
            AnswerKind::Accepted => queues.borrow_mut().record_acceptance(queue),
            AnswerKind::Refused => queues.borrow_mut().record_refusal(queue, now),
            _ => {}
        }
        Some(answer)
    }

    async fn call(
        &self,
        ask: &Ask,
        owner: &OwnerEntry,
        state: &mut OwnerCallState,
    ) -> Option<OwnerAnswer> {
        let left = state.deadline.saturating_duration_since(Instant::now());
        let timeout = CALL_TIMEOUT.min(left);
        let call = owner_call(ask, owner.token, timeout.saturating_sub(CALL_MARGIN));
        let error = match call_peer(&self.client, &owner.address, &call, timeout).await {
            Ok(answer) => return Some(answer),
            Err(error) => error,
        };
        log::debug!("{error}");
        let has_effect = matches!(ask, Ask::Submit(_) | Ask::Cancel(_));
        if has_effect && matches!(error, HttpCallError::Unanswered(_)) {
            state.unanswered_by = Some(owner.token);
        }
        None
    }
}

/// A call to the owner with this token.
pub(crate) fn owner_call(ask: &Ask, token: FencingToken, timeout: Duration) -> OwnerCall {
    OwnerCall {
        ask: Some(ask.clone()),
        token,
        patience_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    }
}

fn dry_run(record: &JobRecord) -> Ask {
    Ask::DryRun(JobRecord {
        payload: String::new(),
        ..record.clone()
    })
}
