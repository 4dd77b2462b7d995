//! The control of machines, as PROTOCOL.md describes it, with an address for each process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::Json,
    record::Record,
    store::{Store, map},
    target::{Target, kind_of},
};

const MOVE: Duration = Duration::from_millis(1500);
const UPKEEP: Duration = Duration::from_millis(2000);

/// An upkeep of a machine, with the times of its begin and end.
#[derive(Clone, Debug)]
pub struct Upkeep {
    pub machine: String,
    pub begun_ms: u64,
    pub ends_ms: u64,
}

struct Machine {
    target: Arc<Target>,
    state: &'static str,
    fence: u64,
    done_waves: Vec<u64>,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    silent: HashMap<usize, bool>,
    /// No call is answered or carried out.
    down: bool,
    /// For how long the next upkeep order is held up.
    hold_next: Option<Duration>,
    upkeeps: Vec<Upkeep>,
    held: Vec<String>,
}

pub struct Control {
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Control {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let (store, record) = (store.clone(), record.clone());
        Arc::new(Self {
            state: Mutex::default(),
            store,
            record,
        })
    }

    pub fn add(&self, target: Arc<Target>) {
        let machine = Machine {
            target,
            state: "up",
            fence: 0,
            done_waves: Vec::new(),
        };
        self.state.lock().unwrap().machines.push(machine);
    }

    pub fn endpoint(self: &Arc<Self>, process: usize) -> String {
        let control = self.clone();
        http::serve(Arc::new(move |request: &Request| {
            control.handle(process, request)
        }))
    }

