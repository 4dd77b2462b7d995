use std::time::Duration;

use decide::work::LogAppend;
use model::BootTime;
use rand::Rng;
use wire::work::{JobPhase, JobRecord, LogEntry, log_entry::Event};

use super::world::{DeskWorld, WorldOwner};

/// How long callers wait before they ask again.
const AGAIN: Duration = Duration::from_millis(300);

/// What a caller wants, until it is told that it is so.
pub(super) struct WorldAsk {
    /// The job to hand in; `None` to cancel it.
    record: Option<JobRecord>,
    job: String,
    at: BootTime,
    /// Owner that is recording it.
    by: Option<u64>,
}

impl DeskWorld {
    /// Hands a job in. A store without faults has it at once.
    pub(super) fn hand_in(&mut self, index: usize, record: JobRecord) {
        if self.faults.has_store_faults() {
            self.asks.push(WorldAsk {
                job: record.job.clone(),
                record: Some(record),
                at: self.now.boot,
                by: None,
            });
            return;
        }
        self.accepted.insert(record.job.clone());
        self.owners[index].desk.accept_job(&record, self.now);
        let entry = entry_of(Event::Accepted(record));
        self.log.append(entry);
        self.owners[index].log.skip_page(&self.log);
    }

    /// Decides whether and when a job is cancelled, and how often its caller asks for that.
    pub(super) fn draw_cancels(&mut self, job: &str) {
        if self.faults.cancels == 0.0 || !self.more.random_bool(self.faults.cancels) {
            return;
        }
        // Else most would be done before their cancellation has to take effect.
        if self.more.random_bool(0.5) {
            self.long.insert(job.to_owned());
        }
        let at_once = self.more.random_bool(0.3);
        let mut at = self.now.boot;
        for _ in 0..self.more.random_range(1..=3) {
            if !at_once {
                at += Duration::from_millis(self.more.random_range(0..6000));
            }
            self.asks.push(WorldAsk {
                record: None,
                job: job.to_owned(),
                at,
                by: None,
            });
        }
    }

    /// Lets callers ask the present owner.
    pub(super) fn ask_owner(&mut self) {
        let now = self.now.boot;
        let mut asks = std::mem::take(&mut self.asks);
        let mut owners = std::mem::take(&mut self.owners);
        for ask in &mut asks {
            let lost = |token: u64| !owners.iter().any(|owner| owner.token == token);
            if ask.by.is_some_and(lost) {
                ask.by = None;
                ask.at = now + AGAIN;
            }
            if ask.by.is_some() || ask.at > now {
                continue;
            }
            ask.at = now + AGAIN;
            let owner = owners.iter_mut().find(|owner| owner.token == self.token);
            if let Some(owner) = owner
                && !self.is_lapsed(owner)
            {
                self.ask(owner, ask);
            }
        }
        self.owners = owners;
        asks.retain(|ask| ask.at < BootTime::MAX);
        self.asks = asks;
    }

    fn ask(&mut self, owner: &mut WorldOwner, ask: &mut WorldAsk) {
        let phase = owner.desk.job_phase(&ask.job);
        let event = match (&ask.record, phase) {
            (Some(_), Some(_)) => {
                self.accepted.insert(ask.job.clone());
                ask.at = BootTime::MAX;
                return;
            }
            (Some(record), None) => Event::Accepted(record.clone()),
            (None, _) if !self.accepted.contains(&ask.job) => return,
            (None, None) => {
                let (job, token) = (&ask.job, owner.token);
                self.found(&format!("owner {token} does not know {job} to cancel it"));
                ask.at = BootTime::MAX;
                return;
            }
            (None, Some(JobPhase::Queued | JobPhase::Running)) => Event::Cancelled(ask.job.clone()),
            (None, Some(_)) => {
                ask.at = BootTime::MAX;
                return;
            }
        };
        if owner.log.is_failing() {
            return;
        }
        ask.by = Some(owner.token);
        let record = LogAppend {
            entry: entry_of(event),
            origin: None,
            job: None,
            urgent: true,
        };
        owner.log.add(record, self.now.boot);
    }

    /// A caller's entry was stored, or was given up before it could be.
    pub(super) fn answer_ask(&mut self, token: u64, event: &Event, stored: bool) {
        let (job, cancels) = match event {
            Event::Accepted(record) => (record.job.as_str(), false),
            Event::Cancelled(job) => (job.as_str(), true),
            _ => return,
        };
        if stored && cancels {
            let now = self.now.boot;
            self.cancelled.entry(job.to_owned()).or_insert(now);
            self.note(&format!("{job} is cancelled at owner {token}"));
        } else if stored {
            self.accepted.insert(job.to_owned());
        }
        let same = |ask: &&mut WorldAsk| {
            ask.job == job && ask.record.is_none() == cancels && ask.by == Some(token)
        };
        if let Some(ask) = self.asks.iter_mut().find(same) {
            ask.by = None;
            ask.at = if stored {
                BootTime::MAX
            } else {
                self.now.boot + AGAIN
            };
        }
    }
}

fn entry_of(event: Event) -> LogEntry {
    LogEntry { event: Some(event) }
}
