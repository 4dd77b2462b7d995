//! History recording, checkers and the harness that runs the system in real processes.
