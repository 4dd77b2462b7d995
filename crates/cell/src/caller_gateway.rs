use std::{cell::Cell, rc::Rc, time::Duration};

use compact_str::CompactString;
use decide::work::{JobTerms, record_of_plan};
use model::{
    event as log_event,
    work::{FencingToken, FleetPolicy, JobPlan},
};
use ports::{CallerAction, CallerAnswer, CallerCall, CallerService, JobProgress, PortFuture};
use store::{BootClock, Clock};
use tokio::time::{Instant, timeout_at};
use wire::work::{AnswerKind, JobPhase, JobRecord, OwnerAnswer, owner_call::Ask};

use crate::{
    cell_options::CellOptions,
    event,
    fleet_view::FleetView,
    member_directory::MemberDirectory,
    metric,
    owner_client::{OwnerCallState, OwnerClient, owner_call},
    owner_service,
    owner_view::OwnerView,
    peer_service::CurrentTerm,
    stored_cancellation::CancellationWriter,
};

/// Part of a caller's timeout that is reserved for the response to travel back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time that an answer of the owner usually takes: the round trip and one write of the log.
const MIN_OWNER_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay before the owner is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The same while it is unknown whether the call took effect, which only a successor or the end of
/// a write can settle.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a cancellation is left to the owner alone. A healthy owner records it in a tenth of
/// this time.
const CANCEL_OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a caller that does not specify one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest timeout that a caller may specify; longer ones are cut to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers callers by asking the owner of the cell.
#[derive(Clone)]
pub(crate) struct CallerGateway {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) view: Rc<FleetView>,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) current_term: CurrentTerm,
    pub(crate) owner_client: Rc<OwnerClient>,
    pub(crate) draining: Rc<Cell<bool>>,
    pub(crate) members: Rc<MemberDirectory>,
    pub(crate) cancellation_writer: Rc<CancellationWriter>,
}

impl CallerService for CallerGateway {
    fn queue_prefix_len(&self, host: &str, path: &str) -> Option<usize> {
        let policy = self.view.policy()?;
        Some(policy.queue_at(host, path)?.prefix.len())
    }

    fn answer(&self, call: CallerCall) -> PortFuture<CallerAnswer> {
        let gateway = self.clone();
        Box::pin(async move {
            let started_at = Instant::now();
            let (answer, owner) = gateway.handle(&call).await;
            gateway.log_call(&call, &answer, &owner, started_at);
            answer
        })
    }

    fn max_body_bytes(&self) -> usize {
        self.view.policy().map_or(0, |policy| policy.max_body)
    }

    fn ready(&self) -> bool {
        !self.draining.get() && self.view.policy().is_some()
    }
}

impl CallerGateway {
    async fn handle(&self, call: &CallerCall) -> (CallerAnswer, CompactString) {
        let without_owner = |answer| (answer, CompactString::default());
        let Some(policy) = self.view.policy() else {
            return without_owner(CallerAnswer::Refused(self.options.retry_after));
        };
        let Some(queue) = policy.queue_at(&call.host, &call.path) else {
            return without_owner(CallerAnswer::NoQueue);
        };
        let workspace = policy.workspace_of_key(&call.key);
        if workspace.is_none() && !queue.public {
            return without_owner(CallerAnswer::KeyRefused);
        }
        let workspace = workspace
            .map(|space| space.name.clone())
            .unwrap_or_default();
        let ask = match &call.request {
            CallerAction::Submit(job, plan) => {
                if let Err(fault) = plan.check() {
                    return without_owner(CallerAnswer::Invalid(fault.to_string()));
                }
                Ask::Submit(self.job_record(job, plan, queue, &workspace))
            }
            CallerAction::Status(job) => Ask::Look(job.to_string()),
            CallerAction::Cancel(job) => return self.cancel_detached(job, call.timeout).await,
            CallerAction::Pending => Ask::Pending(queue.name.to_string()),
        };
        self.ask_owner(ask, call.timeout).await
    }

    fn job_record(
        &self,
        job: &str,
        plan: &JobPlan,
        queue: &model::work::QueuePolicy,
        workspace: &str,
    ) -> JobRecord {
        let accepted = BootClock.unix_now().as_millis();
        JobRecord {
            job: job.to_owned(),
            queue: queue.name.to_string(),
            pool: queue.pool.to_string(),
            terms: Some(JobTerms::of_queue(queue).to_record()),
            workspace: workspace.to_owned(),
            accepted_unix_ms: u64::try_from(accepted).unwrap_or(u64::MAX),
            ..record_of_plan(plan)
        }
    }

