//! The project's processes, started with the command of the deploy file, and a client.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
};

use crate::base::{Json, call, note, now_ms, num, obj, pause, text};

/// Ids of the processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

const PROGRAM: &str = "target/release/lacewingshore";
const TEMPLATE: &str = "deploy/settings.ini";

/// One process of the cell, on a loopback address of its own.
pub struct Node {
    pub name: String,
    pub front: String,
    pub ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the platform fills into the settings of all processes.
pub struct Platform {
    pub store: String,
    pub cloud: String,
    pub advice: String,
}

/// Ends this program and all processes that it started, if a case takes too long.
pub fn end_after(limit_s: u64) {
    std::thread::spawn(move || {
        pause(limit_s * 1000);
        note("the case took too long");
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -9 {id}"))
                .status();
        }
        std::process::exit(2);
    });
}

fn fill(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut out = template.to_owned();
    if values.get("advice").is_none_or(String::is_empty) {
        if let (Some(from), Some(to)) = (out.find("{{#advice}}"), out.find("{{/advice}}")) {
            out.replace_range(from..to + "{{/advice}}".len(), "");
        }
    }
    out = out.replace("{{#advice}}", "").replace("{{/advice}}", "");
    for (name, value) in values {
        out = out.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !out.contains("{{"),
        "the template has an unknown placeholder: {out}"
    );
    out
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("bind a loopback address");
    listener.local_addr().expect("address of a listener").port()
}

impl Node {
    /// Prepares a process; `index` gives it a loopback address.
    pub fn new(index: usize, zone: &str, platform: &Platform, folder: &str) -> Self {
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{}", 10 + (pid >> 8) % 200, pid % 256, 10 + index);
        let name = format!("frontend-{index}");
        let (front, ready) = (
            format!("{ip}:{}", free_port(&ip)),
            format!("{ip}:{}", free_port(&ip)),
        );
        let values = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("listen.front", front.clone()),
            ("listen.ready", ready.clone()),
            ("ip", ip.clone()),
            ("port_range.0", "7000".to_owned()),
            ("platform.addr", platform.store.clone()),
            ("cloud.addr", platform.cloud.clone()),
            ("advice", platform.advice.clone()),
            ("bounds.hold_max_ms", "6000".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
        ];
        let values = values
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        let settings = PathBuf::from(folder).join(format!("{name}.ini"));
        let template = fs::read_to_string(TEMPLATE).expect("read the settings template");
        fs::write(&settings, fill(&template, &values)).expect("write the settings");
        let log = PathBuf::from(folder).join(format!("{name}.log"));
        Self {
            name,
            front,
            ready,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let errors = log.try_clone().expect("share the log");
        let child = Command::new(PROGRAM)
            .arg("cell")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LACEWINGSHORE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start the process");
        STARTED.lock().unwrap().push(child.id());
        note(format!("process {} starts", self.name));
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
            note(format!("process {} is killed", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let reply = call(
            &self.ready,
            "GET",
            "/lacewingshore/ready",
            &[("Host", "x")],
            "",
            500,
        );
        reply.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client of one queue.
#[derive(Clone)]
pub struct Client {
    pub host: String,
    pub prefix: String,
    pub key: String,
}

impl Client {
    pub fn send(&self, node: &str, method: &str, rest: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{}{rest}", self.prefix);
        let bearer = format!("Bearer {}", self.key);
        let headers = [
            ("Host", self.host.as_str()),
            ("Authorization", bearer.as_str()),
            ("Content-Type", "application/json"),
            ("X-Lacewingshore-Deadline-Ms", "3000"),
        ];
        let answer = call(node, method, &path, &headers, body, 3000);
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        note(format!(
            "client: {method} {path} at {node} {body} -> {shown}"
        ));
        answer
    }

    /// Hands a job in, again after each refusal, until it is accepted; false if it never is.
    pub fn submit(&self, nodes: &[String], id: &str, job: &Json) -> bool {
        for attempt in 0..20 {
            let node = &nodes[attempt % nodes.len()];
            if let Some((200..=299, _)) = self.send(node, "POST", id, &job.render()) {
                return true;
            }
            pause(500);
        }
        false
    }

    /// State of a job; empty without an answer.
    pub fn state(&self, node: &str, id: &str) -> String {
        match self.send(node, "GET", id, "") {
            Some((200, body)) => Json::parse(body.as_bytes())
                .map_or(String::new(), |body| body.str("state").to_owned()),
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }
}

/// A step of a job, with further fields.
pub fn step(count: u64, cpu: u64, est_ms: u64, more: Vec<(&str, Json)>) -> Json {
    let mut fields = vec![
        ("count", num(count)),
        ("cpu", num(cpu)),
        ("mem_mb", num(64)),
        ("est_ms", num(est_ms)),
    ];
    fields.extend(more);
    obj(fields)
}

pub fn job(spec: &str, steps: Vec<Json>) -> Json {
    obj(vec![("spec", text(spec)), ("phases", Json::Arr(steps))])
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, service: &str, max_attempts: u64) -> Json {
    obj(vec![
        ("name", text(name)),
        ("host", text("jobs.example")),
        ("prefix", text(prefix)),
        ("kind", text("non_idempotent")),
        ("timeout_ms", num(3000)),
        ("target_duration_ms", num(2500)),
        ("priority", num(0)),
        ("service", text(service)),
        ("max_attempts", num(max_attempts)),
        ("slack_factor", num(2)),
        ("public", Json::Bool(false)),
    ])
}

/// A whole configuration with one tenant.
pub fn config(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let service = |name: &&str| {
        obj(vec![
            ("name", text(*name)),
            ("health_path", text("/health")),
            ("max_conns", num(64)),
            ("protocol", text("h1")),
            ("tls_enabled", Json::Bool(false)),
            ("admission_check", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ])
    };
    let tenant = obj(vec![
        ("name", text("tenant-a")),
        ("api_keys", Json::Arr(vec![text("key-a")])),
        ("priority", num(1)),
        ("weight", num(10)),
        (
            "cap",
            obj(vec![("cpu", num(0)), ("mem_mb", num(0)), ("gpu", num(0))]),
        ),
    ]);
    let limits = obj(vec![
        ("max_header_bytes", num(16384)),
        ("max_body_bytes", num(262_144)),
        ("header_timeout_ms", num(3000)),
        ("idle_timeout_ms", num(15_000)),
    ]);
    obj(vec![
        ("version", num(version)),
        ("routes", Json::Arr(routes)),
        (
            "services",
            Json::Arr(services.iter().map(service).collect()),
        ),
        ("limits", limits),
        ("tenants", Json::Arr(vec![tenant])),
    ])
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_for(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = now_ms() + limit_ms;
    while now_ms() < end {
        if holds() {
            return true;
        }
        pause(50);
    }
    note(format!("waited {limit_ms} ms in vain: {what}"));
    false
}
