use std::{rc::Rc, time::Duration};

use decide::{link_bounds::renewals_ahead, watch_bounds::longest_watch, work::SchedulerAction};
use model::event as log_event;
use tokio::{
    task::yield_now,
    time::{MissedTickBehavior, interval, sleep},
};
use wire::work::{OwnerCall, owner_call::Ask};

use crate::{
    event, event_log,
    host_loop::manage_hosts,
    load_watch::LoadWatch,
    log_compact::{job_byte_share, measure_job_bytes},
    log_reader::read_log,
    log_writer::write_log,
    metric,
    pool_report::{clear_pool_report, report_pools},
    start_check::check_reads,
    step_down::{StepDownKind, step_down},
    store_check::check_with_members,
    stored_cancellation::watch_cancellations,
    target_orders::send_order,
    target_poll::open_channel,
    target_watch::watch_targets,
    term::{REQUESTS_MAX_AGE, Term},
};

/// Delay after a failed renewal. It is short, so that the owner soon notices when the store
/// recovers.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often the scheduler is ticked when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a term until it is over.
pub(crate) async fn run_term(term: &Rc<Term>) {
    metrics::gauge!(metric::OWNER).set(1.0);
    metrics::counter!(metric::TERMS).increment(1);
    let link = term.options.limits.link_bytes_per_second();
    for _ in 0..renewals_ahead(link, term.options.renew_interval) {
        term.spawn(renew_once(term.clone()));
    }
    term.spawn(renew_until_over(term.clone()));
    // Only an owner needs current requests, and each watch has a cost.
    let watch_timeout = &term.view.watch_timeout;
    watch_timeout.set(longest_watch(REQUESTS_MAX_AGE));
    term.spawn(read_log_and_schedule(term.clone()));
    let step_down_kind = tokio::select! {
        biased;
        () = term.over.wait() => None,
        step_down_kind = step_down(term) => Some(step_down_kind),
        step_down_kind = check_with_members(term) => Some(step_down_kind),
    };
    match step_down_kind {
        Some(StepDownKind::HandOver) => term.hand_over().await,
        Some(StepDownKind::Immediate(reason)) => term.step_down_now(reason).await,
        Some(StepDownKind::ReleaseThrough(address)) => release_through_peer(term, &address).await,
        None => {}
    }
    watch_timeout.set(term.options.watch_timeout);
    term.log_queue.refuse_pending();
    metrics::gauge!(metric::OWNER).set(0.0);
    metrics::gauge!(metric::ADVICE_CALLS).set(0.0);
    metrics::gauge!(metric::START_LIMIT).set(0.0);
    metrics::gauge!(metric::BEHIND_SECONDS).set(0.0);
    clear_pool_report(term);
    term.channels.borrow_mut().clear();
}

/// Ends the term and asks another process to end its lease.
async fn release_through_peer(term: &Term, address: &str) {
    log_event::info(
        &event::TERM_RELEASED,
        format_args!("token={} by={address}", term.token),
    );
    term.end("another process reaches the store");
    let call = OwnerCall {
        ask: Some(Ask::Release(term.lease)),
        ..OwnerCall::default()
    };
    // If there is no answer, the lease expires by itself.
    term.members.call(address, &call).await;
}

/// Renews the lease until the term is over. A renewal does not wait for the previous one, whose
/// response may be lost; waiting for it would let the lease expire.
async fn renew_until_over(term: Rc<Term>) {
    loop {
        let pause = match term.seems_cut_off() {
            true => RENEWAL_RETRY_DELAY,
            false => term.options.renew_interval,
        };
        sleep(pause).await;
        term.spawn(renew_once(term.clone()));
    }
}

async fn renew_once(term: Rc<Term>) {
    let sent = term.now().boot;
    match term.ports.store.renew_lease(term.lease).await {
        Ok(true) => term.renewal_succeeded(sent),
        Ok(false) => term.end("lease lapsed"),
        Err(error) => term.renewal_failed(sent, &error.to_string()),
    }
}