    pub fn set_silent(&self, process: usize, silent: bool) {
        self.state.lock().unwrap().silent.insert(process, silent);
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn hold_next_upkeep(&self, time: Duration) {
        self.state.lock().unwrap().hold_next = Some(time);
    }

    /// The machines whose orders were held up.
    pub fn held(&self) -> Vec<String> {
        self.state.lock().unwrap().held.clone()
    }

    pub fn upkeeps(&self) -> Vec<Upkeep> {
        self.state.lock().unwrap().upkeeps.clone()
    }

    fn handle(self: &Arc<Self>, process: usize, request: &Request) -> Reply {
        {
            let state = self.state.lock().unwrap();
            if state.down || state.silent.get(&process).copied().unwrap_or_default() {
                return Reply::Silent;
            }
        }
        thread::sleep(Duration::from_millis(4));
        let (body, token) = (
            request.json(),
            request.header("x-lacewingshore-fencing-token"),
        );
        let token: u64 = token.parse().unwrap_or_default();
        match request
            .path
            .strip_prefix("/lacewingshore/")
            .unwrap_or_default()
        {
            "machines" => self.list(),
            "machine-move" => self.order(&body, token, None, false),
            "machine-upkeep" => {
                let wave = body.get("wave").num();
                let machine = body.get("machine").text().to_owned();
                let held = self.state.lock().unwrap().hold_next.take();
                let Some(time) = held else {
                    return self.order(&body, token, Some(wave), false);
                };
                let text = format!("order of upkeep of {machine}, token {token}, is held up");
                self.record.line(&text);
                self.state.lock().unwrap().held.push(machine);
                let control = self.clone();
                http::spawn(move || {
                    thread::sleep(time);
                    control.order(&body, token, Some(wave), true);
                });
                Reply::Silent
            }
            _ => Reply::json(404, map(&[])),
        }
    }

    fn list(&self) -> Reply {
        let state = self.state.lock().unwrap();
        let text = |text: &str| Json::Str(text.to_owned());
        let row = |machine: &Machine| {
            let is_down = machine.target.is_down();
            let id = if is_down {
                String::new()
            } else {
                machine.target.id()
            };
            let state = if is_down { "down" } else { machine.state };
            Json::Map(vec![
                ("machine".to_owned(), text(&machine.target.machine)),
                ("pool".to_owned(), text(&machine.target.pool())),
                ("state".to_owned(), text(state)),
                ("zone".to_owned(), text("regina")),
                (
                    "labels".to_owned(),
                    Json::List(vec![text(kind_of(&machine.target.machine)), text("r1-1")]),
                ),
                (
                    "capacity".to_owned(),
                    map(&[("cpu", 16000), ("mem_mb", 32768), ("gpu", 0)]),
                ),
                (
                    "id".to_owned(),
                    if id.is_empty() {
                        Json::Null
                    } else {
                        Json::Str(id)
                    },
                ),
            ])
        };
        let machines = Json::List(state.machines.iter().map(row).collect());
        let rows = vec![
            ("machines".to_owned(), machines),
            ("next_token".to_owned(), Json::Null),
        ];
        Reply::json(200, Json::Map(rows))
    }

    /// Carries out a move, or the upkeep for a wave.
    fn order(self: &Arc<Self>, body: &Json, token: u64, wave: Option<u64>, late: bool) -> Reply {
        let reason = |reason: &str| {
            let rows = vec![("reason".to_owned(), Json::Str(reason.to_owned()))];
            Reply::json(409, Json::Map(rows))
        };
        let name = body.get("machine").text();
        let what = match wave {
            Some(wave) => format!("upkeep of {name} for wave {wave}, token {token}"),
            None => format!(
                "move of {name} to {}, token {token}",
                body.get("pool").text()
            ),
        };
        let mut state = self.state.lock().unwrap();
        let Some(machine) = state
            .machines
            .iter_mut()
            .find(|row| row.target.machine == name)
        else {
            return Reply::json(400, map(&[]));
        };
        if token < machine.fence {
            self.record.line(&format!("{what}: 409 fence"));
            return reason("fence");
        }
        machine.fence = token;
        if let Some(wave) = wave {
            let listed = self.store.read(&format!("op/wave/{wave}"));
            let listed = listed.and_then(|text| Json::parse(text.as_bytes()));
            let listed = listed.is_some_and(|wave| {
                wave.get("machines")
                    .list()
                    .iter()
                    .any(|listed| listed.text() == name)
            });
            if !listed {
                return reason("wave");
            }
            if machine.done_waves.contains(&wave) {
                self.record.line(&format!("{what}: 200, already done"));
                return Reply::json(200, map(&[]));
            }
        } else if machine.target.pool() == body.get("pool").text() {
            return Reply::json(200, map(&[]));
        }
        if machine.state != "up" {
            self.record.line(&format!("{what}: 409 busy"));
            return reason("busy");
        }
        let (target, pool) = (machine.target.clone(), machine.target.pool());
        let (pool, time) = match wave {
            Some(wave) => {
                machine.done_waves.push(wave);
                machine.state = "upkeep";
                (pool, UPKEEP)
            }
            None => {
                machine.state = "moving";
                (body.get("pool").text().to_owned(), MOVE)
            }
        };
        if wave.is_some() {
            let begun_ms = self.record.now_ms();
            let ends_ms = begun_ms + UPKEEP.as_millis() as u64;
            let machine = name.to_owned();
            state.upkeeps.push(Upkeep {
                machine,
                begun_ms,
                ends_ms,
            });
        }
        drop(state);
        let held = if late { ", held up before" } else { "" };
        self.record.line(&format!("{what}: 200, begins{held}"));
        target.end_life(&pool);
        let (control, name, end) = (self.clone(), name.to_owned(), Instant::now() + time);
        http::spawn(move || {
            thread::sleep(end.saturating_duration_since(Instant::now()));
            let mut state = control.state.lock().unwrap();
            let machine = state
                .machines
                .iter_mut()
                .find(|row| row.target.machine == name);
            if let Some(machine) = machine {
                machine.state = "up";
            }
            drop(state);
            target.begin_life();
        });
        Reply::json(200, map(&[]))
    }
}
