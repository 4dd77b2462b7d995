//! Calls for a job by a workspace that it does not belong to.

mod common;

use common::*;
use ports::{CallerAction, CallerAnswer, CallerCall, JobProgress};

/// Key of a second workspace.
const FOREIGN_KEY: &str = "foreign:secret-2";

fn foreign_call(request: CallerAction) -> CallerCall {
    CallerCall {
        key: FOREIGN_KEY.into(),
        ..call(request)
    }
}

fn cell_of_two_workspaces() -> TestCell {
    let cell = TestCell::new();
    let keys = format!("{KEY} {FOREIGN_KEY}");
    cell.store.put("op/terms", policy_text(2, &keys).as_bytes());
    cell
}

/// Guards against telling a caller that a job is stored which is not: its id is known, as that of
/// another workspace's job.
#[test]
fn submit_known_id_of_other_workspace_is_not_accepted() {
    run_local(async {
        let cell = cell_of_two_workspaces();
        let host = cell.start_host("one");
        let service = host.service();
        submit_until_accepted(&service, "job1").await;
        let submission = CallerAction::Submit("job1".into(), plan());
        let answer = service.answer(foreign_call(submission)).await;
        assert_ne!(answer, CallerAnswer::Accepted);
    });
}

/// Guards against showing and cancelling the jobs of other workspaces to whoever knows their ids.
#[test]
fn job_of_other_workspace_is_out_of_reach() {
    run_local(async {
        let cell = cell_of_two_workspaces();
        let host = cell.start_host("one");
        let service = host.service();
        submit_until_accepted(&service, "job1").await;
        let status = CallerAction::Status("job1".into());
        let answer = service.answer(foreign_call(status)).await;
        assert!(!matches!(answer, CallerAnswer::Found(_)), "{answer:?}");
        let cancel = CallerAction::Cancel("job1".into());
        service.answer(foreign_call(cancel)).await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
    });
}