/// Reads the log, then schedules work until the term is over.
async fn read_log_and_schedule(term: Rc<Term>) {
    let started = term.now().boot;
    let mut scheduler = term.scheduler.borrow().clone();
    let store = &*term.ports.store;
    let summary = read_log(
        store,
        &term.options,
        &term.log_cache,
        &mut scheduler,
        || term.now(),
    )
    .await;
    if let Some(policy) = term.view.policy() {
        scheduler.set_policy(policy);
    }
    let took = term.now().boot.saturating_sub(started);
    metric::record_duration(metric::LOG_READ_SECONDS, took);
    log_event::info(
        &event::TERM_READ,
        format_args!(
            "token={} pages={} bytes={} jobs={} open={} cancelled={} targets={} took_ms={}",
            term.token,
            summary.pages(),
            summary.bytes,
            scheduler.job_table.jobs.len(),
            scheduler.job_table.open.len(),
            scheduler.job_table.cancelled_count(),
            scheduler.job_table.used_targets.len(),
            took.as_millis()
        ),
    );
    let now = term.now().boot;
    term.hosts
        .borrow_mut()
        .replay_arrivals(&scheduler.job_table, now);
    // Calls that wait for the log are answered right after this, and some have to be refused
    // because of the size of the backlog.
    measure_job_bytes(
        &term,
        job_byte_share(&scheduler.job_table.compacted_entries()),
        summary.bytes,
    );
    *term.scheduler.borrow_mut() = scheduler;
    term.ready.set(true);
    term.on_ready.notify_waiters();
    term.spawn(watch_cancellations(term.clone()));
    term.spawn(write_log(term.clone(), summary));
    term.spawn(watch_targets(term.clone()));
    term.spawn(manage_hosts(term.clone()));
    term.spawn(report_pools(term.clone()));
    schedule_loop(term).await;
}

/// Lets the scheduler plan after every change and on every tick.
async fn schedule_loop(term: Rc<Term>) {
    let mut applied_version = 0;
    // The ticks are independent of other events. A sleep that restarted after each event would
    // never elapse while events are frequent, and timeouts would not be handled.
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut watch = LoadWatch::default();
    loop {
        let due = tokio::select! {
            biased;
            due = ticks.tick() => Some(due),
            () = term.wake.notified() => None,
            () = term.view.changed.notified() => None,
        };
        if let Some(due) = due {
            watch.record_loop_delay(&term, due.elapsed(), term.now().boot);
        }
        // Lets other responses that have already arrived be processed first, so that one plan
        // covers all of them.
        yield_now().await;
        let version = term.view.version.get();
        if version != applied_version {
            applied_version = version;
            if let Some(policy) = term.view.policy() {
                term.scheduler.borrow_mut().set_policy(policy);
            }
            let drained = term.view.drained_data_centres();
            term.scheduler
                .borrow_mut()
                .set_drained_data_centres(drained);
        }
        let now = term.now();
        if !term.may_send_orders() {
            term.end("lapsed while the store did not answer");
            return;
        }
        {
            let mut scheduler = term.scheduler.borrow_mut();
            scheduler.set_ownership_uncertain(!term.may_start_tasks());
            if due.is_some() {
                if scheduler.awaits_advice() {
                    let peers = term.members.addresses().into_iter();
                    scheduler.set_advice_peers(peers.collect());
                }
                scheduler.tick(now);
                #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
                metrics::gauge!(metric::OPEN_JOBS).set(scheduler.job_table.open.len() as f64);
                #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
                metrics::gauge!(metric::ADVICE_CALLS).set(scheduler.advice_call_count() as f64);
            }
            if check_reads(&term).is_ok() {
                let is_unfinished = scheduler.plan_starts(now, term.call_limiter.start_room());
                if is_unfinished {
                    // The next pass follows once other events have been handled.
                    term.wake.notify_one();
                }
            }
        }
        execute_actions(&term);
    }
}

/// Executes the actions that the scheduler requested.
fn execute_actions(term: &Rc<Term>) {
    let (orders, events, dropped, targets) = {
        let mut scheduler = term.scheduler.borrow_mut();
        let known = term.channels.borrow();
        let mut added = scheduler.take_added_targets();
        added.retain(|id| scheduler.targets.contains_key(id) && !known.contains_key(id));
        let dropped = std::mem::take(&mut scheduler.events_dropped);
        (
            scheduler.take_actions(),
            scheduler.take_events(),
            dropped,
            added,
        )
    };
    event_log::log_events(events, dropped, term.token);
    for id in targets {
        open_channel(term, id);
    }
    let now = term.now().boot;
    for order in orders {
        match order {
            SchedulerAction::AppendLog(record) => term.log_queue.push(record, now),
            SchedulerAction::StepDown(target) => {
                log_event::warn(
                    &event::OWNER_FENCED,
                    format_args!("target={target} token={}", term.token),
                );
                term.end("fenced");
                return;
            }
            other => send_order(term, other),
        }
    }
}
