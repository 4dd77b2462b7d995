use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::FaultRate;

/// What a worker is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Run time of tasks whose payload doesn't say theirs.
    pub run_time: Duration,
    /// How long a reboot takes.
    pub reboot: Duration,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            cores: 16,
            memory_mb: 32 * 1024,
            accelerators: 0,
            run_time: Duration::from_millis(200),
            reboot: Duration::from_millis(500),
        }
    }
}

/// Faults of a worker; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every task that starts fails.
    pub fail_all: bool,
    /// Starts whose answer is lost after they took effect.
    pub lose_starts: FaultRate,
    /// Starts that are refused as not run.
    pub refuse_starts: FaultRate,
    /// Health calls fail.
    pub fail_health: bool,
    /// Connections are refused; what runs goes on.
    pub gone: bool,
    /// Seed of the chances.
    pub seed: u64,
}

/// A task as the caller sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskOrder {
    /// Id, unique for each attempt of a job.
    pub task: String,
    /// Life of the worker that it is meant for; another life refuses it.
    pub boot: String,
    /// Team that it is run for.
    pub team: String,
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Lease; the worker stops the task unless it is renewed.
    pub lease_ms: u64,
    /// Whether running the job twice does no harm.
    pub idempotent: bool,
    /// Payload in hexadecimal text.
    pub payload: String,
}

/// The state of a task as a worker tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskReport {
    /// Id of the task.
    pub task: String,
    /// running, done, failed, stopped, refused or unknown.
    pub state: String,
    /// Why it failed; empty otherwise.
    pub reason: String,
}

/// One start of a task, kept over reboots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StartRecord {
    /// Id of the task.
    pub task: String,
    /// Team.
    pub team: String,
    /// Whether the job is idempotent.
    pub idempotent: bool,
    /// Mark in the payload.
    pub nonce: String,
    /// Start, in nanoseconds of the boot clock.
    pub start_ns: u64,
    /// End; 0 while it runs.
    pub end_ns: u64,
    /// done, failed, stopped, lease or cut; empty while it runs.
    pub outcome: String,
}
