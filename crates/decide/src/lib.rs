//! Pure decisions on leases, quotas, shares, placement and maintenance, without I/O, clocks or threads.

pub mod claim;
pub mod eject;
pub mod retry;
