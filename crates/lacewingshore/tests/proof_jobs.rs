//! Jobs in real processes: all entry hosts are killed at once, and the store is down.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use std::{collections::BTreeMap, thread, time::Duration};

use fake::{HostRow, StoreFaults, WorkOrder, WorkerFake, WorkerSettings};
use proof::{EntryPlace, FleetPlan, RequestClient, await_true};
use proof_common::{EVENT_TIMEOUT, ProofFixture, TeamLimits, manifest};
use serde_json::Value;

const LIMITS: TeamLimits = [("weights", 60), ("coding", 60)];
const WORKERS: usize = 3;
const ENDED: [&str; 5] = ["done", "failed", "cancelled", "parked", "unknown"];

/// A fleet with workers in addition to its executors.
struct JobFixture {
    fixture: ProofFixture,
    workers: Vec<WorkerFake>,
    agent: ureq::Agent,
}

impl JobFixture {
    fn start(seed: u64) -> Self {
        let plan = FleetPlan::default();
        let text = manifest(plan.executors, &LIMITS)
            .replace("pool = quotes\n", "pool = quotes\nworker_pool = batches\n")
            + "[pool.batches]\nrole = worker\nsize = 3\nbudget = 2\n";
        let fixture = ProofFixture::with_manifest(seed, &plan, &text, &LIMITS);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(10)))
            .build();
        let start = |_| WorkerFake::start("127.0.0.1:0", WorkerSettings::default()).unwrap();
        let jobs = Self {
            fixture,
            workers: (0..WORKERS).map(start).collect(),
            agent: config.into(),
        };
        jobs.list_workers();
        jobs
    }

    fn list_workers(&self) {
        let executors = self
            .fixture
            .fleet
            .targets
            .iter()
            .map(|target| target.row.clone());
        let workers = self
            .workers
            .iter()
            .enumerate()
            .map(|(index, worker)| HostRow {
                host: format!("w{index}"),
                address: worker.address(),
                role: "worker".to_owned(),
                data_centre: "north".to_owned(),
                rack: format!("wr{index}"),
                cores: 16,
                memory_mb: 32_768,
                ..HostRow::default()
            });
        let rows: Vec<HostRow> = executors.chain(workers).collect();
        let url = format!("{}/fake/hosts", self.fixture.place(0).host_list_url);
        let body = serde_json::to_string(&rows).unwrap();
        assert_eq!(self.agent.post(url).send(body).unwrap().status(), 200);
    }

    /// Mints a request id at an entry host, as non-idempotent work requires.
    fn mint(&self, place: &EntryPlace) -> String {
        let client = RequestClient::default();
        let mut minted = None;
        await_true(EVENT_TIMEOUT, || {
            minted = client.mint(place, &self.fixture.keys[0]);
            minted.is_some()
        });
        minted.unwrap()
    }

    /// Submits a job, with retries until it is accepted; returns its id. A non-idempotent job gets
    /// a new request id only after a refusal as not run.
    fn submit(
        &self,
        place: &EntryPlace,
        request: &str,
        idempotent: bool,
        work: Duration,
    ) -> String {
        let order = WorkOrder {
            service: Some(work),
            nonce: request.to_owned(),
            ..WorkOrder::default()
        };
        let mut job = String::new();
        let mut id = request.to_owned();
        if !idempotent {
            id = self.mint(place);
        }
        let accepted = await_true(EVENT_TIMEOUT, || {
            let url = format!("{}/v1/services/quotes/jobs", place.caller_url());
            let call = self
                .agent
                .post(url)
                .header(
                    "Authorization",
                    format!("Bearer {}", self.fixture.keys[0].text),
                )
                .header("Idempotent", idempotent.to_string())
                .header("Request-Id", &id);
            let Some(answer) = call.send(order.body(0)).ok().and_then(read_json) else {
                return false;
            };
            if !idempotent && answer["fate"] == "not-run" {
                id = self.mint(place);
            }
            answer["job"]
                .as_str()
                .unwrap_or_default()
                .clone_into(&mut job);
            !job.is_empty()
        });
        assert!(
            accepted,
            "{request} is not accepted\n{}",
            self.fixture.fleet.logs()
        );
        job
    }

    fn phase(&self, place: &EntryPlace, job: &str) -> String {
        let url = format!("{}/v1/jobs/{job}", place.caller_url());
        let call = self.agent.get(url).header(
            "Authorization",
            format!("Bearer {}", self.fixture.keys[0].text),
        );
        let answer = call.call().ok().and_then(read_json).unwrap_or_default();
        answer["phase"].as_str().unwrap_or_default().to_owned()
    }

    fn expect_ended(&self, place: &EntryPlace, jobs: &[(String, bool)]) -> BTreeMap<String, usize> {
        let mut phases = BTreeMap::new();
        for (job, _) in jobs {
            let mut phase = String::new();
            let ended = await_true(EVENT_TIMEOUT * 2, || {
                phase = self.phase(place, job);
                thread::sleep(Duration::from_millis(20));
                ENDED.contains(&phase.as_str())
            });
            assert!(ended, "{job} is {phase}\n{}", self.fixture.fleet.logs());
            *phases.entry(phase).or_default() += 1;
        }
        phases
    }

    /// Number of starts of each job, from the workers' records.
    fn starts(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for start in self.workers.iter().flat_map(WorkerFake::starts) {
            let job = start.task.rsplit_once('.').unwrap().0.to_owned();
            *starts.entry(job).or_default() += 1;
        }
        starts
    }
}

