use std::time::Duration;

use model::StepError;
use serde::Deserialize;

/// Longest wait for an answer of a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// True if it takes no new work.
    pub draining: bool,
    /// Requests and tasks that it runs.
    pub running: u32,
}

/// Calls to hosts that concern their service and not their work.
pub trait HostPort: Send + Sync {
    /// Asks a host how it is.
    ///
    /// # Errors
    /// If it does not answer in time.
    fn health(&self, address: &str) -> Result<HealthReport, StepError>;
    /// Tells a host to take no new work; harmless to repeat.
    ///
    /// # Errors
    /// As for [`HostPort::health`].
    fn drain(&self, address: &str) -> Result<(), StepError>;
    /// Tells a host to take new work again; harmless to repeat.
    ///
    /// # Errors
    /// As for [`HostPort::health`].
    fn undrain(&self, address: &str) -> Result<(), StepError>;
    /// Restarts a host.
    ///
    /// # Errors
    /// As for [`HostPort::health`]; the host may restart all the same.
    fn reboot(&self, address: &str) -> Result<(), StepError>;
}

/// The hosts' HTTP interface, see `docs/PLATFORM.md`.
pub struct HttpPort {
    agent: ureq::Agent,
}

#[derive(Deserialize)]
struct HealthBody {
    state: String,
    running: u32,
}

impl HttpPort {
    /// A port with its own connections.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(HOST_TIMEOUT))
            .max_idle_connections_per_host(1)
            .build();
        Self {
            agent: config.into(),
        }
    }

    fn post(&self, step: &'static str, address: &str, path: &str) -> Result<(), StepError> {
        self.agent
            .post(format!("http://{address}{path}"))
            .send_empty()
            .map_err(|e| StepError::new(step, address, e))?;
        Ok(())
    }
}

impl Default for HttpPort {
    fn default() -> Self {
        Self::new()
    }
}

impl HostPort for HttpPort {
    fn health(&self, address: &str) -> Result<HealthReport, StepError> {
        let wrap = |e: ureq::Error| StepError::new("read health", address, e);
        let mut answer = self
            .agent
            .get(format!("http://{address}/v1/health"))
            .call()
            .map_err(wrap)?;
        let text = answer.body_mut().read_to_string().map_err(wrap)?;
        let body: HealthBody =
            serde_json::from_str(&text).map_err(|e| StepError::new("read health", address, e))?;
        Ok(HealthReport {
            draining: body.state != "serving",
            running: body.running,
        })
    }

    fn drain(&self, address: &str) -> Result<(), StepError> {
        self.post("drain host", address, "/v1/drain")
    }

    fn undrain(&self, address: &str) -> Result<(), StepError> {
        self.post("undrain host", address, "/v1/undrain")
    }

    fn reboot(&self, address: &str) -> Result<(), StepError> {
        self.post("reboot host", address, "/v1/reboot")
    }
}
