//! The relay carries, delays and cuts.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{
    thread,
    time::{Duration, Instant},
};

use fake::{LinkMode, LinkState, RelayFake, StoreFake};
use ureq::Agent;

fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_connections(0)
        .build()
        .new_agent()
}

fn set(relay: &RelayFake, mode: LinkMode) {
    let state = LinkState {
        name: "e1-store".to_owned(),
        mode,
        ..LinkState::default()
    };
    let body = serde_json::to_string(&state).unwrap();
    let url = format!("{}/fake/mode", relay.server().url());
    agent(Duration::from_secs(20)).post(url).send(body).unwrap();
}

/// A relay with a link to a store, and an address of that store over the link.
fn linked(store: &StoreFake) -> (RelayFake, String) {
    let relay = RelayFake::start("127.0.0.1:0").unwrap();
    let wanted = LinkState {
        name: "e1-store".to_owned(),
        to: store.server().address().to_string(),
        ..LinkState::default()
    };
    let body = serde_json::to_string(&wanted).unwrap();
    let url = format!("{}/fake/links", relay.server().url());
    let patient = agent(Duration::from_secs(20));
    let mut response = patient.post(url).send(body).unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let link: LinkState = serde_json::from_str(&text).unwrap();
    (relay, format!("http://{}/v1/keys/k", link.address))
}

#[test]
fn link_cut_and_mended() {
    let store = StoreFake::start("127.0.0.1:0").unwrap();
    let (relay, through) = linked(&store);
    let patient = agent(Duration::from_secs(20));
    assert_eq!(patient.get(&through).call().unwrap().status(), 404);
    set(&relay, LinkMode::Silent);
    assert!(
        agent(Duration::from_millis(150))
            .get(&through)
            .call()
            .is_err()
    );
    thread::scope(|scope| {
        let held = scope.spawn(|| patient.get(&through).call().unwrap().status());
        thread::sleep(Duration::from_millis(50));
        set(&relay, LinkMode::Open);
        assert_eq!(held.join().unwrap(), 404);
    });
    set(&relay, LinkMode::Closed);
    assert!(patient.get(&through).call().is_err());
    set(&relay, LinkMode::Open);
    assert_eq!(patient.get(&through).call().unwrap().status(), 404);
}

/// A store that hears a call whose answer is lost has carried it out; a link that drops both ways
/// would hide that.
#[test]
fn link_unanswered_carries_calls() {
    let store = StoreFake::start("127.0.0.1:0").unwrap();
    let (relay, through) = linked(&store);
    let patient = agent(Duration::from_secs(20));
    let impatient = agent(Duration::from_millis(150));
    set(&relay, LinkMode::Unanswered);
    let call = impatient.put(&through).header("If-Version", "0");
    assert!(call.send("value").is_err());
    set(&relay, LinkMode::Open);
    assert_eq!(patient.get(&through).call().unwrap().status(), 200);
}

/// Connections of a narrow link share its bytes; if each had all of them, a link would never be
/// too narrow for what is read side by side.
#[test]
fn link_narrow_shares_bytes() {
    let store = StoreFake::start("127.0.0.1:0").unwrap();
    let (relay, through) = linked(&store);
    let patient = agent(Duration::from_secs(20));
    let value = "v".repeat(4000);
    let call = patient.put(&through).header("If-Version", "0");
    call.send(&value).unwrap();
    let state = LinkState {
        name: "e1-store".to_owned(),
        bytes_per_s: 20_000,
        ..LinkState::default()
    };
    let body = serde_json::to_string(&state).unwrap();
    let url = format!("{}/fake/mode", relay.server().url());
    patient.post(url).send(body).unwrap();
    let began = Instant::now();
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                let mut answer = patient.get(&through).call().unwrap();
                assert!(answer.body_mut().read_to_string().unwrap().contains("vvvv"));
            });
        }
    });
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(400), "took {took:?}");
}
