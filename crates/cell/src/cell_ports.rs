use std::rc::Rc;

use ports::{AdvicePort, FleetCodec, HostControl, LeaseStore, TargetPort};

/// What a platform offers, each behind a trait.
#[derive(Clone)]
pub struct CellPorts {
    /// The store.
    pub store: Rc<dyn LeaseStore>,
    /// How to read what operators and targets write.
    pub codec: Rc<dyn FleetCodec>,
    /// Orders to targets.
    pub targets: Rc<dyn TargetPort>,
    /// Orders to hosts.
    pub hosts: Rc<dyn HostControl>,
    /// Advice on which targets may run a step.
    pub advice: Rc<dyn AdvicePort>,
}
