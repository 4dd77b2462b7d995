use std::{
    net::TcpListener,
    sync::atomic::{AtomicU16, Ordering},
};

use anyhow::{Result, bail};

/// Ports below those that the system hands out to clients, so that no outgoing connection
/// takes one between its choice here and its use by a process.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 30_000;

/// A port on loopback that nothing listens on, never the same twice in one process.
///
/// Entry hosts have to know each other's addresses before they start, and keep them over
/// restarts, so that the system can't choose them.
///
/// # Errors
/// If none is free.
pub fn free_port() -> Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = LAST_PORT - FIRST_PORT;
    // Test processes that run side by side begin at different places.
    let offset = u16::try_from(std::process::id() % u32::from(span)).unwrap_or_default();
    for _ in 0..span {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_mul(37).wrapping_add(step) % span;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    bail!("no free port from {FIRST_PORT} to {LAST_PORT}")
}
