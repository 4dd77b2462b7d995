use std::{collections::HashMap, net::IpAddr, sync::Arc};

use parking_lot::Mutex;

/// Limits the connections of callers, in total and per source address.
///
/// A flood from one address is refused at the limit per address, so that connections remain
/// for the others.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    total: usize,
    per_address: usize,
    held: Mutex<HeldConnections>,
}

#[derive(Debug, Default)]
struct HeldConnections {
    sum: usize,
    addresses: HashMap<IpAddr, usize>,
}

/// A counted connection; dropping it removes it from the count.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    limiter: Arc<ConnectionLimiter>,
    address: IpAddr,
}

impl ConnectionLimiter {
    /// Creates a limiter that allows `total` connections, and `per_address` from one
    /// address.
    pub fn new(total: usize, per_address: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            per_address,
            held: Mutex::new(HeldConnections::default()),
        })
    }

    /// Counts a connection from `address`; `None` if it would exceed a limit.
    pub fn try_acquire(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionPermit> {
        let mut held = self.held.lock();
        let from_address = held.addresses.get(&address).copied().unwrap_or_default();
        if held.sum >= self.total || from_address >= self.per_address {
            return None;
        }
        held.sum += 1;
        held.addresses.insert(address, from_address + 1);
        Some(ConnectionPermit {
            limiter: Arc::clone(self),
            address,
        })
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.held.lock().sum
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut held = self.limiter.held.lock();
        held.sum = held.sum.saturating_sub(1);
        let Some(from_address) = held.addresses.get_mut(&self.address) else {
            return;
        };
        *from_address = from_address.saturating_sub(1);
        if *from_address == 0 {
            held.addresses.remove(&self.address);
        }
    }
}
