//! Drains and maintenance of a small fleet in one process, with fakes for the store, the
//! host list and the hosts.
#![allow(clippy::expect_used)]

mod common;

use std::{collections::BTreeSet, sync::atomic::Ordering, time::Duration};

use common::{FleetScene, eight_hosts, serving_hosts, short_limits, wait_for, window_manifest};
use decide::budget::HostPhase;
use ports::StatusSource;

#[test]
fn join_hosts_become_targets() {
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    assert_eq!(scene.services.lock()[0].hosts().len(), 8);
}

#[test]
fn wave_reboots_every_host_within_budget() {
    // In an open window each host is rebooted. Hosts run work when their drain begins; a
    // reboot must not interrupt it, and the pool must keep its budget of serving hosts.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.running = 2;
    }
    scene.open_window();
    wait_for("all rebooted", || {
        scene.finish_work();
        scene.all_rebooted()
    });
    assert!(scene.no_work_interrupted());
    scene.assert_budget(5);
}

#[test]
fn wave_two_planners_interrupt_no_work() {
    // Two entry hosts can't reach each other, and both plan the same pool. They must not
    // exceed the budget together, nor reboot a host that the other has returned to service.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    scene.add_member("e2");
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.running = 2;
    }
    scene.open_window();
    wait_for("all rebooted", || {
        scene.finish_work();
        scene.all_rebooted()
    });
    assert!(scene.no_work_interrupted());
    scene.assert_budget(5);
}

#[test]
fn wave_lost_answers_are_audited_once() {
    // The store applies writes whose responses are lost. The planner must read what took
    // effect, continue from there, and record each change in the audit trail once.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.store.lose_answers.store(6, Ordering::SeqCst);
    scene.open_window();
    wait_for("all rebooted", || scene.all_rebooted());
    scene.set_window("");
    wait_for("eight targets again", || scene.serving() == 8);
    scene.assert_budget(5);
    assert_eq!(scene.store.lose_answers.load(Ordering::SeqCst), 0);
    wait_for("all changes audited", || {
        let records = scene.audit_log.0.lock();
        let audited: BTreeSet<u64> = records.iter().map(|record| record.revision_after).collect();
        // The first changes added the hosts, before the planner had read the map.
        audited.len() as u64 >= scene.map().revision - 1
    });
    let records = scene.audit_log.0.lock();
    let ids: BTreeSet<&str> = records
        .iter()
        .map(|record| record.change_id.as_str())
        .collect();
    assert_eq!(ids.len(), records.len(), "a change was audited twice");
}

#[test]
fn wave_store_down_permits_no_outage_and_finishes() {
    // The store fails during a wave. Draining hosts keep draining and no other host goes out
    // of service. When the store is back, the wave continues.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.running = 1;
    }
    scene.open_window();
    let draining = || {
        let hosts = scene.fleet.hosts.lock();
        hosts.values().filter(|host| host.draining).count()
    };
    wait_for("two hosts drain", || draining() == 2);
    scene.store.down.store(true, Ordering::SeqCst);
    scene.finish_work();
    let revision = scene.map().revision;
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(scene.map().revision, revision);
    assert!(draining() <= 2);
    assert_eq!(scene.serving(), 6);
    scene.store.down.store(false, Ordering::SeqCst);
    wait_for("all rebooted", || {
        scene.finish_work();
        scene.all_rebooted()
    });
    assert!(scene.no_work_interrupted());
    scene.assert_budget(5);
}

#[test]
fn wave_stops_when_hosts_do_not_return() {
    // Hosts do not return from their reboots. The rest of the pool must stay in service,
    // because the same failure may affect the next host.
    let mut limits = short_limits();
    limits.return_limit = Duration::from_secs(3);
    let scene = FleetScene::with_limits(window_manifest(""), eight_hosts(), limits);
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.never_returns = true;
    }
    scene.open_window();
    wait_for("two failed returns", || {
        let map = scene.map();
        map.hosts
            .values()
            .filter(|host| host.failed_return())
            .count()
            == 2
    });
    std::thread::sleep(Duration::from_millis(500));
    let rebooted: u32 = scene
        .fleet
        .hosts
        .lock()
        .values()
        .map(|host| host.reboots)
        .sum();
    assert_eq!(rebooted, 2, "the window allows two hosts out at once");
    assert_eq!(serving_hosts(&scene.map()), 6);
}

#[test]
fn wave_closed_window_returns_draining_hosts() {
    // An operator removes the window while hosts drain. They must return to service without
    // a reboot.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.running = 1;
    }
    scene.open_window();
    wait_for("two hosts drain", || {
        let hosts = scene.fleet.hosts.lock();
        hosts.values().filter(|host| host.draining).count() == 2
    });
    scene.set_window("");
    wait_for("eight targets again", || scene.serving() == 8);
    let hosts = scene.fleet.hosts.lock();
    assert!(
        hosts
            .values()
            .all(|host| host.reboots == 0 && !host.draining)
    );
}

#[test]
fn wave_continues_with_next_planner() {
    // The planning entry host is replaced after it recorded that a host is to be rebooted and
    // before that host returned. The next planner has only the map and the hosts' reports.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.open_window();
    wait_for("a host is to be rebooted", || {
        let map = scene.map();
        map.hosts
            .values()
            .any(|host| host.phase == HostPhase::Rebooting)
    });
    scene.stop_first();
    scene.add_member("e2");
    wait_for("all rebooted", || scene.all_rebooted());
    assert!(scene.no_work_interrupted());
    scene.assert_budget(5);
}

#[test]
fn leaving_host_gets_no_new_work() {
    // The platform removes a host. It must no longer be a target, even if the store is down
    // and the change can't be recorded.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.store.down.store(true, Ordering::SeqCst);
    scene
        .fleet
        .with_host("q-03", |host| host.entry.leaving = true);
    wait_for("seven targets", || scene.serving() == 7);
}
