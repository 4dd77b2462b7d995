//! Drains and maintenance of a small fleet in one process, with stand-ins for store,
//! host list and hosts.
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
    // Operators open a window; each host is rebooted while callers keep getting answers.
    // Hosts run work when they are told to drain, and a reboot before that ended would
    // cut it off.
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
    assert!(scene.nothing_cut());
    scene.assert_budget(5);
}

#[test]
fn wave_two_planners_cut_nothing() {
    // Two entry hosts lose sight of each other, and both plan the same pool. If both took
    // a host out, or one rebooted what the other had brought back, callers would see
    // refused or lost work.
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
    assert!(scene.nothing_cut());
    scene.assert_budget(5);
}

#[test]
fn wave_lost_answers_are_audited_once() {
    // The store applies writes whose answers are lost. The planner must find out what
    // took effect, go on from there, and miss nothing in the audit trail.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.store.lose_answers.store(6, Ordering::SeqCst);
    scene.open_window();
    wait_for("all rebooted", || scene.all_rebooted());
    scene.set_window("");
    wait_for("eight targets again", || scene.serving() == 8);
    scene.assert_budget(5);
    assert_eq!(scene.store.lose_answers.load(Ordering::SeqCst), 0);
    wait_for("all changes noted", || {
        let notes = scene.notes.0.lock();
        let noted: BTreeSet<u64> = notes.iter().map(|note| note.revision_after).collect();
        // The first changes joined the hosts, before the planner had read the map.
        noted.len() as u64 >= scene.map().revision - 1
    });
    let notes = scene.notes.0.lock();
    let ids: BTreeSet<&str> = notes.iter().map(|note| note.change_id.as_str()).collect();
    assert_eq!(ids.len(), notes.len(), "a change was noted twice");
}

#[test]
fn wave_store_down_grants_nothing_and_finishes() {
    // The store goes down in the middle of a wave. Whoever drains goes on draining, no
    // other host goes out, and when the store is back the wave goes on.
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
    assert!(scene.nothing_cut());
    scene.assert_budget(5);
}

#[test]
fn wave_stops_when_host_stays_away() {
    // A reboot leaves a host dead. The rest of its pool must stay in service: whatever
    // broke the first host may break the next.
    let mut limits = short_limits();
    limits.return_limit = Duration::from_secs(3);
    let scene = FleetScene::with_limits(window_manifest(""), eight_hosts(), limits);
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.never_returns = true;
    }
    scene.open_window();
    wait_for("two hosts given up", || {
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
    assert_eq!(rebooted, 2, "the pool lets two out at once");
    assert_eq!(serving_hosts(&scene.map()), 6);
}

#[test]
fn wave_closed_window_returns_draining_hosts() {
    // An operator takes the window away while hosts drain. They go back to work; none is
    // rebooted afterwards.
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
fn wave_goes_on_with_next_planner() {
    // The entry host that plans is replaced between writing that a host is to be rebooted
    // and the end of its return. The next one has only the map and the hosts to go by.
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
    assert!(scene.nothing_cut());
    scene.assert_budget(5);
}

#[test]
fn leaving_host_gets_no_new_work() {
    // The platform takes a host away. Its callers must not see it as a target any more,
    // even if the store is down and nothing can be written about it.
    let scene = FleetScene::start(window_manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.store.down.store(true, Ordering::SeqCst);
    scene
        .fleet
        .with_host("q-03", |host| host.entry.leaving = true);
    wait_for("seven targets", || scene.serving() == 7);
}
