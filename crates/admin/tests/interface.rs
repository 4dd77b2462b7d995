//! Operators over HTTP: keys, manifest, refusals and bounds.

mod common;

use std::{io::Write, net::TcpStream};

use admin::{
    AdminProblem, ProblemCode,
    key_secret::KeySecret,
    view::{ChangeView, GrantView, StatusView},
};
use common::{Bench, LoneHost, call, start};
use rstest::rstest;

const MANIFEST: &str = "\
[deployment]
name = trial
[pool.quote]
role = executor
size = 8
budget = 6
[service.quotes]
pool = quote
[team.sales]
share = 1
limit = 10
";

fn bench() -> Bench {
    match start(LoneHost::with_manifest(MANIFEST)) {
        Ok(bench) => bench,
        Err(error) => panic!("{error}"),
    }
}

fn problem(body: &str) -> AdminProblem {
    serde_json::from_str(body).unwrap_or_default()
}

#[test]
fn manifest_apply_and_show() {
    let bench = bench();
    let text = MANIFEST.replace("limit = 10", "limit = 20");
    let (status, body) = bench.call(
        "PUT",
        "/v1/manifest",
        &["Change-Id: c1", "Base-Revision: 0"],
        &text,
    );
    assert_eq!(status, 200, "{body}");
    let view: ChangeView = serde_json::from_str(&body).expect("a change");
    assert_eq!(view.changed, ["team.sales"]);
    let (_, shown) = bench.call("GET", "/v1/manifest", &[], "");
    assert!(shown.contains("limit = 20"), "{shown}");
    let (status, body) = bench.call(
        "PUT",
        "/v1/manifest",
        &["Change-Id: c1", "Base-Revision: 0"],
        &text,
    );
    let view: ChangeView = serde_json::from_str(&body).expect("a change");
    assert_eq!((status, view.repeated, view.revision), (200, true, 1));
}

#[test]
fn manifest_conflict() {
    // Two operators start from the same revision. The second is told what changed in
    // between, and what the first applied stays.
    let bench = bench();
    let first = MANIFEST.replace("limit = 10", "limit = 20");
    let second = MANIFEST.replace("size = 8", "size = 9");
    let headers = ["Change-Id: c1", "Base-Revision: 0"];
    assert_eq!(bench.call("PUT", "/v1/manifest", &headers, &first).0, 200);
    let headers = ["Change-Id: c2", "Base-Revision: 0"];
    let (status, body) = bench.call("PUT", "/v1/manifest", &headers, &second);
    assert_eq!(status, 409, "{body}");
    let problem = problem(&body);
    assert_eq!(
        (problem.newest, problem.touched),
        (1, vec!["team.sales".to_owned()])
    );
    assert!(
        bench
            .call("GET", "/v1/manifest", &[], "")
            .1
            .contains("limit = 20")
    );
}

#[test]
fn manifest_answer_lost() {
    // The operator is told "not accepted yet", and the change took effect all the same.
    // Sending it again with the same id must not fail as a conflict with itself.
    let bench = bench();
    *bench.host.lose_next.lock() = true;
    let text = MANIFEST.replace("limit = 10", "limit = 20");
    let headers = ["Change-Id: c1", "Base-Revision: 0"];
    let (status, body) = bench.call("PUT", "/v1/manifest", &headers, &text);
    assert_eq!((status, problem(&body).kind), (503, ProblemCode::Pending));
    let (status, body) = bench.call("PUT", "/v1/manifest", &headers, &text);
    assert_eq!(status, 200, "{body}");
}

#[rstest]
#[case::invalid("PUT", "/v1/manifest", "Change-Id: c1", "[team.x]\nshare = 0\n", 422)]
#[case::no_change_id("PUT", "/v1/manifest", "X: y", MANIFEST, 400)]
#[case::bad_change_id("PUT", "/v1/manifest", "Change-Id: a b", MANIFEST, 400)]
#[case::bad_base("PUT", "/v1/manifest", "Base-Revision: -1", MANIFEST, 400)]
#[case::unknown_path("GET", "/v1/manifests", "X: y", "", 404)]
#[case::unknown_method("PATCH", "/v1/manifest", "X: y", "", 400)]
#[case::not_json("POST", "/v1/keys", "Change-Id: c1", "team=sales", 422)]
#[case::unknown_team("POST", "/v1/keys", "Change-Id: c1", "{\"team\":\"nobody\"}", 422)]
#[case::team_and_admin(
    "POST",
    "/v1/keys",
    "Change-Id: c1",
    "{\"team\":\"sales\",\"admin\":true}",
    422
)]
#[case::neither("POST", "/v1/keys", "Change-Id: c1", "{}", 422)]
#[case::bad_minted(
    "POST",
    "/v1/keys",
    "Change-Id: c1",
    "{\"team\":\"sales\",\"minted\":\"a:b:c\"}",
    422
)]
#[case::unknown_field("POST", "/v1/keys", "Change-Id: c1", "{\"tem\":\"sales\"}", 422)]
#[case::unknown_key("DELETE", "/v1/keys/k0", "Change-Id: c1", "", 404)]
#[case::bad_page("GET", "/v1/audit?page=x", "X: y", "", 400)]
#[case::no_page("GET", "/v1/audit?page=7", "X: y", "", 404)]
fn call_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] header: &str,
    #[case] body: &str,
    #[case] expected: u16,
) {
    let bench = bench();
    let (status, answer) = bench.call(method, path, &[header], body);
    assert_eq!(status, expected, "{answer}");
    assert!(!problem(&answer).detail.is_empty(), "{answer}");
    assert_eq!(
        bench.host.config.lock().revision,
        0,
        "nothing may have changed"
    );
}

