//! Submissions to an owner in another process that refuses most of them.

mod common;

use std::{rc::Rc, time::Duration};

use cell::CellHost;
use common::*;
use ports::{CallerAction, CallerAnswer};
use wire::work::{AnswerKind, owner_call::Ask};

const REFUSED: CallerAnswer =
    CallerAnswer::Refused(Duration::from_millis(StubOwner::RETRY_AFTER_MS));

/// Starts a process that serves callers beside an owner, which has refused a job of the queue.
async fn start_beside_refusing_owner() -> (Rc<CellHost>, StubOwner) {
    let store = new_store();
    let owner = StubOwner::start(&store);
    let host = start_host("b", &store, strong_limits());
    wait_for_answer(&host.service(), submit("first").request, REFUSED).await;
    owner.asks.borrow_mut().clear();
    (host, owner)
}

/// Names of the calls that an owner received, with the payload of each.
fn received_calls(owner: &StubOwner) -> Vec<(&'static str, String)> {
    let asks = owner.asks.borrow();
    let received = asks.iter().map(|ask| match ask {
        Ask::Submit(record) => ("submit", record.payload.clone()),
        Ask::DryRun(record) => ("dry run", record.payload.clone()),
        other => panic!("unexpected call: {other:?}"),
    });
    received.collect()
}

/// Guards against refused jobs whose payloads fill the link of an owner, which then starts fewer
/// tasks.
#[test]
fn submit_to_refusing_owner_leaves_out_payload() {
    run_local(async {
        let (host, owner) = start_beside_refusing_owner().await;
        for job in 0..5 {
            let answer = host.service().answer(submit(&format!("job{job}"))).await;
            assert_eq!(answer, REFUSED);
        }
        let dry_run = ("dry run", String::new());
        assert_eq!(received_calls(&owner), vec![dry_run; 5]);
    });
}

/// Guards against telling a caller that its job was refused although the owner accepted it in a call
/// whose answer was lost.
#[test]
fn dry_run_of_accepted_job_is_accepted() {
    run_local(async {
        let (host, owner) = start_beside_refusing_owner().await;
        owner.dry_run_answer.set(AnswerKind::Accepted);
        let answer = host.service().answer(submit("repeated")).await;
        assert_eq!(answer, CallerAnswer::Accepted);
    });
}

#[test]
fn submit_follows_dry_run_that_passes() {
    run_local(async {
        let (host, owner) = start_beside_refusing_owner().await;
        owner.dry_run_answer.set(AnswerKind::WouldAccept);
        owner.submission_answer.set(AnswerKind::Accepted);
        for job in ["job1", "job2"] {
            let answer = host.service().answer(submit(job)).await;
            assert_eq!(answer, CallerAnswer::Accepted);
        }
        let submission = ("submit", "text".to_owned());
        let dry_run = ("dry run", String::new());
        let expected = vec![dry_run, submission.clone(), submission];
        assert_eq!(received_calls(&owner), expected);
    });
}

/// Guards against a process that submits nothing more to an owner of an earlier version, which
/// refuses each call that it does not know.
#[test]
fn submit_follows_dry_run_of_earlier_version() {
    run_local(async {
        let (host, owner) = start_beside_refusing_owner().await;
        owner.dry_run_answer.set(AnswerKind::Refused);
        owner.submission_answer.set(AnswerKind::Accepted);
        let answer = host.service().answer(submit("job")).await;
        assert_eq!(answer, CallerAnswer::Accepted);
    });
}

/// Guards against a dry run that records the job, or that does not know what was accepted.
#[test]
fn dry_run_at_owner_with_backlog_records_nothing() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        let _owner = start_owner_with_long_log(&store, &targets).await;
        let host = start_host_with_targets("b", &store, strong_limits(), &targets);
        let service = host.service();
        let status = |job: &str| CallerAction::Status(job.into());
        wait_for_answer(&service, status("unknown"), CallerAnswer::NoJob).await;
        for job in ["first", "second"] {
            let answer = service.answer(submit(job)).await;
            assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
            let answer = service.answer(call(status(job))).await;
            assert_eq!(answer, CallerAnswer::NoJob);
        }
        let repeated = service.answer(submit("job5")).await;
        assert_eq!(repeated, CallerAnswer::Accepted);
    });
}
