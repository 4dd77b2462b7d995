use std::{
    rc::{Rc, Weak},
    time::Duration,
};

use model::{
    HostId, event as log_event,
    work::{PollAnswer, PollOrder, TargetAddress},
};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{call_gate::CallPass, event, metric, target_lane::TargetLane, term::Term};

/// How often an idle target is considered for a look.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a look that brought ends. Until they are stored, which takes some 10 ms, the
/// target answers each look at once with the same ends; on a busy day that made six looks of
/// one. Longer would delay the next end.
const END_PAUSE: Duration = Duration::from_millis(25);
/// Longest wait for ends to be stored before the next look. Other ends come meanwhile, and tasks
/// that wait for their room would wait with them.
const STORED_LIMIT: Duration = Duration::from_millis(250);
/// Pause after a look that brought nothing; a target that is down is asked this often.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// How long a look waits for its turn before its class is considered anew: the time that was granted
/// to what runs goes on.
const TURN_LIMIT: Duration = Duration::from_millis(500);

/// Opens the lane of a target and begins to look at it.
pub(crate) fn open_lane(term: &Rc<Term>, id: HostId) {
    let lane = Rc::new(TargetLane::default());
    term.lanes.borrow_mut().insert(id.clone(), lane.clone());
    let looking = Rc::downgrade(term);
    term.spawn(keep_looking(looking, lane, id));
}

/// Looks at a target for as long as the desk knows it.
async fn keep_looking(term: Weak<Term>, lane: Rc<TargetLane>, id: HostId) {
    loop {
        let Some(term) = term.upgrade() else {
            return;
        };
        let look = next_look(&term, &id).await;
        let Some(address) = address_of(&term, &id) else {
            term.lanes.borrow_mut().remove(&id);
            return;
        };
        let Some((order, pass)) = look.filter(|_| term.may_order()) else {
            drop(term);
            // Whether it was told or time passed, the desk is asked again.
            let _ = timeout(IDLE_PAUSE, lane.hurry.notified()).await;
            continue;
        };
        let observed = order.observed;
        let outcome = look_once(&term, &id, &address, order, pass).await;
        if outcome == LookOutcome::Ends {
            sleep(END_PAUSE).await;
            wait_stored(&term, &id, observed).await;
        }
        drop(term);
        match outcome {
            LookOutcome::Nothing | LookOutcome::Ends => {}
            LookOutcome::Failed => sleep(FAULT_PAUSE).await,
        }
    }
}

/// The look that a target needs, once it may be sent; `None` if it needs none.
pub(crate) async fn next_look(term: &Term, id: &HostId) -> Option<(PollOrder, CallPass)> {
    loop {
        let now = term.now();
        let class = term.desk.borrow().look_class(id, now)?;
        let Ok(pass) = timeout(TURN_LIMIT, term.gate.enter(class)).await else {
            continue;
        };
        let now = term.now();
        let order = term.desk.borrow_mut().look_order(id, now)?;
        return Some((order, pass));
    }
}

/// Waits until the target can be told to forget the ends that it lists, or for some time.
///
/// Until then each look brings the same ends again. While the log is slow, behind a narrow link or
/// at a slow store, these answers would take the bytes that the log needs: the slower it gets, the
/// more ends are listed, and in the end neither gets through.
async fn wait_stored(term: &Term, id: &HostId, observed: u64) {
    let limit = Instant::now() + STORED_LIMIT;
    loop {
        let stored = term.log.stored.notified();
        let forgets = term
            .desk
            .borrow()
            .targets
            .get(id)
            .is_none_or(|target| target.observable() > observed);
        if forgets || timeout_at(limit, stored).await.is_err() {
            return;
        }
    }
}

/// What a look brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookOutcome {
    /// No end that the target has not been told to forget.
    Nothing,
    /// Ends, which the target lists again until it is told to forget them.
    Ends,
    /// No answer, or a refusal.
    Failed,
}

/// Looks at a target and tells the desk.
pub(crate) async fn look_once(
    term: &Rc<Term>,
    id: &HostId,
    address: &TargetAddress,
    order: PollOrder,
    mut pass: CallPass,
) -> LookOutcome {
    let sent = term.now().boot;
    if !order.wait.is_zero() {
        pass.hold_back();
    }
    let observed = order.observed;
    let answer = term.ports.targets.poll(address, order).await;
    drop(pass);
    let outcome = match &answer {
        PollAnswer::Seen(sight) if sight.ended.is_empty() => LookOutcome::Nothing,
        PollAnswer::Seen(_) => LookOutcome::Ends,
        _ => LookOutcome::Failed,
    };
    let name = match &answer {
        PollAnswer::Seen(_) => "seen",
        PollAnswer::Fenced => "fenced",
        PollAnswer::Refused(_) => "refused",
        PollAnswer::OtherLife => "other-life",
        PollAnswer::Unanswered(_) => "unanswered",
    };
    metrics::counter!(metric::ORDERS, "kind" => "look", "outcome" => name).increment(1);
    if outcome == LookOutcome::Failed {
        note_failure(term, "look", id, &format!("{answer:?}"));
    }
    let now = term.now();
    term.desk.borrow_mut().saw(id, sent, observed, &answer, now);
    term.wake.notify_one();
    outcome
}

/// Where a target is reached; `None` if the desk does not know it any more.
pub(crate) fn address_of(term: &Term, id: &HostId) -> Option<TargetAddress> {
    let desk = term.desk.borrow();
    let target = desk.targets.get(id)?;
    Some(TargetAddress {
        target: id.clone(),
        address: target.entry.address.clone(),
    })
}

/// The lane of a target and where it is reached.
pub(crate) fn way_to(term: &Term, id: &HostId) -> Option<(Rc<TargetLane>, TargetAddress)> {
    let lane = term.lanes.borrow().get(id).cloned()?;
    Some((lane, address_of(term, id)?))
}

/// Writes a log line of an order that was not answered or was refused.
pub(crate) fn note_failure(term: &Term, kind: &str, id: &HostId, answer: &str) {
    let answer = answer.replace('"', "'");
    log_event::warn(
        &event::ORDER_FAILED,
        format_args!(
            "kind={kind} target={id} token={} answer=\"{answer}\"",
            term.token
        ),
    );
}
