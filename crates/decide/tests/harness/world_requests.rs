use std::time::Duration;

use decide::work::LogAppend;
use model::BootTime;
use rand::Rng;
use wire::work::{JobPhase, JobRecord, LogEntry, log_entry::Event};

use super::world::{SimOwner, Simulation};

/// Delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A caller's request, kept until it is acknowledged.
pub(super) struct ClientRequest {
    /// The job to submit; `None` for a cancellation.
    record: Option<JobRecord>,
    job: String,
    at: BootTime,
    /// Token of the owner that writes the request to the log.
    handled_by: Option<u64>,
}

impl Simulation {
    /// Submits a job. Without store faults it is stored immediately.
    pub(super) fn submit_record(&mut self, index: usize, record: JobRecord) {
        if self.faults.has_store_faults() {
            self.client_requests.push(ClientRequest {
                job: record.job.clone(),
                record: Some(record),
                at: self.now.boot,
                handled_by: None,
            });
            return;
        }
        self.accepted.insert(record.job.clone());
        self.owners[index].scheduler.accept_job(&record, self.now);
        let entry = entry_of(Event::Accepted(record));
        self.log.append(entry);
        self.owners[index].writer.skip_external_page(&self.log);
    }

    /// Draws whether and when a job is cancelled, and how often its caller requests that.
    pub(super) fn draw_cancels(&mut self, job: &str) {
        if self.faults.cancels == 0.0 || !self.extra_rng.random_bool(self.faults.cancels) {
            return;
        }
        // Short jobs mostly complete before their cancellation has to take effect.
        if self.extra_rng.random_bool(0.5) {
            self.long_jobs.insert(job.to_owned());
        }
        let immediate = self.extra_rng.random_bool(0.3);
        let mut at = self.now.boot;
        for _ in 0..self.extra_rng.random_range(1..=3) {
            if !immediate {
                at += Duration::from_millis(self.extra_rng.random_range(0..6000));
            }
            self.client_requests.push(ClientRequest {
                record: None,
                job: job.to_owned(),
                at,
                handled_by: None,
            });
        }
    }

    /// Sends due requests of callers to the current owner.
    pub(super) fn send_client_requests(&mut self) {
        let now = self.now.boot;
        let mut requests = std::mem::take(&mut self.client_requests);
        let mut owners = std::mem::take(&mut self.owners);
        for request in &mut requests {
            let lost = |token: u64| !owners.iter().any(|owner| owner.token == token);
            if request.handled_by.is_some_and(lost) {
                request.handled_by = None;
                request.at = now + RETRY_DELAY;
            }
            if request.handled_by.is_some() || request.at > now {
                continue;
            }
            request.at = now + RETRY_DELAY;
            let owner = owners
                .iter_mut()
                .find(|owner| owner.token == self.current_token);
            if let Some(owner) = owner
                && !self.is_lease_lapsed(owner)
            {
                self.send_request(owner, request);
            }
        }
        self.owners = owners;
        requests.retain(|request| request.at < BootTime::MAX);
        self.client_requests = requests;
    }

    fn send_request(&mut self, owner: &mut SimOwner, request: &mut ClientRequest) {
        let phase = owner.scheduler.job_phase(&request.job);
        let event = match (&request.record, phase) {
            (Some(_), Some(_)) => {
                self.accepted.insert(request.job.clone());
                request.at = BootTime::MAX;
                return;
            }
            (Some(record), None) => Event::Accepted(record.clone()),
            (None, _) if !self.accepted.contains(&request.job) => return,
            (None, None) => {
                let (job, token) = (&request.job, owner.token);
                self.violation(&format!(
                    "owner {token} does not know the job {job} of a cancellation"
                ));
                request.at = BootTime::MAX;
                return;
            }
            (None, Some(JobPhase::Queued | JobPhase::Running)) => {
                Event::Cancelled(request.job.clone())
            }
            (None, Some(_)) => {
                request.at = BootTime::MAX;
                return;
            }
        };
        if owner.writer.is_failing() {
            return;
        }
        request.handled_by = Some(owner.token);
        let record = LogAppend {
            entry: entry_of(event),
            origin: None,
            job: None,
            urgent: true,
        };
        owner.writer.push(record, self.now.boot);
    }

    /// Acknowledges a caller's request that was stored, or schedules a retry.
    pub(super) fn complete_request(&mut self, token: u64, event: &Event, stored: bool) {
        let (job, cancels) = match event {
            Event::Accepted(record) => (record.job.as_str(), false),
            Event::Cancelled(job) => (job.as_str(), true),
            _ => return,
        };
        if stored && cancels {
            let now = self.now.boot;
            self.cancelled.entry(job.to_owned()).or_insert(now);
            self.record_event(&format!("{job} is cancelled at owner {token}"));
        } else if stored {
            self.accepted.insert(job.to_owned());
        }
        let same = |request: &&mut ClientRequest| {
            request.job == job
                && request.record.is_none() == cancels
                && request.handled_by == Some(token)
        };
        if let Some(request) = self.client_requests.iter_mut().find(same) {
            request.handled_by = None;
            request.at = if stored {
                BootTime::MAX
            } else {
                self.now.boot + RETRY_DELAY
            };
        }
    }
}

fn entry_of(event: Event) -> LogEntry {
    LogEntry { event: Some(event) }
}
