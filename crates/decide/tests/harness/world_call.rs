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

use super::world::{SimOwner, Simulation, TICK};

/// Time that an owner waits for the response to a call.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of starts and stops in flight to one target.
const MAX_CALLS_IN_FLIGHT: usize = 3;
/// Delay after a poll without a response.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Share of responses that are delayed when the host list is delayed.
const SLOW_RESPONSES: f64 = 0.15;

pub(super) enum SimRequest {
    Start(StartOrder),
    Stop(StopOrder),
    Poll(PollOrder),
    /// A poll sent while another one waits at the target.
    ExtraPoll(PollOrder),
}

pub(super) struct SimCall {
    owner: u64,
    target: HostId,
    /// Start time of the target's incarnation when the call was sent.
    target_started_at: Duration,
    sent: BootTime,
    arrives: BootTime,
    /// When the owner receives the response; `None` if it is lost.
    response_at: Option<BootTime>,
    times_out: BootTime,
    order: SimRequest,
    done: Option<SimResponse>,
    settled: bool,
}

enum SimResponse {
    Start(StartAnswer),
    Stop(OrderAnswer),
    Poll(PollAnswer),
}

impl Simulation {
    /// Sends a request to a target, or queues it if calls in flight are limited.
    pub(super) fn send_or_queue(&mut self, owner: &mut SimOwner, name: HostId, order: SimRequest) {
        if self.faults.lanes {
            owner.call_queues.entry(name).or_default().push_back(order);
        } else if !self.is_obsolete_stop(owner, &name, &order) {
            self.send_order(owner, name, order);
        }
    }

    /// Sends queued requests, except for those that became obsolete.
    pub(super) fn send_queued(&mut self, owner: &mut SimOwner, ownership_uncertain: bool) {
        let names: Vec<HostId> = owner.call_queues.keys().cloned().collect();
        for name in names {
            if !owner.scheduler.targets.contains_key(&name) {
                owner.call_queues.remove(&name);
                continue;
            }
            while self.calls_in_flight(owner.token, &name) < MAX_CALLS_IN_FLIGHT {
                let queue = owner.call_queues.get_mut(&name);
                let Some(order) = queue.and_then(std::collections::VecDeque::pop_front) else {
                    break;
                };
                if let SimRequest::Start(start) = &order
                    && (ownership_uncertain
                        || !owner.drain_watch.is_current(self.now.boot)
                        || owner.scheduler.is_data_centre_drained(&name)
                        || !is_start_pending(owner, &name, start))
                {
                    let answer = StartAnswer::NotSent("start became obsolete".to_owned());
                    let (task, attempt) = (start.task.clone(), start.attempt);
                    owner
                        .scheduler
                        .handle_start_answer(&name, &task, attempt, &answer, self.now);
                    continue;
                }
                if self.is_obsolete_stop(owner, &name, &order) {
                    continue;
                }
                self.send_order(owner, name.clone(), order);
            }
        }
    }

    /// Returns true for a stop that became obsolete.
    fn is_obsolete_stop(&self, owner: &mut SimOwner, name: &HostId, order: &SimRequest) -> bool {
        let SimRequest::Stop(stop) = order else {
            return false;
        };
        let (task, attempt) = (&stop.task, stop.attempt);
        !owner
            .scheduler
            .should_send_stop(name, task, attempt, self.now)
    }

    fn calls_in_flight(&self, owner: u64, name: &HostId) -> usize {
        let orders = self.calls.iter().filter(|call| {
            let poll = matches!(call.order, SimRequest::Poll(_) | SimRequest::ExtraPoll(_));
            call.owner == owner && call.target == *name && !call.settled && !poll
        });
        orders.count()
    }

    /// Sends a start or a stop.
    fn send_order(&mut self, owner: &mut SimOwner, name: HostId, mut order: SimRequest) {
        if let SimRequest::Start(start) = &mut order {
            let (scheduler, until) = (&mut owner.scheduler, owner.sole_owner_until);
            if !scheduler.limit_start(&name, start, until, self.now) {
                scheduler.withdraw_unsent_start(&name, &start.task, start.attempt);
                return;
            }
            self.check_start_sent(owner, &start.task);
        }
        self.send(owner.token, name, order);
    }

