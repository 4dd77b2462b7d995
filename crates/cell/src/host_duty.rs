use std::{rc::Rc, time::Duration};

use decide::work::{HostOrder, RecordOrder};
use model::{
    BootTime, event as log_event,
    work::{HostOrderAnswer, OrderSender, WaveId},
};
use ports::{StoreChange, StoreOutcome, StoreWrite};
use tokio::time::{MissedTickBehavior, interval};
use wire::work::{HostOrdered, LogEntry, WaveProgress, log_entry::Event};

use crate::{event, term::Term};

/// How often hosts are considered. Demand doubles within a second at the start of a turn.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// How often the hosts are listed. A host that was moved is back after two seconds at the
/// earliest, and each list is a call that is paid for.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// Part of the lease that may have been left when an owner gave its last order.
const LEASE_SLACK: Duration = Duration::from_millis(200);

/// Tends the hosts of the fleet: their maintenance and their moves between pools.
///
/// A new owner first waits for as long as orders of its predecessor could cross its own.
pub(crate) async fn tend_hosts(term: Rc<Term>) {
    let begin = term.now().boot + first_pause(&term);
    let mut listed = BootTime::ZERO;
    let mut ticks = interval(PLAN_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = term.now().boot;
        if now < begin || !term.is_certain() || term.handing_over.get() {
            continue;
        }
        if now.saturating_sub(listed) >= LIST_EVERY {
            listed = now;
            list_hosts(&term).await;
        }
        plan_hosts(&term);
        show_waves(&term).await;
    }
}

/// How long a new owner orders no host at all.
///
/// Orders are recorded with their time, and no host is ordered again too early. Only the last
/// ones of an owner that was killed or cut off may be missing. They were given before its lease
/// began to lapse, and that part of the pause has passed; after a hand-over none is missing.
fn first_pause(term: &Term) -> Duration {
    if term.desk.borrow().board.handed_over {
        return Duration::ZERO;
    }
    let lapsed = term.options.owner_lease - LEASE_SLACK;
    term.options.host_order_pause.saturating_sub(lapsed)
}

async fn list_hosts(term: &Rc<Term>) {
    let asked = term.now().boot;
    match term.ports.hosts.hosts().await {
        Ok(hosts) => {
            let lives = hosts.iter().map(|host| host.target.clone());
            let lives = lives.filter(|life| !life.is_empty()).collect();
            term.desk.borrow_mut().take_lives(&lives, term.now());
            term.hosts.borrow_mut().take_list(hosts, asked);
        }
        Err(error) => log::warn!("list hosts: {error}"),
    }
}

fn plan_hosts(term: &Rc<Term>) {
    let now = term.now().boot;
    let waves = term.view.waves();
    let time = term.now();
    let orders = {
        let mut desk = term.desk.borrow_mut();
        let mut hosts = term.hosts.borrow_mut();
        hosts.take_waves(&waves, &desk.board.maintained, now);
        hosts.take_ordered(&desk.board.ordered, term.options.host_order_pause, time);
        hosts.plan(&mut desk, now)
    };
    for order in orders {
        let carried = term.clone();
        term.spawn(async move { order_host(carried, order).await });
    }
}

async fn order_host(term: Rc<Term>, order: HostOrder) {
    let sender = OrderSender {
        holder: term.options.member.clone(),
        token: term.token,
    };
    let answer = match &order {
        _ if !term.is_certain() => HostOrderAnswer::Refused("the lease may have lapsed".to_owned()),
        _ => {
            record_ordered(&term, order.host());
            give_order(&term, &sender, &order).await
        }
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
    let target = term.hosts.borrow().target_of(order.host());
    let begun = term.hosts.borrow_mut().answered(&order, &answer, now.boot);
    if !begun {
        return;
    }
    if let Some(target) = target {
        term.desk.borrow_mut().end_target(&target, now);
        term.wake.notify_one();
    }
    if let HostOrder::Maintain(host, wave) = &order {
        record_begun(&term, *wave, host);
    }
}

async fn give_order(term: &Term, sender: &OrderSender, order: &HostOrder) -> HostOrderAnswer {
    match order {
        HostOrder::Move(host, pool) => term.ports.hosts.move_host(sender, host, pool).await,
        HostOrder::Maintain(host, wave) => term.ports.hosts.maintain(sender, host, *wave).await,
    }
}

/// Writes down that a host is being ordered, so that a successor does not order it right after.
fn record_ordered(term: &Term, host: &str) {
    let now = term.now();
    let ordered = HostOrdered {
        host: host.to_owned(),
        unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or(u64::MAX),
    };
    add_entry(term, Event::Ordered(ordered));
}

/// Writes down that a host's maintenance began, for the successor.
fn record_begun(term: &Term, wave: WaveId, host: &str) {
    let progress = WaveProgress {
        wave,
        host: host.to_owned(),
    };
    add_entry(term, Event::Wave(progress));
}

fn add_entry(term: &Term, event: Event) {
    let order = RecordOrder {
        entry: LogEntry { event: Some(event) },
        origin: None,
        job: None,
        urgent: false,
    };
    term.log.add(order, term.now().boot);
}

/// Writes the state of waves for operators where it has changed.
async fn show_waves(term: &Rc<Term>) {
    let changed = term.hosts.borrow_mut().wave_states();
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
                term.hosts.borrow_mut().wave_shown(wave, completed);
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
