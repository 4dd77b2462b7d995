use std::rc::Rc;

use model::{HostId, event as log_event, work::TaskKey};
use tokio::time::Instant;

use crate::{event, metric, target_orders::count_order, term::Term};

/// Requests tickets for a step and passes the answer to the scheduler.
pub(crate) async fn request_advice(term: Rc<Term>, key: TaskKey, targets: Vec<HostId>) {
    let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
    let (sent, named) = (Instant::now(), targets.len());
    let answer = term.ports.advice.request_tickets(&step, targets).await;
    metric::record_duration(metric::ADVICE_SECONDS, sent.elapsed());
    count_order("advise", answer.is_ok());
    let took = sent.elapsed().as_millis();
    let tickets = match answer {
        Ok(tickets) => {
            log_event::info(
                &event::ADVICE_ANSWERED,
                format_args!(
                    "step={step} targets={named} granted={} took_ms={took}",
                    tickets.len()
                ),
            );
            tickets
        }
        Err(error) => {
            log_event::warn(
                &event::ADVICE_FAILED,
                format_args!(
                    "step={step} targets={named} took_ms={took} cause=\"{}\"",
                    error.replace('"', "'")
                ),
            );
            Vec::new()
        }
    };
    let tickets = tickets.into_iter().map(|row| (row.target, row.ticket));
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    scheduler.handle_advice(&key, tickets.collect(), now);
    term.wake.notify_one();
}
