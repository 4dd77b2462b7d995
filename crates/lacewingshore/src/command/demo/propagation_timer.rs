use std::{
    thread,
    time::{Duration, Instant},
};

use admin::view::{ChangeView, StatusView};
use model::KeyText;

use crate::{
    client::{AdminClient, AdminRequest},
    command::{key::withdraw, mint_change_id},
    exit::CommandError,
};

/// Interval between polls of the entry hosts for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for a change to reach every entry host.
const PATIENCE: Duration = Duration::from_secs(30);

/// Makes changes and measures the time until they are in force on every entry host.
pub struct PropagationTimer<'a> {
    client: &'a AdminClient,
    callers: Vec<String>,
    agent: ureq::Agent,
}

impl<'a> PropagationTimer<'a> {
    /// Creates a timer that polls the entry hosts of `client`, and `callers` with requests of a
    /// caller.
    pub fn new(client: &'a AdminClient, callers: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(5)))
            .build()
            .into();
        Self {
            client,
            callers: callers
                .split(',')
                .map(|url| url.trim().to_owned())
                .collect(),
            agent,
        }
    }

    /// Applies a manifest; returns the time until every entry host has it in force.
    pub fn apply(&self, manifest: &str) -> Result<Duration, CommandError> {
        let (_, base) = self.client.read_text("/v1/manifest")?;
        let request = AdminRequest {
            base_revision: Some(base),
            body: manifest.as_bytes().to_vec(),
            ..AdminRequest::change("PUT", "/v1/manifest", &mint_change_id())
        };
        let start = Instant::now();
        let view: ChangeView = self.client.change(&request)?;
        self.wait_for_entry_hosts(start, "the manifest", |url| {
            let status = self.client.read_from::<StatusView>(url, "/v1/status");
            status.is_ok_and(|status| status.revision >= view.revision)
        })
    }

    /// Withdraws a key; returns the time until every entry host refuses it.
    pub fn withdraw(&self, key: &KeyText) -> Result<Duration, CommandError> {
        let start = Instant::now();
        withdraw(self.client, &key.key_id, &mint_change_id())?;
        let bearer = format!("Bearer {}.{}", key.key_id, key.secret);
        let is_refused = |url: &String| self.refuses_key(url, &bearer);
        wait_for_urls(start, "the withdrawal", &self.callers, is_refused)
    }

    fn wait_for_entry_hosts(
        &self,
        start: Instant,
        what: &str,
        has_arrived: impl Fn(&String) -> bool,
    ) -> Result<Duration, CommandError> {
        wait_for_urls(start, what, self.client.urls(), has_arrived)
    }

    fn refuses_key(&self, url: &str, bearer: &str) -> bool {
        let answer = self
            .agent
            .get(format!("{url}/v1/jobs/none"))
            .header("Authorization", bearer)
            .call();
        answer.is_ok_and(|answer| answer.status().as_u16() == 401)
    }
}

/// Waits until `has_arrived` holds for every one of `urls`.
fn wait_for_urls(
    start: Instant,
    what: &str,
    urls: &[String],
    has_arrived: impl Fn(&String) -> bool,
) -> Result<Duration, CommandError> {
    while start.elapsed() < PATIENCE {
        if urls.iter().all(&has_arrived) {
            return Ok(start.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(anyhow::anyhow!("{what} did not arrive everywhere within {PATIENCE:?}").into())
}
