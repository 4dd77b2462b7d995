//! Pools, hosts, maintenance waves, moves and jobs on workers.
