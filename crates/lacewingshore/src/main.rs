//! Placeholder of the lacewingshore program.

fn main() {}
