use std::{rc::Rc, time::Duration};

use decide::{call_budget::CallClass, work::SchedulerAction};
use model::{
    HostId, event as log_event,
    work::{OrderAnswer, PollOrder, StartAnswer, StartOrder, StopOrder, ThrottleOrder},
};
use tokio::{
    sync::SemaphorePermit,
    time::{Instant, timeout},
};

use crate::{
    advice_call::request_advice,
    call_limiter::CallPermit,
    event, metric,
    start_check::{UnsentCause, prepare_start},
    target_channel::TargetChannel,
    target_poll::{channel_to, log_failure, next_poll, poll_once, target_address},
    term::Term,
};

/// A start that waits this long for a connection is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(500);

/// Sends an order to a target.
pub(crate) fn send_order(term: &Rc<Term>, order: SchedulerAction) {
    let cloned = term.clone();
    match order {
        SchedulerAction::Start(id, order) => term.spawn(send_start(cloned, id, order)),
        SchedulerAction::Stop(id, order) => term.spawn(send_stop(cloned, id, order)),
        SchedulerAction::Throttle(id, order) => term.spawn(send_throttle(cloned, id, order)),
        SchedulerAction::Poll(id) => term.spawn(poll_at_once(cloned, id)),
        SchedulerAction::RequestAdvice(request) => term.spawn(request_advice(cloned, request)),
        // Actions for the log and for the term itself, which the term executes.
        SchedulerAction::AppendLog(_) | SchedulerAction::StepDown(_) => {}
    }
}

async fn send_start(term: Rc<Term>, id: HostId, mut order: StartOrder) {
    let Some((channel, address)) = channel_to(&term, &id) else {
        return;
    };
    let (task, attempt) = (order.task.clone(), order.attempt);
    let started_at = Instant::now();
    let permit = acquire_permits(&term, &channel, CallClass::Start).await;
    record_start_wait(&order, &id, started_at.elapsed());
    if !term
        .scheduler
        .borrow()
        .should_send_start(&id, &task, attempt)
    {
        log_event::info(
            &event::START_DROPPED,
            format_args!("task={task} attempt={attempt} target={id}"),
        );
        return;
    }
    let prepared = prepare_start(&term, &id, &mut order);
    let sendable = prepared.and(permit.ok_or(UnsentCause::ChannelClosed));
    let _permit = match sendable {
        Ok(permit) => permit,
        Err(cause) => {
            log_unsent(&term, "start", &id, cause);
            let mut scheduler = term.scheduler.borrow_mut();
            scheduler.withdraw_unsent_start(&id, &task, attempt);
            term.wake.notify_one();
            return;
        }
    };
    let answer = call_target(&term, term.ports.targets.start(&address, order)).await;
    let answer = answer.unwrap_or_else(StartAnswer::Unanswered);
    channel.poll_now.notify_one();
    metric::record_duration(metric::ORDER_SECONDS, started_at.elapsed());
    let done = matches!(answer, StartAnswer::Started { .. });
    record_outcome(&term, "start", &id, done, &(&task, &answer));
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    scheduler.handle_start_answer(&id, &task, attempt, &answer, now);
    term.wake.notify_one();
}

async fn send_stop(term: Rc<Term>, id: HostId, order: StopOrder) {
    let Some((channel, address)) = channel_to(&term, &id) else {
        return;
    };
    let (task, attempt) = (order.task.clone(), order.attempt);
    let permit = acquire_permits(&term, &channel, CallClass::Stop).await;
    let now = term.now();
    if !term
        .scheduler
        .borrow_mut()
        .should_send_stop(&id, &task, attempt, now)
    {
        log_event::info(
            &event::STOP_DROPPED,
            format_args!("task={task} attempt={attempt} target={id}"),
        );
        return;
    }
    let sent = now.boot;
    let sendable = match term.may_send_orders() {
        true => permit.ok_or(UnsentCause::ChannelClosed),
        false => Err(UnsentCause::OwnershipUncertain),
    };
    let _permit = match sendable {
        Ok(permit) => permit,
        Err(cause) => {
            // The scheduler sends it again if it is still needed.
            log_unsent(&term, "stop", &id, cause);
            return;
        }
    };
    let answer = call_target(&term, term.ports.targets.stop(&address, order)).await;
    let answer = answer.unwrap_or_else(OrderAnswer::Unanswered);
    channel.poll_now.notify_one();
    let done = answer == OrderAnswer::Done;
    record_outcome(&term, "stop", &id, done, &(&task, &answer));
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    scheduler.handle_stop_answer(&id, &task, attempt, sent, &answer, now);
    term.wake.notify_one();
}

/// Waits for the answer to an order.
///
/// # Errors
/// Why there is none, if it took longer than answers usually take.
async fn call_target<A>(term: &Term, order: impl Future<Output = A>) -> Result<A, String> {
    let mut timeouts = term.order_timeout.get();
    let (sent, limit) = (Instant::now(), timeouts.timeout());
    let answer = timeout(limit, order).await;
    timeouts = term.order_timeout.get();
    match &answer {
        Ok(_) => timeouts.record(sent.elapsed()),
        Err(_) => timeouts.record_timeout(),
    }
    term.order_timeout.set(timeouts);
    answer.map_err(|_| format!("no answer within {limit:?}"))
}

/// Sets a task's share of processor time. The next poll shows the effect, so the scheduler does not
/// wait for the answer.
async fn send_throttle(term: Rc<Term>, id: HostId, order: ThrottleOrder) {
    let Some((channel, address)) = channel_to(&term, &id) else {
        return;
    };
    let Some(_permit) = acquire_permits(&term, &channel, CallClass::Start).await else {
        return;
    };
    let answer = term.ports.targets.throttle(&address, order).await;
    record_outcome(&term, "pace", &id, answer == OrderAnswer::Done, &answer);
}

async fn poll_at_once(term: Rc<Term>, id: HostId) {
    let poll = next_poll(&term, &id).await;
    let (Some((order, permit)), Some(address)) = (poll, target_address(&term, &id)) else {
        return;
    };
    let order = PollOrder {
        wait: Duration::ZERO,
        ..order
    };
    poll_once(&term, &id, &address, order, permit).await;
}

fn log_unsent(term: &Term, kind: &str, id: &HostId, cause: UnsentCause) {
    log_failure(term, kind, id, &format!("not sent: {cause}"));
}

fn record_start_wait(order: &StartOrder, id: &HostId, waited: Duration) {
    metric::record_duration(metric::ORDER_WAIT_SECONDS, waited);
    if waited >= LOGGED_WAIT {
        log_event::info(
            &event::START_DELAYED,
            format_args!(
                "task={} attempt={} target={id} waited_ms={}",
                order.task,
                order.attempt,
                waited.as_millis()
            ),
        );
    }
}

/// Waits until the number of orders to the target and the limit on all calls allow one more; `None`
/// once the channel is closed.
async fn acquire_permits<'a>(
    term: &Term,
    channel: &'a TargetChannel,
    class: CallClass,
) -> Option<(SemaphorePermit<'a>, CallPermit)> {
    let permit = channel.orders.acquire().await.ok()?;
    Some((permit, term.call_limiter.acquire(class).await))
}

fn record_outcome(
    term: &Term,
    kind: &'static str,
    id: &HostId,
    done: bool,
    what: &dyn std::fmt::Debug,
) {
    metric::count_order(kind, done);
    if !done {
        log_failure(term, kind, id, &format!("{what:?}"));
    }
}
