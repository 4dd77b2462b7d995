use std::{rc::Rc, time::Duration};

use decide::{link_bounds::largest_backlog, work::plan_of_record};
use model::{BootTime, event as log_event};
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

/// Answers, as the owner, what a host that serves callers asks.
///
/// A call that was meant for an earlier owner does nothing: whoever sent it may have been told
/// since that it did not take effect.
pub(crate) async fn answer_call(term: &Rc<Term>, call: OwnerCall) -> OwnerAnswer {
    let deadline = Instant::now() + Duration::from_millis(call.patience_ms);
    if call.token != 0 && call.token != term.token {
        return answer(AnswerKind::NotOwner);
    }
    if !term.is_ready() && !wait_ready(term, deadline).await {
        return answer(AnswerKind::NotOwner);
    }
    OwnerAnswer {
        owner_token: term.token,
        ..answer_ask(term, call.ask, deadline).await
    }
}

async fn answer_ask(term: &Rc<Term>, ask: Option<Ask>, deadline: Instant) -> OwnerAnswer {
    match ask {
        Some(Ask::Submit(record)) => submit(term, record, deadline).await,
        Some(Ask::Look(job)) => look(term, &job),
        Some(Ask::Cancel(job)) => cancel(term, &job, deadline).await,
        Some(Ask::Pending(queue)) => OwnerAnswer {
            pending: term.desk.borrow_mut().pending(&queue, term.now()),
            ..answer(AnswerKind::Counted)
        },
        // Questions to any process are answered before; others are of a newer version.
        Some(Ask::Owner(_) | Ask::Store(_) | Ask::Release(_)) | None => refused(term),
    }
}

/// Waits until the log has been read: that takes milliseconds, and asking again costs more.
async fn wait_ready(term: &Rc<Term>, deadline: Instant) -> bool {
    let ready = term.became_ready.notified();
    if !term.is_ready() && !term.is_over() {
        // Whether it became ready or the time is up shows below.
        let _ = timeout_at(deadline, ready).await;
    }
    term.is_ready()
}

/// Accepts a job. The same id again is the same job, whoever asks and however often.
async fn submit(term: &Rc<Term>, record: JobRecord, deadline: Instant) -> OwnerAnswer {
    if term
        .desk
        .borrow()
        .board
        .jobs
        .contains_key(record.job.as_str())
    {
        return answer(AnswerKind::Accepted);
    }
    if term.submitting.borrow().contains(&record.job) {
        return join_submit(term, &record.job, deadline).await;
    }
    if !term.is_certain() || term.log.is_failing() || has_long_backlog(term) {
        return refused(term);
    }
    if let Some(wait) = foresees_late(term, &record) {
        return refused_for(wait);
    }
    let job = record.job.clone();
    term.submitting.borrow_mut().insert(job.clone());
    let outcome = term
        .log
        .add_awaited(record_order(Event::Accepted(record), true), boot(term));
    let (forget, forgotten) = (term.clone(), job.clone());
    // The entry is written whether or not the caller stays, so it is followed to its end.
    let followed = tokio::task::spawn_local(async move {
        let outcome = outcome.await;
        forget.submitting.borrow_mut().remove(&forgotten);
        outcome
    });
    match timeout_at(deadline, followed).await {
        Ok(Ok(Ok(RecordOutcome::Stored))) => answer(AnswerKind::Accepted),
        Ok(Ok(Ok(RecordOutcome::Refused))) => refused(term),
        Err(_) if term.log.withdraw(&job) => refused(term),
        _ => answer(AnswerKind::Unknown),
    }
}

/// How long it takes until a job like this would be begun in time; `None` if it would be now.
fn foresees_late(term: &Term, record: &JobRecord) -> Option<Duration> {
    let plan = plan_of_record(record);
    let now = term.now();
    let mut desk = term.desk.borrow_mut();
    let wait = desk.foresees_late(&plan, &record.queue, &record.workspace, now)?;
    metric::time(metric::EXCESS_SECONDS, wait);
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

/// True if the next owner would read what is open for too long, so that more work would not be done
/// in time.
fn has_long_backlog(term: &Term) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let open = term.desk.borrow().board.open.len() as f64;
    open * term.log.job_bytes.get() >= largest_backlog(term.options.limits.link_bytes())
}

