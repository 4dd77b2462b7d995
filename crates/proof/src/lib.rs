//! History recording, checkers and the harness that runs the system in real processes.
//!
//! Start with [`HistoryLog`], which records what callers and operators see, and with the
//! types that implement [`HistoryCheck`]: each looks for one broken promise in a
//! [`History`] and reads nothing else. [`TestFleet`] runs the system in real processes,
//! [`CallerCrew`] and [`FleetOperator`] work on it. `docs/PROOF.md` says which check stands for which
//! promise, and what is not proved.

mod check;
mod harness;
mod hex_text;
mod history;
mod history_log;
mod soak;
mod violation;

pub use check::{
    DrainCheck, ForceCheck, GrantCheck, KeyCheck, KeyRegisterSpec, LimitCheck, MemberCheck,
    OnceCheck, PoolCheck, RefusalCheck, RegisterOp, RevisionCheck, RevisionOp, RevisionSpec,
    RevisionState, WholeCheck, is_linearizable,
};
pub use harness::{
    BinaryKind, CallerCrew, CrewPlan, CrewTally, EntryPlace, EntryProcess, FleetOperator,
    FleetPlan, FleetTarget, JsonClient, LiveProcess, RequestCall, RequestClient, RequestReply,
    StatusAnswer, TeamKey, TestFleet, await_true, free_port,
};
pub use hex_text::decode_hex;
pub use history::{
    BootNanos, ChangeEffect, ChangeOp, ChangeResult, ForceOp, History, HostDrain, HostRun, OpSpan,
    RequestOp, RequestOutcome,
};
pub use history_log::{HistoryLog, OpTimer};
pub use soak::{
    CallerJob, DrainPeriod, FAULT_KINDS, FaultKind, HeldUp, PartitionPeriod, PlannedFault,
    PlannedPartition, SoakHistory, SoakPlan, SoakReport, SoakSchedule, SoakTally, check_soak,
    plan_faults, run_soak, trace_task,
};
pub use violation::{HistoryCheck, Violation};
