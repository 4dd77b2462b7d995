//! Placeholder of the load program.

fn main() {}
