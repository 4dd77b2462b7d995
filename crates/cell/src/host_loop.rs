use std::{rc::Rc, time::Duration};

use decide::{call_budget::ListThrottle, work::HostOrder};
use model::{
    BootTime, event as log_event,
    work::{HostOrderAnswer, OrderSender, WaveId},
};
use ports::{StoreChange, StoreOutcome, StoreWrite};
use tokio::time::{MissedTickBehavior, interval};
use wire::work::{HostOrdered, WaveProgress, log_entry::Event};

use crate::{
    event,
    log_queue::{RecordOutcome, record_order},
    term::Term,
};

/// How often moves and maintenance are planned. Demand doubles within a second at the start of a
/// burst.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How often the hosts are listed. A moved host is back after two seconds at the earliest, and each
/// list call has a cost.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the lease that may have remained when an owner sent its last order.
const LEASE_SLACK: Duration = Duration::from_millis(200);

/// How often the hosts are listed while there are incarnations of targets that no poll has reached.
/// Older jobs of their pools wait until two lists have shown that these incarnations ended.
const FAST_LIST_INTERVAL: Duration = Duration::from_millis(100);
/// For how long after the start of a term hosts are listed that often.
const FAST_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Runs the loop that manages the hosts: their maintenance and their moves between pools.
pub(crate) async fn manage_hosts(term: Rc<Term>) {
    let begin = term.now().boot;
    let mut listed = BootTime::ZERO;
    let mut pace = ListThrottle::default();
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = term.now().boot;
        if !term.has_valid_lease() || term.handing_over.get() {
            continue;
        }
        let list_fast =
            now < begin + FAST_LIST_PERIOD && term.scheduler.borrow().has_unknown_incarnations();
        let every = if list_fast {
            FAST_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        if now.saturating_sub(listed) >= every && pace.admits(now) {
            listed = now;
            list_hosts(&term).await;
            pace.record_list(now, term.now().boot.saturating_sub(now));
        }
        plan_hosts(&term);
        publish_wave_states(&term).await;
    }
}

/// How long a new owner sends no order to a host that its predecessor ordered recently, whatever
/// the clocks say.
///
/// Two owners must not send orders to one host in alternation. Each order is recorded with its time
/// before it is sent, but the wall clock may jump. An owner that was killed or cut off sent its
/// orders before its lease began to expire, so part of the pause has passed by then.
fn predecessor_pause(term: &Term) -> Duration {
    if term.scheduler.borrow().job_table.handed_over {
        return Duration::ZERO;
    }
    let min_lapsed = term.options.scheduler.owner_lease - LEASE_SLACK;
    term.options.host_order_pause.saturating_sub(min_lapsed)
}

async fn list_hosts(term: &Rc<Term>) {
    let asked = term.now().boot;
    match term.ports.hosts.hosts().await {
        Ok(hosts) => {
            let incarnations = hosts.iter().map(|host| host.target.clone());
            let incarnations = incarnations
                .filter(|incarnation| !incarnation.is_empty())
                .collect();
            let now = term.now();
            term.scheduler
                .borrow_mut()
                .update_incarnations(&incarnations, asked, now);
            term.hosts.borrow_mut().apply_host_list(hosts, asked);
        }
        Err(error) => log::warn!("list hosts: {error}"),
    }
}

fn plan_hosts(term: &Rc<Term>) {
    let time = term.now();
    let now = time.boot;
    let waves = term.view.waves();
    let (pause, least) = (term.options.host_order_pause, predecessor_pause(term));
    let orders = {
        let mut scheduler = term.scheduler.borrow_mut();
        let mut hosts = term.hosts.borrow_mut();
        hosts.apply_waves(&waves, &scheduler.job_table.maintained_hosts, now);
        hosts.apply_earlier_orders(&scheduler.job_table.last_host_orders, pause, least, time);
        hosts.plan(&mut scheduler, now)
    };
    for order in orders {
        let cloned = term.clone();
        term.spawn(async move { order_host(cloned, order).await });
    }
}

async fn order_host(term: Rc<Term>, order: HostOrder) {
    let sender = OrderSender {
        holder: term.options.member.clone(),
        token: term.token,
    };
    let recorded = record_host_order(&term, order.host()).await;
    let answer = if recorded && term.has_valid_lease() {
        send_order(&term, &sender, &order).await
    } else {
        HostOrderAnswer::Refused("not recorded, or the lease may have lapsed".to_owned())
    };
    log_event::info(
        &event::HOST_ORDERED,
        format_args!(
            "order=\"{order:?}\" token={} answer=\"{answer:?}\"",
            term.token
        ),
    );
    if answer == HostOrderAnswer::Fenced {
        term.end("fenced by the control of hosts");
        return;
    }
    let now = term.now();
    let target = term.hosts.borrow().operation_target(order.host());
    let begun = term
        .hosts
        .borrow_mut()
        .apply_answer(&order, &answer, now.boot);
    if !begun {
        return;
    }
    if let Some(target) = target {
        term.scheduler
            .borrow_mut()
            .end_target_after_host_order(&target, now);
        term.wake.notify_one();
    }
    if let HostOrder::Maintain(host, wave) = &order {
        record_maintenance(&term, *wave, host);
    }
}

async fn send_order(term: &Term, sender: &OrderSender, order: &HostOrder) -> HostOrderAnswer {
    match order {
        HostOrder::Move(host, pool) => term.ports.hosts.move_host(sender, host, pool).await,
        HostOrder::Maintain(host, wave) => term.ports.hosts.maintain(sender, host, *wave).await,
    }
}

/// Records that an order to a host is about to be sent, so that a successor does not order the host
/// right afterwards. Returns true once that is stored. Because no order goes unrecorded, even if
/// the owner dies right after it, the successor may order all other hosts at once. Otherwise it
/// would have to leave all hosts alone for two seconds, and a burst in a queue would be over.
async fn record_host_order(term: &Term, host: &str) -> bool {
    let now = term.now();
    let ordered = HostOrdered {
        host: host.to_owned(),
        unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or(u64::MAX),
    };
    let order = record_order(Event::Ordered(ordered), true);
    let outcome = term.log_queue.push_awaited(order, now.boot).await;
    outcome == Ok(RecordOutcome::Stored)
}

/// Records for a successor that the maintenance of a host began.
fn record_maintenance(term: &Term, wave: WaveId, host: &str) {
    let progress = WaveProgress {
        wave,
        host: host.to_owned(),
    };
    let order = record_order(Event::Wave(progress), false);
    term.log_queue.push(order, term.now().boot);
}

/// Writes the states of waves that changed, for operators.
async fn publish_wave_states(term: &Rc<Term>) {
    let changed = term.hosts.borrow_mut().changed_waves();
    for (wave, completed) in changed {
        let (key, value) = term.ports.codec.wave_status(wave, completed);
        let change = StoreChange {
            expect: vec![(term.options.owner_key(), term.token)],
            writes: vec![StoreWrite {
                key: key.into(),
                value,
                lease: None,
            }],
            removes: Vec::new(),
        };
        match term.ports.store.change(change).await {
            Ok(StoreOutcome::Done(_)) => {
                term.hosts.borrow_mut().mark_wave_published(wave, completed);
                log_event::info(
                    &event::WAVE_SHOWN,
                    format_args!("wave={wave} completed={completed}"),
                );
            }
            Ok(other) => log::warn!("show wave {wave}: {other:?}"),
            Err(error) => log::warn!("show wave {wave}: {error}"),
        }
    }
}
