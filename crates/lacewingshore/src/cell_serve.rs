//! Wires and runs one process of a cell on the users' platform.
//!
//! [`run`] runs everything on one single-threaded event loop: on a quarter of a core, threads
//! that wake each other for every call would cost three times as much;
//! see `docs/design/13-platform.md`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, Result};
use cell::{CellHost, CellOptions, CellPorts, HostLimits};
use decide::{link_bounds::lease_length, work::SchedulerTuning};
use link::{CallClient, ServerLimits, ShutdownSignal, serve_http};
use metrics_exporter_prometheus::PrometheusBuilder;
use model::{CellSettings, event as log_event};
use platform::{CallerPort, PlatformPorts, ReadyPort};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, LocalSet},
    time::interval,
};

use crate::{command::read_text, exit::CommandError, line_sink::LineSink};

/// Interval between reports of dropped log lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a process of a cell until SIGTERM or SIGINT, and shuts it down gracefully.
pub fn run(settings: CellSettings, path: PathBuf, log_sink: Arc<LineSink>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the event loop")?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, path, log_sink))
}

async fn serve(settings: CellSettings, path: PathBuf, log_sink: Arc<LineSink>) -> Result<()> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context("install metrics")?;
    let mut stop = signal(SignalKind::terminate()).context("hear SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("hear SIGINT")?;
    let client = CallClient::default();
    let options = cell_options(&settings)?;
    let host = CellHost::new(options, cell_ports(&settings, &client), client);
    host.start(metrics);
    let callers = spawn_servers(&settings, &host)?;
    tokio::task::spawn_local(report_dropped_lines(log_sink));
    tokio::task::spawn_local(watch_reload_signal(settings, path));
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    let served = async move {
        if let Err(error) = callers.await {
            log::error!("caller server stopped: {error}");
        }
    };
    host.stop(served).await;
    Ok(())
}

/// Starts the servers for callers and for the load balancer's readiness checks; returns the
/// task of the caller server.
fn spawn_servers(settings: &CellSettings, host: &CellHost) -> Result<JoinHandle<()>> {
    let service = host.service();
    let ready = Rc::new(ReadyPort::new(service.clone()));
    // The readiness server answers until the process ends, also during the shutdown.
    let no_shutdown = ShutdownSignal::default();
    let ready_address = parse_address(&settings.ready_address)?;
    let limits = ServerLimits::default();
    tokio::task::spawn_local(async move {
        log_server_error(
            serve_http(ready_address, ready, limits, no_shutdown).await,
            "readiness",
        );
    });
    let callers = Rc::new(CallerPort::new(service));
    let caller_address = parse_address(&settings.caller_address)?;
    let stopping = host.stopping();
    Ok(tokio::task::spawn_local(async move {
        log_server_error(
            serve_http(caller_address, callers, limits, stopping).await,
            "callers",
        );
    }))
}

fn cell_ports(settings: &CellSettings, client: &CallClient) -> CellPorts {
    let PlatformPorts {
        store,
        codec,
        targets,
        hosts,
        advice,
    } = PlatformPorts::new(
        client,
        &settings.store_address,
        &settings.control_address,
        &settings.advice_address,
    );
    CellPorts {
        store,
        codec,
        targets,
        hosts,
        advice,
    }
}

fn cell_options(settings: &CellSettings) -> Result<CellOptions> {
    let peers = parse_address(&settings.peer_address)?;
    let metrics = parse_address(&settings.metrics_address)?;
    let mut options = CellOptions::new(settings.member.clone(), peers, metrics);
    let default = SchedulerTuning::default();
    options.scheduler = SchedulerTuning {
        lease_limit: settings.task_lease,
        grant: default.grant.min(settings.task_lease),
        sharing: settings.sharing,
        ..default
    };
    options.host_order_pause = settings.host_order_pause;
    options.limits = HostLimits {
        cores: settings.processor_share * settings.processor_speed,
        memory_mb: settings.memory_mb,
        link_mbps: settings.link_mbps,
    };
    options.scheduler.owner_lease =
        lease_length(default.owner_lease, options.limits.link_bytes_per_second());
    Ok(options)
}

/// Reads and validates a settings file.
pub fn read_settings(path: &Path) -> Result<CellSettings, CommandError> {
    let text = read_text(path)?;
    CellSettings::from_ini(&text).map_err(|fault| CommandError::invalid_text(path, &fault))
}

/// Reads the settings file again on each SIGHUP. It holds only addresses and the like, which
/// take effect at a restart; so this only logs whether a restart is needed, or why the file is
/// invalid.
async fn watch_reload_signal(settings: CellSettings, path: PathBuf) {
    let mut reload = match signal(SignalKind::hangup()) {
        Ok(reload) => reload,
        Err(error) => {
            log::error!("cannot register a SIGHUP handler: {error}");
            return;
        }
    };
    while reload.recv().await.is_some() {
        match read_settings(&path) {
            Ok(read) => log_event::info(
                &cell::event::SETTINGS_RELOADED,
                format_args!("needs_restart={}", read != settings),
            ),
            Err(error) => log_event::warn(
                &cell::event::SETTINGS_RELOADED,
                format_args!("kept=old cause=\"{error}\""),
            ),
        }
    }
}

async fn report_dropped_lines(log_sink: Arc<LineSink>) {
    let mut ticks = interval(DROP_REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        if let Some(dropped) = log_sink.take_dropped() {
            metrics::counter!("lws_cell_log_lines_dropped").increment(dropped);
            log_event::warn(&cell::event::LINES_DROPPED, format_args!("lines={dropped}"));
        }
    }
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| format!("read address {text}"))
}

fn log_server_error(result: std::io::Result<()>, what: &str) {
    if let Err(error) = result {
        log::error!("server for {what} stopped: {error}");
    }
}
