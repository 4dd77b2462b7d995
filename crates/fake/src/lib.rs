//! Small stand-ins of the platform and of the targets, with fault switches.
