//! Names of the metrics of this crate; `docs/METRICS.md` describes them.

use std::time::Duration;

/// Calls of callers, by request and answer.
pub(crate) const CALLS: &str = "lws_cell_calls";
/// Cancellations that were written to the store because no owner recorded them.
pub(crate) const CANCELLATIONS_KEPT: &str = "lws_cell_cancels_kept";
/// Time from the arrival of a call to its answer.
pub(crate) const CALL_SECONDS: &str = "lws_cell_call_seconds";
/// Time from a job's arrival at the owner until it is stored.
pub(crate) const ACCEPT_SECONDS: &str = "lws_cell_accept_seconds";
/// Time of one write of a page of the job log.
pub(crate) const RECORD_SECONDS: &str = "lws_cell_record_seconds";
/// Time that a new owner needs to read the part of the log that its cache lacks.
pub(crate) const LOG_READ_SECONDS: &str = "lws_cell_log_read_seconds";
/// By how much refused jobs would have been started too late.
pub(crate) const EXCESS_SECONDS: &str = "lws_cell_excess_seconds";
/// How late the event loop resumes a task that is due.
pub(crate) const LOOP_DELAY_SECONDS: &str = "lws_cell_loop_delay_seconds";
/// Part of a core that the event loop used.
pub(crate) const PROCESSOR_USE: &str = "lws_cell_processor_use";
/// Calls in flight up to which the owner sends starts.
pub(crate) const START_LIMIT: &str = "lws_cell_start_limit";
/// For how long the owner has been behind.
pub(crate) const BEHIND_SECONDS: &str = "lws_cell_behind_seconds";
/// Writes of log pages, by outcome.
pub(crate) const LOG_WRITES: &str = "lws_cell_log_writes";
/// Orders to targets, by kind and outcome.
pub(crate) const ORDERS: &str = "lws_cell_orders";
/// Time from an order to its answer.
pub(crate) const ORDER_SECONDS: &str = "lws_cell_order_seconds";
/// Time that a start waits for a connection to its target before it is sent.
pub(crate) const ORDER_WAIT_SECONDS: &str = "lws_cell_order_wait_seconds";
/// Calls to the advice service in progress, on the owner.
pub(crate) const ADVICE_CALLS: &str = "lws_cell_advice_calls";
/// Time from a call to the advice service until its answer or the end of its timeout.
pub(crate) const ADVICE_SECONDS: &str = "lws_cell_advice_seconds";
/// Ends of runs, by how they ended.
pub(crate) const ENDS: &str = "lws_cell_task_ends";
/// Runs that the owner gave up without a reported end, by cause.
pub(crate) const RUNS_GIVEN_UP: &str = "lws_cell_runs_given_up";
/// Time from the last grant on a target until the owner gave the target up, by cause.
pub(crate) const SINCE_GRANT_SECONDS: &str = "lws_cell_since_grant_seconds";
/// Polls that renewed leases on targets while another process might have owned the cell.
pub(crate) const UNSURE_RENEWALS: &str = "lws_cell_unsure_renewals";
/// Unfinished jobs, on the owner.
pub(crate) const OPEN_JOBS: &str = "lws_cell_open_jobs";
/// Jobs that the owner refused, by cause and workspace.
pub(crate) const JOBS_REFUSED: &str = "lws_cell_jobs_refused";
/// Cores of each pool by what they are used for, on the owner.
pub(crate) const POOL_CORES: &str = "lws_cell_pool_cores";
/// Data centres that operators have drained.
pub(crate) const DRAINED_DATA_CENTRES: &str = "lws_cell_drained_data_centres";
/// 1 on the owner, 0 elsewhere.
pub(crate) const OWNER: &str = "lws_cell_owner";
/// Terms that this process has started.
pub(crate) const TERMS: &str = "lws_cell_terms";

/// Records a duration in a histogram.
pub(crate) fn record_duration(name: &'static str, duration: Duration) {
    metrics::histogram!(name).record(duration.as_secs_f64());
}

/// Counts an order by its outcome.
pub(crate) fn count_order(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!(ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
}
