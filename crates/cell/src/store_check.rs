use std::{rc::Rc, time::Duration};

use compact_str::CompactString;
use tokio::{task::JoinSet, time::sleep};
use wire::work::{OwnerCall, owner_call::Ask};

use crate::{election_promise::PROMISE_TRUSTED, step_down::StepDownKind, term::Term};

/// How often an owner that does not reach the store asks the other processes whether they do.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of consecutive rounds in which another process has to reach the store.
const CONFIRMING_ROUNDS: u32 = 2;

/// What the other processes report about the store.
enum StoreVerdict {
    /// The process at this address reaches the store and knows this owner.
    Reached(CompactString),
    /// No other process reaches the store, and all promise not to campaign.
    Unreachable,
    /// Some did not answer, or the answers differ.
    Unclear,
}

/// Asks the other processes about the store whenever this owner does not reach it. Returns once one
/// of them should end its lease.
///
/// If the store refuses only the owner, waiting for the lease to expire would leave the cell
/// without an owner, so the lease is ended at once. If the store is unreachable for all, there can
/// be no successor, so the owner may go on starting accepted tasks.
pub(crate) async fn check_with_members(term: &Rc<Term>) -> StepDownKind {
    let mut reached = 0;
    loop {
        sleep(ASK_INTERVAL).await;
        if !term.is_ready() || !term.seems_cut_off() {
            reached = 0;
            continue;
        }
        let sent = term.now().boot;
        match ask_members(term).await {
            StoreVerdict::Reached(address) => {
                reached += 1;
                // If the store has only just recovered, this process reaches it a moment later too.
                if reached >= CONFIRMING_ROUNDS && term.seems_cut_off() {
                    return StepDownKind::ReleaseThrough(address);
                }
            }
            StoreVerdict::Unreachable => {
                reached = 0;
                term.trust_promises_until(sent + PROMISE_TRUSTED);
            }
            StoreVerdict::Unclear => reached = 0,
        }
    }
}

async fn ask_members(term: &Term) -> StoreVerdict {
    let others = term.members.addresses();
    let count = others.len();
    let mut answers = JoinSet::new();
    for address in others {
        let (members, token) = (term.members.clone(), term.token);
        answers.spawn_local(async move {
            let call = OwnerCall {
                ask: Some(Ask::Store(token)),
                ..OwnerCall::default()
            };
            (members.call(&address, &call).await, address)
        });
    }
    let mut promised = 0;
    while let Some(joined) = answers.join_next().await {
        let Ok((Some(answer), address)) = joined else {
            continue;
        };
        if answer.store_reached && answer.owner_token == term.token {
            return StoreVerdict::Reached(address);
        }
        promised += usize::from(answer.pledged);
    }
    match promised == count && count > 0 {
        true => StoreVerdict::Unreachable,
        false => StoreVerdict::Unclear,
    }
}
