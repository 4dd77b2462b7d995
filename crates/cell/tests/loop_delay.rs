//! How late the event loop of a process is, as its metrics show.

mod common;

use std::{thread, time::Duration};

use common::*;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::time::sleep;

/// Guards against an owner that loses its lease and shows no cause: a step of the event loop takes
/// so long that nothing else is handled.
#[test]
fn long_step_shows_in_metrics() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    run_local(async {
        let cell = TestCell::new();
        let _host = cell.start_host("one");
        sleep(Duration::from_millis(150)).await;
        thread::sleep(Duration::from_millis(600));
        sleep(Duration::from_millis(150)).await;
    });
    let text = handle.render();
    let longest = text.lines().find_map(|line| {
        let value = line.strip_prefix(r#"lws_cell_loop_delay_seconds{quantile="1"} "#)?;
        value.parse::<f64>().ok()
    });
    assert!(longest.is_some_and(|longest| longest >= 0.4), "{text}");
}
