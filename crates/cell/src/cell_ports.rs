use std::rc::Rc;

use ports::{AdvicePort, FleetCodec, HostControl, LeaseStore, TargetPort};

/// The ports to a platform, each behind a trait.
#[derive(Clone)]
pub struct CellPorts {
    /// The key-value store with leases.
    pub store: Rc<dyn LeaseStore>,
    /// Decodes what operators and targets write to the store.
    pub codec: Rc<dyn FleetCodec>,
    /// Orders to targets.
    pub targets: Rc<dyn TargetPort>,
    /// Orders to hosts.
    pub hosts: Rc<dyn HostControl>,
    /// Advice on which targets may run a step.
    pub advice: Rc<dyn AdvicePort>,
}
