use std::{rc::Rc, time::Duration};

use decide::work::{PoolDivision, PoolSurvey, millicores_to_cores};
use model::{PoolId, event as log_event};
use tokio::time::{MissedTickBehavior, interval};

use crate::{event, metric, term::Term};

/// How often the use of the pools is reported. A survey visits every target and run.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports what the cores of each pool are used for, and how the fleet is divided, until the term is
/// over.
pub(crate) async fn report_pools(term: Rc<Term>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !term.is_over() {
        ticks.tick().await;
        let surveys = term.scheduler.borrow_mut().survey_pools(term.now());
        let divisions = term.hosts.borrow().division();
        for (pool, survey) in &surveys {
            let division = divisions.get(pool).copied().unwrap_or_default();
            report_pool(pool, survey, division);
        }
    }
}

/// Sets the gauges of all pools to zero, since another process reports them from now on.
pub(crate) fn clear_pool_report(term: &Term) {
    for pool in &term.scheduler.borrow().policy.pools {
        let none = values(&PoolSurvey::default(), PoolDivision::default());
        set_gauges(&pool.name, &none);
    }
}

fn report_pool(pool: &PoolId, survey: &PoolSurvey, division: PoolDivision) {
    let values = values(survey, division);
    set_gauges(pool, &values);
    if survey.waiting + survey.waiting_overdue == 0 {
        return;
    }
    let cores = values.map(|(name, cores)| format!("{name}={cores:.0}"));
    log_event::info(
        &event::POOL_SHORT,
        format_args!("pool={pool} {}", cores.join(" ")),
    );
}

/// Returns what is reported of a pool, in cores.
fn values(survey: &PoolSurvey, division: PoolDivision) -> [(&'static str, f64); 11] {
    [
        ("running", millicores_to_cores(survey.running)),
        ("starting", millicores_to_cores(survey.starting)),
        ("free", millicores_to_cores(survey.free)),
        ("draining", millicores_to_cores(survey.draining)),
        ("unresponsive", millicores_to_cores(survey.unresponsive)),
        ("paused", millicores_to_cores(survey.paused)),
        ("waiting", millicores_to_cores(survey.waiting)),
        (
            "waiting-overdue",
            millicores_to_cores(survey.waiting_overdue),
        ),
        ("wanted", division.wanted),
        ("due", division.due),
        ("held", division.held),
    ]
}

fn set_gauges(pool: &PoolId, values: &[(&'static str, f64)]) {
    for (state, cores) in values {
        let gauge =
            metrics::gauge!(metric::POOL_CORES, "pool" => pool.to_string(), "state" => *state);
        gauge.set(*cores);
    }
}
