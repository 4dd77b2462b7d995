//! Ownership of a cell of the fleet, its job log and the orders to its targets.
//!
//! Start with [`CellHost`], everything that one process of the system does. Every process
//! answers callers; one of them owns the cell by a lease of the store and decides for it in a
//! [`Term`](term::Term). What it decides is in `decide::work`; here are the event loop, the
//! log in the store and the calls. The design is argued in `docs/design/13-platform.md`.

pub mod event;

mod call_gate;
mod caller_front;
mod cell_host;
mod cell_options;
mod cell_ports;
mod dependency_note;
mod election;
mod fleet_view;
mod host_duty;
mod host_strength;
mod kept_cancellation;
mod log_compact;
mod log_copy;
mod log_page;
mod log_pages;
mod log_queue;
mod log_reader;
mod log_writer;
mod member_book;
mod metric;
mod metrics_port;
mod owner_desk;
mod owner_view;
mod peer_call;
mod peer_port;
mod prefix_watch;
mod record_note;
mod stand_pledge;
mod step_aside;
mod store_witness;
mod target_lane;
mod target_look;
mod target_orders;
mod target_watch;
mod term;
mod term_run;

pub use cell_host::CellHost;
pub use cell_options::CellOptions;
pub use cell_ports::CellPorts;
pub use host_strength::HostLimits;
