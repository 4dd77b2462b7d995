//! A schedule that is far behind, beside the calls and jobs of others.

mod common;

use std::time::Duration;

use common::*;
use model::work::{JobPlan, RepeatPlan, StepPlan};
use ports::{CallerAction, CallerAnswer, JobProgress};
use store::{BootClock, Clock};
use tokio::time::Instant;

const OVERDUE: u32 = 20_000;
const PERIOD: Duration = Duration::from_secs(1);
/// Time within which calls are answered and a small job is done beside the schedule.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Guards against a cell without a lasting owner, in which jobs are neither started nor answered and
/// nobody can cancel the schedule: its occurrences were opened at once.
#[test]
fn overdue_schedule_holds_up_nothing() {
    run_local(async {
        let cell = TestCell::new();
        let host = cell.start_host("one");
        let service = host.service();
        submit_until_accepted(&service, "before").await;
        let overdue = JobPlan {
            steps: vec![StepPlan {
                count: 1,
                estimate: Duration::from_millis(10),
                ..StepPlan::default()
            }],
            repeat: Some(RepeatPlan {
                count: OVERDUE,
                first: BootClock.unix_now() - PERIOD * OVERDUE,
                period: PERIOD,
            }),
            ..plan()
        };
        let request = CallerAction::Submit("schedule".into(), overdue);
        assert_eq!(service.answer(call(request)).await, CallerAnswer::Accepted);
        let begun = Instant::now();
        submit_until_accepted(&service, "after").await;
        wait_for_progress(&service, "after", JobProgress::Completed).await;
        wait_for_progress(&service, "before", JobProgress::Completed).await;
        assert!(begun.elapsed() < CALL_LIMIT, "{:?}", begun.elapsed());
        let begun = Instant::now();
        let cancel = CallerAction::Cancel("schedule".into());
        let cancelled = CallerAnswer::Found(JobProgress::Cancelled);
        assert_eq!(service.answer(call(cancel)).await, cancelled);
        assert!(begun.elapsed() < CALL_LIMIT, "{:?}", begun.elapsed());
        assert_eq!(owner_name(&cell.store).as_deref(), Some("one"));
    });
}
