//! Names of the metrics of this crate; `docs/METRICS.md` describes them.

use std::time::Duration;

/// Calls of callers, by what they asked and how they were answered.
pub(crate) const CALLS: &str = "cell_calls_total";
/// Time from the arrival of a call to its answer.
pub(crate) const CALL_SECONDS: &str = "cell_call_seconds";
/// Time from a job's arrival at the owner until it is stored.
pub(crate) const RECORD_SECONDS: &str = "cell_record_seconds";
/// Calls to the store, by operation and outcome.
pub(crate) const LOG_WRITES: &str = "cell_log_writes_total";
/// Orders to targets, by kind and outcome.
pub(crate) const ORDERS: &str = "cell_orders_total";
/// Time from an order to its answer.
pub(crate) const ORDER_SECONDS: &str = "cell_order_seconds";
/// Ends of runs, by how they ended.
pub(crate) const ENDS: &str = "cell_task_ends_total";
/// Jobs that have something left to do, on the owner.
pub(crate) const OPEN_JOBS: &str = "cell_open_jobs";
/// 1 on the owner, 0 elsewhere.
pub(crate) const OWNER: &str = "cell_owner";
/// Terms that this process has begun.
pub(crate) const TERMS: &str = "cell_terms_total";

/// Records a duration in a histogram.
pub(crate) fn time(name: &'static str, duration: Duration) {
    metrics::histogram!(name).record(duration.as_secs_f64());
}
