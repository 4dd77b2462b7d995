use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fake::WorkOrder;
use model::RunFate;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{EntryPlace, RequestCall, RequestClient, RequestReply, TeamKey};
use crate::{HistoryLog, OpTimer, RequestOp, RequestOutcome};

/// How a crew of callers behaves.
#[derive(Clone, Debug)]
pub struct CrewPlan {
    /// Seed of all choices.
    pub seed: u64,
    /// Callers at once.
    pub callers: usize,
    /// Service that they call.
    pub service: String,
    /// Keys that they hold; caller `n` holds the key `n` modulo their count.
    pub keys: Vec<TeamKey>,
    /// Service times between nothing and twice this.
    pub service_time: Duration,
    /// Longest answer, in bytes.
    pub max_answer: usize,
    /// How long an answer is of use.
    pub deadline: Duration,
    /// Chance from 0 to 1 that a request is idempotent.
    pub idempotent: f64,
    /// Pause between two requests of a caller, at most.
    pub pause: Duration,
    /// Attempts to have one piece of work done.
    pub attempts: u32,
}

impl Default for CrewPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            callers: 12,
            service: "quotes".to_owned(),
            keys: Vec::new(),
            service_time: Duration::from_millis(20),
            max_answer: 4096,
            deadline: Duration::from_secs(4),
            idempotent: 0.3,
            pause: Duration::from_millis(20),
            attempts: 4,
        }
    }
}

/// What callers were told so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrewTally {
    /// Right answers.
    pub answered: u64,
    /// Refusals as not run, connections refused included.
    pub not_run: u64,
    /// Refusals as perhaps run, and answers that never came.
    pub unclear: u64,
}

/// Callers that go on until they are told to stop, retry as the interface allows, and
/// record what they see.
///
/// As long as every attempt was refused as "not run", a caller asks for a new id for the
/// next one. After anything unclear it retries a non-idempotent request under the same id
/// only, through another entry host.
#[derive(Debug)]
pub struct CallerCrew {
    stop: Arc<AtomicBool>,
    shared: Arc<CrewShared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct CrewShared {
    plan: CrewPlan,
    places: Vec<EntryPlace>,
    log: HistoryLog,
    answered: AtomicU64,
    not_run: AtomicU64,
    unclear: AtomicU64,
}

impl CallerCrew {
    /// Sets the callers to work on the entry hosts at `places`.
    pub fn start(plan: CrewPlan, places: Vec<EntryPlace>, log: &HistoryLog) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let shared = Arc::new(CrewShared {
            plan,
            places,
            log: log.clone(),
            answered: AtomicU64::new(0),
            not_run: AtomicU64::new(0),
            unclear: AtomicU64::new(0),
        });
        let threads = (0..shared.plan.callers)
            .map(|number| {
                let (shared, stop) = (Arc::clone(&shared), Arc::clone(&stop));
                thread::spawn(move || {
                    let mut caller = OneCaller::new(&shared, number);
                    while !stop.load(Ordering::Relaxed) {
                        caller.work();
                    }
                })
            })
            .collect();
        Self {
            stop,
            shared,
            threads,
        }
    }

    /// What callers were told so far.
    pub fn tally(&self) -> CrewTally {
        CrewTally {
            answered: self.shared.answered.load(Ordering::Relaxed),
            not_run: self.shared.not_run.load(Ordering::Relaxed),
            unclear: self.shared.unclear.load(Ordering::Relaxed),
        }
    }

    /// Waits until `more` right answers have come since now; false after `patience`.
    pub fn await_answers(&self, more: u64, patience: Duration) -> bool {
        let wanted = self.tally().answered + more;
        super::test_fleet::await_true(patience, || self.tally().answered >= wanted)
    }

    /// Ends the crew once what is under way has been answered.
    pub fn finish(mut self) -> CrewTally {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.tally()
    }
}

impl Drop for CallerCrew {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// One caller: one request after the other.
struct OneCaller<'a> {
    shared: &'a CrewShared,
    number: usize,
    sent: u64,
    rng: StdRng,
    client: RequestClient,
}

impl<'a> OneCaller<'a> {
    fn new(shared: &'a CrewShared, number: usize) -> Self {
        let seed = shared.plan.seed.wrapping_mul(1_000_003) + number as u64;
        Self {
            shared,
            number,
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
            client: RequestClient::default(),
        }
    }

    /// Has one piece of work done, with retries.
    fn work(&mut self) {
        self.sent += 1;
        let plan = &self.shared.plan;
        let nonce = format!("s{}-c{}-{}", plan.seed, self.number, self.sent);
        let order = WorkOrder {
            service: Some(plan.service_time.mul_f64(self.rng.random::<f64>() * 2.0)),
            answer: Some(self.rng.random_range(0..=plan.max_answer)),
            nonce: nonce.clone(),
        };
        let Some(key) = plan.keys.get(self.number % plan.keys.len().max(1)) else {
            return;
        };
        let size = self.rng.random_range(0..=plan.max_answer);
        let mut call = RequestCall {
            service: plan.service.clone(),
            key: key.clone(),
            request: None,
            deadline: plan.deadline,
            idempotent: self.rng.random_bool(plan.idempotent),
            body: order.body(size),
        };
        let mut entry = self.pick();
        let mut is_unclear = false;
        for _ in 0..plan.attempts {
            // Without an id of its own a non-idempotent request can't be retried, so that
            // callers who mean to retry ask for one first.
            if call.request.is_none() && !call.idempotent {
                call.request = self.client.mint(entry, key);
                if call.request.is_none() {
                    self.pause();
                    entry = self.pick();
                    continue;
                }
            }
            let reply = self.attempt(entry, &call, &nonce);
            match reply.outcome {
                RequestOutcome::Answer { .. } => break,
                RequestOutcome::Refused {
                    fate: RunFate::NotRun,
                    ..
                }
                | RequestOutcome::NotConnected => {
                    if !is_unclear {
                        call.request = None;
                    }
                }
                RequestOutcome::Refused { .. } | RequestOutcome::Nothing => is_unclear = true,
            }
            self.pause();
            entry = self.pick();
        }
        self.pause();
    }

    fn attempt(&self, entry: &EntryPlace, call: &RequestCall, nonce: &str) -> RequestReply {
        let timer = OpTimer::begin();
        let reply = self.client.call(entry, call);
        let span = timer.end();
        let count = match &reply.outcome {
            RequestOutcome::Answer { .. } => &self.shared.answered,
            RequestOutcome::Refused {
                fate: RunFate::NotRun,
                ..
            }
            | RequestOutcome::NotConnected => &self.shared.not_run,
            _ => &self.shared.unclear,
        };
        count.fetch_add(1, Ordering::Relaxed);
        self.shared.log.note_request(RequestOp {
            span,
            entry: entry.member.clone(),
            request: call.request.clone().unwrap_or_default(),
            nonce: nonce.to_owned(),
            key_id: call.key.key_id.clone(),
            idempotent: call.idempotent,
            outcome: reply.outcome.clone(),
        });
        reply
    }

    fn pick(&mut self) -> &'a EntryPlace {
        let places = &self.shared.places;
        &places[self.rng.random_range(0..places.len())]
    }

    fn pause(&mut self) {
        thread::sleep(self.shared.plan.pause.mul_f64(self.rng.random()));
    }
}
