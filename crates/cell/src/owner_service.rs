use std::{rc::Rc, time::Duration};

use decide::{
    link_bounds::largest_backlog,
    work::{JobTerms, plan_of_record, record_of_limit},
};
use model::{BootTime, event as log_event, work::JobPlan};
use tokio::time::{Instant, timeout_at};
use wire::work::{
    AnswerKind, JobPhase, JobRecord, OwnerAnswer, OwnerCall, log_entry::Event, owner_call::Ask,
};

use crate::{
    event,
    log_queue::{RecordOutcome, record_order},
    metric,
    term::Term,
};

/// When the caller of a job that the fleet can't hold may try again. Hosts that can are added rarely.
const UNFIT_RETRY: Duration = Duration::from_secs(60);

/// Handles, as the owner, the call of a process that serves callers.
///
/// A call that was sent to an earlier owner has no effect here, because its sender may have been
/// told since that it did not take effect.
pub(crate) async fn handle_call(term: &Rc<Term>, call: OwnerCall) -> OwnerAnswer {
    let deadline = Instant::now() + Duration::from_millis(call.patience_ms);
    if call.token != 0 && call.token != term.token {
        return answer_of_kind(AnswerKind::NotOwner);
    }
    if !term.is_ready() && !wait_ready(term, deadline).await {
        return answer_of_kind(AnswerKind::NotOwner);
    }
    OwnerAnswer {
        owner_token: term.token,
        ..dispatch(term, call.ask, deadline).await
    }
}

async fn dispatch(term: &Rc<Term>, ask: Option<Ask>, deadline: Instant) -> OwnerAnswer {
    match ask {
        Some(Ask::Submit(record)) => submit_job(term, record, deadline).await,
        Some(Ask::DryRun(record)) => dry_run(term, &record, deadline).await,
        Some(Ask::Look(job)) => status(term, &job),
        Some(Ask::Cancel(job)) => cancel_job(term, &job, deadline).await,
        Some(Ask::Pending(queue)) => OwnerAnswer {
            pending: term.scheduler.borrow_mut().pending_jobs(&queue, term.now()),
            ..answer_of_kind(AnswerKind::Counted)
        },
        // Calls to any process are handled before this; other ones come from a newer version.
        Some(Ask::Owner(_) | Ask::Store(_) | Ask::Release(_) | Ask::Advice(_)) | None => {
            refused_answer(term)
        }
    }
}

/// Waits until the log has been read. That takes milliseconds, and another call would cost more.
async fn wait_ready(term: &Rc<Term>, deadline: Instant) -> bool {
    let ready = term.on_ready.notified();
    if !term.is_ready() && !term.is_over() {
        // The return value shows whether the term became ready or the wait timed out.
        let _ = timeout_at(deadline, ready).await;
    }
    term.is_ready()
}

/// Accepts a job. A repeated id is the same job, whoever submits it and however often.
async fn submit_job(term: &Rc<Term>, mut record: JobRecord, deadline: Instant) -> OwnerAnswer {
    if let Some(answer) = known_job_answer(term, &record.job, deadline).await {
        return answer;
    }
    if let Err(wait) = check_admission(term, &record) {
        return refused_answer_after(wait);
    }
    record_terms(term, &mut record);
    let job = record.job.clone();
    term.submitting.borrow_mut().insert(job.clone());
    let outcome = term
        .log_queue
        .push_awaited(record_order(Event::Accepted(record), true), boot_now(term));
    let (owning_term, submitted) = (term.clone(), job.clone());
    // The entry is written even if the caller disconnects, so a separate task waits for the
    // outcome.
    let recording = tokio::task::spawn_local(async move {
        let outcome = outcome.await;
        owning_term.submitting.borrow_mut().remove(&submitted);
        outcome
    });
    match timeout_at(deadline, recording).await {
        Ok(Ok(Ok(RecordOutcome::Stored))) => answer_of_kind(AnswerKind::Accepted),
        Ok(Ok(Ok(RecordOutcome::Refused))) => refused_answer(term),
        Err(_) if term.log_queue.withdraw_acceptance(&job) => refused_answer(term),
        _ => answer_of_kind(AnswerKind::Unknown),
    }
}

