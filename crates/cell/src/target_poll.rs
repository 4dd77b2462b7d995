use std::{
    rc::{Rc, Weak},
    time::Duration,
};

use model::{
    HostId, event as log_event,
    work::{PollAnswer, PollOrder, TargetAddress},
};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{call_limiter::CallPermit, event, metric, target_channel::TargetChannel, term::Term};

/// How often an idle target is considered for a look.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a look that brought ends. Until they are stored, which takes some 10 ms, the
/// target answers each look at once with the same ends; on a busy day that made six looks of
/// one. Longer would delay the next end.
const ENDS_DELAY: Duration = Duration::from_millis(25);
/// Longest wait for ends to be stored before the next look. Other ends come meanwhile, and tasks
/// that wait for their room would wait with them.
const ENDS_STORED_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a look that brought nothing; a target that is down is asked this often.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a look waits for its turn before its class is considered anew: the time that was granted
/// to what runs goes on.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens the lane of a target and begins to look at it.
pub(crate) fn open_channel(term: &Rc<Term>, id: HostId) {
    let channel = Rc::new(TargetChannel::default());
    term.channels
        .borrow_mut()
        .insert(id.clone(), channel.clone());
    let polling = Rc::downgrade(term);
    term.spawn(poll_loop(polling, channel, id));
}

/// Looks at a target for as long as the scheduler knows it.
async fn poll_loop(term: Weak<Term>, channel: Rc<TargetChannel>, id: HostId) {
    loop {
        let Some(term) = term.upgrade() else {
            return;
        };
        let poll = next_poll(&term, &id).await;
        let Some(address) = target_address(&term, &id) else {
            term.channels.borrow_mut().remove(&id);
            return;
        };
        let Some((order, permit)) = poll.filter(|_| term.may_send_orders()) else {
            drop(term);
            // Whether it was told or time passed, the scheduler is asked again.
            let _ = timeout(IDLE_INTERVAL, channel.poll_now.notified()).await;
            continue;
        };
        let observed = order.acked_end;
        let outcome = poll_once(&term, &id, &address, order, permit).await;
        if outcome == PollOutcome::Ends {
            sleep(ENDS_DELAY).await;
            wait_ends_stored(&term, &id, observed).await;
        }
        drop(term);
        match outcome {
            PollOutcome::NoEnds | PollOutcome::Ends => {}
            PollOutcome::Failed => sleep(RETRY_DELAY).await,
        }
    }
}

/// The look that a target needs, once it may be sent; `None` if it needs none.
pub(crate) async fn next_poll(term: &Term, id: &HostId) -> Option<(PollOrder, CallPermit)> {
    loop {
        let now = term.now();
        let class = term.scheduler.borrow().look_class(id, now)?;
        let Ok(permit) = timeout(PERMIT_TIMEOUT, term.call_limiter.acquire(class)).await else {
            continue;
        };
        let now = term.now();
        let order = term.scheduler.borrow_mut().look_order(id, now)?;
        return Some((order, permit));
    }
}

/// Waits until the target can be told to forget the ends that it lists, or for some time.
///
/// Until then each look brings the same ends again. While the log is slow, behind a narrow link or
/// at a slow store, these answers would take the bytes that the log needs: the slower it gets, the
/// more ends are listed, and in the end neither gets through.
async fn wait_ends_stored(term: &Term, id: &HostId, observed: u64) {
    let limit = Instant::now() + ENDS_STORED_TIMEOUT;
    loop {
        let stored = term.log_queue.page_stored.notified();
        let acked = term
            .scheduler
            .borrow()
            .targets
            .get(id)
            .is_none_or(|target| target.ackable_end() > observed);
        if acked || timeout_at(limit, stored).await.is_err() {
            return;
        }
    }
}

/// What a look brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// No end that the target has not been told to forget.
    NoEnds,
    /// Ends, which the target lists again until it is told to forget them.
    Ends,
    /// No answer, or a refusal.
    Failed,
}

/// Looks at a target and tells the scheduler.
pub(crate) async fn poll_once(
    term: &Rc<Term>,
    id: &HostId,
    address: &TargetAddress,
    order: PollOrder,
    mut permit: CallPermit,
) -> PollOutcome {
    let sent = term.now().boot;
    if !order.wait.is_zero() {
        permit.release_while_waiting();
    }
    let observed = order.acked_end;
    let answer = term.ports.targets.poll(address, order).await;
    drop(permit);
    let outcome = match &answer {
        PollAnswer::Seen(sight) if sight.ended.is_empty() => PollOutcome::NoEnds,
        PollAnswer::Seen(_) => PollOutcome::Ends,
        _ => PollOutcome::Failed,
    };
    let name = match &answer {
        PollAnswer::Seen(_) => "seen",
        PollAnswer::Fenced => "fenced",
        PollAnswer::Refused(_) => "refused",
        PollAnswer::OtherLife => "other-life",
        PollAnswer::Unanswered(_) => "unanswered",
    };
    metrics::counter!(metric::ORDERS, "kind" => "look", "outcome" => name).increment(1);
    if outcome == PollOutcome::Failed {
        log_failure(term, "look", id, &format!("{answer:?}"));
    }
    let now = term.now();
    term.scheduler
        .borrow_mut()
        .saw(id, sent, observed, &answer, now);
    term.wake.notify_one();
    outcome
}

/// Where a target is reached; `None` if the scheduler does not know it any more.
pub(crate) fn target_address(term: &Term, id: &HostId) -> Option<TargetAddress> {
    let scheduler = term.scheduler.borrow();
    let target = scheduler.targets.get(id)?;
    Some(TargetAddress {
        target: id.clone(),
        address: target.entry.address.clone(),
    })
}

/// The lane of a target and where it is reached.
pub(crate) fn channel_to(term: &Term, id: &HostId) -> Option<(Rc<TargetChannel>, TargetAddress)> {
    let channel = term.channels.borrow().get(id).cloned()?;
    Some((channel, target_address(term, id)?))
}

/// Writes a log line of an order that was not answered or was refused.
pub(crate) fn log_failure(term: &Term, kind: &str, id: &HostId, answer: &str) {
    let answer = answer.replace('"', "'");
    log_event::warn(
        &event::ORDER_FAILED,
        format_args!(
            "kind={kind} target={id} token={} answer=\"{answer}\"",
            term.token
        ),
    );
}
