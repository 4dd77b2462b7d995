use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use decide::call_budget::{CallBudget, CallClass};
use model::BootTime;
use store::{BootClock, Clock};
use tokio::sync::oneshot;

/// Limits an owner's calls to targets to its budget and admits the most urgent ones first.
pub(crate) struct CallLimiter {
    budget: RefCell<CallBudget>,
    waiting: RefCell<BTreeMap<CallClass, VecDeque<oneshot::Sender<()>>>>,
}

impl CallLimiter {
    pub(crate) fn new(bytes_per_second: f64) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(CallBudget::new(bytes_per_second)),
            waiting: RefCell::default(),
        })
    }

    /// Waits until a call may be sent.
    pub(crate) async fn acquire(self: &Rc<Self>, class: CallClass) -> CallPermit {
        if let Some(admitted) = self.begin_or_queue(class) {
            // The sender of this notification has already counted the call.
            let _ = admitted.await;
        }
        CallPermit {
            limiter: self.clone(),
            class,
            started_at: BootClock.boot_now(),
            counted: true,
        }
    }

    /// How many more starts may be ordered now.
    pub(crate) fn start_room(&self) -> usize {
        let waiting = self.waiting.borrow();
        let starts = waiting.get(&CallClass::Start).map_or(0, VecDeque::len);
        self.budget.borrow().start_room(starts)
    }

    /// Adapts the limit for starts to the delay of the event loop, and returns it.
    pub(crate) fn record_loop_delay(&self, delay: Duration) -> f64 {
        let mut budget = self.budget.borrow_mut();
        budget.record_loop_delay(delay, BootClock.boot_now());
        budget.start_limit()
    }

    /// Counts a call that may be sent now, or queues it.
    fn begin_or_queue(&self, class: CallClass) -> Option<oneshot::Receiver<()>> {
        if self.budget.borrow().admits(class) {
            self.budget.borrow_mut().begin(class);
            return None;
        }
        let (sender, admitted) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(class).or_default().push_back(sender);
        Some(admitted)
    }

    /// Admits queued calls as far as the budget allows.
    fn admit_waiting(&self) {
        let mut budget = self.budget.borrow_mut();
        for (&class, queue) in &mut *self.waiting.borrow_mut() {
            while budget.admits(class)
                && let Some(admitted) = queue.pop_front()
            {
                // The waiting call may have been dropped.
                if admitted.send(()).is_ok() {
                    budget.begin(class);
                }
            }
        }
    }
}

/// A call in progress, which counts against the budget until it is dropped.
pub(crate) struct CallPermit {
    limiter: Rc<CallLimiter>,
    class: CallClass,
    started_at: BootTime,
    counted: bool,
}

impl CallPermit {
    /// Releases the budget while the target holds the poll back until it has something to report;
    /// the link is free for other calls meanwhile.
    pub(crate) fn release_while_waiting(&mut self) {
        if std::mem::take(&mut self.counted) {
            self.limiter.budget.borrow_mut().release(self.class);
            self.limiter.admit_waiting();
        }
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        let now = BootClock.boot_now();
        let took = now.saturating_sub(self.started_at);
        let mut budget = self.limiter.budget.borrow_mut();
        budget.end(self.class, took, now);
        drop(budget);
        self.limiter.admit_waiting();
    }
}
