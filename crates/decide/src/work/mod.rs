//! Scheduling decisions of the owner of a cell: which task starts where and when, how ended runs
//! are handled, and which orders are unconfirmed.
//!
//! Start with [`WorkScheduler`]. It receives accepted jobs, the host list and the reports of targets,
//! and returns the actions that the crate `cell` executes. Ownership, fencing and the job log are
//! described in `docs/design/13-platform.md`.

mod admission_policy;
mod advice_admission;
mod advice_calls;
mod advice_candidates;
mod advice_line;
mod advice_queue;
mod advice_shortage;
mod compacted_log;
mod core_demand;
mod decaying_sum;
mod demand_meter;
mod fair_order;
mod fleet_division;
mod grant_rates;
mod host_division;
mod host_moves;
mod host_planner;
mod host_replacements;
mod host_waves;
mod job_entries;
mod job_index;
mod job_record;
mod job_summary;
mod job_table;
mod job_terms;
mod objective;
mod occurrence_index;
mod occurrence_map;
mod occurrence_summary;
mod offered_work;
mod past_run;
mod pick;
mod pool_survey;
mod ranked_steps;
mod scheduler_action;
mod scheduler_admit;
mod scheduler_advice;
mod scheduler_answer;
mod scheduler_claim;
mod scheduler_drain;
mod scheduler_end;
mod scheduler_evacuate;
mod scheduler_event;
mod scheduler_incarnation;
mod scheduler_index;
mod scheduler_listing;
mod scheduler_plan;
mod scheduler_report;
mod scheduler_start;
mod scheduler_stop;
mod scheduler_tick;
mod scheduler_tuning;
mod scheduler_unreachable;
mod share_meter;
mod start_forecast;
mod start_rate_admission;
mod step_advice;
mod step_key;
mod target_index;
mod target_state;
mod throttle;
mod tracked_map;
mod wait_forecast;
mod work_admission;
mod work_job;
mod work_scheduler;

pub use advice_calls::AdviceCaller;
pub use compacted_log::CompactedLog;
pub use demand_meter::DemandMeter;
pub use fair_order::FairOrder;
pub use fleet_division::{PoolNeed, divide_fleet};
pub use host_division::PoolDivision;
pub use host_moves::millicores_to_cores;
pub use host_planner::{HostOrder, HostPlanner};
pub use job_record::{plan_of_record, record_of_limit, record_of_plan};
pub use job_table::JobTable;
pub use job_terms::JobTerms;
pub use objective::RankClass;
pub use occurrence_map::OccurrenceMap;
pub use offered_work::OfferedWork;
pub use past_run::{EarlierRun, PastRun};
pub use pool_survey::PoolSurvey;
pub use scheduler_action::{AdviceRequest, EndOrigin, LogAppend, SchedulerAction};
pub use scheduler_event::{LapsedLease, LossCause, PlacementInputs, SchedulerEvent, TargetLoss};
pub use scheduler_index::WorkCounters;
pub use scheduler_tuning::SchedulerTuning;
pub use start_forecast::StartForecast;
pub use step_advice::StepAdvice;
pub use target_state::{HostDrainState, TargetIncarnation, TargetState};
pub use tracked_map::TrackedMap;
pub use wait_forecast::{PoolCores, WorkspaceLoad, predict_wait};
pub use work_job::{
    OccurrenceState, PlacementPhase, StepState, TaskPlacement, TaskState, WorkJob, WorkPhase,
};
pub use work_scheduler::{SchedulerTime, WorkScheduler};
