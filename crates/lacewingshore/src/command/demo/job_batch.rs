use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;

/// Jobs that the demo submits.
const JOBS: usize = 60;
/// Run time of each job; the stand-in of a worker reads it from the payload.
const RUN_MS: u64 = 400;
/// Final phases of a job.
const END_PHASES: [&str; 5] = ["done", "failed", "cancelled", "parked", "unknown"];

/// A batch of jobs, submitted over the first half of the demo and polled until all have ended.
pub struct JobBatch {
    callers: Vec<String>,
    bearer: String,
    service: String,
    agent: ureq::Agent,
    jobs: Vec<JobView>,
    sent: usize,
    refused: usize,
    /// Response body of the last refusal.
    refusal: String,
}

/// The fields of a job that the demo uses.
#[derive(Clone, Debug, Default, Deserialize)]
struct JobView {
    job: String,
    phase: String,
    attempt: u32,
    reason: String,
}

impl JobBatch {
    /// Creates a batch for `service`, submitted with `key` to each of `callers` in turn.
    pub fn new(callers: &str, service: &str, key: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(10)))
            .build()
            .into();
        Self {
            callers: callers
                .split(',')
                .map(|url| url.trim().to_owned())
                .collect(),
            bearer: format!("Bearer {}", key.trim()),
            service: service.to_owned(),
            agent,
            jobs: Vec::new(),
            sent: 0,
            refused: 0,
            refusal: String::new(),
        }
    }

    /// Submits the jobs that are due at `fraction` of the demo, from 0 to 1, and polls those
    /// that have not ended.
    pub fn advance(&mut self, fraction: f64) {
        // All jobs are submitted by half of the demo, so that they run during the maintenance wave.
        let due_count = ((fraction * 2.0).min(1.0) * JOBS as f64).ceil() as usize;
        while self.sent < due_count {
            self.submit();
        }
        self.refresh();
    }

    /// Returns whether every job has ended.
    pub fn all_ended(&self) -> bool {
        self.jobs
            .iter()
            .all(|job| END_PHASES.contains(&job.phase.as_str()))
    }

    /// Polls every job that has not ended.
    pub fn refresh(&mut self) {
        for index in 0..self.jobs.len() {
            let Some(job) = self.jobs.get(index) else {
                continue;
            };
            if END_PHASES.contains(&job.phase.as_str()) {
                continue;
            }
            let url = format!("{}/v1/jobs/{}", self.caller_url(index), job.job);
            let call = self.agent.get(url).header("Authorization", &self.bearer);
            if let (Some(view), Some(job)) = (read_job(call.call()), self.jobs.get_mut(index)) {
                *job = view;
            }
        }
    }

    /// Prints the number of jobs in each phase.
    pub fn print(&self) {
        let mut phases: BTreeMap<&str, usize> = BTreeMap::new();
        for job in &self.jobs {
            *phases.entry(job.phase.as_str()).or_default() += 1;
        }
        let phases: Vec<String> = phases
            .iter()
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        let attempts: u32 = self.jobs.iter().map(|job| job.attempt).sum();
        println!(
            "jobs: {} accepted, {} refused; {}; {attempts} attempts",
            self.jobs.len(),
            self.refused,
            phases.join(", ")
        );
        if self.refused > 0 {
            println!("  last refusal: {}", self.refusal);
        }
        for job in self.jobs.iter().filter(|job| !job.reason.is_empty()) {
            println!("  job {} {}: {}", job.job, job.phase, job.reason);
        }
    }

    /// Reports jobs that were accepted and did not end as done, or that none was accepted.
    pub fn violations(&self) -> Option<String> {
        if self.jobs.is_empty() {
            return Some("no job was accepted".to_owned());
        }
        let unfinished = self.jobs.iter().filter(|job| job.phase != "done").count();
        (unfinished > 0).then(|| format!("{unfinished} accepted jobs were not finished"))
    }

    fn submit(&mut self) {
        let url = format!(
            "{}/v1/services/{}/jobs",
            self.caller_url(self.sent),
            self.service
        );
        self.sent += 1;
        let call = self
            .agent
            .post(url)
            .header("Authorization", &self.bearer)
            .header("Run-Time-Ms", RUN_MS.to_string())
            .header("Memory-Mb", "512")
            .send(format!("work us={}\n", RUN_MS * 1000));
        match call {
            Ok(mut answer) if !answer.status().is_success() => {
                self.refused += 1;
                self.refusal = answer.body_mut().read_to_string().unwrap_or_default();
            }
            answer => match read_job(answer) {
                Some(job) => self.jobs.push(job),
                None => self.refused += 1,
            },
        }
    }

    fn caller_url(&self, request_index: usize) -> &str {
        let index = request_index % self.callers.len().max(1);
        self.callers.get(index).map_or("", String::as_str)
    }
}

fn read_job(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Option<JobView> {
    let mut answer = answer.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let text = answer.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}