/// Records the terms of a job's queue and the limit of its workspace by the owner's policy; that of
/// the process which passed the job on may be older.
fn record_terms(term: &Term, record: &mut JobRecord) {
    let scheduler = term.scheduler.borrow();
    if let Some(queue) = scheduler.policy.queue(&record.queue) {
        record.terms = Some(JobTerms::of_queue(queue).to_record());
    }
    if let Some(workspace) = scheduler.policy.workspace(&record.workspace) {
        record.workspace_limit = record_of_limit(workspace.limit);
    }
}

/// Answers whether a submission would be accepted now.
async fn dry_run(term: &Rc<Term>, record: &JobRecord, deadline: Instant) -> OwnerAnswer {
    if let Some(answer) = known_job_answer(term, &record.job, deadline).await {
        return answer;
    }
    match check_admission(term, record) {
        Ok(()) => answer_of_kind(AnswerKind::WouldAccept),
        Err(wait) => OwnerAnswer {
            kind: AnswerKind::WouldRefuse.into(),
            ..refused_answer_after(wait)
        },
    }
}

/// The answer to a submission of a job that was submitted before; `None` if it was not.
async fn known_job_answer(term: &Rc<Term>, job: &str, deadline: Instant) -> Option<OwnerAnswer> {
    if term.scheduler.borrow().job_table.jobs.contains_key(job) {
        return Some(answer_of_kind(AnswerKind::Accepted));
    }
    if term.submitting.borrow().contains(job) {
        return Some(wait_for_submission(term, job, deadline).await);
    }
    None
}

/// Checks whether a new job may be accepted now.
///
/// # Errors
/// The time after which its caller may retry.
fn check_admission(term: &Term, record: &JobRecord) -> Result<(), Duration> {
    let refused_for = |cause: &'static str, wait: Duration| {
        let workspace = record.workspace.clone();
        metrics::counter!(metric::JOBS_REFUSED, "cause" => cause, "workspace" => workspace)
            .increment(1);
        Err(wait)
    };
    let plan = plan_of_record(record);
    if is_unfit(term, record, &plan) {
        return refused_for("unfit", UNFIT_RETRY);
    }
    if !term.has_valid_lease() || term.log_queue.is_failing() {
        return refused_for("store", term.options.retry_after);
    }
    if has_long_backlog(term) {
        return refused_for("log", term.options.retry_after);
    }
    predict_lateness(term, record, &plan).map_or(Ok(()), |wait| refused_for("late", wait))
}

/// Whether the fleet can't hold a step of a job. Accepted, such a job would never end, and others would
/// be refused because of it.
fn is_unfit(term: &Term, record: &JobRecord, plan: &JobPlan) -> bool {
    let unfit = term
        .hosts
        .borrow()
        .unfit_step(&term.scheduler.borrow(), plan);
    if let Some(step) = unfit {
        log_event::info(
            &event::JOB_UNFIT,
            format_args!(
                "job={} queue={} workspace={} step={step}",
                record.job, record.queue, record.workspace
            ),
        );
    }
    unfit.is_some()
}

/// How long it takes until a job like this one could be started in time; `None` if it could be now.
fn predict_lateness(term: &Term, record: &JobRecord, plan: &JobPlan) -> Option<Duration> {
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    let (job, workspace) = (record.job.as_str().into(), record.workspace.as_str().into());
    let wait = scheduler.predict_lateness(&job, plan, &record.queue, &workspace, now)?;
    metric::record_duration(metric::EXCESS_SECONDS, wait);
    log_event::info(
        &event::JOB_FORESEEN_LATE,
        format_args!(
            "job={} queue={} workspace={} excess_ms={}",
            record.job,
            record.queue,
            record.workspace,
            wait.as_millis()
        ),
    );
    Some(wait)
}

/// True if the next owner would take too long to read the open jobs, so that additional work would
/// not be done in time.
fn has_long_backlog(term: &Term) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let open = term.scheduler.borrow().job_table.open.len() as f64;
    open * term.log_queue.job_bytes.get()
        >= largest_backlog(term.options.limits.link_bytes_per_second())
}

