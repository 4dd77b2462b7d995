use std::time::Duration;

use decide::work::PlacementPhase;
use model::{
    BootTime, HostId,
    work::{
        OrderAnswer, PollAnswer, PollOrder, StartAnswer, StartOrder, StartRefusal, StopOrder,
        TaskKey,
    },
};
use rand::Rng;

use super::world::{DeskWorld, TICK, WorldOwner};

/// How long an owner waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Orders to one target that are under way at once.
const ORDERS_AT_ONCE: usize = 3;
/// Pause after a look that was not answered.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Part of the answers that come late, where the host list does.
const SLOW_ANSWERS: f64 = 0.15;

pub(super) enum WorldOrder {
    Start(StartOrder),
    Stop(StopOrder),
    Look(PollOrder),
    /// A look beside the one that waits.
    LookNow(PollOrder),
}

pub(super) struct WorldCall {
    owner: u64,
    target: HostId,
    /// Life of the target when it was sent.
    born: Duration,
    sent: BootTime,
    arrives: BootTime,
    /// When the answer is back; `None` if it never is.
    answers: Option<BootTime>,
    gives_up: BootTime,
    order: WorldOrder,
    done: Option<WorldAnswer>,
    settled: bool,
}

enum WorldAnswer {
    Start(StartAnswer),
    Stop(OrderAnswer),
    Look(PollAnswer),
}

impl DeskWorld {
    /// Gives an order to a target, or has it wait for its turn.
    pub(super) fn give(&mut self, owner: &mut WorldOwner, name: HostId, order: WorldOrder) {
        if self.faults.lanes {
            owner.lanes.entry(name).or_default().push_back(order);
        } else if !self.is_needless(owner, &name, &order) {
            self.send_order(owner, name, order);
        }
    }

    /// Sends what has waited for its turn, unless it is not wanted any more.
    pub(super) fn send_waiting(&mut self, owner: &mut WorldOwner, alone: bool) {
        let names: Vec<HostId> = owner.lanes.keys().cloned().collect();
        for name in names {
            if !owner.desk.targets.contains_key(&name) {
                owner.lanes.remove(&name);
                continue;
            }
            while self.under_way(owner.token, &name) < ORDERS_AT_ONCE {
                let lane = owner.lanes.get_mut(&name);
                let Some(order) = lane.and_then(std::collections::VecDeque::pop_front) else {
                    break;
                };
                if let WorldOrder::Start(start) = &order
                    && (alone || !is_wanted(owner, &name, start))
                {
                    let answer = StartAnswer::NotSent("not wanted any more".to_owned());
                    let (task, attempt) = (start.task.clone(), start.attempt);
                    owner
                        .desk
                        .handle_start_answer(&name, &task, attempt, &answer, self.now);
                    continue;
                }
                if self.is_needless(owner, &name, &order) {
                    continue;
                }
                self.send_order(owner, name.clone(), order);
            }
        }
    }

    /// True for a stop that is not wanted any more.
    fn is_needless(&self, owner: &mut WorldOwner, name: &HostId, order: &WorldOrder) -> bool {
        let WorldOrder::Stop(stop) = order else {
            return false;
        };
        let (task, attempt) = (&stop.task, stop.attempt);
        !owner.desk.should_send_stop(name, task, attempt, self.now)
    }

    fn under_way(&self, owner: u64, name: &HostId) -> usize {
        let orders = self.calls.iter().filter(|call| {
            let look = matches!(call.order, WorldOrder::Look(_) | WorldOrder::LookNow(_));
            call.owner == owner && call.target == *name && !call.settled && !look
        });
        orders.count()
    }

    /// Sends a start or a stop.
    fn send_order(&mut self, owner: &WorldOwner, name: HostId, order: WorldOrder) {
        if let WorldOrder::Start(start) = &order {
            self.check_start_sent(owner, &start.task);
        }
        self.send(owner.token, name, order);
    }

    pub(super) fn send(&mut self, owner: u64, name: HostId, order: WorldOrder) {
        let now = self.now.boot;
        match &order {
            WorldOrder::Start(start) => {
                self.tell(
                    &start.task,
                    &format!("owner {owner} starts {} on {name}", start.attempt),
                );
            }
            WorldOrder::Stop(stop) => {
                self.tell(
                    &stop.task,
                    &format!("owner {owner} stops {} on {name}", stop.attempt),
                );
            }
            WorldOrder::Look(_) | WorldOrder::LookNow(_) => {}
        }
        let draw: f64 = self.dice.random();
        let (lost, late) = (self.faults.lost_calls, self.faults.late_calls);
        let wait = match &order {
            WorldOrder::Look(look) | WorldOrder::LookNow(look) => look.wait,
            _ => Duration::ZERO,
        };
        let gives_up = now + wait + ORDER_TIMEOUT;
        let soon = now + Duration::from_millis(self.dice.random_range(1..60));
        let (arrives, answers) = if draw < lost / 2.0 {
            (BootTime::MAX, None)
        } else if draw < lost {
            (soon, None)
        } else if draw < lost + late {
            (
                now + Duration::from_millis(self.dice.random_range(2000..12_000)),
                None,
            )
        } else {
            (
                soon,
                Some(soon + wait.min(Duration::from_millis(100)) + TICK),
            )
        };
        let answers = answers.map(|at| at + self.draw_delay());
        if answers.is_none()
            && let Some(state) = self.targets.get_mut(&name)
        {
            // An order that is carried out late disturbs until then.
            let until = if arrives == BootTime::MAX {
                now
            } else {
                arrives
            };
            state.disturbed = state.disturbed.max(until.max(gives_up));
        }
        let born = self
            .targets
            .get(&name)
            .map(|state| state.born)
            .unwrap_or_default();
        self.calls.push(WorldCall {
            owner,
            target: name,
            born,
            sent: now,
            arrives,
            answers,
            gives_up,
            order,
            done: None,
            settled: false,
        });
    }