    /// Cancels a job in a task of its own, so that the cancellation completes even if the caller
    /// disconnects.
    async fn cancel_detached(&self, job: &str, timeout: Duration) -> (CallerAnswer, CompactString) {
        let (gateway, job) = (self.clone(), job.to_owned());
        let task =
            tokio::task::spawn_local(async move { gateway.cancel_job(&job, timeout).await }).await;
        task.unwrap_or((CallerAnswer::Unknown, CompactString::default()))
    }

    /// Cancels a job through the owner. If no owner records the cancellation soon, it is written to
    /// the store, where the next owner finds it.
    ///
    /// If the caller were only told to retry while the cell has no owner, its job could be started
    /// after the time in which a cancellation has to take effect.
    async fn cancel_job(&self, job: &str, timeout: Duration) -> (CallerAnswer, CompactString) {
        let end = Instant::now() + effective_timeout(timeout).saturating_sub(ANSWER_MARGIN);
        let ask = Ask::Cancel(job.to_owned());
        let (answer, owner) = self
            .ask_owner(ask, CANCEL_OWNER_TIMEOUT.min(effective_timeout(timeout)))
            .await;
        if !matches!(answer, CallerAnswer::Refused(_) | CallerAnswer::Unknown) {
            return (answer, owner);
        }
        let kept = timeout_at(end, self.cancellation_writer.persist(job)).await;
        if matches!(kept, Ok(Ok(()))) {
            return (CallerAnswer::Found(JobProgress::Cancelled), owner);
        }
        log::debug!("keep the cancellation of {job}: {kept:?}");
        // The write is retried in the background, so that the cancellation may still take effect.
        self.cancellation_writer.persist_with_retry(job);
        (CallerAnswer::Unknown, owner)
    }

    /// Asks the current owner until it answers or the timeout requires a reply. A retry may reach a
    /// different owner. Retries are harmless because ids make all calls idempotent.
    async fn ask_owner(&self, ask: Ask, timeout: Duration) -> (CallerAnswer, CompactString) {
        let timeout = effective_timeout(timeout);
        let started_at = Instant::now();
        if timeout < ANSWER_MARGIN + MIN_OWNER_TIMEOUT {
            // The answer would come too late, and the caller would not know whether the call took
            // effect.
            return (
                CallerAnswer::Refused(self.options.retry_after),
                CompactString::default(),
            );
        }
        let mut state = OwnerCallState {
            deadline: started_at + timeout.saturating_sub(ANSWER_MARGIN),
            started_at,
            unanswered_by: None,
            owner: CompactString::default(),
        };
        loop {
            if let Some(answer) = self.ask_owner_once(&ask, &mut state).await {
                return (answer, state.owner);
            }
            self.members.find_owner(&self.owners).await;
            let now = Instant::now();
            let waited = now.duration_since(state.started_at);
            if state.unanswered_by.is_none() && waited >= self.options.owner_timeout {
                return (CallerAnswer::Refused(self.options.retry_after), state.owner);
            }
            if now + RETRY_DELAY >= state.deadline {
                return (CallerAnswer::Unknown, state.owner);
            }
            let pause = match state.unanswered_by {
                Some(_) => UNCONFIRMED_RETRY_DELAY,
                None => RETRY_DELAY,
            };
            // A new owner is asked at once.
            let _ = timeout_at(now + pause, self.owners.changed.notified()).await;
        }
    }

    /// Asks the owner once; `None` if there is no answer for the caller yet.
    async fn ask_owner_once(&self, ask: &Ask, state: &mut OwnerCallState) -> Option<CallerAnswer> {
        let own = self.current_term.borrow().clone();
        if let Some(term) = own.filter(|term| !term.is_over()) {
            state.owner = self.options.member.clone();
            let left = state.deadline.saturating_duration_since(Instant::now());
            let answer = owner_service::handle_call(&term, owner_call(ask, term.token, left)).await;
            return self.caller_answer(&answer, term.token, state);
        }
        let owner = self.owners.owner()?;
        if owner.member == self.options.member || owner.address.is_empty() {
            return None;
        }
        state.owner = owner.member.clone();
        let answer = self.owner_client.send(ask, &owner, state).await?;
        self.caller_answer(&answer, owner.token, state)
    }

