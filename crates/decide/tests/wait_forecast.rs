//! Predicted waits of jobs by the work before them and the cores due to their workspace.

use std::time::Duration;

use decide::work::{PoolCores, WorkspaceLoad, predict_wait};

const SMALL: &str = "small";
const LARGE: &str = "large";

fn load(workspace: &str, offered: f64, backlog: f64) -> WorkspaceLoad {
    WorkspaceLoad {
        workspace: workspace.into(),
        weight: 1.0,
        offered,
        backlog,
    }
}

fn constant_cores(cores: f64) -> PoolCores {
    PoolCores {
        present: cores,
        soon: cores,
    }
}

#[test]
fn wait_without_backlog_is_zero() {
    assert_eq!(
        predict_wait(constant_cores(10.0), &[], SMALL),
        Duration::ZERO
    );
    let loads = [load(LARGE, 1000.0, 1000.0)];
    assert_eq!(
        predict_wait(constant_cores(10.0), &loads, SMALL),
        Duration::ZERO
    );
}

/// A workspace sends twenty times its usual load and has work for minutes. The others wait for
/// their own work only.
#[test]
fn wait_beside_large_workspace() {
    let mut loads = vec![load(LARGE, 400.0, 10_000.0)];
    loads.extend((0..19).map(|number| load(&format!("{SMALL}{number}"), 2.0, 1.0)));
    let small = predict_wait(constant_cores(100.0), &loads, "small7");
    assert!(small < Duration::from_secs(1), "{small:?}");
    let large = predict_wait(constant_cores(100.0), &loads, LARGE);
    assert!(large > Duration::from_secs(30), "{large:?}");
}

/// Hosts that are on their way shorten the wait only from their arrival on.
#[test]
fn wait_counts_hosts_on_their_way() {
    let loads = [load(LARGE, 0.0, 900.0)];
    let alone = predict_wait(constant_cores(100.0), &loads, LARGE);
    let arriving = PoolCores {
        present: 100.0,
        soon: 1000.0,
    };
    let helped = predict_wait(arriving, &loads, LARGE);
    assert!(alone > Duration::from_secs(9), "{alone:?}");
    assert!(helped > Duration::from_secs(2), "{helped:?}");
    assert!(helped < Duration::from_secs(3), "{helped:?}");
}

/// A pool without any host: the wait is long but finite.
#[test]
fn wait_without_hosts_is_bounded() {
    let loads = [load(SMALL, 1.0, 1.0)];
    let wait = predict_wait(constant_cores(0.0), &loads, SMALL);
    assert!(wait >= Duration::from_secs(60) && wait < Duration::from_secs(120));
}
