use std::fmt;

use crate::JobId;

/// Identifies one task of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of the job, from 0; always 0 for a job that does not repeat.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Task of the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl std::str::FromStr for TaskKey {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let (index, step, occurrence) = (number()?, number()?, number()?);
        let job = parts.next().filter(|job| !job.is_empty()).ok_or(())?;
        Ok(Self {
            job: job.into(),
            occurrence,
            step,
            index,
        })
    }
}
