use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, select, tick};
use decide::quota::{QuotaAction, WriteOutcome};
use ports::InboundMessage;
use wire::peer::envelope::Body;

use crate::{
    quota_call::{QuotaCall, route_action, send_talks},
    shared_state::SharedState,
};

/// Interval of the rounds that move units between hosts.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between early rounds, so that not every refused start triggers one.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Moves units of team limits between hosts: exchanges messages and requests record writes.
pub(crate) struct QuotaLoop {
    shared: Arc<SharedState>,
    talks: Receiver<InboundMessage>,
    calls: Sender<QuotaCall>,
    last_tick: Instant,
}

impl QuotaLoop {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        talks: Receiver<InboundMessage>,
        calls: Sender<QuotaCall>,
    ) -> Self {
        Self {
            shared,
            talks,
            calls,
            last_tick: Instant::now(),
        }
    }

    /// Runs until the service stops.
    pub(crate) fn run(mut self) {
        let rounds = tick(ROUND_INTERVAL);
        let wakes = self.shared.quota.wakes();
        while !self.shared.is_stopping() {
            select! {
                recv(rounds) -> _ => self.tick(),
                recv(wakes) -> _ => {
                    std::thread::sleep(MIN_ROUND_INTERVAL.saturating_sub(self.last_tick.elapsed()));
                    self.tick();
                },
                recv(self.talks) -> message => if let Ok(message) = message {
                    self.handle_message(&message);
                },
            }
        }
    }

    fn tick(&mut self) {
        self.last_tick = Instant::now();
        let now = self.shared.now();
        let actions = self.shared.quota.machine().lock().tick(now);
        self.perform(actions);
    }

    fn handle_message(&self, message: &InboundMessage) {
        let Body::QuotaTalk(talk) = &message.body else {
            return;
        };
        if !self.shared.is_listed(message) {
            return;
        }
        let now = self.shared.now();
        let mut machine = self.shared.quota.machine().lock();
        machine.handle_ends(&talk.ends, now);
        for note in &talk.notes {
            machine.handle_record(note, now);
        }
        for release in &talk.releases {
            machine.handle_release(&message.from, message.incarnation, release);
        }
        let asks = talk.asks.iter();
        let mut actions: Vec<QuotaAction> = asks
            .flat_map(|ask| machine.handle_ask(&message.from, ask, now))
            .collect();
        actions.extend(machine.tick(now));
        drop(machine);
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<QuotaAction>) {
        let mut talks = BTreeMap::new();
        for action in actions {
            if let Some(call) = route_action(action, &mut talks) {
                self.call_store(call);
            }
        }
        send_talks(&self.shared, talks);
    }

    /// Queues a call for the store loop of the quotas. If the store is slow and the queue is full,
    /// the write is reported as not done.
    fn call_store(&self, call: QuotaCall) {
        let Err(refused) = self.calls.try_send(call) else {
            return;
        };
        if let QuotaCall::Write(write) = refused.into_inner() {
            let now = self.shared.now();
            let mut machine = self.shared.quota.machine().lock();
            machine.handle_write_outcome(&write.team, WriteOutcome::NotDone, now);
        }
    }
}
