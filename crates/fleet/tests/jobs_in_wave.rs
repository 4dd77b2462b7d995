//! Jobs on workers during a maintenance wave.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FixedMembers, JobScene, job_request, submit, wait_for, wait_phase};
use model::WindowSpec;
use ports::StatusSource;

const ENDED: &[&str] = &["done", "failed", "cancelled", "parked", "unknown"];
const DAY: Duration = Duration::from_secs(24 * 3600);

#[test]
fn drained_worker_reports_results() {
    // Jobs end on a draining worker, whose reboot then discards their states. Holders read
    // results only at intervals. If the reboot came first, a completed job would be reported
    // as unknown.
    let mut scene = JobScene::new(2);
    scene.timing.renew_interval = Duration::from_secs(4);
    scene.policy.lease = Duration::from_secs(12);
    let service = scene.start(FixedMembers::alone("e1"));
    let mut jobs = Vec::new();
    for number in 0..8 {
        let payload = format!("work us=300000 nonce={number}");
        let request = job_request(&format!("r{number}"), &payload, false);
        jobs.push(submit(service.as_ref(), &request));
    }
    scene.config.change(|manifest| {
        let window = WindowSpec {
            start: Duration::ZERO,
            length: DAY,
            every: Duration::from_millis(1),
            at_once: 2,
        };
        manifest.windows.insert("always".to_owned(), window);
        for pool in manifest.pools.values_mut() {
            pool.window = "always".to_owned();
        }
    });
    wait_for("a worker is rebooted", || {
        let phases = service.hosts().into_iter().map(|host| host.phase);
        phases.into_iter().any(|phase| phase == "checking")
    });
    for job in jobs {
        let ended = wait_phase(service.as_ref(), &job, ENDED);
        assert_eq!(ended.phase, "done", "{}: {}", ended.job, ended.reason);
    }
}
