//! Slot leases that divide each pool among entry hosts and teams.
