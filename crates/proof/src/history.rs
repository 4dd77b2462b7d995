use fake::{RunRecord, StoreWrite};
use model::RunFate;
use serde::{Deserialize, Serialize};

/// Time on the machine's boot clock, in nanoseconds: the one clock of a history.
pub type BootNanos = u64;

/// When an operation was begun and when it ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpSpan {
    /// Before the first byte went out.
    pub invoke_ns: BootNanos,
    /// After the last byte came in, or when the caller gave up.
    pub response_ns: BootNanos,
}

/// One attempt of a caller to have a request run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestOp {
    /// When.
    pub span: OpSpan,
    /// Entry host that was asked.
    pub entry: String,
    /// Request id that the caller gave; empty if it gave none.
    pub request: String,
    /// Mark in the body: the same for all attempts to have one piece of work done.
    pub nonce: String,
    /// Id of the key that came with it.
    pub key_id: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// What came of it.
    pub outcome: RequestOutcome,
}

/// What a caller was told of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// An answer came; whole and right, or not.
    Answer {
        /// True if it is the one right answer to the body that was sent.
        is_right: bool,
    },
    /// A refusal with the fate of the work.
    Refused {
        /// Whether it ran.
        fate: RunFate,
        /// Kind of the problem.
        kind: String,
    },
    /// The connection could not be made.
    NotConnected,
    /// The connection broke or the caller gave up.
    #[default]
    Nothing,
}

/// One change that an operator asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeOp {
    /// When.
    pub span: OpSpan,
    /// Entry host that was asked.
    pub entry: String,
    /// Id of the change.
    pub change_id: String,
    /// Revision that it was made against; `None` for whatever is newest.
    pub base: Option<u64>,
    /// What it does.
    pub effect: ChangeEffect,
    /// What came of it.
    pub outcome: ChangeResult,
}

/// What a change does, as far as checkers care.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum ChangeEffect {
    /// Replaces manifest sections; limits of teams after it.
    Manifest {
        /// Upper limit by team.
        limits: Vec<(String, u32)>,
    },
    /// Grants a key to a team.
    Grant {
        /// The key.
        key_id: String,
        /// Its team.
        team: String,
    },
    /// Withdraws a key.
    Withdraw {
        /// The key.
        key_id: String,
    },
    /// Nothing that a checker looks at.
    #[default]
    Other,
}

/// What an operator was told of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// Accepted at this revision.
    Accepted {
        /// The revision.
        revision: u64,
        /// True if an earlier request with the same id had made it.
        repeated: bool,
    },
    /// Another change came first; nothing was recorded.
    Conflict {
        /// Newest revision.
        newest: u64,
    },
    /// Refused as invalid, or not recorded because the store can't be reached.
    NotRecorded,
    /// Not accepted yet, or no answer came: it may be recorded.
    #[default]
    Unclear,
}

/// Configuration in force on one entry host, as it showed itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForceOp {
    /// When it was asked.
    pub span: OpSpan,
    /// The entry host.
    pub member: String,
    /// Revision in force there.
    pub revision: u64,
    /// Hash of the configuration in force there.
    pub hash: String,
    /// Whether it takes new work.
    pub serving: bool,
}

/// One run on a target, by the target's own record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRun {
    /// The target.
    pub host: String,
    /// Its record.
    pub run: RunRecord,
}

/// A target that was asked to drain, by its own record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDrain {
    /// The target.
    pub host: String,
    /// When the drain began.
    pub begin_ns: BootNanos,
    /// When it ended, by undrain or reboot; 0 if it goes on.
    pub end_ns: BootNanos,
    /// When work was last sent to it while it drained; 0 for never.
    pub last_attempt_ns: BootNanos,
}

/// All that happened in one run of the system, in no order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// What callers did.
    pub requests: Vec<RequestOp>,
    /// What operators did.
    pub changes: Vec<ChangeOp>,
    /// What entry hosts had in force.
    pub forces: Vec<ForceOp>,
    /// What targets ran.
    pub runs: Vec<HostRun>,
    /// Which targets drained.
    pub drains: Vec<HostDrain>,
    /// What the store recorded, in order.
    pub writes: Vec<StoreWrite>,
}
