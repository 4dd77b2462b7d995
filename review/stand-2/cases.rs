//! The cases.

use std::sync::Arc;

use crate::{
    base::{Json, note, now_ms, num, obj, pause, text},
    cell::{Client, Node, Platform, config, job, route, step, wait_for},
    fleet::{Fleet, Kind},
    judge,
    store::Store,
};

pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// A small deployment: processes, executors of one service, the store and the list of machines.
pub struct Deployment {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub nodes: Vec<Node>,
    pub fronts: Vec<String>,
    pub client: Client,
}

const SERVICE: &str = "coder";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub fn kind(label: &str, rack: usize, cpu: u64) -> Kind {
    Kind {
        service: SERVICE.to_owned(),
        labels: vec![label.to_owned(), format!("r{rack}")],
        cpu,
        mem_mb: 32768,
    }
}

impl Deployment {
    /// Starts everything; `Err` if the processes don't get ready.
    pub fn start(
        folder: &str,
        processes: usize,
        kinds: Vec<Kind>,
        routes: Vec<Json>,
    ) -> Result<Self, String> {
        Self::start_with(folder, processes, kinds, routes, None)
    }

    /// The same, with an advice service.
    pub fn start_with(
        folder: &str,
        processes: usize,
        kinds: Vec<Kind>,
        routes: Vec<Json>,
        advice: Option<String>,
    ) -> Result<Self, String> {
        let store = Arc::new(Store::default());
        let store_address = store.start();
        store.put(
            "op/config",
            config(1, routes, &[SERVICE]).render().as_bytes(),
        );
        let fleet = Fleet::new(store.clone());
        for (index, kind) in kinds.into_iter().enumerate() {
            fleet.add(&format!("i-{index:08x}"), ZONES[index % 3], kind);
        }
        let platform = Platform {
            store: store_address,
            cloud: fleet.serve_cloud(),
            advice: advice.unwrap_or_default(),
        };
        let mut nodes: Vec<Node> = (0..processes)
            .map(|index| Node::new(index, ZONES[index % 3], &platform, folder))
            .collect();
        nodes.iter_mut().for_each(Node::start);
        let fronts = nodes.iter().map(|node| node.front.clone()).collect();
        let client = Client {
            host: "jobs.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            key: "key-a".to_owned(),
        };
        let deployment = Self {
            store,
            fleet,
            nodes,
            fronts,
            client,
        };
        let ready = wait_for("all processes are ready", 15_000, || {
            deployment.nodes.iter().all(Node::is_ready)
                && deployment.store.revision("cell/owner") > 0
        });
        if !ready {
            return Err("the processes did not get ready".to_owned());
        }
        // Traffic starts some seconds after the machines.
        pause(2000);
        Ok(deployment)
    }

    /// Number of the process that owns the cell.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("cell/owner")?;
        let record = decode64(&value);
        let is_owner = |node: &Node| {
            record
                .windows(node.name.len())
                .any(|word| word == node.name.as_bytes())
        };
        self.nodes.iter().position(is_owner)
    }
}