    pub(super) fn send(&mut self, owner: u64, name: HostId, order: SimRequest) {
        let now = self.now.boot;
        match &order {
            SimRequest::Start(start) => {
                self.record_task_event(
                    &start.task,
                    &format!("owner {owner} starts {} on {name}", start.attempt),
                );
            }
            SimRequest::Stop(stop) => {
                self.record_task_event(
                    &stop.task,
                    &format!("owner {owner} stops {} on {name}", stop.attempt),
                );
            }
            SimRequest::Poll(_) | SimRequest::ExtraPoll(_) => {}
        }
        let draw: f64 = self.rng.random();
        let (lost, delayed) = (self.faults.lost_calls, self.faults.late_calls);
        let wait = match &order {
            SimRequest::Poll(poll) | SimRequest::ExtraPoll(poll) => poll.wait,
            _ => Duration::ZERO,
        };
        let times_out = now + wait + ORDER_TIMEOUT;
        let soon = now + Duration::from_millis(self.rng.random_range(1..60));
        let (arrives, response_at) = if draw < lost / 2.0 {
            (BootTime::MAX, None)
        } else if draw < lost {
            (soon, None)
        } else if draw < lost + delayed {
            (
                now + Duration::from_millis(self.rng.random_range(2000..12_000)),
                None,
            )
        } else {
            (
                soon,
                Some(soon + wait.min(Duration::from_millis(100)) + TICK),
            )
        };
        let response_at = response_at.map(|at| at + self.draw_delay());
        if response_at.is_none()
            && let Some(state) = self.targets.get_mut(&name)
        {
            // Until a late request takes effect, the bounds on this target do not hold.
            let until = if arrives == BootTime::MAX {
                now
            } else {
                arrives
            };
            state.disturbed_until = state.disturbed_until.max(until.max(times_out));
        }
        let target_started_at = self
            .targets
            .get(&name)
            .map(|state| state.started_at)
            .unwrap_or_default();
        self.calls.push(SimCall {
            owner,
            target: name,
            target_started_at,
            sent: now,
            arrives,
            response_at,
            times_out,
            order,
            done: None,
            settled: false,
        });
    }

