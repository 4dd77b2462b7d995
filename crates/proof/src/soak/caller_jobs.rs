use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fake::boot_nanos;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use stand::{CallerClient, JobShown, LookReply, SoakJob, SubmitReply};

/// What a caller did with a job and was told of it.
#[derive(Clone, Debug)]
pub struct CallerJob {
    /// The job.
    pub job: SoakJob,
    /// What each attempt to hand it in was told.
    pub replies: Vec<SubmitReply>,
    /// When it was first told that the job is stored.
    pub accepted_ns: Option<u64>,
    /// When its cancelling was first sent.
    pub cancel_sent_ns: Option<u64>,
    /// When its cancelling was acknowledged.
    pub cancelled_ns: Option<u64>,
    /// States as they were shown, with the time of the answer.
    pub shown: Vec<(u64, LookReply)>,
}

/// All that the callers did.
pub(crate) type JobBook = Arc<Mutex<Vec<CallerJob>>>;

/// Attempts to hand a job in, or to cancel it.
const MOST_ATTEMPTS: usize = 8;
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const JOB_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two jobs of long tasks of a caller.
const LONG_PAUSE: Duration = Duration::from_secs(20);

/// One caller: hands jobs in, looks at them and cancels some.
pub(crate) struct JobCaller {
    pub(crate) client: CallerClient,
    pub(crate) addresses: Vec<String>,
    pub(crate) book: JobBook,
    pub(crate) dice: StdRng,
    long_task_ms: Option<(u64, u64)>,
    /// Dice of the long tasks, so that the other draws of a seed stay the same.
    long_dice: StdRng,
    next_long: Instant,
}

impl JobCaller {
    pub(crate) fn new(
        seed: u64,
        addresses: Vec<String>,
        book: JobBook,
        long_task_ms: Option<(u64, u64)>,
    ) -> Self {
        Self {
            client: CallerClient::default(),
            addresses,
            book,
            dice: StdRng::seed_from_u64(seed),
            long_task_ms,
            long_dice: StdRng::seed_from_u64(!seed),
            next_long: Instant::now(),
        }
    }

    /// Works until it is told to stop.
    pub(crate) fn work(mut self, stop: &AtomicBool) {
        let mut open: Vec<usize> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            open.extend(self.submit());
            if !open.is_empty() {
                let at = self.dice.random_range(0..open.len());
                self.look(open[at]);
                if self.dice.random_bool(0.15) {
                    self.cancel(open.swap_remove(at));
                } else if open.len() > 20 {
                    open.swap_remove(at);
                }
            }
            thread::sleep(JOB_PAUSE);
        }
    }

    fn address(&mut self) -> String {
        self.addresses[self.dice.random_range(0..self.addresses.len())].clone()
    }

    /// Hands a new job in; its place in the book if it was accepted.
    fn submit(&mut self) -> Option<usize> {
        let steps = self.dice.random_range(1..=3);
        let step = |dice: &mut StdRng| (dice.random_range(1..=4), dice.random_range(100..900));
        let mut steps: Vec<_> = (0..steps).map(|_| step(&mut self.dice)).collect();
        if let Some((least, most)) = self.long_task_ms
            && self.next_long <= Instant::now()
        {
            self.next_long = Instant::now() + LONG_PAUSE;
            let count = self.long_dice.random_range(1..=2);
            steps = vec![(count, self.long_dice.random_range(least..=most))];
        }
        let words = self.dice.random_range(10..120);
        let words = (0..words).map(|_| format!("{:016x}", self.dice.random::<u64>()));
        let job = SoakJob {
            padding: words.collect(),
            steps,
            id: format!("{:016x}", self.dice.random::<u64>()),
        };
        let index = {
            let mut book = self.book.lock();
            book.push(CallerJob {
                job: job.clone(),
                replies: Vec::new(),
                accepted_ns: None,
                cancel_sent_ns: None,
                cancelled_ns: None,
                shown: Vec::new(),
            });
            book.len() - 1
        };
        for _ in 0..MOST_ATTEMPTS {
            let address = self.address();
            let reply = self.client.submit(&address, &job);
            let mut book = self.book.lock();
            book[index].replies.push(reply);
            if reply == SubmitReply::Accepted {
                book[index].accepted_ns = Some(boot_nanos());
                drop(book);
                if self.dice.random_bool(0.05) {
                    // The same job arrives once more, through another process.
                    let address = self.address();
                    self.client.submit(&address, &job);
                }
                return Some(index);
            }
            drop(book);
            if reply == SubmitReply::Refused && self.dice.random_bool(0.4) {
                return None;
            }
            thread::sleep(RETRY_PAUSE);
        }
        None
    }

    pub(crate) fn look(&mut self, index: usize) -> LookReply {
        let id = self.book.lock()[index].job.id.clone();
        let address = self.address();
        let reply = self.client.job_state(&address, &id);
        self.book.lock()[index].shown.push((boot_nanos(), reply));
        reply
    }

    fn cancel(&mut self, index: usize) {
        let id = self.book.lock()[index].job.id.clone();
        self.book.lock()[index].cancel_sent_ns = Some(boot_nanos());
        for _ in 0..MOST_ATTEMPTS {
            let address = self.address();
            if self.client.cancel(&address, &id) {
                self.book.lock()[index].cancelled_ns = Some(boot_nanos());
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Whether the callers are owed the whole of a job.
pub(crate) fn is_owed(job: &CallerJob) -> bool {
    job.accepted_ns.is_some() && job.cancel_sent_ns.is_none()
}

pub(crate) fn is_completed(job: &CallerJob) -> bool {
    let completed = LookReply::Shown(JobShown::Completed);
    job.shown.iter().any(|(_, shown)| *shown == completed)
}