fn read_json(mut answer: ureq::http::Response<ureq::Body>) -> Option<Value> {
    let text = answer.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

#[test]
fn jobs_outlive_all_entry_hosts() {
    // All entry hosts are killed at once, with jobs waiting, starting and running. Their
    // successors must recover from the store and the workers alone, without losing a job or
    // running a non-idempotent one twice.
    let mut jobs = JobFixture::start(31);
    let mut submitted = Vec::new();
    for index in 0..60 {
        let place = jobs.fixture.place(index % 3);
        let idempotent = index % 2 == 0;
        let work = Duration::from_millis(1500);
        let job = jobs.submit(place, &format!("batch-{index}"), idempotent, work);
        submitted.push((job, idempotent));
    }
    let entries = &mut jobs.fixture.fleet.entries;
    for entry in entries.iter_mut() {
        entry.kill().unwrap();
    }
    for entry in entries.iter_mut() {
        entry.start().unwrap();
    }
    let phases = jobs.expect_ended(jobs.fixture.place(0), &submitted);
    let starts = jobs.starts();
    println!("{phases:?}, {} jobs started", starts.len());
    for (job, idempotent) in &submitted {
        let count = starts.get(job).copied().unwrap_or_default();
        assert!(*idempotent || count <= 1, "{job} started {count} times");
    }
    let undone = submitted.len() - phases.get("done").copied().unwrap_or_default();
    assert_eq!(
        phases.get("unknown").copied().unwrap_or_default(),
        undone,
        "{phases:?}"
    );
}

#[test]
fn jobs_refused_while_store_is_down() {
    // The store refuses every call. A job refused as not run must never run; a job accepted
    // before must finish.
    let jobs = JobFixture::start(32);
    let place = jobs.fixture.place(0);
    let work = Duration::from_millis(800);
    let before = jobs.submit(place, "before", false, work);
    let during = jobs.mint(place);
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    jobs.fixture.fleet.set_store(None, &down).unwrap();
    let url = format!("{}/v1/services/quotes/jobs", place.caller_url());
    let call = jobs
        .agent
        .post(url)
        .header(
            "Authorization",
            format!("Bearer {}", jobs.fixture.keys[0].text),
        )
        .header("Request-Id", &during);
    let answer = call.send("work us=1000 nonce=during").unwrap();
    assert_eq!(answer.status(), 503);
    let answer = read_json(answer).unwrap();
    println!("{answer}");
    let refused = answer["fate"] == "not-run";
    jobs.fixture
        .fleet
        .set_store(None, &StoreFaults::default())
        .unwrap();
    let after = jobs.submit(place, "after", false, work);
    jobs.expect_ended(place, &[(before.clone(), false), (after.clone(), false)]);
    let starts = jobs.starts();
    assert_eq!(starts.get(&before), Some(&1));
    assert_eq!(starts.get(&after), Some(&1));
    assert!(
        !refused || starts.len() == 2,
        "a job refused as not run ran"
    );
}