    /// Draws the delay of a response; it stays within the timeout.
    fn draw_delay(&mut self) -> Duration {
        if !self.faults.lists || !self.extra_rng.random_bool(SLOW_RESPONSES) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.extra_rng.random_range(20..300))
    }

    pub(super) fn deliver_calls(&mut self) {
        let now = self.now.boot;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls
            .iter_mut()
            .filter(|call| call.done.is_none() && call.arrives <= now)
        {
            if self.has_moved_incarnation(&call.target) {
                call.done = Some(call.order.other_incarnation_response());
                continue;
            }
            let cut_off = self.is_cut_off(call.owner, &call.target, now);
            let Some(state) = self.targets.get_mut(&call.target) else {
                continue;
            };
            // A request that a target processes late is lost if the target restarts before.
            let delayed = call.arrives > call.times_out;
            let restarted = delayed && call.target_started_at != state.started_at;
            if cut_off || restarted {
                call.arrives = BootTime::MAX;
                call.response_at = None;
                continue;
            }
            call.done = Some(match &call.order {
                SimRequest::Start(order) => {
                    let length = Duration::from_millis(self.rng.random_range(200..2500));
                    let long = self.long_jobs.contains(order.task.job.as_str());
                    let length = if long { length * 8 } else { length };
                    let answer = state.start(order, now, now + length);
                    let started = matches!(answer, StartAnswer::Started { .. });
                    state.task_starts.insert(order.task.clone(), now);
                    let task = order.task.clone();
                    let history = self.history.entry(task.clone()).or_default();
                    history.push(format!(
                        "{now:?} {} on {}: {answer:?}",
                        order.attempt, call.target
                    ));
                    if started {
                        let last = self.last_attempts.entry(task.clone()).or_default();
                        *last = (*last).max(order.attempt);
                        self.check_start(&call.target, &task);
                        self.check_sole_owner(&call.target, &task, call.owner);
                        if !delayed {
                            self.check_not_drained(&call.target, &task.to_string());
                        }
                    }
                    SimResponse::Start(answer)
                }
                SimRequest::Stop(order) => SimResponse::Stop(state.stop(order, now)),
                SimRequest::Poll(order) | SimRequest::ExtraPoll(order) => {
                    let polled = state.poll_limited(order, self.faults.report_limit(), now);
                    let answer = polled.0;
                    let last_lapsed_end = state.last_lapsed_end;
                    for end in polled.1 {
                        let history = self.history.entry(end.task.clone()).or_default();
                        history.push(format!("{now:?} end acknowledged on {}", call.target));
                        if end.number > last_lapsed_end {
                            self.check_acked_end(&call.target, &end);
                        }
                        self.acked_tasks.insert(end.task);
                    }
                    SimResponse::Poll(answer)
                }
            });
        }
        self.calls = calls;
    }

    pub(super) fn deliver_responses(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| !call.settled) {
            let answered = call.response_at.is_some_and(|at| at <= now.boot) && call.done.is_some();
            if !answered && now.boot < call.times_out {
                continue;
            }
            call.settled = true;
            let timed_out = || "timed out".to_owned();
            let answer = if answered { call.done.take() } else { None };
            let Some(owner) = self
                .owners
                .iter_mut()
                .find(|owner| owner.token == call.owner)
            else {
                continue;
            };
            match (&call.order, answer) {
                (SimRequest::Start(order), answer) => {
                    let answer = match answer {
                        Some(SimResponse::Start(answer)) => answer,
                        _ => StartAnswer::Unanswered(timed_out()),
                    };
                    owner.scheduler.handle_start_answer(
                        &call.target,
                        &order.task,
                        order.attempt,
                        &answer,
                        now,
                    );
                }
                (SimRequest::Stop(order), answer) => {
                    let answer = match answer {
                        Some(SimResponse::Stop(answer)) => answer,
                        _ => OrderAnswer::Unanswered(timed_out()),
                    };
                    let (task, attempt) = (&order.task, order.attempt);
                    owner.scheduler.handle_stop_answer(
                        &call.target,
                        task,
                        attempt,
                        call.sent,
                        &answer,
                        now,
                    );
                }
                (SimRequest::Poll(order) | SimRequest::ExtraPoll(order), answer) => {
                    if let SimRequest::Poll(_) = &call.order {
                        owner.polling.remove(&call.target);
                        if self.faults.lists && answer.is_none() {
                            let until = now.boot + POLL_RETRY_DELAY;
                            owner.next_poll_at.insert(call.target.clone(), until);
                        }
                    }
                    let answer = match answer {
                        Some(SimResponse::Poll(answer)) => answer,
                        _ => PollAnswer::Unanswered(timed_out()),
                    };
                    owner.scheduler.apply_report(
                        &call.target,
                        call.sent,
                        order.acked_end,
                        &answer,
                        now,
                    );
                }
            }
            if answered {
                // The request must not take effect twice.
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

impl SimRequest {
    fn other_incarnation_response(&self) -> SimResponse {
        match self {
            Self::Start(_) => SimResponse::Start(StartAnswer::Refused(StartRefusal::OtherLife)),
            Self::Stop(_) => SimResponse::Stop(OrderAnswer::OtherLife),
            Self::Poll(_) | Self::ExtraPoll(_) => SimResponse::Poll(PollAnswer::OtherLife),
        }
    }
}

/// Returns true if the scheduler still waits for the result of a start.
fn is_start_pending(owner: &SimOwner, name: &HostId, start: &StartOrder) -> bool {
    let TaskKey {
        job,
        occurrence,
        step,
        index,
    } = &start.task;
    let job = owner.scheduler.job_table.jobs.get(job);
    let task = job.and_then(|job| job.task(*occurrence, *step, *index));
    let placement = task.and_then(|task| task.placement.as_ref());
    placement.is_some_and(|placement| {
        let same_attempt = placement.target == *name && placement.attempt == start.attempt;
        same_attempt && placement.phase == PlacementPhase::Starting
    })
}
