use std::{collections::HashMap, net::IpAddr, sync::Arc};

use parking_lot::Mutex;

/// Counts the connections of callers, in total and for each source address.
///
/// A flood from one address is refused at the address's own bound, so that it leaves room
/// for the others.
#[derive(Debug)]
pub(crate) struct ConnectionCount {
    total: usize,
    each: usize,
    held: Mutex<HeldConnections>,
}

#[derive(Debug, Default)]
struct HeldConnections {
    sum: usize,
    addresses: HashMap<IpAddr, usize>,
}

/// One counted connection, uncounted when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionTicket {
    count: Arc<ConnectionCount>,
    address: IpAddr,
}

impl ConnectionCount {
    /// Admits `total` connections, and `each` from one address.
    pub fn new(total: usize, each: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            each,
            held: Mutex::new(HeldConnections::default()),
        })
    }

    /// Counts a connection from `address`; `None` if it is one too many.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionTicket> {
        let mut held = self.held.lock();
        let mine = held.addresses.get(&address).copied().unwrap_or_default();
        if held.sum >= self.total || mine >= self.each {
            return None;
        }
        held.sum += 1;
        held.addresses.insert(address, mine + 1);
        Some(ConnectionTicket {
            count: Arc::clone(self),
            address,
        })
    }

    /// Connections now held.
    pub fn held(&self) -> usize {
        self.held.lock().sum
    }
}

impl Drop for ConnectionTicket {
    fn drop(&mut self) {
        let mut held = self.count.held.lock();
        held.sum = held.sum.saturating_sub(1);
        let Some(mine) = held.addresses.get_mut(&self.address) else {
            return;
        };
        *mine = mine.saturating_sub(1);
        if *mine == 0 {
            held.addresses.remove(&self.address);
        }
    }
}
