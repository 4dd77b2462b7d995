use std::{rc::Rc, time::Duration};

use decide::work::{AdviceCaller, AdviceRequest};
use model::{HostId, event as log_event};
use ports::{AdvicePort, AdviceTicket};
use tokio::time::Instant;
use wire::work::{AdviceCall, AdviceReply, AdviceTicketRecord, OwnerCall, owner_call::Ask};

use crate::{event, metric, term::Term};

/// What the answer of a peer may take beyond that of the service: two messages between data centres
/// and the turns of two event loops.
const PEER_MARGIN: Duration = Duration::from_millis(150);

/// Requests tickets for a step, through another process if the scheduler says so, and passes the
/// answer to the scheduler.
pub(crate) async fn request_advice(term: Rc<Term>, request: AdviceRequest) {
    let key = request.step.clone();
    let (sent, named) = (Instant::now(), request.targets.len());
    let by = match &request.caller {
        AdviceCaller::Owner => "owner".to_owned(),
        AdviceCaller::Peer(address) => address.to_string(),
    };
    let answer = send_request(&term, request).await;
    metric::record_duration(metric::ADVICE_SECONDS, sent.elapsed());
    metric::count_order("advise", answer.is_ok());
    let took = sent.elapsed().as_millis();
    let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
    let tickets = match answer {
        Ok(tickets) => {
            log_event::info(
                &event::ADVICE_ANSWERED,
                format_args!(
                    "step={step} targets={named} granted={} by={by} took_ms={took}",
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
                    "step={step} targets={named} by={by} took_ms={took} cause=\"{}\"",
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

async fn send_request(term: &Term, request: AdviceRequest) -> Result<Vec<AdviceTicket>, String> {
    let AdviceRequest {
        step: key,
        targets,
        caller,
        timeout,
    } = request;
    let step = format!("{}.{}.{}", key.job, key.occurrence, key.step);
    let address = match caller {
        AdviceCaller::Owner => {
            let advice = &term.ports.advice;
            return advice.request_tickets(&step, targets, timeout).await;
        }
        AdviceCaller::Peer(address) => address,
    };
    let call = AdviceCall {
        step,
        targets: targets.iter().map(ToString::to_string).collect(),
        timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let call = OwnerCall {
        ask: Some(Ask::Advice(call)),
        ..OwnerCall::default()
    };
    let answer = term
        .members
        .call_within(&address, &call, timeout + PEER_MARGIN)
        .await?;
    let reply = answer.advice.ok_or("the process sends no such calls")?;
    if !reply.cause.is_empty() {
        return Err(reply.cause);
    }
    let ticket = |row: AdviceTicketRecord| AdviceTicket {
        target: row.target.into(),
        ticket: row.ticket.into(),
    };
    Ok(reply.granted.into_iter().map(ticket).collect())
}

/// Sends a call to the advice service for the owner of the cell.
pub(crate) async fn call_for_owner(advice: &dyn AdvicePort, call: AdviceCall) -> AdviceReply {
    let targets = call.targets.into_iter().map(HostId::from).collect();
    let timeout = Duration::from_millis(call.timeout_ms);
    let record = |row: AdviceTicket| AdviceTicketRecord {
        target: row.target.to_string(),
        ticket: row.ticket.to_string(),
    };
    match advice.request_tickets(&call.step, targets, timeout).await {
        Ok(tickets) => AdviceReply {
            granted: tickets.into_iter().map(record).collect(),
            ..AdviceReply::default()
        },
        Err(cause) => AdviceReply {
            cause,
            ..AdviceReply::default()
        },
    }
}