    /// Maps an owner's answer to the answer for the caller; `None` if the owner has to be asked
    /// again.
    ///
    /// An owner has read everything that earlier owners recorded, and they can record nothing more.
    /// So if it refuses a call, no earlier owner recorded that call either, even one that did not
    /// answer.
    fn caller_answer(
        &self,
        answer: &OwnerAnswer,
        asked: FencingToken,
        state: &mut OwnerCallState,
    ) -> Option<CallerAnswer> {
        match answer.kind() {
            AnswerKind::NotOwner | AnswerKind::WouldAccept => None,
            AnswerKind::Accepted => Some(CallerAnswer::Accepted),
            AnswerKind::Found => Some(CallerAnswer::Found(job_progress(answer.phase()))),
            AnswerKind::Counted => Some(CallerAnswer::Counted(answer.pending)),
            AnswerKind::NotFound => Some(CallerAnswer::NoJob),
            // The owner that did not answer may still receive that call.
            AnswerKind::Refused | AnswerKind::WouldRefuse
                if state
                    .unanswered_by
                    .is_some_and(|unanswered_by| answer.owner_token <= unanswered_by) =>
            {
                None
            }
            AnswerKind::Refused | AnswerKind::WouldRefuse => {
                let wait = Duration::from_millis(answer.retry_after_ms);
                Some(CallerAnswer::Refused(wait))
            }
            AnswerKind::Unknown => {
                state.unanswered_by = Some(asked);
                None
            }
        }
    }

    fn log_call(&self, call: &CallerCall, answer: &CallerAnswer, owner: &str, started_at: Instant) {
        let (wish, job) = match &call.request {
            CallerAction::Submit(job, _) => ("submit", job.as_str()),
            CallerAction::Status(job) => ("look", job.as_str()),
            CallerAction::Cancel(job) => ("cancel", job.as_str()),
            CallerAction::Pending => ("pending", ""),
        };
        let (name, refused) = answer_name(answer);
        let took = started_at.elapsed();
        metrics::counter!(metric::CALLS, "wish" => wish, "answer" => name).increment(1);
        metric::record_duration(metric::CALL_SECONDS, took);
        let revision = self
            .view
            .policy()
            .map_or(0, |policy: std::sync::Arc<FleetPolicy>| policy.revision);
        let details = format_args!(
            "wish={wish} job={job} path={} answer={name} owner={owner} terms={revision} took_ms={}",
            call.path,
            took.as_millis()
        )
        .to_string();
        if refused {
            log_event::warn(&event::CALL_REFUSED, format_args!("{details}"));
        } else {
            log_event::info(&event::CALL_ANSWERED, format_args!("{details}"));
        }
    }
}

/// The timeout that applies to a caller: its own within limits, or the default.
fn effective_timeout(asked: Duration) -> Duration {
    if asked.is_zero() {
        DEFAULT_TIMEOUT
    } else {
        asked.min(MAX_TIMEOUT)
    }
}

fn answer_name(answer: &CallerAnswer) -> (&'static str, bool) {
    match answer {
        CallerAnswer::Accepted => ("accepted", false),
        CallerAnswer::Found(JobProgress::Queued) => ("queued", false),
        CallerAnswer::Found(JobProgress::Running) => ("running", false),
        CallerAnswer::Found(JobProgress::Completed) => ("completed", false),
        CallerAnswer::Found(JobProgress::Failed) => ("failed", false),
        CallerAnswer::Found(JobProgress::Cancelled) => ("cancelled", false),
        CallerAnswer::Counted(_) => ("counted", false),
        CallerAnswer::KeyRefused => ("key-refused", true),
        CallerAnswer::NoQueue => ("no-queue", true),
        CallerAnswer::NoJob => ("no-job", false),
        CallerAnswer::Invalid(_) => ("invalid", true),
        CallerAnswer::Refused(_) => ("refused", true),
        CallerAnswer::Unknown => ("unknown", true),
    }
}

fn job_progress(phase: JobPhase) -> JobProgress {
    match phase {
        JobPhase::Queued => JobProgress::Queued,
        JobPhase::Running => JobProgress::Running,
        JobPhase::Completed => JobProgress::Completed,
        JobPhase::Failed => JobProgress::Failed,
        JobPhase::Cancelled => JobProgress::Cancelled,
    }
}
