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

/// How often an idle target is considered for a poll.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a poll that returned ends. Until they are stored, which takes some 10 ms, the target
/// answers each poll at once with the same ends. Without a delay, that turned one poll into six
/// under high load. A longer delay would hold back the next end.
const ENDS_DELAY: Duration = Duration::from_millis(25);
/// Longest wait for ends to be stored before the next poll. Other tasks end meanwhile, and tasks
/// that wait for their resources would be delayed too.
const ENDS_STORED_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed poll, and so the interval of polls while a target is down.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a poll waits for a permit before its priority is computed again, because the time that
/// was granted to running tasks is running out.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens the channel to a target and starts polling it.
pub(crate) fn open_channel(term: &Rc<Term>, id: HostId) {
    let channel = Rc::new(TargetChannel::default());
    term.channels
        .borrow_mut()
        .insert(id.clone(), channel.clone());
    let polling = Rc::downgrade(term);
    term.spawn(poll_loop(polling, channel, id));
}

/// Polls a target for as long as the scheduler knows it.
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
            // After a notification as well as after a timeout, the scheduler is asked again.
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

/// The next poll of a target, once it may be sent; `None` if it needs none.
pub(crate) async fn next_poll(term: &Term, id: &HostId) -> Option<(PollOrder, CallPermit)> {
    loop {
        let now = term.now();
        let class = term.scheduler.borrow().poll_class(id, now)?;
        let Ok(permit) = timeout(PERMIT_TIMEOUT, term.call_limiter.acquire(class)).await else {
            continue;
        };
        let now = term.now();
        let sole_until = term.sole_owner_until();
        let order = term
            .scheduler
            .borrow_mut()
            .poll_order(id, sole_until, now)?;
        return Some((order, permit));
    }
}

/// Waits until the ends that the target reported can be acknowledged, or until a timeout.
///
/// Until then each poll returns the same ends again. While writes of the log are slow, because of a
/// narrow link or a slow store, these responses would take the bandwidth that the log needs. The
/// slower the log gets, the more ends each response lists, until neither gets through.
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

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// No ends that have not been acknowledged yet.
    NoEnds,
    /// Ends, which the target reports again until they are acknowledged.
    Ends,
    /// No answer, or a refusal.
    Failed,
}

/// Polls a target and passes its answer to the scheduler.
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
    let renews = order.lease_until.is_some();
    if renews {
        term.record_renewal(id);
    }
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
    let now = term.now();
    if outcome == PollOutcome::Failed {
        let took = now.boot.saturating_sub(sent);
        let detail = format!(" renews={renews} took_ms={}", took.as_millis());
        log_order_failure(term, "look", id, &format!("{answer:?}"), &detail);
    }
    term.scheduler
        .borrow_mut()
        .apply_report(id, sent, observed, &answer, now);
    term.wake.notify_one();
    outcome
}

/// Address of a target; `None` if the scheduler no longer knows it.
pub(crate) fn target_address(term: &Term, id: &HostId) -> Option<TargetAddress> {
    let scheduler = term.scheduler.borrow();
    let target = scheduler.targets.get(id)?;
    Some(TargetAddress {
        target: id.clone(),
        address: target.entry.address.clone(),
    })
}

/// The channel to a target and its address.
pub(crate) fn channel_to(term: &Term, id: &HostId) -> Option<(Rc<TargetChannel>, TargetAddress)> {
    let channel = term.channels.borrow().get(id).cloned()?;
    Some((channel, target_address(term, id)?))
}

/// Logs an order that was not answered or was refused.
pub(crate) fn log_failure(term: &Term, kind: &str, id: &HostId, answer: &str) {
    log_order_failure(term, kind, id, answer, "");
}

fn log_order_failure(term: &Term, kind: &str, id: &HostId, answer: &str, detail: &str) {
    let answer = answer.replace('"', "'");
    log_event::warn(
        &event::ORDER_FAILED,
        format_args!(
            "kind={kind} target={id} token={}{detail} answer=\"{answer}\"",
            term.token
        ),
    );
}