    /// How much later than others an answer comes; within the time that it is waited for.
    fn draw_delay(&mut self) -> Duration {
        if !self.faults.lists || !self.more.random_bool(SLOW_ANSWERS) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.more.random_range(20..300))
    }

    pub(super) fn deliver_calls(&mut self) {
        let now = self.now.boot;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls
            .iter_mut()
            .filter(|call| call.done.is_none() && call.arrives <= now)
        {
            if self.lives_elsewise(&call.target) {
                call.done = Some(call.order.answer_of_other_life());
                continue;
            }
            let Some(state) = self.targets.get_mut(&call.target) else {
                continue;
            };
            // What a target holds back, to answer it late, dies with that life of the target.
            let held = call.arrives > call.gives_up;
            let outlived = held && call.born != state.born;
            if !state.up || state.cut || outlived {
                call.arrives = BootTime::MAX;
                call.answers = None;
                continue;
            }
            call.done = Some(match &call.order {
                WorldOrder::Start(order) => {
                    let length = Duration::from_millis(self.dice.random_range(200..2500));
                    let long = self.long.contains(order.task.job.as_str());
                    let length = if long { length * 8 } else { length };
                    let answer = state.start(order, now, now + length);
                    let started = matches!(answer, StartAnswer::Started { .. });
                    state.started_at.insert(order.task.clone(), now);
                    let task = order.task.clone();
                    let told = self.history.entry(task.clone()).or_default();
                    told.push(format!(
                        "{now:?} {} on {}: {answer:?}",
                        order.attempt, call.target
                    ));
                    if started {
                        self.check_start(&call.target, &task);
                    }
                    WorldAnswer::Start(answer)
                }
                WorldOrder::Stop(order) => WorldAnswer::Stop(state.stop(order, now)),
                WorldOrder::Look(order) | WorldOrder::LookNow(order) => {
                    let noted = state.look(order, now);
                    let answer = noted.0;
                    for task in noted.1 {
                        let told = self.history.entry(task.clone()).or_default();
                        told.push(format!("{now:?} observed on {}", call.target));
                        self.noted.insert(task);
                    }
                    WorldAnswer::Look(answer)
                }
            });
        }
        self.calls = calls;
    }

    pub(super) fn return_answers(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| !call.settled) {
            let answered = call.answers.is_some_and(|at| at <= now.boot) && call.done.is_some();
            if !answered && now.boot < call.gives_up {
                continue;
            }
            call.settled = true;
            let lost = || "timed out".to_owned();
            let answer = if answered { call.done.take() } else { None };
            let Some(owner) = self
                .owners
                .iter_mut()
                .find(|owner| owner.token == call.owner)
            else {
                continue;
            };
            match (&call.order, answer) {
                (WorldOrder::Start(order), answer) => {
                    let answer = match answer {
                        Some(WorldAnswer::Start(answer)) => answer,
                        _ => StartAnswer::Unanswered(lost()),
                    };
                    owner.desk.handle_start_answer(
                        &call.target,
                        &order.task,
                        order.attempt,
                        &answer,
                        now,
                    );
                }
                (WorldOrder::Stop(order), answer) => {
                    let answer = match answer {
                        Some(WorldAnswer::Stop(answer)) => answer,
                        _ => OrderAnswer::Unanswered(lost()),
                    };
                    let (task, attempt) = (&order.task, order.attempt);
                    owner.desk.handle_stop_answer(
                        &call.target,
                        task,
                        attempt,
                        call.sent,
                        &answer,
                        now,
                    );
                }
                (WorldOrder::Look(order) | WorldOrder::LookNow(order), answer) => {
                    if let WorldOrder::Look(_) = &call.order {
                        owner.looking.remove(&call.target);
                        if self.faults.lists && answer.is_none() {
                            let until = now.boot + LOOK_PAUSE;
                            owner.look_after.insert(call.target.clone(), until);
                        }
                    }
                    let answer = match answer {
                        Some(WorldAnswer::Look(answer)) => answer,
                        _ => PollAnswer::Unanswered(lost()),
                    };
                    owner
                        .desk
                        .apply_report(&call.target, call.sent, order.acked_end, &answer, now);
                }
            }
            if answered {
                // It must not be carried out again.
                call.arrives = BootTime::MAX;
            }
        }
        calls.retain(|call| {
            !call.settled
                || (call.done.is_none() && call.arrives > now.boot && call.arrives != BootTime::MAX)
        });
        self.calls = calls;
    }
}

impl WorldOrder {
    fn answer_of_other_life(&self) -> WorldAnswer {
        match self {
            Self::Start(_) => WorldAnswer::Start(StartAnswer::Refused(StartRefusal::OtherLife)),
            Self::Stop(_) => WorldAnswer::Stop(OrderAnswer::OtherLife),
            Self::Look(_) | Self::LookNow(_) => WorldAnswer::Look(PollAnswer::OtherLife),
        }
    }
}

/// True if the desk still takes a start to be under way.
fn is_wanted(owner: &WorldOwner, name: &HostId, start: &StartOrder) -> bool {
    let TaskKey {
        job,
        occurrence,
        step,
        index,
    } = &start.task;
    let job = owner.desk.job_table.jobs.get(job);
    let task = job.and_then(|job| job.task(*occurrence, *step, *index));
    let place = task.and_then(|task| task.placement.as_ref());
    place.is_some_and(|place| {
        let same = place.target == *name && place.attempt == start.attempt;
        same && place.phase == PlacementPhase::Starting
    })
}
