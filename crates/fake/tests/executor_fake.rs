//! The executor stand-in keeps the platform's rules and strikes with the faults asked for.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{thread, time::Duration};

use fake::{
    DrainRecord, ExecutorFake, ExecutorFaults, ExecutorSettings, FaultRate, WorkOrder,
    expected_answer,
};
use ureq::{Agent, Body, http::Response};

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .new_agent()
}

fn start() -> ExecutorFake {
    ExecutorFake::start("127.0.0.1:0", ExecutorSettings::default()).unwrap()
}

fn work(us: u64, answer: usize, nonce: &str) -> Vec<u8> {
    let order = WorkOrder {
        service: Some(Duration::from_micros(us)),
        answer: Some(answer),
        nonce: nonce.to_owned(),
    };
    order.body(0)
}

fn run(
    agent: &Agent,
    fake: &ExecutorFake,
    id: &str,
    body: &[u8],
) -> Result<Response<Body>, ureq::Error> {
    agent
        .post(format!("http://{}/v1/run", fake.address()))
        .header("Request-Id", id)
        .header("Team", "weights")
        .header("Deadline-Ms", "5000")
        .header("Idempotent", "false")
        .send(body)
}

#[test]
fn run_answers_whole() {
    let fake = start();
    let body = work(100, 4 * 1024 * 1024, "n1");
    let mut response = run(&agent(), &fake, "r1", &body).unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["Request-Id"], "r1");
    let answer = response
        .body_mut()
        .with_config()
        .limit(5 * 1024 * 1024)
        .read_to_vec()
        .unwrap();
    assert_eq!(answer, expected_answer(&body));
    assert_ne!(answer, expected_answer(&work(100, 4 * 1024 * 1024, "n2")));
    let runs = fake.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].team.as_str(), runs[0].nonce.as_str()),
        ("weights", "n1")
    );
    assert!(runs[0].end_ns >= runs[0].start_ns + 100_000);
}

#[test]
fn run_over_slots() {
    let fake = start();
    let (agent, body) = (agent(), work(400_000, 1, "n"));
    let statuses: Vec<u16> = thread::scope(|scope| {
        let threads: Vec<_> = (0..12)
            .map(|number| {
                let (agent, body, fake) = (&agent, &body, &fake);
                scope.spawn(move || run(agent, fake, &format!("r{number}"), body).unwrap())
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap().status().as_u16())
            .collect()
    });
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 8);
    assert_eq!(fake.counts().over_slots, 4);
    assert_eq!(fake.runs().len(), 8);
}

#[test]
fn run_with_faults() {
    let fake = start();
    let agent = agent();
    fake.set_faults(ExecutorFaults {
        lose_answers: FaultRate::next(1),
        ..ExecutorFaults::default()
    });
    assert!(run(&agent, &fake, "lost", b"x").is_err());
    fake.set_faults(ExecutorFaults {
        truncate_answers: FaultRate::next(1),
        ..ExecutorFaults::default()
    });
    let body = work(1, 100_000, "n");
    let mut cut = run(&agent, &fake, "cut", &body).unwrap();
    assert_eq!(cut.status(), 200);
    assert!(cut.body_mut().read_to_vec().is_err());
    fake.set_faults(ExecutorFaults {
        cross_answers: FaultRate::next(1),
        ..ExecutorFaults::default()
    });
    let crossed = run(&agent, &fake, "own", b"x").unwrap();
    assert_ne!(crossed.headers()["Request-Id"], "own");
    let ids: Vec<_> = fake.runs().into_iter().map(|run| run.request).collect();
    assert_eq!(ids, ["lost", "cut", "own"]);
}

#[test]
fn drain_then_reboot() {
    let fake = start();
    let agent = agent();
    let url = format!("http://{}", fake.address());
    agent.post(format!("{url}/v1/drain")).send_empty().unwrap();
    let refused = run(&agent, &fake, "r", b"x").unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["Not-Run"], "true");
    assert!(fake.runs().is_empty());
    assert_eq!(fake.counts().while_draining, 1);
    let drains = agent.get(format!("{url}/fake/drains")).call().unwrap();
    let text = drains.into_body().read_to_string().unwrap();
    let drains: Vec<DrainRecord> = serde_json::from_str(&text).unwrap();
    assert!(drains[0].end_ns == 0 && drains[0].last_attempt_ns >= drains[0].begin_ns);
    agent.post(format!("{url}/v1/reboot")).send_empty().unwrap();
    while agent.get(format!("{url}/v1/health")).call().is_ok() {
        thread::sleep(Duration::from_millis(5));
    }
    let mut health = loop {
        match agent.get(format!("{url}/v1/health")).call() {
            Ok(health) => break health,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    };
    let text = health.body_mut().read_to_string().unwrap();
    assert!(text.contains("serving"), "{text}");
}

#[test]
fn reboot_cuts_what_runs() {
    let fake = start();
    let agent = agent();
    thread::scope(|scope| {
        let caller = scope.spawn(|| run(&agent, &fake, "long", &work(20_000_000, 1, "n")));
        while fake.runs().is_empty() {
            thread::sleep(Duration::from_millis(2));
        }
        let url = format!("http://{}/v1/reboot", fake.address());
        agent.post(url).send_empty().unwrap();
        assert!(caller.join().unwrap().is_err());
    });
    assert!(fake.runs()[0].cut);
}
