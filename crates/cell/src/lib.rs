//! Ownership of a cell of the fleet, its job log and the orders to its targets.
//!
//! Start with [`CellHost`], which runs everything that one process of the cell does. Every process
//! answers callers. One of them owns the cell by a lease in the store and schedules its work for
//! one [`Term`](term::Term). The scheduling decisions are made in `decide::work`; this crate has
//! the event loop, the job log in the store and the calls over the network.
//! `docs/design/13-platform.md` explains the design.

pub mod event;

mod advice_call;
mod call_limiter;
mod caller_gateway;
mod cell_host;
mod cell_options;
mod cell_ports;
mod dependency_logger;
mod election;
mod election_promise;
mod event_log;
mod fleet_view;
mod host_limits;
mod host_loop;
mod load_watch;
mod log_cache;
mod log_compact;
mod log_page;
mod log_pages;
mod log_queue;
mod log_reader;
mod log_writer;
mod loop_watch;
mod member_directory;
mod metric;
mod metrics_service;
mod owner_client;
mod owner_service;
mod owner_view;
mod peer_call;
mod peer_service;
mod pool_report;
mod prefix_watch;
mod start_check;
mod step_down;
mod store_check;
mod stored_cancellation;
mod target_channel;
mod target_orders;
mod target_poll;
mod target_watch;
mod term;
mod term_run;
mod unsure_renewals;
mod watch_timeout;

pub use cell_host::CellHost;
pub use cell_options::CellOptions;
pub use cell_ports::CellPorts;
pub use host_limits::HostLimits;
