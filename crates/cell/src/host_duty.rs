use std::{rc::Rc, time::Duration};

use decide::work::{HostOrder, RecordOrder};
use model::{
    BootTime, event as log_event,
    work::{HostOrderAnswer, OrderSender, WaveId},
};
use ports::{StoreChange, StoreOutcome, StoreWrite};
use tokio::time::{MissedTickBehavior, interval};
use wire::work::{LogEntry, WaveProgress, log_entry::Event};

use crate::{event, term::Term};

/// How often hosts are considered. Demand doubles within a second at the start of a turn.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// How often the hosts are listed. A host that was moved is back after two seconds at the
/// earliest, and each list is a call that is paid for.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// Tends the hosts of the fleet: their maintenance and their moves between pools.
///
/// A new owner first waits for as long as orders of its predecessor could cross its own.
pub(crate) async fn tend_hosts(term: Rc<Term>) {
    let begin = term.now().boot + term.options.host_order_pause;
    let mut listed = BootTime::ZERO;
    let mut ticks = interval(PLAN_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = term.now().boot;
        if now < begin || !term.is_certain() {
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

async fn list_hosts(term: &Rc<Term>) {
    let asked = term.now().boot;
    match term.ports.hosts.hosts().await {
        Ok(hosts) => term.hosts.borrow_mut().take_list(hosts, asked),
        Err(error) => log::warn!("list hosts: {error}"),
    }
}

fn plan_hosts(term: &Rc<Term>) {
    let now = term.now().boot;
    let waves = term.view.waves();
    let orders = {
        let mut desk = term.desk.borrow_mut();
        let mut hosts = term.hosts.borrow_mut();
        hosts.take_waves(&waves, &desk.board.maintained, now);
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
        HostOrder::Move(host, pool) => term.ports.hosts.move_host(&sender, host, pool).await,
        HostOrder::Maintain(host, wave) => term.ports.hosts.maintain(&sender, host, *wave).await,
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

/// Writes down that a host's maintenance began, for the successor.
fn record_begun(term: &Term, wave: WaveId, host: &str) {
    let progress = WaveProgress {
        wave,
        host: host.to_owned(),
    };
    let order = RecordOrder {
        entry: LogEntry {
            event: Some(Event::Wave(progress)),
        },
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
