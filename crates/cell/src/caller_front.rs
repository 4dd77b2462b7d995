use std::{cell::Cell, rc::Rc, time::Duration};

use compact_str::CompactString;
use decide::work::record_of_plan;
use link::{CallClient, CallError};
use model::{
    event as log_event,
    work::{FencingToken, FleetPolicy, JobPlan},
};
use ports::{CallerAnswer, CallerCall, CallerRequest, CallerService, JobProgress, PortFuture};
use store::{BootClock, Clock};
use tokio::time::{Instant, timeout_at};
use wire::work::{AnswerKind, JobPhase, JobRecord, OwnerAnswer, OwnerCall, owner_call::Ask};

use crate::{
    cell_options::CellOptions, event, fleet_view::FleetView, kept_cancellation::CancellationKeeper,
    member_book::MemberBook, metric, owner_desk, owner_view::OwnerView, peer_call::ask_owner,
    peer_port::TermSlot,
};

/// Part of a caller's patience that is kept for its answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time that an answer of the owner takes in most cases: the way there and one write of the
/// log.
const LEAST_PATIENCE: Duration = Duration::from_millis(50);
/// Longest wait for one answer of the owner before it is asked anew over a new connection:
/// one that went silent would otherwise cost the caller all its time.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Part of that time that is left for the owner's answer on its way. An owner that has nothing to
/// say yet says so before it: unanswered, a call may have taken effect, and its caller could not be
/// told to come back.
const ASK_MARGIN: Duration = Duration::from_millis(150);
/// Pause before the owner is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(20);
/// The same while it is open whether the call took effect: only a successor or the end of a write
/// can tell.
const UNSURE_PAUSE: Duration = Duration::from_millis(100);
/// Part of its patience for which a cancellation is left to the owner alone: an owner that is well
/// records it in a tenth of this time.
const OWNER_SHARE: Duration = Duration::from_millis(500);
/// Patience of a caller that does not say how long it waits.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// Longest patience that is believed.
const LONGEST_PATIENCE: Duration = Duration::from_secs(60);

/// Answers callers, by asking the owner of the cell.
#[derive(Clone)]
pub(crate) struct CallerFront {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) view: Rc<FleetView>,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) slot: TermSlot,
    pub(crate) client: CallClient,
    pub(crate) draining: Rc<Cell<bool>>,
    pub(crate) members: Rc<MemberBook>,
    pub(crate) keeper: Rc<CancellationKeeper>,
}

/// What is known of one call on its way to the owner.
struct AskState {
    deadline: Instant,
    begun: Instant,
    /// The last owner that did not answer: the call may have taken effect there.
    unsure: Option<FencingToken>,
    owner: CompactString,
}

impl CallerService for CallerFront {
    fn queue_prefix_len(&self, host: &str, path: &str) -> Option<usize> {
        let terms = self.view.terms()?;
        Some(terms.queue_at(host, path)?.prefix.len())
    }

    fn answer(&self, call: CallerCall) -> PortFuture<CallerAnswer> {
        let front = self.clone();
        Box::pin(async move {
            let begun = Instant::now();
            let (answer, owner) = front.serve(&call).await;
            front.note(&call, &answer, &owner, begun);
            answer
        })
    }

    fn max_body_bytes(&self) -> usize {
        self.view.terms().map_or(0, |terms| terms.max_body)
    }

    fn ready(&self) -> bool {
        !self.draining.get() && self.view.terms().is_some()
    }
}

impl CallerFront {
    async fn serve(&self, call: &CallerCall) -> (CallerAnswer, CompactString) {
        let unasked = |answer| (answer, CompactString::default());
        let Some(terms) = self.view.terms() else {
            return unasked(CallerAnswer::Refused(self.options.retry_after));
        };
        let Some(queue) = terms.queue_at(&call.host, &call.path) else {
            return unasked(CallerAnswer::NoQueue);
        };
        let workspace = terms.workspace_of_key(&call.key);
        if workspace.is_none() && !queue.public {
            return unasked(CallerAnswer::KeyRefused);
        }
        let workspace = workspace
            .map(|space| space.name.clone())
            .unwrap_or_default();
        let ask = match &call.request {
            CallerRequest::Submit(job, plan) => {
                if let Err(fault) = plan.check() {
                    return unasked(CallerAnswer::Invalid(fault.to_string()));
                }
                Ask::Submit(self.record(job, plan, queue, &workspace))
            }
            CallerRequest::Status(job) => Ask::Look(job.to_string()),
            CallerRequest::Cancel(job) => return self.follow_cancel(job, call.timeout).await,
            CallerRequest::Pending => Ask::Pending(queue.name.to_string()),
        };
        self.ask(ask, call.timeout).await
    }

