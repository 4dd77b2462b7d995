use std::{
    rc::{Rc, Weak},
    time::Duration,
};

use decide::work::DeskOrder;
use model::{
    HostId, event as log_event,
    work::{LookAnswer, LookOrder, OrderAnswer, StartAnswer, TargetAddress},
};
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, sleep, timeout},
};

use crate::{event, metric, term::Term};

/// Orders to one target at the same time, each on a connection of its own. New connections
/// are paid for; with three, a step of twenty tasks reaches a target in 25 ms.
const ORDERS_AT_ONCE: usize = 3;
/// How often an idle target is considered for a look.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a look that brought ends. Until they are stored, which takes some 10 ms, the
/// target answers each look at once with the same ends; on a busy day that made six looks of
/// one. Longer would delay the next end.
const END_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a look that brought nothing; a target that is down is asked this often.
const FAULT_PAUSE: Duration = Duration::from_millis(300);

/// The way to one target.
pub(crate) struct TargetLane {
    orders: Semaphore,
    hurry: Notify,
}

impl TargetLane {
    /// Opens the lane of a target and begins to look at it.
    pub(crate) fn open(term: &Rc<Term>, id: HostId) {
        let lane = Rc::new(Self {
            orders: Semaphore::new(ORDERS_AT_ONCE),
            hurry: Notify::new(),
        });
        term.lanes.borrow_mut().insert(id.clone(), lane.clone());
        let looking = Rc::downgrade(term);
        term.spawn(keep_looking(looking, lane, id));
    }
}

/// Looks at a target for as long as the desk knows it.
async fn keep_looking(term: Weak<Term>, lane: Rc<TargetLane>, id: HostId) {
    loop {
        let Some(term) = term.upgrade() else {
            return;
        };
        let now = term.now();
        let order = term.desk.borrow_mut().look_order(&id, now);
        let Some(address) = address_of(&term, &id) else {
            term.lanes.borrow_mut().remove(&id);
            return;
        };
        let Some(order) = order.filter(|_| term.may_order()) else {
            drop(term);
            // Whether it was told or time passed, the desk is asked again.
            let _ = timeout(IDLE_PAUSE, lane.hurry.notified()).await;
            continue;
        };
        let outcome = look_once(&term, &id, &address, order).await;
        drop(term);
        match outcome {
            LookOutcome::Nothing => {}
            LookOutcome::Ends => sleep(END_PAUSE).await,
            LookOutcome::Failed => sleep(FAULT_PAUSE).await,
        }
    }
}

/// What a look brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookOutcome {
    /// No end that the target has not been told to forget.
    Nothing,
    /// Ends, which the target lists again until it is told to forget them.
    Ends,
    /// No answer, or a refusal.
    Failed,
}

/// Looks at a target and tells the desk.
async fn look_once(
    term: &Rc<Term>,
    id: &HostId,
    address: &TargetAddress,
    order: LookOrder,
) -> LookOutcome {
    let sent = term.now().boot;
    let observed = order.observed;
    let answer = term.ports.targets.look(address, order).await;
    let outcome = match &answer {
        LookAnswer::Seen(sight) if sight.ended.is_empty() => LookOutcome::Nothing,
        LookAnswer::Seen(_) => LookOutcome::Ends,
        _ => LookOutcome::Failed,
    };
    let name = match &answer {
        LookAnswer::Seen(_) => "seen",
        LookAnswer::Fenced => "fenced",
        LookAnswer::Refused(_) => "refused",
        LookAnswer::OtherLife => "other-life",
        LookAnswer::Unanswered(_) => "unanswered",
    };
    metrics::counter!(metric::ORDERS, "kind" => "look", "outcome" => name).increment(1);
    if outcome == LookOutcome::Failed {
        note_order(term, "look", id, &format!("{answer:?}"));
    }
    let now = term.now();
    term.desk.borrow_mut().saw(id, sent, observed, &answer, now);
    term.wake.notify_one();
    outcome
}

