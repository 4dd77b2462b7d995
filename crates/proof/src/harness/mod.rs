mod caller_crew;
mod entry_process;
mod fleet_operator;
mod free_port;
mod json_client;
mod live_process;
mod request_call;
mod test_fleet;

pub use caller_crew::{CallerCrew, CrewPlan, CrewTally};
pub use entry_process::{EntryPlace, EntryProcess};
pub use fleet_operator::{FleetOperator, StatusAnswer, TeamKey};
pub use free_port::free_port;
pub use json_client::JsonClient;
pub use live_process::{BinaryKind, LiveProcess};
pub use request_call::{RequestCall, RequestClient, RequestReply};
pub use test_fleet::{FleetPlan, FleetTarget, TestFleet, await_true};
