//! Pure decisions on leases, quotas, shares, placement and maintenance, without I/O, clocks or threads.

pub mod config;
pub mod lease;
pub mod member;
