//! Jobs that the fleet can never hold, beside others.

mod common;

use std::{rc::Rc, time::Duration};

use cell::{CellOptions, CellPorts};
use common::*;
use model::{
    HostId, PoolId,
    work::{
        FleetHost, HostCondition, HostOrderAnswer, JobPlan, OrderSender, ResourceVector, WaveId,
    },
};
use ports::{CallerAction, CallerAnswer, HostControl, JobProgress, PortFuture};
use tokio::time::sleep;

/// Time within which an owner knows the hosts.
const LIST_TIME: Duration = Duration::from_secs(3);

/// A control of one host, on which the target of the cell runs.
struct SingleHostControl;

impl HostControl for SingleHostControl {
    fn hosts(&self) -> PortFuture<Result<Vec<FleetHost>, String>> {
        let host = FleetHost {
            host: "h1".into(),
            pool: "pool".into(),
            condition: HostCondition::Up,
            data_centre: "north".into(),
            labels: Vec::new(),
            capacity: ResourceVector {
                cpu: 4000,
                memory_mb: 4000,
                gpu: 0,
            },
            target: "t1".into(),
        };
        Box::pin(async move { Ok(vec![host]) })
    }

    fn move_host(&self, _: &OrderSender, _: &HostId, _: &PoolId) -> PortFuture<HostOrderAnswer> {
        Box::pin(async { HostOrderAnswer::Impossible })
    }

    fn maintain(&self, _: &OrderSender, _: &HostId, _: WaveId) -> PortFuture<HostOrderAnswer> {
        Box::pin(async { HostOrderAnswer::Impossible })
    }
}

/// Guards against accepting jobs that never end: they count as work that waits before all others, so
/// that these are refused while all targets are idle.
#[test]
fn unfit_job_is_refused_and_holds_up_nothing() {
    run_local(async {
        let cell = TestCell::new();
        let ports = CellPorts {
            hosts: Rc::new(SingleHostControl),
            ..ports_on(&cell.store, &cell.targets)
        };
        let mut options = CellOptions::new("one".into(), free_address(), free_address());
        options.scheduler.sharing.work_admission = true;
        let host = start_cell(options, ports);
        let service = host.service();
        submit_until_accepted(&service, "before").await;
        sleep(LIST_TIME).await;
        let mut unfit: JobPlan = plan();
        unfit.steps[1].count = 9_000;
        unfit.steps[1].resources.cpu = 4001;
        for job in 0..6 {
            let request = CallerAction::Submit(format!("unfit-{job}").into(), unfit.clone());
            let answer = service.answer(call(request)).await;
            let is_refused_for_long =
                matches!(answer, CallerAnswer::Refused(wait) if wait >= Duration::from_secs(30));
            assert!(is_refused_for_long, "{answer:?}");
        }
        assert_eq!(
            service.answer(submit("after")).await,
            CallerAnswer::Accepted
        );
        wait_for_progress(&service, "after", JobProgress::Completed).await;
    });
}