/// Waits for a job that another call is submitting.
async fn wait_for_submission(term: &Rc<Term>, job: &str, deadline: Instant) -> OwnerAnswer {
    loop {
        let stored = term.log_queue.page_stored.notified();
        if term.scheduler.borrow().job_table.jobs.contains_key(job) {
            return answer_of_kind(AnswerKind::Accepted);
        }
        if !term.submitting.borrow().contains(job) {
            return refused_answer(term);
        }
        if timeout_at(deadline, stored).await.is_err() || term.is_over() {
            return answer_of_kind(AnswerKind::Unknown);
        }
    }
}

fn status(term: &Rc<Term>, job: &str) -> OwnerAnswer {
    if let Some(phase) = term.scheduler.borrow().job_phase(job) {
        return found_answer(phase);
    }
    if term.has_valid_lease() {
        answer_of_kind(AnswerKind::NotFound)
    } else {
        // A successor may have accepted it meanwhile.
        refused_answer(term)
    }
}

/// Cancels a job. The cancellation of an unknown job is recorded before the caller gets its answer,
/// because the submission may be on its way to this owner or to the next.
async fn cancel_job(term: &Rc<Term>, job: &str, deadline: Instant) -> OwnerAnswer {
    if term.submitting.borrow().contains(job) {
        // The job is being recorded for a call that its caller has given up on. The code below
        // reads the outcome from the scheduler.
        let _ = wait_for_submission(term, job, deadline).await;
    }
    let phase = term.scheduler.borrow().job_phase(job);
    let answered = match phase {
        Some(JobPhase::Queued | JobPhase::Running) => found_answer(JobPhase::Cancelled),
        Some(ended) => return found_answer(ended),
        None => answer_of_kind(AnswerKind::NotFound),
    };
    if phase.is_none() && term.scheduler.borrow().job_table.jobs.contains_key(job) {
        // Its cancellation is already recorded.
        return answered;
    }
    if !term.has_valid_lease() {
        return refuse_cancel(term, job, "the lease may have lapsed");
    }
    if term.log_queue.is_failing() {
        return refuse_cancel(term, job, "the store takes no entries");
    }
    let entry = record_order(Event::Cancelled(job.to_owned()), true);
    let outcome = term.log_queue.push_awaited(entry, boot_now(term));
    match timeout_at(deadline, outcome).await {
        Ok(Ok(RecordOutcome::Stored)) => answered,
        Ok(Ok(RecordOutcome::Refused)) => refuse_cancel(term, job, "the store refused the entry"),
        _ => answer_of_kind(AnswerKind::Unknown),
    }
}

/// Refuses a cancellation that can't be stored now. The job is marked as cancel pending, and the
/// entry is written once the store accepts it, so that the cancellation takes effect even if the
/// caller does not retry.
fn refuse_cancel(term: &Term, job: &str, cause: &str) -> OwnerAnswer {
    if term.scheduler.borrow_mut().mark_cancel_pending(job) {
        let order = record_order(Event::Cancelled(job.to_owned()), true);
        term.log_queue.push(order, boot_now(term));
    }
    log_event::warn(
        &event::CANCEL_REFUSED,
        format_args!("job={job} token={} cause=\"{cause}\"", term.token),
    );
    refused_answer(term)
}

fn boot_now(term: &Term) -> BootTime {
    term.now().boot
}

fn answer_of_kind(kind: AnswerKind) -> OwnerAnswer {
    OwnerAnswer {
        kind: kind.into(),
        ..OwnerAnswer::default()
    }
}

fn found_answer(phase: JobPhase) -> OwnerAnswer {
    OwnerAnswer {
        phase: phase.into(),
        ..answer_of_kind(AnswerKind::Found)
    }
}

fn refused_answer(term: &Term) -> OwnerAnswer {
    refused_answer_after(term.options.retry_after)
}

fn refused_answer_after(wait: Duration) -> OwnerAnswer {
    OwnerAnswer {
        retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        ..answer_of_kind(AnswerKind::Refused)
    }
}
