use std::rc::Rc;

use decide::work::AdviceRequest;
use model::event as log_event;
use tokio::time::Instant;

use crate::{event, metric, term::Term};

/// Requests tickets for a step and passes the answer to the scheduler.
pub(crate) async fn request_advice(term: Rc<Term>, request: AdviceRequest) {
    let AdviceRequest {
        step: key,
        targets,
        timeout,
    } = request;
    let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
    let (sent, named) = (Instant::now(), targets.len());
    let answer = term
        .ports
        .advice
        .request_tickets(&step, targets, timeout)
        .await;
    metric::record_duration(metric::ADVICE_SECONDS, sent.elapsed());
    metric::count_order("advise", answer.is_ok());
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
            let tickets = tickets.into_iter().map(|row| (row.target, row.ticket));
            Some(tickets.collect())
        }
        Err(error) => {
            log_event::warn(
                &event::ADVICE_FAILED,
                format_args!(
                    "step={step} targets={named} took_ms={took} cause=\"{}\"",
                    error.replace('"', "'")
                ),
            );
            None
        }
    };
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    scheduler.handle_advice(&key, tickets, now);
    term.wake.notify_one();
}
