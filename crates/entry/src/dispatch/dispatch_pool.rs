use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, bounded};
use model::event::error;
use ports::QuotaPermit;

use super::{AttemptReport, AttemptRunner, TargetConnection};
use crate::{caller_request::CallerRequest, event};

/// Stack size of a dispatch thread, in bytes.
const DISPATCH_STACK: usize = 256 * 1024;
/// How long a dispatch thread waits for a job before it exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// One request to send on one connection.
pub(crate) struct DispatchJob {
    /// The request.
    pub request: Box<CallerRequest>,
    /// The connection to its target.
    pub connection: TargetConnection,
    /// The unit of the team's limit that the request uses.
    pub permit: QuotaPermit,
}

/// Threads that block on requests to targets. They are started on demand and exit when
/// idle.
pub(crate) struct DispatchPool {
    capacity: usize,
    runner: Arc<AttemptRunner>,
    jobs: (Sender<DispatchJob>, Receiver<DispatchJob>),
    reports: Sender<AttemptReport>,
    threads: Arc<AtomicUsize>,
    busy: usize,
}

impl DispatchPool {
    /// Creates a pool of at most `capacity` threads. They send their reports to the
    /// returned receiver.
    pub fn new(capacity: usize, runner: Arc<AttemptRunner>) -> (Self, Receiver<AttemptReport>) {
        let (reports, receiver) = bounded(capacity);
        let pool = Self {
            capacity,
            runner,
            jobs: bounded(capacity),
            reports,
            threads: Arc::new(AtomicUsize::new(0)),
            busy: 0,
        };
        (pool, receiver)
    }

    /// Whether a job would start immediately.
    pub fn has_capacity(&self) -> bool {
        self.busy < self.capacity
    }

    /// Number of jobs started and not yet finished.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Starts a job; returns it if no thread is available.
    pub fn start(&mut self, job: DispatchJob) -> Result<(), Box<DispatchJob>> {
        if !self.has_capacity() {
            return Err(Box::new(job));
        }
        if let Err(refused) = self.jobs.0.try_send(job) {
            return Err(Box::new(refused.into_inner()));
        }
        self.busy += 1;
        // Read after the job is in the channel: an idle thread that exits at this moment
        // has either seen the job or is no longer counted.
        let threads = self.threads.load(Ordering::Acquire);
        if threads >= self.busy || self.spawn() || threads > 0 {
            return Ok(());
        }
        match self.jobs.1.try_recv() {
            Ok(job) => {
                self.busy -= 1;
                Err(Box::new(job))
            }
            Err(_) => Ok(()),
        }
    }

    /// Records that the report of a job was handled.
    pub fn finish_job(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    fn spawn(&self) -> bool {
        let runner = Arc::clone(&self.runner);
        let jobs = self.jobs.1.clone();
        let reports = self.reports.clone();
        let threads = Arc::clone(&self.threads);
        threads.fetch_add(1, Ordering::AcqRel);
        let spawned = thread::Builder::new()
            .name("entry-dispatch".to_owned())
            .stack_size(DISPATCH_STACK)
            .spawn(move || run_jobs(&runner, &jobs, &reports, &threads));
        if let Err(cause) = &spawned {
            self.threads.fetch_sub(1, Ordering::AcqRel);
            error(&event::THREAD_MISSING, format_args!("cause=\"{cause}\""));
        }
        spawned.is_ok()
    }
}

fn run_jobs(
    runner: &AttemptRunner,
    jobs: &Receiver<DispatchJob>,
    reports: &Sender<AttemptReport>,
    threads: &AtomicUsize,
) {
    loop {
        let Ok(job) = jobs.recv_timeout(IDLE_TIMEOUT) else {
            threads.fetch_sub(1, Ordering::AcqRel);
            // A job may have been queued for this thread between the timeout and the
            // decrement.
            match jobs.try_recv() {
                Ok(job) => {
                    threads.fetch_add(1, Ordering::AcqRel);
                    run_job(runner, job, reports);
                    continue;
                }
                Err(_) => return,
            }
        };
        run_job(runner, job, reports);
    }
}

fn run_job(runner: &AttemptRunner, job: DispatchJob, reports: &Sender<AttemptReport>) {
    let report = runner.run(job);
    // The channel holds as many reports as there are jobs, so this never blocks. It fails
    // only once the admission thread has exited.
    let _ = reports.send(report);
}
