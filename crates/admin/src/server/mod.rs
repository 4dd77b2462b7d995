//! HTTP towards operators: connections on one thread, work on a few others.

mod admin_call;
mod http_port;
mod work_lane;

pub(crate) use admin_call::{AdminCall, AdminReply, HttpVerb};
pub(crate) use http_port::{HttpPort, PortHandler};
pub(crate) use work_lane::WorkLane;
