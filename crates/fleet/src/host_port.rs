use std::time::Duration;

use model::StepError;
use serde::Deserialize;

/// Timeout of a request to a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);

/// Health report of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// True if the host accepts no new work.
    pub draining: bool,
    /// Number of requests and tasks that run on the host.
    pub running: u32,
}

/// Requests to hosts for health, drain and reboot.
pub trait HostPort: Send + Sync {
    /// Reads the health of a host.
    ///
    /// # Errors
    /// If the host does not respond in time.
    fn health(&self, address: &str) -> Result<HealthReport, StepError>;
    /// Asks a host to accept no new work. Idempotent.
    ///
    /// # Errors
    /// As for [`HostPort::health`].
    fn drain(&self, address: &str) -> Result<(), StepError>;
    /// Asks a host to accept new work again. Idempotent.
    ///
    /// # Errors
    /// As for [`HostPort::health`].
    fn undrain(&self, address: &str) -> Result<(), StepError>;
    /// Restarts a host.
    ///
    /// # Errors
    /// As for [`HostPort::health`]; the host may restart even so.
    fn reboot(&self, address: &str) -> Result<(), StepError>;
}

/// Client of the HTTP interface of hosts, see `docs/PLATFORM.md`.
pub struct HttpPort {
    agent: ureq::Agent,
}

#[derive(Deserialize)]
struct HealthBody {
    state: String,
    running: u32,
}

impl HttpPort {
    /// Creates a port with its own connections.
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
