use std::time::Duration;

use model::work::{AdvicePolicy, QueuePolicy};
use wire::work::{AdviceRecord, TermsRecord};

/// Unit in which a record holds [`JobTerms::slack_factor`].
const SLACK_FACTOR_UNIT: f64 = 1e-6;

/// What a queue's policy sets for the execution of its jobs.
///
/// A job has the terms of its queue. Once the policy no longer has the queue, the job keeps the last
/// ones, and a successor those that the log records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobTerms {
    /// Number of failed runs of one task after which the job fails; at least 1.
    pub max_attempts: u32,
    /// Priority; smaller numbers go first.
    pub priority: u32,
    /// Factor of the objective.
    pub slack_factor: f64,
    /// Constant part of the objective.
    pub slack_time: Duration,
    /// Advice service that restricts the targets of a step; `None` if all targets are allowed.
    pub advice: Option<AdvicePolicy>,
}

impl JobTerms {
    /// Terms of a job whose queue no longer exists and whose record, of an earlier version, has
    /// none: its tasks are not started again after a failure, because nobody knows whether they
    /// may be.
    pub(super) const UNRECORDED: Self = Self {
        max_attempts: 1,
        priority: u32::MAX,
        slack_factor: 1.0,
        slack_time: Duration::ZERO,
        advice: None,
    };

    /// Returns the terms of a queue.
    pub fn of_queue(queue: &QueuePolicy) -> Self {
        Self {
            max_attempts: queue.max_attempts.max(1),
            priority: queue.priority,
            slack_factor: queue.slack_factor,
            slack_time: queue.slack_time,
            advice: queue.advice,
        }
    }

    /// Converts a log record.
    pub fn of_record(record: &TermsRecord) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "policies set small factors")]
        let slack_factor = record.slack_factor_ppm as f64 * SLACK_FACTOR_UNIT;
        let advice = record.advice.as_ref();
        Self {
            max_attempts: record.max_attempts.max(1),
            priority: record.priority,
            slack_factor,
            slack_time: Duration::from_micros(record.slack_us),
            advice: advice.map(|advice| AdvicePolicy {
                fixed: Duration::from_micros(advice.fixed_us),
                per_target: Duration::from_micros(advice.per_target_us),
                valid: Duration::from_micros(advice.valid_us),
            }),
        }
    }

    /// Converts to a log record.
    pub fn to_record(&self) -> TermsRecord {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts saturate, and a negative factor counts as zero"
        )]
        let slack_factor_ppm = (self.slack_factor / SLACK_FACTOR_UNIT).round() as u64;
        TermsRecord {
            max_attempts: self.max_attempts,
            priority: self.priority,
            slack_factor_ppm,
            slack_us: micros(self.slack_time),
            advice: self.advice.map(|advice| AdviceRecord {
                fixed_us: micros(advice.fixed),
                per_target_us: micros(advice.per_target),
                valid_us: micros(advice.valid),
            }),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
