use std::{rc::Rc, time::Duration};

use compact_str::CompactString;
use tokio::time::sleep;

use crate::{member_directory::PeerMember, term::Term};

/// How often an owner considers whether another should have its place.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an owner may read the log before it lets another try. It has read nearly all of it
/// before it stood; a store that answers late takes a third of this time for the rest.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How many times as strong another process has to be to be worth a hand-over, which holds up
/// callers for some tens of milliseconds.
const MIN_STRENGTH_RATIO: u32 = 2;

/// How an owner leaves its place to another process.
pub(crate) enum StepDownKind {
    /// In order: the log is completed first.
    HandOver,
    /// At once, for a reason.
    Immediate(&'static str),
    /// At once; the store turns this process away, so the one at the address ends its lease.
    ReleaseThrough(CompactString),
}

/// Returns once another process should take the cell; waits for ever while this one does well.
///
/// Without it an owner that can't get ready, behind a link that has become too narrow, would keep
/// renewing its lease: nobody serves then and nobody else may.
pub(crate) async fn step_down(term: &Rc<Term>) -> StepDownKind {
    let begun = term.now().boot;
    loop {
        sleep(CHECK_INTERVAL).await;
        // While the store is away nobody could take over, and the lease lapses by itself.
        if !term.has_valid_lease() || term.handing_over.get() {
            continue;
        }
        let age = term.now().boot.saturating_sub(begun);
        if !term.is_ready() && age >= LOG_READ_TIMEOUT {
            return StepDownKind::Immediate("the log was not read in time");
        }
        if term.is_ready() && !term.log_queue.is_failing() && has_stronger_member(term).await {
            return StepDownKind::HandOver;
        }
    }
}

/// True if a much stronger process is there that knows this owner, so that it hears the store.
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