/// Carries out an order to a target.
pub(crate) fn run_order(term: &Rc<Term>, order: DeskOrder) {
    let carried = term.clone();
    match order {
        DeskOrder::Start(id, order) => term.spawn(async move {
            let Some((lane, address)) = way_to(&carried, &id) else {
                return;
            };
            let (task, attempt) = (order.task.clone(), order.attempt);
            let started = Instant::now();
            let answer = match lane.orders.acquire().await {
                // It may have waited for its turn for longer than the lease goes.
                Ok(_permit) if carried.is_certain() => {
                    carried.ports.targets.start(&address, order).await
                }
                _ => StartAnswer::NotSent("the term is over".to_owned()),
            };
            lane.hurry.notify_one();
            metric::time(metric::ORDER_SECONDS, started.elapsed());
            count("start", matches!(answer, StartAnswer::Started { .. }));
            if !matches!(answer, StartAnswer::Started { .. }) {
                note_order(&carried, "start", &id, &format!("task={task} {answer:?}"));
            }
            let now = carried.now();
            carried
                .desk
                .borrow_mut()
                .started(&id, &task, attempt, &answer, now);
            carried.wake.notify_one();
        }),
        DeskOrder::Stop(id, order) => term.spawn(async move {
            let Some((lane, address)) = way_to(&carried, &id) else {
                return;
            };
            let (task, attempt) = (order.task.clone(), order.attempt);
            let answer = match lane.orders.acquire().await {
                Ok(_permit) if carried.may_order() => {
                    carried.ports.targets.stop(&address, order).await
                }
                _ => OrderAnswer::NotSent("the term is over".to_owned()),
            };
            lane.hurry.notify_one();
            count("stop", answer == OrderAnswer::Done);
            if answer != OrderAnswer::Done {
                note_order(&carried, "stop", &id, &format!("task={task} {answer:?}"));
            }
            let now = carried.now();
            carried
                .desk
                .borrow_mut()
                .stopped(&id, &task, attempt, &answer, now);
            carried.wake.notify_one();
        }),
        DeskOrder::Pace(id, order) => term.spawn(async move {
            let Some((lane, address)) = way_to(&carried, &id) else {
                return;
            };
            let Ok(_permit) = lane.orders.acquire().await else {
                return;
            };
            let answer = carried.ports.targets.pace(&address, order).await;
            count("pace", answer == OrderAnswer::Done);
            if answer != OrderAnswer::Done {
                note_order(&carried, "pace", &id, &format!("{answer:?}"));
            }
        }),
        DeskOrder::Look(id) => term.spawn(async move {
            let now = carried.now();
            let order = carried.desk.borrow_mut().look_order(&id, now);
            let address = address_of(&carried, &id);
            let (Some(order), Some(address)) = (order, address) else {
                return;
            };
            let order = LookOrder {
                wait: Duration::ZERO,
                ..order
            };
            look_once(&carried, &id, &address, order).await;
        }),
        DeskOrder::Advise(key, targets) => term.spawn(async move {
            let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
            let tickets = match carried.ports.advice.ask(&step, targets).await {
                Ok(tickets) => tickets,
                Err(error) => {
                    note_order(&carried, "advise", &HostId::default(), &error);
                    Vec::new()
                }
            };
            let tickets = tickets
                .into_iter()
                .map(|row| (row.target, row.ticket))
                .collect();
            let now = carried.now();
            carried.desk.borrow_mut().advised(&key, tickets, now);
            carried.wake.notify_one();
        }),
        DeskOrder::Record(_) | DeskOrder::Resign(_) => {}
    }
}

fn address_of(term: &Term, id: &HostId) -> Option<TargetAddress> {
    let desk = term.desk.borrow();
    let target = desk.targets.get(id)?;
    Some(TargetAddress {
        target: id.clone(),
        address: target.entry.address.clone(),
    })
}

fn way_to(term: &Term, id: &HostId) -> Option<(Rc<TargetLane>, TargetAddress)> {
    let lane = term.lanes.borrow().get(id).cloned()?;
    Some((lane, address_of(term, id)?))
}

fn count(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!(metric::ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
}

fn note_order(term: &Term, kind: &str, id: &HostId, answer: &str) {
    let answer = answer.replace('"', "'");
    log_event::warn(
        &event::ORDER_FAILED,
        format_args!(
            "kind={kind} target={id} token={} answer=\"{answer}\"",
            term.token
        ),
    );
}
