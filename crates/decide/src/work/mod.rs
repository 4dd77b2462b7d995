//! Decisions of the owner of a cell: which task starts where and when, what becomes of an
//! end, and which orders are in doubt.
//!
//! Start with [`WorkDesk`]. It is told of accepted jobs, of targets and of what they say, and
//! it returns orders; the crate `cell` carries them out. Ownership, fencing and the job log
//! are argued in `docs/design/13-platform.md`.

mod compacted_log;
mod demand_meter;
mod desk_admit;
mod desk_advice;
mod desk_answer;
mod desk_claim;
mod desk_end;
mod desk_evacuate;
mod desk_index;
mod desk_life;
mod desk_miss;
mod desk_order;
mod desk_plan;
mod desk_sight;
mod desk_start;
mod desk_stop;
mod desk_tick;
mod desk_tuning;
mod host_moves;
mod host_planner;
mod host_replacements;
mod host_waves;
mod job_entries;
mod job_index;
mod job_record;
mod job_summary;
mod job_table;
mod objective;
mod pick;
mod ranked_steps;
mod share_meter;
mod start_forecast;
mod step_key;
mod target_index;
mod target_state;
mod throttle;
mod tracked_map;
mod work_desk;
mod work_job;

pub use compacted_log::CompactedLog;
pub use demand_meter::DemandMeter;
pub use desk_index::DeskEffort;
pub use desk_order::{DeskEvent, DeskOrder, EndOrigin, PlaceInputs, RecordOrder};
pub use desk_tuning::DeskTuning;
pub use host_planner::{HostOrder, HostPlanner};
pub use job_record::{plan_of_record, record_of_plan};
pub use job_table::JobTable;
pub use objective::RankClass;
pub use start_forecast::StartForecast;
pub use target_state::{HostDrainState, TargetIncarnation, TargetState};
pub use tracked_map::TrackedMap;
pub use work_desk::{DeskTime, WorkDesk};
pub use work_job::{
    OccurrenceState, PlacementPhase, StepState, TaskPlacement, TaskState, WorkJob, WorkPhase,
};
