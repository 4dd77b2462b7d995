use std::{collections::BTreeSet, time::Duration};

use compact_str::CompactString;
use model::{
    HostId, JobId, PoolId,
    work::{AttemptNumber, TaskKey},
};

use super::{EarlierRun, RankClass};

/// Inputs of a placement decision, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementInputs {
    /// Rank class of the job.
    pub class: RankClass,
    /// Age of the target's last response.
    pub last_response_age: Duration,
    /// CPU left on the target with this task placed, in thousandths of a core.
    pub free_cpu: u64,
    /// What is known of the task's earlier runs.
    pub earlier: EarlierRun,
}

/// The fact on which the end of a target's incarnation rests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// Its host has completed an order of this owner.
    HostOrdered,
    /// A poll was answered by a later incarnation.
    RestartReported,
    /// The host list has the entry of a later incarnation.
    RestartListed,
    /// Another incarnation refused a poll.
    PollMisdirected,
    /// Another incarnation refused a start.
    StartMisdirected,
    /// Another incarnation refused a stop.
    StopMisdirected,
    /// The host list has this target at its address.
    AddressTaken(HostId),
    /// Consecutive lists of all hosts lacked it.
    HostAbsent,
    /// The leases granted on it have expired.
    LeaseLapsed(LapsedLease),
}

/// What an owner knew of a target whose leases it counts as expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapsedLease {
    /// Whether an earlier owner may have started tasks there.
    pub inherited: bool,
    /// Whether a poll of this owner was answered there.
    pub polled: bool,
    /// Whether the log has a hand-over and no order to a host after it.
    pub handed_over: bool,
    /// Number of listed targets that answered this owner.
    pub reached: usize,
    /// Number of listed targets.
    pub listed: usize,
}

/// The end of a target's incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoss {
    /// What it rests on.
    pub cause: LossCause,
    /// Number of runs that are given up with it.
    pub runs: usize,
    /// Time since this owner last granted a lease there, or since it read the log if an earlier
    /// owner may have done so; `None` if neither.
    pub since_grant: Option<Duration>,
}

impl LossCause {
    /// Why the incarnation counts as over.
    pub fn why(&self) -> &'static str {
        match self {
            Self::HostOrdered => "ordered",
            Self::RestartReported | Self::RestartListed => "reborn",
            Self::PollMisdirected
            | Self::StartMisdirected
            | Self::StopMisdirected
            | Self::AddressTaken(_) => "replaced",
            Self::HostAbsent => "no-host",
            Self::LeaseLapsed(_) => "lapsed",
        }
    }

    /// The fact that shows it.
    pub fn fact(&self) -> &'static str {
        match self {
            Self::HostOrdered => "host-order",
            Self::RestartReported => "report",
            Self::RestartListed => "entry",
            Self::PollMisdirected => "poll-refused",
            Self::StartMisdirected => "start-refused",
            Self::StopMisdirected => "stop-refused",
            Self::AddressTaken(_) => "address",
            Self::HostAbsent => "host-lists",
            Self::LeaseLapsed(_) => "lapse",
        }
    }
}

/// A decision, or a change of the known state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A task was placed.
    Placed(TaskKey, AttemptNumber, HostId, PlacementInputs),
    /// A run that this scheduler did not start was found and is adopted; with the cause if this
    /// scheduler had counted it as over.
    Adopted(TaskKey, AttemptNumber, HostId, Option<&'static str>),
    /// A run without a matching task was found and is stopped; with the cause if this scheduler had
    /// counted it as over.
    Unwanted(TaskKey, AttemptNumber, HostId, Option<&'static str>),
    /// A run ended.
    Ended(TaskKey, AttemptNumber, HostId, &'static str),
    /// A start was not answered, so its outcome is polled.
    Unconfirmed(TaskKey, AttemptNumber, HostId),
    /// A start was refused.
    StartRefused(TaskKey, AttemptNumber, HostId, &'static str),
    /// A run made no progress for too long. It is stopped, to be started elsewhere.
    Stalled(TaskKey, AttemptNumber, HostId),
    /// A run is missing from the report of its target.
    Vanished(TaskKey, AttemptNumber, HostId),
    /// A job ended.
    JobEnded(JobId, &'static str),
    /// A target has become usable.
    TargetUsable(HostId),
    /// A target's incarnation ended with all of its runs.
    TargetLost(HostId, TargetLoss),
    /// A target is unreachable; its possible runs, with this count, are recorded.
    TargetUnreachable(HostId, usize),
    /// A target has become unresponsive.
    TargetUnresponsive(HostId),
    /// A queue with open jobs was moved to another pool.
    QueueMoved(CompactString, PoolId),
    /// Jobs of predecessors that may have tasks in these pools wait until all targets there have been
    /// polled. Empty once no job waits for that.
    UnpolledPools(BTreeSet<PoolId>),
    /// Many of this number of listed targets are unresponsive at once, so none is given up for now.
    MassUnresponsive(usize),
}
