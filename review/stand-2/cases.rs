//! The cases.

use std::sync::Arc;

use crate::{
    advice::Advice,
    base::{Json, note, now_ms, pause, text},
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
}

pub fn play(case: &str, folder: &str, trouble: bool) -> Verdict {
    let played = match case {
        "foreign-entry" => foreign_entry(folder, trouble),
        "removed-route" => removed_route(folder, trouble),
        "other-kind" => other_kind(folder, trouble),
        "advice-in-burst" => advice_in_burst(folder, trouble),
        "advice-of-few" => advice_of_few(folder, trouble),
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
    let kinds = (0..8)
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
    pause(6000);
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

/// The policy of an advised queue allows only the executors of one rack.
fn advice_of_few(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let kinds = (0..24).map(|index| kind("a", index / 8, 16_000)).collect();
    let last_rack = |id: &str| {
        usize::from_str_radix(id.trim_start_matches("i-"), 16).is_ok_and(|index| index / 8 == 2)
    };
    let advice = Advice {
        decide_ms: 20,
        each_ms: 2,
        valid_ms: 3000,
        allows: if trouble { last_rack } else { |_| true },
    };
    let mut route = route("r-jobs", "/jobs/", SERVICE, 3);
    route.set("advice", advice.terms());
    let deployment = Deployment::start_with(folder, 3, kinds, vec![route], Some(advice.start()))?;
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

/// Jobs come to an advised queue in a burst, faster than the advice service answers.
fn advice_in_burst(folder: &str, trouble: bool) -> Result<Verdict, String> {
    const JOBS: u64 = 40;
    let gap_ms = if trouble { 40 } else { 800 };
    let kinds = (0..12).map(|index| kind("a", index / 4, 16_000)).collect();
    let advice = Advice {
        decide_ms: 300,
        each_ms: 5,
        valid_ms: 3000,
        allows: |_| true,
    };
    let mut route = route("r-jobs", "/jobs/", SERVICE, 3);
    route.set("advice", advice.terms());
    let deployment = Deployment::start_with(folder, 3, kinds, vec![route], Some(advice.start()))?;
    let (fleet, client) = (&deployment.fleet, &deployment.client);
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xf00 + number);
        let body = job("ms=300", vec![step(2, 1000, 300, Vec::new())]);
        let front = &deployment.fronts[number as usize % 3];
        if matches!(
            client.send(front, "POST", &id, &body.render()),
            Some((200..=299, _))
        ) {
            accepted.push(id);
        }
        pause(gap_ms);
    }
    if accepted.len() < JOBS as usize / 2 {
        return Err("most jobs were not accepted".to_owned());
    }
    let waiting = || {
        let runs = fleet.runs();
        let started = |id: &&String| runs.iter().any(|run| run.task.starts_with(id.as_str()));
        accepted.iter().filter(|id| !started(id)).count()
    };
    let started = wait_for("all jobs start", 50_000, || waiting() == 0);
    note(format!(
        "{} jobs accepted, {} not started",
        accepted.len(),
        waiting()
    ));
    verdict((!started).then(|| {
        format!(
            "LOST: {} of {} jobs had nothing running for 50 s, with twelve idle executors",
            waiting(),
            accepted.len()
        )
    }))
}
