//! What an owner may rely on while it does not reach the store.

mod common;

use std::time::Duration;

use common::*;
use tokio::time::sleep;

/// Guards against two owners that start tasks at once for as long as the network is split: a process
/// began after the owner had lost the store, so that the owner does not know it. All the others
/// promised not to campaign, and the new one did.
#[test]
fn trust_promises_unknown_member_starts_nothing() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        targets.set_blocked(true);
        let (first_handle, second_handle) = (store.new_handle(), store.new_handle());
        let first = start_host_with_targets("first", &first_handle, strong_limits(), &targets);
        wait_for_owner(&store, "first").await;
        let _second = start_host("second", &second_handle, strong_limits());
        sleep(Duration::from_secs(1)).await;
        submit_until_accepted(&first.service(), "job1").await;
        targets.wait_for_started(3).await;
        first_handle.set_cut_off(true);
        second_handle.set_cut_off(true);
        let _third = start_host("third", &store, strong_limits());
        wait_for_owner(&store, "third").await;
        sleep(Duration::from_secs(1)).await;
        // The targets of the first owner's side end the first step.
        targets.set_blocked(false);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(targets.start_count(), 3, "the third process is the owner");
    });
}
