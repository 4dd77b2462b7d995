use std::{collections::BTreeMap, sync::Arc};

use model::{JobId, StepError};
use prost::Message;
use store::{KeyStore, StoreError};
use wire::fleet::{JobPage, JobRecord};

/// Number of pages above which each write also copies the current records of the oldest page.
///
/// Most jobs have ended and been forgotten before their page is the oldest. With fewer
/// pages, each record would be written several times.
const MAX_PAGES: usize = 256;

/// Result of a write to a job log.
#[derive(Debug)]
pub enum AppendOutcome {
    /// The write took effect.
    Done,
    /// Another holder took the log over; this holder must not act on its jobs any more.
    Fenced,
    /// Nothing was written.
    Failed(StepError),
    /// The result is unknown: repeat the same write until it succeeds or fails.
    Unsettled(StepError),
}

/// The pages of one job log, written by one holder at a time.
///
/// Each write creates a page at the next number by compare-and-swap, which fails if the
/// page exists. A takeover also writes the next page, so the next write of the former
/// holder fails, however long it was paused. Pages of takeovers are never removed, because
/// that would make their numbers available again.
pub struct JobLog {
    store: Arc<dyn KeyStore>,
    name: String,
    holder: String,
    next: u64,
    /// Jobs recorded in each page that may hold the newest record of a job.
    pages: BTreeMap<u64, Vec<JobId>>,
    newest: BTreeMap<JobId, u64>,
    takeovers: Vec<u64>,
}

impl JobLog {
    /// Creates an empty log under a name that is not in use.
    pub fn create(store: Arc<dyn KeyStore>, name: &str, holder: &str) -> Self {
        Self {
            store,
            name: name.to_owned(),
            holder: holder.to_owned(),
            next: 1,
            pages: BTreeMap::new(),
            newest: BTreeMap::new(),
            takeovers: Vec::new(),
        }
    }

    /// Takes a log over from its current holder and reads its jobs.
    ///
    /// # Errors
    /// If the store does not respond, or the current holder keeps writing.
    pub fn take_over(
        store: Arc<dyn KeyStore>,
        name: &str,
        holder: &str,
    ) -> Result<(Self, Vec<JobRecord>), StepError> {
        let mut log = Self::create(store, name, holder);
        let mut last = None;
        for _ in 0..TAKE_OVER_TRIES {
            let jobs = log.read_pages()?;
            match log.write_page(Vec::new(), true) {
                AppendOutcome::Done => return Ok((log, jobs)),
                AppendOutcome::Fenced => {}
                AppendOutcome::Failed(e) | AppendOutcome::Unsettled(e) => last = Some(e),
            }
        }
        let busy = || StepError::new("take job log over", name, "its holder goes on writing");
        Err(last.unwrap_or_else(busy))
    }

    /// Reads the newest records of a log without taking it over.
    ///
    /// # Errors
    /// If the store does not respond.
    pub fn read_records(store: Arc<dyn KeyStore>, name: &str) -> Result<Vec<JobRecord>, StepError> {
        Self::create(store, name, "").read_pages()
    }

    /// Name of the log.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Writes a page with `records`, which must include every job that changed.
    pub fn append(&mut self, records: Vec<JobRecord>) -> AppendOutcome {
        self.write_page(records, false)
    }

    /// Returns the jobs whose newest record is in the oldest page, or `None` while that page
    /// need not be removed.
    pub fn oldest_jobs(&self) -> Option<Vec<JobId>> {
        if self.pages.len() <= MAX_PAGES {
            return None;
        }
        let (page, jobs) = self.pages.first_key_value()?;
        let live = jobs
            .iter()
            .filter(|job| self.newest.get(*job) == Some(page));
        Some(live.cloned().collect())
    }

    /// Removes the oldest page if it is due and holds no job's newest record.
    pub fn remove_oldest(&mut self) {
        if self.oldest_jobs().is_none_or(|live| !live.is_empty()) {
            return;
        }
        let Some((page, _)) = self.pages.pop_first() else {
            return;
        };
        if self.takeovers.contains(&page) {
            return;
        }
        // If this fails, the page stays; newer pages supersede its records.
        let _ = self.store.remove(&self.page_key(page), 1);
    }

    /// Drops an ended job, so that its record is not copied to newer pages.
    pub fn forget(&mut self, job: &JobId) {
        self.newest.remove(job);
    }

    /// Removes all pages except those of takeovers.
    pub fn clear(&mut self) {
        while let Some((page, _)) = self.pages.pop_first() {
            if !self.takeovers.contains(&page) {
                let _ = self.store.remove(&self.page_key(page), 1);
            }
        }
    }
}

/// Attempts to take over a log while its holder keeps writing.
const TAKE_OVER_TRIES: u32 = 8;

impl JobLog {
    fn page_key(&self, page: u64) -> String {
        format!("jobs/{}/{page:012}", self.name)
    }

    fn write_page(&mut self, records: Vec<JobRecord>, takeover: bool) -> AppendOutcome {
        let jobs: Vec<JobId> = records
            .iter()
            .map(|record| record.job.as_str().into())
            .collect();
        let page = JobPage {
            jobs: records,
            holder: self.holder.clone(),
            sequence: self.next,
            takeover,
        };
        let key = self.page_key(self.next);
        let bytes = page.encode_to_vec();
        match self.store.swap(&key, 0, &bytes) {
            Ok(_) => {}
            Err(StoreError::Conflict { .. }) => match self.is_own_page(&key, &bytes) {
                Ok(true) => {}
                Ok(false) => return AppendOutcome::Fenced,
                Err(e) => return AppendOutcome::Unsettled(e),
            },
            Err(e @ StoreError::Unknown(_)) => {
                return AppendOutcome::Unsettled(StepError::new("write job page", key, e));
            }
            Err(e) => return AppendOutcome::Failed(StepError::new("write job page", key, e)),
        }
        for job in &jobs {
            self.newest.insert(job.clone(), self.next);
        }
        self.pages.insert(self.next, jobs);
        if takeover {
            self.takeovers.push(self.next);
        }
        self.next += 1;
        AppendOutcome::Done
    }

    /// True if the stored page equals `bytes`: this holder wrote it and the response was lost.
    fn is_own_page(&self, key: &str, bytes: &[u8]) -> Result<bool, StepError> {
        let found = self
            .store
            .read(key)
            .map_err(|e| StepError::new("read job page", key, e))?;
        Ok(found.is_some_and(|found| found.value == bytes))
    }

    fn read_pages(&mut self) -> Result<Vec<JobRecord>, StepError> {
        let prefix = format!("jobs/{}/", self.name);
        let step = |cause: String| StepError::new("read job log", &prefix, cause);
        let found = self.store.list(&prefix).map_err(|e| step(e.to_string()))?;
        self.pages.clear();
        self.newest.clear();
        self.takeovers.clear();
        let mut jobs: BTreeMap<JobId, JobRecord> = BTreeMap::new();
        for (key, stored) in found {
            let page = JobPage::decode(stored.value.as_slice())
                .map_err(|e| step(format!("{key}: {e}")))?;
            if page.takeover {
                self.takeovers.push(page.sequence);
            }
            self.next = self.next.max(page.sequence + 1);
            let names = page.jobs.iter().map(|record| record.job.as_str().into());
            self.pages.insert(page.sequence, names.collect());
            for record in page.jobs {
                let job: JobId = record.job.as_str().into();
                self.newest.insert(job.clone(), page.sequence);
                jobs.insert(job, record);
            }
        }
        Ok(jobs.into_values().collect())
    }
}