    fn record(
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
            workspace: workspace.to_owned(),
            accepted_unix_ms: u64::try_from(accepted).unwrap_or(u64::MAX),
            ..record_of_plan(plan)
        }
    }

    /// Cancels a job, to the end whether or not the caller stays.
    async fn follow_cancel(&self, job: &str, patience: Duration) -> (CallerAnswer, CompactString) {
        let (front, job) = (self.clone(), job.to_owned());
        let followed =
            tokio::task::spawn_local(async move { front.cancel(&job, patience).await }).await;
        followed.unwrap_or((CallerAnswer::Unknown, CompactString::default()))
    }

    /// Cancels a job: through the owner, or where none records that soon, in the store, where the
    /// next one finds it.
    ///
    /// Told to come back while nobody owns the cell, a caller would see its job started after
    /// the time in which a cancellation has to be in force.
    async fn cancel(&self, job: &str, patience: Duration) -> (CallerAnswer, CompactString) {
        let end = Instant::now() + patience_of(patience).saturating_sub(ANSWER_MARGIN);
        let ask = Ask::Cancel(job.to_owned());
        let (answer, owner) = self.ask(ask, OWNER_SHARE.min(patience_of(patience))).await;
        if !matches!(answer, CallerAnswer::Refused(_) | CallerAnswer::Unknown) {
            return (answer, owner);
        }
        let kept = timeout_at(end, self.keeper.keep(job)).await;
        if matches!(kept, Ok(Ok(()))) {
            return (CallerAnswer::Found(JobProgress::Cancelled), owner);
        }
        log::debug!("keep the cancellation of {job}: {kept:?}");
        // It is tried on, so that it may yet be in force.
        self.keeper.keep_later(job);
        (CallerAnswer::Unknown, owner)
    }

    /// Asks the owner, whoever that is by then, until it answers or the caller has to be told
    /// something. Asking again is harmless: ids make all calls idempotent.
    async fn ask(&self, ask: Ask, patience: Duration) -> (CallerAnswer, CompactString) {
        let patience = patience_of(patience);
        let begun = Instant::now();
        if patience < ANSWER_MARGIN + LEAST_PATIENCE {
            // Asking would leave open whether it was recorded, for an answer that comes too late.
            return (
                CallerAnswer::Refused(self.options.retry_after),
                CompactString::default(),
            );
        }
        let mut state = AskState {
            deadline: begun + patience.saturating_sub(ANSWER_MARGIN),
            begun,
            unsure: None,
            owner: CompactString::default(),
        };
        loop {
            if let Some(answer) = self.ask_once(&ask, &mut state).await {
                return (answer, state.owner);
            }
            self.members.find_owner(&self.owners).await;
            let now = Instant::now();
            let waited = now.duration_since(state.begun);
            if state.unsure.is_none() && waited >= self.options.owner_patience {
                return (CallerAnswer::Refused(self.options.retry_after), state.owner);
            }
            if now + ASK_PAUSE >= state.deadline {
                return (CallerAnswer::Unknown, state.owner);
            }
            let pause = match state.unsure {
                Some(_) => UNSURE_PAUSE,
                None => ASK_PAUSE,
            };
            // A new owner is asked at once.
            let _ = timeout_at(now + pause, self.owners.changed.notified()).await;
        }
    }

    /// Asks once; `None` if there is no answer to give yet.
    async fn ask_once(&self, ask: &Ask, state: &mut AskState) -> Option<CallerAnswer> {
        let left = state.deadline.saturating_duration_since(Instant::now());
        let own = self.slot.borrow().clone();
        if let Some(term) = own.filter(|term| !term.is_over()) {
            state.owner = self.options.member.clone();
            let answer = owner_desk::answer_call(&term, call_of(ask, term.token, left)).await;
            return self.read_answer(&answer, term.token, state);
        }
        let owner = self.owners.owner()?;
        if owner.member == self.options.member || owner.address.is_empty() {
            return None;
        }
        state.owner = owner.member.clone();
        let timeout = ASK_TIMEOUT.min(left);
        let call = call_of(ask, owner.token, timeout.saturating_sub(ASK_MARGIN));
        match ask_owner(&self.client, &owner.address, &call, timeout).await {
            Ok(answer) => self.read_answer(&answer, owner.token, state),
            Err(CallError::NotSent(error)) => {
                log::debug!("{error}");
                None
            }
            Err(CallError::Unanswered(error)) => {
                log::debug!("{error}");
                if matches!(ask, Ask::Submit(_) | Ask::Cancel(_)) {
                    state.unsure = Some(owner.token);
                }
                None
            }
        }
    }

    /// What an owner's answer tells the caller; `None` if it is to be asked again.
    ///
    /// An owner has read all that earlier ones recorded, and they record nothing more. So what it
    /// refuses none of them has recorded, though one did not answer.
    fn read_answer(
        &self,
        answer: &OwnerAnswer,
        asked: FencingToken,
        state: &mut AskState,
    ) -> Option<CallerAnswer> {
        match answer.kind() {
            AnswerKind::NotOwner => None,
            AnswerKind::Accepted => Some(CallerAnswer::Accepted),
            AnswerKind::Found => Some(CallerAnswer::Found(progress_of(answer.phase()))),
            AnswerKind::Counted => Some(CallerAnswer::Counted(answer.pending)),
            AnswerKind::NotFound => Some(CallerAnswer::NoJob),
            // A call that it has not answered may yet reach it.
            AnswerKind::Refused
                if state
                    .unsure
                    .is_some_and(|unsure| answer.owner_token <= unsure) =>
            {
                None
            }
            AnswerKind::Refused => {
                let wait = Duration::from_millis(answer.retry_after_ms);
                Some(CallerAnswer::Refused(wait))
            }
            AnswerKind::Unknown => {
                state.unsure = Some(asked);
                None
            }
        }
    }

    fn note(&self, call: &CallerCall, answer: &CallerAnswer, owner: &str, begun: Instant) {
        let (wish, job) = match &call.request {
            CallerRequest::Submit(job, _) => ("submit", job.as_str()),
            CallerRequest::Status(job) => ("look", job.as_str()),
            CallerRequest::Cancel(job) => ("cancel", job.as_str()),
            CallerRequest::Pending => ("pending", ""),
        };
        let (name, refused) = name_of(answer);
        let took = begun.elapsed();
        metrics::counter!(metric::CALLS, "wish" => wish, "answer" => name).increment(1);
        metric::time(metric::CALL_SECONDS, took);
        let revision = self
            .view
            .terms()
            .map_or(0, |terms: std::sync::Arc<FleetPolicy>| terms.revision);
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

fn call_of(ask: &Ask, token: FencingToken, patience: Duration) -> OwnerCall {
    OwnerCall {
        ask: Some(ask.clone()),
        token,
        patience_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
    }
}

/// How long a caller is taken to wait.
fn patience_of(asked: Duration) -> Duration {
    if asked.is_zero() {
        DEFAULT_PATIENCE
    } else {
        asked.min(LONGEST_PATIENCE)
    }
}

fn name_of(answer: &CallerAnswer) -> (&'static str, bool) {
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

fn progress_of(phase: JobPhase) -> JobProgress {
    match phase {
        JobPhase::Queued => JobProgress::Queued,
        JobPhase::Running => JobProgress::Running,
        JobPhase::Completed => JobProgress::Completed,
        JobPhase::Failed => JobProgress::Failed,
        JobPhase::Cancelled => JobProgress::Cancelled,
    }
}
