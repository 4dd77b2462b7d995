use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use crossbeam_channel::{RecvTimeoutError, Sender, bounded};
use metrics_exporter_prometheus::PrometheusHandle;
use model::StepError;

/// How often recorded samples are folded into their distributions.
const INTERVAL: Duration = Duration::from_secs(5);
const STACK_BYTES: usize = 128 * 1024;

/// Folds the samples of histograms into distributions.
///
/// The recorder keeps every sample until then. Without this thread that would only happen when
/// somebody reads the metrics, and on a host that nobody watches memory would grow with each
/// request.
pub(crate) struct MetricsKeeper {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl MetricsKeeper {
    pub(crate) fn start(handle: PrometheusHandle) -> Result<Self, StepError> {
        let (stop, stopped) = bounded::<()>(0);
        let thread = thread::Builder::new()
            .name("metrics-keeper".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(INTERVAL) {
                    handle.run_upkeep();
                }
            })
            .map_err(|error| StepError::new("start metrics keeper", "", error))?;
        Ok(Self { stop, thread })
    }

    pub(crate) fn stop(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}