#[test]
fn manifest_too_large() {
    let bench = bench();
    let (status, _) = bench.call(
        "PUT",
        "/v1/manifest",
        &["Change-Id: c1"],
        &";".repeat(700_000),
    );
    assert_eq!(status, 413);
}

#[rstest]
#[case::none("")]
#[case::not_bearer("Basic abc")]
#[case::no_secret("Bearer k1")]
#[case::unknown("Bearer k1.00")]
fn key_refused(#[case] authorization: &str) {
    let bench = bench();
    let header = format!("Authorization: {authorization}");
    let (status, _) = call(bench.server.address(), "GET", "/v1/status", &[&header], b"");
    assert_eq!(status, 401);
}

#[test]
fn key_bootstrap_until_granted() {
    // Operators get in with the bootstrap key of the settings, grant a key of their own,
    // and from then on the bootstrap key is worth nothing, until they withdraw the last.
    let mut bench = bench();
    let bootstrap = bench.key.clone();
    let (status, body) = bench.call("POST", "/v1/keys", &["Change-Id: c1"], "{\"admin\":true}");
    assert_eq!(status, 200, "{body}");
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 401);
    let view: GrantView = serde_json::from_str(&body).expect("a grant");
    bench.key = view.key;
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 200);
    let path = format!("/v1/keys/{}", view.key_id);
    assert_eq!(bench.call("DELETE", &path, &["Change-Id: c2"], "").0, 200);
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 401);
    bench.key = bootstrap;
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 200);
}

#[test]
fn key_of_team_is_no_admin() {
    let mut bench = bench();
    let (_, body) = bench.call(
        "POST",
        "/v1/keys",
        &["Change-Id: c1"],
        "{\"team\":\"sales\"}",
    );
    let view: GrantView = serde_json::from_str(&body).expect("a grant");
    bench.key = view.key;
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 401);
}

#[test]
fn key_withdraw_answer_lost() {
    // The withdrawal took effect, its answer says "not accepted yet". The key is unknown
    // by then, and repeating the withdrawal must still tell that it is in force.
    let bench = bench();
    let secret = KeySecret::mint().expect("a key");
    let grant = format!(
        "{{\"team\":\"sales\",\"minted\":\"{}\"}}",
        secret.digest_text()
    );
    assert_eq!(
        bench.call("POST", "/v1/keys", &["Change-Id: c1"], &grant).0,
        200
    );
    *bench.host.lose_next.lock() = true;
    let path = format!("/v1/keys/{}", secret.key_id);
    assert_eq!(bench.call("DELETE", &path, &["Change-Id: c2"], "").0, 503);
    assert!(bench.host.config.lock().keys.is_empty());
    assert_eq!(bench.call("DELETE", &path, &["Change-Id: c2"], "").0, 200);
    assert_eq!(bench.call("DELETE", &path, &["Change-Id: c3"], "").0, 404);
}

#[test]
fn status_shows_manifest() {
    let bench = bench();
    let (_, body) = bench.call("GET", "/v1/status", &[], "");
    let view: StatusView = serde_json::from_str(&body).expect("a status");
    assert_eq!(view.deployment, "trial");
    assert_eq!(view.pools[0].budget, 6);
    assert_eq!(view.teams[0].limit, 10);
}

#[test]
fn gate_closed_refuses() {
    // An entry host was cut off. Whoever asks it could be shown old state, or use an
    // administration key that was withdrawn since, so it refuses and says why.
    let bench = bench();
    *bench.host.closed.lock() = true;
    for (method, path) in [("GET", "/v1/status"), ("PUT", "/v1/manifest")] {
        let (status, body) = bench.call(method, path, &["Change-Id: c1"], MANIFEST);
        assert_eq!(status, 503, "{body}");
        assert!(
            problem(&body).detail.contains("serving lease lapsed"),
            "{body}"
        );
    }
    let address = bench.server.address();
    assert_eq!(call(address, "GET", "/readyz", &[], b"").0, 503);
    assert_eq!(call(address, "GET", "/livez", &[], b"").0, 200);
}

#[test]
fn slow_senders_starve_nobody() {
    // Callers without a key announce large bodies and send nothing more; others send half
    // a head. A library that reads what was announced would hold its threads, or
    // allocate terabytes. Operators must still be answered.
    let bench = bench();
    let address = bench.server.address();
    let mut held = Vec::new();
    for index in 0..48 {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let head = match index % 2 {
            0 => "PUT /v1/manifest HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n",
            _ => "PUT /v1/manifest HTTP/1.1\r\nHost: a\r\nConte",
        };
        stream.write_all(head.as_bytes()).expect("a head");
        held.push(stream);
    }
    assert_eq!(bench.call("GET", "/v1/status", &[], "").0, 200);
    drop(held);
}

#[test]
fn bodies_of_any_bytes() {
    // Bytes from a fixed sequence stand in for a broken operators' tool: each call gets an
    // answer, and none of them changes anything.
    let bench = bench();
    let mut seed = 7u64;
    for round in 0..200 {
        let body: Vec<u8> = (0..round)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 56) as u8
            })
            .collect();
        let key = format!("Authorization: Bearer {}", bench.key);
        for (method, path) in [("PUT", "/v1/manifest"), ("POST", "/v1/keys")] {
            let headers = [key.as_str(), "Change-Id: c1"];
            let (status, _) = call(bench.server.address(), method, path, &headers, &body);
            assert_eq!(status, 422, "round {round}");
        }
    }
    assert_eq!(bench.host.config.lock().revision, 0);
}
