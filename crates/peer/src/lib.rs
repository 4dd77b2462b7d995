//! Sockets and messages between entry hosts.