fn decode64(value: &str) -> Vec<u8> {
    const DIGITS: &str = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for digit in value.chars().filter_map(|c| DIGITS.find(c)) {
        word = (word << 6 | digit as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

pub fn play(case: &str, folder: &str, trouble: bool) -> Verdict {
    let played = match case {
        "foreign-entry" => foreign_entry(folder, trouble),
        "removed-route" => removed_route(folder, trouble),
        "other-kind" => other_kind(folder, trouble),
        "killed-upkeep" => killed_upkeep(folder, trouble),
        "advice" => advised(folder, trouble),
        _ => Err(format!("no case is called {case}")),
    };
    played.unwrap_or_else(Verdict::NotRun)
}

fn verdict(broken: Option<String>) -> Result<Verdict, String> {
    Ok(broken.map_or(Verdict::Held, Verdict::Broken))
}

/// An entry that lacks fields and has one of another type appears under `servers/`, beside those of
/// the executors. It names the address of one of them.
fn foreign_entry(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let kinds = (0..6).map(|index| kind("a", index / 2, 16_000)).collect();
    let deployment = Deployment::start(
        folder,
        3,
        kinds,
        vec![route("r-jobs", "/jobs/", SERVICE, 2)],
    )?;
    let (fleet, client) = (&deployment.fleet, &deployment.client);
    for number in 0..3 {
        let job = job("ms=8000", vec![step(4, 1000, 8000, Vec::new())]);
        if !client.submit(&deployment.fronts, &format!("{:016x}", 0xa0 + number), &job) {
            return Err("a job was not accepted".to_owned());
        }
    }
    if !wait_for("all tasks run", 5000, || fleet.runs().len() >= 12) {
        return Err("not all tasks started".to_owned());
    }
    pause(1500);
    if trouble {
        let busiest = (0..6)
            .max_by_key(|index| fleet.running_on(*index))
            .unwrap_or_default();
        let mut entry = fleet.entry(busiest);
        entry.remove("zone");
        entry.remove("version");
        entry.set("slots", text("8"));
        entry.set("seq_no", text("4"));
        note(format!("another writer's entry: {}", entry.render()));
        deployment
            .store
            .put("servers/i-other", entry.render().as_bytes());
    }
    pause(16_000);
    for number in 0..3 {
        client.state(&deployment.fronts[0], &format!("{:016x}", 0xa0 + number));
    }
    verdict(judge::twice(&fleet.runs()))
}

/// The operator removes a route while a job of it is open that can never be done.
fn removed_route(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let kinds = (0..6).map(|index| kind("a", index / 2, 16_000)).collect();
    let (kept, dropped) = (
        route("r-jobs", "/jobs/", SERVICE, 2),
        route("r-old", "/old/", SERVICE, 2),
    );
    let deployment = Deployment::start(folder, 3, kinds, vec![kept.clone(), dropped])?;
    let client = Client {
        prefix: "/old/".to_owned(),
        ..deployment.client.clone()
    };
    let id = format!("{:016x}", 0xb1);
    let job = job("ms=1500 fail", vec![step(1, 1000, 1500, Vec::new())]);
    if !client.submit(&deployment.fronts, &id, &job) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_for("the task starts", 5000, || {
        !deployment.fleet.runs().is_empty()
    }) {
        return Err("the task did not start".to_owned());
    }
    if trouble {
        let version = config(9, vec![kept], &[SERVICE]);
        deployment
            .store
            .put("op/config", version.render().as_bytes());
        note("operator: version 9 without the route r-old");
    }
    pause(25_000);
    client.state(&deployment.fronts[0], &id);
    verdict(judge::budget(&deployment.fleet.runs(), 2))
}

/// An executor crashes and starts again under its id as one of another kind, before its next
/// heartbeat says so.
fn other_kind(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let kinds = (0..4)
        .map(|index| kind(if index == 0 { "b" } else { "a" }, index / 2, 16_000))
        .collect();
    let deployment = Deployment::start(
        folder,
        3,
        kinds,
        vec![route("r-jobs", "/jobs/", SERVICE, 3)],
    )?;
    let (fleet, client) = (&deployment.fleet, &deployment.client);
    let labelled = |spec: &str| {
        job(
            spec,
            vec![step(1, 2000, 400, vec![("required_label", text("b"))])],
        )
    };
    let mut number = 0;
    let mut submit = |spec: &str| {
        number += 1;
        client.submit(
            &deployment.fronts,
            &format!("{:016x}", 0xc00 + number),
            &labelled(spec),
        )
    };
    if !submit("ms=400") || !submit("ms=30000") {
        return Err("a job was not accepted".to_owned());
    }
    pause(1500);
    let mut restarted = u64::MAX;
    if trouble {
        fleet.crash(0);
        pause(1000);
        fleet.restart(0, Some(kind("a", 0, 16_000)));
        restarted = now_ms();
    }
    pause(1000);
    if trouble {
        fleet.register(0);
    }
    pause(5000);
    let wrong = fleet
        .runs()
        .into_iter()
        .find(|run| run.executor == 0 && run.start_ms >= restarted);
    let broken = wrong.map(|run| {
        format!(
            "ROUTE: {} run {} started at {} ms on an executor without the label b",
            run.task, run.attempt, run.start_ms
        )
    });
    verdict(broken)
}

/// The owner of the cell is killed while the machines of a wave are down for their upkeep.
fn killed_upkeep(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let kinds = (0..3).map(|index| kind("a", index, 16_000)).collect();
    let routes = vec![route("r-jobs", "/jobs/", SERVICE, 3)];
    let mut deployment = Deployment::start(folder, 3, kinds, routes)?;
    let machines = (0..3).map(|index| text(format!("m-{index:04}"))).collect();
    let wave = obj(vec![
        ("wave", num(1)),
        ("machines", Json::Arr(machines)),
        ("deadline_s", num(40)),
        ("cap", num(3)),
    ]);
    deployment.store.put("op/wave/1", wave.render().as_bytes());
    if trouble {
        let end = now_ms() + 20_000;
        while deployment.fleet.in_upkeep() < 3 {
            if now_ms() > end {
                return Err("the upkeep did not begin".to_owned());
            }
            pause(1);
        }
        let owner = deployment.owner().ok_or("nobody owns the cell")?;
        deployment.nodes[owner].kill();
        pause(500);
        deployment.nodes[owner].start();
    }
    let (fleet, client, store) = (&deployment.fleet, &deployment.client, &deployment.store);
    let completed = || {
        store
            .value("status/wave/1")
            .is_some_and(|value| decode64(&value).windows(9).any(|word| word == b"completed"))
    };
    if !wait_for("the wave is completed", 45_000, completed) {
        return Err("the wave was not completed".to_owned());
    }
    note("the wave is completed");
    pause(8000);
    let id = format!("{:016x}", 0xd1);
    if !client.submit(
        &deployment.fronts,
        &id,
        &job("ms=500", vec![step(2, 1000, 500, Vec::new())]),
    ) {
        return Err("the job was not accepted".to_owned());
    }
    let started = wait_for("the job starts", 20_000, || !fleet.runs().is_empty());
    client.state(&deployment.fronts[0], &id);
    verdict((!started).then(|| {
        "LOST: the job had nothing running for 20 s, with three idle executors that are ready"
            .to_owned()
    }))
}

/// The policy of an advised queue allows only the executors of one rack.
fn advised(folder: &str, trouble: bool) -> Result<Verdict, String> {
    const EXECUTORS: usize = 24;
    let kinds = (0..EXECUTORS)
        .map(|index| kind("a", index / 8, 16_000))
        .collect();
    let mut route = route("r-jobs", "/jobs/", SERVICE, 3);
    route.set(
        "advice",
        obj(vec![
            ("decide_ms", num(20)),
            ("each_ms", num(2)),
            ("valid_ms", num(3000)),
        ]),
    );
    let one_at_a_time = std::sync::Mutex::new(());
    let answer = move |request: &crate::base::Request| {
        let _turn = one_at_a_time.lock().unwrap();
        let body = request.json();
        let workers = body.rows("workers");
        pause(20 + 2 * workers.len() as u64);
        let number = |id: &str| usize::from_str_radix(id.trim_start_matches("i-"), 16).unwrap_or(0);
        let allowed = workers
            .iter()
            .map(Json::as_str)
            .filter(|id| !trouble || number(id) / 8 == 2);
        let granted: Vec<Json> = allowed
            .map(|id| Json::Arr(vec![text(id), text(format!("t-{id}"))]))
            .collect();
        note(format!(
            "advice: {} -> {} granted",
            body.render(),
            granted.len()
        ));
        Some((200, obj(vec![("granted", Json::Arr(granted))]).render()))
    };
    let advice = crate::base::serve("127.0.0.1", Arc::new(answer)).to_string();
    let deployment = Deployment::start_with(folder, 3, kinds, vec![route], Some(advice))?;
    let (fleet, client) = (&deployment.fleet, &deployment.client);
    let id = format!("{:016x}", 0xe1);
    if !client.submit(
        &deployment.fronts,
        &id,
        &job("ms=500", vec![step(2, 1000, 500, Vec::new())]),
    ) {
        return Err("the job was not accepted".to_owned());
    }
    let started = wait_for("the job starts", 30_000, || !fleet.runs().is_empty());
    client.state(&deployment.fronts[0], &id);
    verdict((!started).then(|| {
        "LOST: the job had nothing running for 30 s, with eight idle executors that may run it"
            .to_owned()
    }))
}
