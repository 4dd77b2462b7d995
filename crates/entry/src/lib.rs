//! Caller interface, admission queues and dispatch to targets.
