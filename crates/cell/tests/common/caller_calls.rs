use std::time::Duration;

use model::work::{JobPlan, ResourceVector, StepPlan};
use ports::{CallerAction, CallerCall};

/// The key of the only workspace.
pub const KEY: &str = "secret";

pub fn call(request: CallerAction) -> CallerCall {
    CallerCall {
        host: "jobs.example".into(),
        path: "/queue/".into(),
        key: KEY.into(),
        timeout: Duration::from_secs(3),
        request,
    }
}

pub fn plan() -> JobPlan {
    let step = |after: Vec<u32>| StepPlan {
        count: 3,
        resources: ResourceVector {
            cpu: 500,
            memory_mb: 10,
            gpu: 0,
        },
        estimate: Duration::from_millis(10),
        after,
        ..StepPlan::default()
    };
    JobPlan {
        payload: "text".into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        repeat: None,
    }
}

pub fn submit(job: &str) -> CallerCall {
    call(CallerAction::Submit(job.into(), plan()))
}
