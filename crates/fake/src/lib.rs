//! Small stand-ins of the platform and of the targets, with fault switches.
//!
//! Each stand-in is a server on a thread of its own: start with [`StoreFake`],
//! [`HostListFake`], [`ExecutorFake`] or [`RelayFake`] inside a test, or run the program
//! `fake` for one in a process of its own. All records carry the machine's boot clock, so
//! that checkers can compare them across processes. The calls they answer are those of
//! `docs/PLATFORM.md`; paths under `/fake/` are switches and records for tests.

mod boot_time;
mod executor_fake;
mod executor_state;
mod fake_reply;
mod fake_server;
mod fault_dice;
mod hex_text;
mod host_list_fake;
mod http_call;
mod relay_fake;
mod store_call;
mod store_fake;
mod store_state;
mod work_order;
mod worker_fake;
mod worker_record;
mod worker_state;

pub use boot_time::boot_nanos;
pub use executor_fake::ExecutorFake;
pub use executor_state::{
    DrainRecord, ExecutorCounts, ExecutorFaults, ExecutorSettings, RunRecord,
};
pub use fake_reply::FakeReply;
pub use fake_server::{CallHandler, FakeServer, ReplyFuture};
pub use fault_dice::{FaultDice, FaultRate};
pub use host_list_fake::{HostListFake, HostListFaults, HostRow};
pub use http_call::HttpCall;
pub use relay_fake::{LinkMode, LinkState, RelayFake};
pub use store_fake::{StoreCalls, StoreFake, ViewCalls};
pub use store_state::{StoreFaults, StoreHistory, StoreWrite};
pub use work_order::{WorkOrder, digest_bytes, expected_answer};
pub use worker_fake::WorkerFake;
pub use worker_record::{StartRecord, TaskOrder, TaskReport, WorkerFaults, WorkerSettings};
