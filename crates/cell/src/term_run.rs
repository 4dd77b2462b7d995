use std::{rc::Rc, time::Duration};

use decide::{link_bounds::renewals_ahead, work::DeskOrder};
use model::event as log_event;
use tokio::{
    task::yield_now,
    time::{MissedTickBehavior, interval, sleep},
};
use wire::work::{OwnerCall, owner_call::Ask};

use crate::{
    event,
    host_duty::tend_hosts,
    kept_cancellation::follow_cancellations,
    log_compact::{job_part, note_job_bytes},
    log_reader::read_log,
    log_writer::write_log,
    metric, record_note,
    step_aside::{Departure, step_aside},
    store_witness::consult_others,
    target_look::open_lane,
    target_orders::run_order,
    target_watch::watch_targets,
    term::Term,
};

/// Pause after a renewal that failed: a store that is back should be known to be.
const RENEW_AGAIN: Duration = Duration::from_millis(100);
/// How often the desk is told the time.
const TICK: Duration = Duration::from_millis(50);

/// Runs a term until it is over.
pub(crate) async fn run_term(term: &Rc<Term>) {
    metrics::gauge!(metric::OWNER).set(1.0);
    metrics::counter!(metric::TERMS).increment(1);
    let link = term.options.limits.link_bytes();
    for _ in 0..renewals_ahead(link, term.options.renew_every) {
        term.spawn(renew_once(term.clone()));
    }
    term.spawn(renew(term.clone()));
    term.spawn(lead(term.clone()));
    let departure = tokio::select! {
        biased;
        () = term.over.wait() => None,
        departure = step_aside(term) => Some(departure),
        departure = consult_others(term) => Some(departure),
    };
    match departure {
        Some(Departure::HandOver) => term.hand_over().await,
        Some(Departure::GiveUp(reason)) => term.give_up(reason).await,
        Some(Departure::ReleaseBy(address)) => release_by(term, &address).await,
        None => {}
    }
    term.log.refuse_pending();
    metrics::gauge!(metric::OWNER).set(0.0);
    term.lanes.borrow_mut().clear();
}

/// Ends the term, and has another process end its lease.
async fn release_by(term: &Term, address: &str) {
    log_event::info(
        &event::TERM_RELEASED,
        format_args!("token={} by={address}", term.token),
    );
    term.end("another process reaches the store");
    let call = OwnerCall {
        ask: Some(Ask::Release(term.lease)),
        ..OwnerCall::default()
    };
    // Without an answer the lease lapses by itself.
    term.members.ask(address, &call).await;
}

/// Renews the lease until the term is over. A renewal does not wait for the one before: its answer
/// may be lost, and waiting for that would let the lease lapse.
async fn renew(term: Rc<Term>) {
    loop {
        let pause = match term.misses_store() {
            true => RENEW_AGAIN,
            false => term.options.renew_every,
        };
        sleep(pause).await;
        term.spawn(renew_once(term.clone()));
    }
}

async fn renew_once(term: Rc<Term>) {
    let sent = term.now().boot;
    match term.ports.store.renew_lease(term.lease).await {
        Ok(true) => term.renewed(sent),
        Ok(false) => term.end("lease lapsed"),
        Err(error) => term.renewal_failed(sent, &error.to_string()),
    }
}

/// Reads the log, then decides until the term is over.
async fn lead(term: Rc<Term>) {
    let started = term.now().boot;
    let mut desk = term.desk.borrow().clone();
    let store = &*term.ports.store;
    let summary = read_log(store, &term.options, &term.copy, &mut desk, || term.now()).await;
    if let Some(terms) = term.view.terms() {
        desk.set_terms(terms);
    }
    let took = term.now().boot.saturating_sub(started);
    metric::time(metric::LOG_READ_SECONDS, took);
    log_event::info(
        &event::TERM_READ,
        format_args!(
            "token={} pages={} bytes={} jobs={} open={} cancelled={} targets={} took_ms={}",
            term.token,
            summary.pages(),
            summary.bytes,
            desk.board.jobs.len(),
            desk.board.open.len(),
            desk.board.cancelled(),
            desk.board.used.len(),
            took.as_millis()
        ),
    );
    let now = term.now().boot;
    term.hosts.borrow_mut().take_arrivals(&desk.board, now);
    // Calls that wait for the log are answered at once after it, and some are to be refused.
    note_job_bytes(&term, job_part(&desk.board.entries()), summary.bytes);
    *term.desk.borrow_mut() = desk;
    term.ready.set(true);
    term.became_ready.notify_waiters();
    term.spawn(follow_cancellations(term.clone()));
    term.spawn(write_log(term.clone(), summary));
    term.spawn(watch_targets(term.clone()));
    term.spawn(tend_hosts(term.clone()));
    drive(term).await;
}

/// Lets the desk plan whenever something has changed.
async fn drive(term: Rc<Term>) {
    let mut terms_seen = 0;
    // The ticks go on by themselves: a sleep begun anew after each event would never end
    // while events come in more often, and what time alone brings would not happen.
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let ticked = tokio::select! {
            biased;
            _ = ticks.tick() => true,
            () = term.wake.notified() => false,
            () = term.view.changed.notified() => false,
        };
        // Other answers that have arrived are taken in first: one plan serves them all.
        yield_now().await;
        let version = term.view.version.get();
        if version != terms_seen {
            terms_seen = version;
            if let Some(terms) = term.view.terms() {
                term.desk.borrow_mut().set_terms(terms);
            }
        }
        let now = term.now();
        if !term.may_order() {
            term.end("lapsed while the store did not answer");
            return;
        }
        {
            let mut desk = term.desk.borrow_mut();
            desk.set_alone(!term.may_start());
            if ticked {
                desk.tick(now);
                #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
                metrics::gauge!(metric::OPEN_JOBS).set(desk.board.open.len() as f64);
            }
            if term.knows_cancellations() {
                desk.plan(now);
            }
        }
        carry_out(&term);
    }
}

/// Carries out what the desk has ordered.
fn carry_out(term: &Rc<Term>) {
    let (orders, events, dropped, targets) = {
        let mut desk = term.desk.borrow_mut();
        let known = term.lanes.borrow();
        let mut added = desk.take_added();
        added.retain(|id| desk.targets.contains_key(id) && !known.contains_key(id));
        let dropped = std::mem::take(&mut desk.events_dropped);
        (desk.take_orders(), desk.take_events(), dropped, added)
    };
    record_note::log_events(events, dropped);
    for id in targets {
        open_lane(term, id);
    }
    let now = term.now().boot;
    for order in orders {
        match order {
            DeskOrder::Record(record) => term.log.add(record, now),
            DeskOrder::Resign(target) => {
                log_event::warn(
                    &event::OWNER_FENCED,
                    format_args!("target={target} token={}", term.token),
                );
                term.end("fenced");
                return;
            }
            other => run_order(term, other),
        }
    }
}
