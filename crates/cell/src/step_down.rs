use std::{rc::Rc, time::Duration};

use compact_str::CompactString;
use tokio::time::sleep;

use crate::{member_directory::PeerMember, term::Term};

/// How often an owner checks whether another process should replace it.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an owner may take to read the log before it steps down. It read nearly all of the log
/// before it campaigned; with a slow store, the rest takes a third of this time.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How many times stronger another process must be to justify a hand-over, which delays callers for
/// some tens of milliseconds.
const MIN_STRENGTH_RATIO: u32 = 2;

/// How an owner steps down.
pub(crate) enum StepDownKind {
    /// After the log has been completed.
    HandOver,
    /// At once, for this reason.
    Immediate(&'static str),
    /// At once. The store refuses this process, so the process at this address ends its lease.
    ReleaseThrough(CompactString),
}

/// Returns once another process should own the cell, and never while this one serves well.
///
/// Without this, an owner that can't finish reading the log, for example because its link has
/// become too narrow, would keep renewing its lease. Then no process would serve the cell.
pub(crate) async fn step_down(term: &Rc<Term>) -> StepDownKind {
    let started_at = term.now().boot;
    loop {
        sleep(CHECK_INTERVAL).await;
        // During an outage of the store nobody could take over, and the lease expires by itself.
        if !term.has_valid_lease() || term.handing_over.get() {
            continue;
        }
        let age = term.now().boot.saturating_sub(started_at);
        if !term.is_ready() && age >= LOG_READ_TIMEOUT {
            return StepDownKind::Immediate("the log was not read in time");
        }
        if term.is_ready() && !term.log_queue.is_failing() && has_stronger_member(term).await {
            return StepDownKind::HandOver;
        }
    }
}

/// True if a much stronger process is reachable and knows this owner, which shows that it reads the
/// store.
async fn has_stronger_member(term: &Term) -> bool {
    let least = term
        .options
        .limits
        .strength()
        .saturating_mul(MIN_STRENGTH_RATIO);
    let Some(PeerMember { address, .. }) = term.members.strongest(least) else {
        return false;
    };
    let answer = term.members.ask_for_owner(&address).await;
    answer.is_some_and(|answer| answer.owner_token == term.token)
}
