//! Administration interface: manifest changes, keys, status and audit trail.
