use std::rc::Rc;

use crate::term::Term;

/// Tends the hosts of the fleet: their maintenance and their moves between pools.
pub(crate) async fn tend_hosts(term: Rc<Term>) {
    let _ = term;
    std::future::pending::<()>().await;
}
