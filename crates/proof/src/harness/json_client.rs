use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, Body, Error, http::Response};

/// Longest wait for an answer of a stand-in.
const TIMEOUT: Duration = Duration::from_secs(20);
/// A target that reboots refuses connections for a while.
const REBOOT_PATIENCE: Duration = Duration::from_secs(10);
const REBOOT_TICK: Duration = Duration::from_millis(20);
/// Records of long runs are large.
const MAX_ANSWER: u64 = 1024 * 1024 * 1024;

/// Sets switches of stand-ins and reads their records.
#[derive(Clone, Debug)]
pub struct JsonClient {
    agent: Agent,
}

impl Default for JsonClient {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: config.new_agent(),
        }
    }
}

impl JsonClient {
    /// Reads a record.
    ///
    /// # Errors
    /// If no whole answer with status 200 came.
    pub fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let calling = || self.agent.get(url).call();
        let mut response = until_answered(calling).with_context(|| url.to_owned())?;
        ensure!(response.status() == 200, "{url}: {}", response.status());
        let body = response.body_mut().with_config().limit(MAX_ANSWER);
        Ok(serde_json::from_slice(&body.read_to_vec()?)?)
    }

    /// Sets a switch; the answer is handed back as it is.
    ///
    /// # Errors
    /// If no whole answer with status 200 came.
    pub fn post<T: Serialize>(&self, url: &str, value: &T) -> Result<Vec<u8>> {
        let body = serde_json::to_vec(value)?;
        let calling = || self.agent.post(url).send(&body);
        let mut response = until_answered(calling).with_context(|| url.to_owned())?;
        ensure!(response.status() == 200, "{url}: {}", response.status());
        Ok(response.body_mut().read_to_vec()?)
    }
}

/// Repeats a call until something answers; switches and records bear repetition.
fn until_answered(
    call: impl Fn() -> Result<Response<Body>, Error>,
) -> Result<Response<Body>, Error> {
    let deadline = Instant::now() + REBOOT_PATIENCE;
    loop {
        let result = call();
        if result.is_ok() || Instant::now() > deadline {
            return result;
        }
        thread::sleep(REBOOT_TICK);
    }
}