/// Waits for a job that another call is handing in.
async fn join_submit(term: &Rc<Term>, job: &str, deadline: Instant) -> OwnerAnswer {
    loop {
        let stored = term.log.stored.notified();
        if term.desk.borrow().board.jobs.contains_key(job) {
            return answer(AnswerKind::Accepted);
        }
        if !term.submitting.borrow().contains(job) {
            return refused(term);
        }
        if timeout_at(deadline, stored).await.is_err() || term.is_over() {
            return answer(AnswerKind::Unknown);
        }
    }
}

fn look(term: &Rc<Term>, job: &str) -> OwnerAnswer {
    if let Some(phase) = term.desk.borrow().progress(job) {
        return found(phase);
    }
    if term.is_certain() {
        answer(AnswerKind::NotFound)
    } else {
        // A successor may have accepted it meanwhile.
        refused(term)
    }
}

/// Cancels a job. One that is not known is recorded as cancelled before its caller is told so:
/// its submission may be under way to this owner or to the next.
async fn cancel(term: &Rc<Term>, job: &str, deadline: Instant) -> OwnerAnswer {
    if term.submitting.borrow().contains(job) {
        // It is being recorded by a call that its caller has given up on; what becomes of that
        // shows below.
        let _ = join_submit(term, job, deadline).await;
    }
    let phase = term.desk.borrow().progress(job);
    let answered = match phase {
        Some(JobPhase::Queued | JobPhase::Running) => found(JobPhase::Cancelled),
        Some(ended) => return found(ended),
        None => answer(AnswerKind::NotFound),
    };
    if phase.is_none() && term.desk.borrow().board.jobs.contains_key(job) {
        // Recorded as cancelled before.
        return answered;
    }
    if !term.is_certain() {
        return cancel_refused(term, job, "the lease may have lapsed");
    }
    if term.log.is_failing() {
        return cancel_refused(term, job, "the store takes no entries");
    }
    let entry = record_order(Event::Cancelled(job.to_owned()), true);
    let outcome = term.log.add_awaited(entry, boot(term));
    match timeout_at(deadline, outcome).await {
        Ok(Ok(RecordOutcome::Stored)) => answered,
        Ok(Ok(RecordOutcome::Refused)) => cancel_refused(term, job, "the store refused the entry"),
        _ => answer(AnswerKind::Unknown),
    }
}

/// Refuses a cancellation that can't be stored now. The job is held, and the entry is written once
/// the store takes it, so that a caller who does not ask again is obeyed as well.
fn cancel_refused(term: &Term, job: &str, cause: &str) -> OwnerAnswer {
    if term.desk.borrow_mut().hold(job) {
        let order = record_order(Event::Cancelled(job.to_owned()), true);
        term.log.add(order, boot(term));
    }
    log_event::warn(
        &event::CANCEL_REFUSED,
        format_args!("job={job} token={} cause=\"{cause}\"", term.token),
    );
    refused(term)
}

fn boot(term: &Term) -> BootTime {
    term.now().boot
}

fn answer(kind: AnswerKind) -> OwnerAnswer {
    OwnerAnswer {
        kind: kind.into(),
        ..OwnerAnswer::default()
    }
}

fn found(phase: JobPhase) -> OwnerAnswer {
    OwnerAnswer {
        phase: phase.into(),
        ..answer(AnswerKind::Found)
    }
}

fn refused(term: &Term) -> OwnerAnswer {
    refused_for(term.options.retry_after)
}

fn refused_for(wait: Duration) -> OwnerAnswer {
    OwnerAnswer {
        retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        ..answer(AnswerKind::Refused)
    }
}
