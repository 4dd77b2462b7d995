//! Load beyond what the owner's own process can handle, while its pools have free capacity.

mod harness;

use std::time::Duration;

use harness::{BusyOwner, ServedJobs};

/// Starts a second at which the owner's processor is just in use all the time.
const LIMIT: f64 = 950.0;
/// How long callers submit jobs.
const LENGTH: Duration = Duration::from_secs(15);

fn serve(load: f64) -> ServedJobs {
    BusyOwner::new().run(LIMIT * load, LENGTH)
}

/// Guards against an owner that serves less the more it is asked for: it accepts what it can't start,
/// and handles old events while new ones wait.
#[test]
fn owner_at_twice_its_limit_serves_as_much() {
    let at_limit = serve(1.0);
    let beyond = serve(2.0);
    assert!(
        at_limit.in_time * 10 >= at_limit.submitted * 9,
        "{at_limit:?} at the limit"
    );
    assert!(
        beyond.in_time * 10 >= at_limit.in_time * 8,
        "{at_limit:?} at the limit, {beyond:?} at twice the limit"
    );
}

/// Guards against an owner that goes on refusing jobs, or starts them late, once it is no longer asked for
/// more than it can handle.
#[test]
fn owner_after_overload_serves_all() {
    let mut owner = BusyOwner::new();
    owner.run(LIMIT * 2.0, LENGTH);
    let after = owner.run(LIMIT / 2.0, LENGTH);
    assert_eq!(after.in_time, after.submitted, "{after:?}");
}
