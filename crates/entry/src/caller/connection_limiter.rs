use std::{collections::HashMap, net::IpAddr, sync::Arc};

use parking_lot::Mutex;

/// Counts the connections of callers, in total and for each source address.
///
/// A flood from one address is refused at the address's own bound, so that it leaves room
/// for the others.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    total: usize,
    per_address: usize,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    sum: usize,
    addresses: HashMap<IpAddr, usize>,
}

/// One counted connection, uncounted when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    count: Arc<ConnectionLimiter>,
    address: IpAddr,
}

impl ConnectionLimiter {
    /// Admits `total` connections, and `each` from one address.
    pub fn new(total: usize, per_address: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            per_address,
            open: Mutex::new(OpenConnections::default()),
        })
    }

    /// Counts a connection from `address`; `None` if it is one too many.
    pub fn try_acquire(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionPermit> {
        let mut open = self.open.lock();
        let from_address = open.addresses.get(&address).copied().unwrap_or_default();
        if open.sum >= self.total || from_address >= self.per_address {
            return None;
        }
        open.sum += 1;
        open.addresses.insert(address, from_address + 1);
        Some(ConnectionPermit {
            count: Arc::clone(self),
            address,
        })
    }

    /// Connections now held.
    pub fn open_count(&self) -> usize {
        self.open.lock().sum
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut open = self.count.open.lock();
        open.sum = open.sum.saturating_sub(1);
        let Some(from_address) = open.addresses.get_mut(&self.address) else {
            return;
        };
        *from_address = from_address.saturating_sub(1);
        if *from_address == 0 {
            open.addresses.remove(&self.address);
        }
    }
}
