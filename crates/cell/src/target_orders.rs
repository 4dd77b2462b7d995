use std::{rc::Rc, time::Duration};

use decide::{call_budget::CallClass, work::DeskOrder};
use model::{
    HostId, event as log_event,
    work::{OrderAnswer, PollOrder, StartAnswer, StartOrder, StopOrder, TaskKey, ThrottleOrder},
};
use tokio::{sync::SemaphorePermit, time::Instant};

use crate::{
    call_gate::CallPass,
    event, metric,
    target_lane::TargetLane,
    target_look::{address_of, look_once, next_look, note_failure, way_to},
    term::Term,
};

/// Wait of a start for a connection that is worth a log line.
const LONG_WAIT: Duration = Duration::from_millis(500);
/// Why an order was not sent.
const TOO_LATE: &str = "the term is over, or it is not known what has been cancelled";

/// Carries out an order to a target.
pub(crate) fn run_order(term: &Rc<Term>, order: DeskOrder) {
    let carried = term.clone();
    match order {
        DeskOrder::Start(id, order) => term.spawn(start(carried, id, order)),
        DeskOrder::Stop(id, order) => term.spawn(stop(carried, id, order)),
        DeskOrder::Pace(id, order) => term.spawn(pace(carried, id, order)),
        DeskOrder::Look(id) => term.spawn(look(carried, id)),
        DeskOrder::Advise(key, targets) => term.spawn(advise(carried, key, targets)),
        // Orders to the log and to the term itself; the term carries them out.
        DeskOrder::Record(_) | DeskOrder::Resign(_) => {}
    }
}

async fn start(term: Rc<Term>, id: HostId, mut order: StartOrder) {
    let Some((lane, address)) = way_to(&term, &id) else {
        return;
    };
    let (task, attempt) = (order.task.clone(), order.attempt);
    let begun = Instant::now();
    let permit = turn(&term, &lane, CallClass::Start).await;
    note_wait(&order, &id, begun.elapsed());
    if !term.desk.borrow().wants_start(&id, &task, attempt) {
        log_event::info(
            &event::START_DROPPED,
            format_args!("task={task} attempt={attempt} target={id}"),
        );
        return;
    }
    // It may have waited for its turn for longer than the lease goes.
    let permit = permit.filter(|_| term.may_start() && term.knows_cancellations());
    let Some(_permit) = permit else {
        note_failure(&term, "start", &id, TOO_LATE);
        term.desk.borrow_mut().start_withdrawn(&id, &task, attempt);
        term.wake.notify_one();
        return;
    };
    let now = term.now();
    term.desk.borrow_mut().renew_start(&id, &mut order, now);
    let answer = term.ports.targets.start(&address, order).await;
    lane.hurry.notify_one();
    metric::time(metric::ORDER_SECONDS, begun.elapsed());
    let done = matches!(answer, StartAnswer::Started { .. });
    settle(&term, "start", &id, done, &(&task, &answer));
    let now = term.now();
    let mut desk = term.desk.borrow_mut();
    desk.started(&id, &task, attempt, &answer, now);
    term.wake.notify_one();
}

async fn stop(term: Rc<Term>, id: HostId, order: StopOrder) {
    let Some((lane, address)) = way_to(&term, &id) else {
        return;
    };
    let (task, attempt) = (order.task.clone(), order.attempt);
    let permit = turn(&term, &lane, CallClass::Stop).await;
    let now = term.now();
    if !term.desk.borrow_mut().wants_stop(&id, &task, attempt, now) {
        log_event::info(
            &event::STOP_DROPPED,
            format_args!("task={task} attempt={attempt} target={id}"),
        );
        return;
    }
    let sent = now.boot;
    let Some(_permit) = permit.filter(|_| term.may_order()) else {
        // The desk sends it again if it is still wanted.
        note_failure(&term, "stop", &id, TOO_LATE);
        return;
    };
    let answer = term.ports.targets.stop(&address, order).await;
    lane.hurry.notify_one();
    let done = answer == OrderAnswer::Done;
    settle(&term, "stop", &id, done, &(&task, &answer));
    let now = term.now();
    let mut desk = term.desk.borrow_mut();
    desk.stopped(&id, &task, attempt, sent, &answer, now);
    term.wake.notify_one();
}

/// Sets a task's share of time. The next look shows whether that helped, so the desk does not
/// wait for the answer.
async fn pace(term: Rc<Term>, id: HostId, order: ThrottleOrder) {
    let Some((lane, address)) = way_to(&term, &id) else {
        return;
    };
    let Some(_permit) = turn(&term, &lane, CallClass::Start).await else {
        return;
    };
    let answer = term.ports.targets.throttle(&address, order).await;
    settle(&term, "pace", &id, answer == OrderAnswer::Done, &answer);
}

async fn look(term: Rc<Term>, id: HostId) {
    let look = next_look(&term, &id).await;
    let (Some((order, pass)), Some(address)) = (look, address_of(&term, &id)) else {
        return;
    };
    let order = PollOrder {
        wait: Duration::ZERO,
        ..order
    };
    look_once(&term, &id, &address, order, pass).await;
}

async fn advise(term: Rc<Term>, key: TaskKey, targets: Vec<HostId>) {
    let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
    let answer = term.ports.advice.request_tickets(&step, targets).await;
    let done = answer.is_ok();
    let tickets = answer.unwrap_or_else(|error| {
        note_failure(&term, "advise", &HostId::default(), &error);
        Vec::new()
    });
    count("advise", done);
    let tickets = tickets.into_iter().map(|row| (row.target, row.ticket));
    let now = term.now();
    let mut desk = term.desk.borrow_mut();
    desk.advised(&key, tickets.collect(), now);
    term.wake.notify_one();
}

fn note_wait(order: &StartOrder, id: &HostId, waited: Duration) {
    metric::time(metric::ORDER_WAIT_SECONDS, waited);
    if waited >= LONG_WAIT {
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

/// Waits until few enough orders to the target and calls at all are under way; `None` once its lane
/// is closed.
async fn turn<'a>(
    term: &Term,
    lane: &'a TargetLane,
    class: CallClass,
) -> Option<(SemaphorePermit<'a>, CallPass)> {
    let permit = lane.orders.acquire().await.ok()?;
    Some((permit, term.gate.enter(class).await))
}

fn settle(term: &Term, kind: &'static str, id: &HostId, done: bool, what: &dyn std::fmt::Debug) {
    count(kind, done);
    if !done {
        note_failure(term, kind, id, &format!("{what:?}"));
    }
}

fn count(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!(metric::ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
}
