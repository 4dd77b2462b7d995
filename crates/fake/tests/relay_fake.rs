//! The relay carries, delays and cuts.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::{thread, time::Duration};

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

#[test]
fn link_cut_and_mended() {
    let store = StoreFake::start("127.0.0.1:0").unwrap();
    let relay = RelayFake::start("127.0.0.1:0").unwrap();
    let wanted = LinkState {
        name: "e1-store".to_owned(),
        to: store.server().address().to_string(),
        ..LinkState::default()
    };
    let patient = agent(Duration::from_secs(20));
    let body = serde_json::to_string(&wanted).unwrap();
    let url = format!("{}/fake/links", relay.server().url());
    let mut response = patient.post(url).send(body).unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let link: LinkState = serde_json::from_str(&text).unwrap();
    let through = format!("http://{}/v1/keys/k", link.address);
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
