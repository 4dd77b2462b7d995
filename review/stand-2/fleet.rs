//! Stand-in of the executors and of the list of their machines.
//!
//! A job's `spec` says how its tasks behave, as words: `ms=800` works for so long, `fail` then ends
//! as failed, `last` runs until it is stopped, `gang=4` works only while four members are present.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    base::{Json, Reply, Request, note, now_ms, num, obj, pause, serve, text, unix_ms},
    store::Store,
};

/// Longest lease, as in the settings (`hold_max_ms`).
pub const HOLD_MAX_MS: u64 = 6000;
/// Time that a stop takes; `stop_ms` allows 200.
const STOP_MS: u64 = 50;
/// How long a member of a gang waits for the others (`gang_ms`).
const GANG_MS: u64 = 3000;
/// Interval at which an executor writes its entry (`heartbeat_ms`).
const HEARTBEAT_MS: u64 = 1500;
/// Time from the start of a crashed executor to its first heartbeat.
const FIRST_HEARTBEAT_MS: u64 = 1000;
/// Time until a task that lasts is at work.
const WARM_MS: u64 = 500;

/// What an executor says of itself, besides its address and state.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub executor: usize,
    pub task: String,
    pub attempt: u64,
    pub spec: String,
    pub start_ms: u64,
    pub end: Option<(u64, &'static str)>,
    /// When the end was taken note of.
    pub noted_ms: Option<u64>,
    work_from: Option<u64>,
    stop_at: Option<u64>,
}

struct Executor {
    id: String,
    address: String,
    zone: String,
    kind: Kind,
    state: &'static str,
    up: bool,
    born: u64,
    zero: Instant,
    fence: u64,
    until: u64,
    /// Indexes of running runs.
    running: Vec<usize>,
    /// Number and index of ends that are not taken note of.
    ended: Vec<(u64, usize)>,
    next_end: u64,
    /// Highest run of each task that was stopped or ended.
    closed: BTreeMap<String, u64>,
    seq_no: u64,
    /// When it writes its entry next.
    next_beat: u64,
}

#[derive(Default)]
struct State {
    executors: Vec<Executor>,
    runs: Vec<Run>,
}

/// All executors of a deployment.
pub struct Fleet {
    state: Mutex<State>,
    ended: Condvar,
    store: Arc<Store>,
}

fn word<'a>(spec: &'a str, name: &str) -> Option<&'a str> {
    spec.split(' ')
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn has(spec: &str, name: &str) -> bool {
    spec.split(' ').any(|word| word == name)
}

/// The step of a task: ID.K.STEP.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Executor {
    fn clock(&self) -> u64 {
        self.zero.elapsed().as_millis() as u64
    }

    fn reply(&self, status: u16, fields: Vec<(&str, Json)>) -> Reply {
        let mut body = obj(vec![
            ("clock_ms", num(self.clock())),
            ("born", num(self.born)),
        ]);
        fields
            .into_iter()
            .for_each(|(name, value)| body.set(name, value));
        Some((status, body.render()))
    }

    fn refuse(&self, reason: &str) -> Reply {
        self.reply(409, vec![("reason", text(reason))])
    }

    fn extend(&mut self, until: u64) {
        self.until = self.until.max(until.min(self.clock() + HOLD_MAX_MS));
    }

    fn entry(&self) -> Json {
        let labels = self.kind.labels.iter().map(text).collect();
        obj(vec![
            ("service", text(&self.kind.service)),
            ("addr", text(&self.address)),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text(self.state)),
            ("cold_left_ms", num(0)),
            (
                "capacity",
                obj(vec![
                    ("cpu", num(self.kind.cpu)),
                    ("mem_mb", num(self.kind.mem_mb)),
                    ("gpu", num(0)),
                ]),
            ),
            ("labels", Json::Arr(labels)),
            ("clock_ms", num(self.clock())),
            ("seq_no", num(self.seq_no)),
            ("born", num(self.born)),
        ])
    }
}

impl Fleet {
    pub fn new(store: Arc<Store>) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::default(),
            ended: Condvar::new(),
            store,
        });
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                pause(5);
                ticking.tick();
                ticking.beat();
            }
        });
        fleet
    }

    /// Adds an executor, which serves and registers itself.
    pub fn add(self: &Arc<Self>, id: &str, zone: &str, kind: Kind) -> usize {
        let index = self.state.lock().unwrap().executors.len();
        let fleet = self.clone();
        let address = serve(
            "127.0.0.1",
            Arc::new(move |request| fleet.answer(index, request)),
        );
        let executor = Executor {
            id: id.to_owned(),
            address: address.to_string(),
            zone: zone.to_owned(),
            kind,
            state: "ready",
            up: true,
            born: unix_ms(),
            zero: Instant::now(),
            fence: 0,
            until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            seq_no: 0,
            next_beat: 0,
        };
        self.state.lock().unwrap().executors.push(executor);
        self.beat();
        index
    }

    /// Writes the entries of the executors whose heartbeat is due.
    fn beat(&self) {
        let now = now_ms();
        let mut entries = Vec::new();
        for executor in &mut self.state.lock().unwrap().executors {
            if executor.up && now >= executor.next_beat {
                executor.next_beat = now + HEARTBEAT_MS;
                executor.seq_no += 1;
                entries.push((executor.id.clone(), executor.entry()));
            }
        }
        for (id, entry) in entries {
            self.store
                .put(&format!("servers/{id}"), entry.render().as_bytes());
        }
    }

    /// The entry of an executor, as it writes it.
    pub fn entry(&self, index: usize) -> Json {
        self.state.lock().unwrap().executors[index].entry()
    }

    /// Crashes an executor: it runs nothing, knows nothing and answers nothing.
    pub fn crash(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        let now = now_ms();
        let executor = &mut state.executors[index];
        executor.up = false;
        let running = std::mem::take(&mut executor.running);
        executor.ended.clear();
        executor.closed.clear();
        note(format!(
            "executor {} crashes with {} runs",
            executor.id,
            running.len()
        ));
        for run in running {
            state.runs[run].end = Some((now, "crashed"));
        }
    }

    /// Starts a crashed executor again under its id and address. Its first heartbeat follows later.
    pub fn restart(&self, index: usize, kind: Option<Kind>) {
        let mut state = self.state.lock().unwrap();
        let executor = &mut state.executors[index];
        if let Some(kind) = kind {
            executor.kind = kind;
        }
        executor.up = true;
        executor.state = "ready";
        executor.born = unix_ms();
        executor.zero = Instant::now();
        (
            executor.fence,
            executor.until,
            executor.next_end,
            executor.seq_no,
        ) = (0, 0, 1, 0);
        executor.next_beat = now_ms() + FIRST_HEARTBEAT_MS;
        executor.next_beat = now_ms() + FIRST_HEARTBEAT_MS;
        note(format!(
            "executor {} is up again, born {}, labels {:?}, cpu {}",
            executor.id, executor.born, executor.kind.labels, executor.kind.cpu
        ));
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Number of runs that an executor has at the moment.
    pub fn running_on(&self, index: usize) -> usize {
        self.state.lock().unwrap().executors[index].running.len()
    }

    /// The list of machines: each executor is the life of one machine.
    pub fn machines(&self) -> Json {
        let state = self.state.lock().unwrap();
        let row = |(index, executor): (usize, &Executor)| {
            let labels = executor.kind.labels.iter().map(text).collect();
            obj(vec![
                ("machine", text(format!("m-{index:04}"))),
                ("pool", text(&executor.kind.service)),
                ("state", text(if executor.up { "up" } else { "down" })),
                ("zone", text(&executor.zone)),
                ("labels", Json::Arr(labels)),
                (
                    "capacity",
                    obj(vec![
                        ("cpu", num(executor.kind.cpu)),
                        ("mem_mb", num(executor.kind.mem_mb)),
                        ("gpu", num(0)),
                    ]),
                ),
                ("id", text(&executor.id)),
            ])
        };
        let rows = state.executors.iter().enumerate().map(row).collect();
        obj(vec![
            ("machines", Json::Arr(rows)),
            ("next_token", Json::Null),
        ])
    }

    /// Serves the list of machines. Orders are refused as `busy`: no case asks for one.
    pub fn serve_cloud(self: &Arc<Self>) -> String {
        let fleet = self.clone();
        let answer = move |request: &Request| {
            pause(4);
            if request.method == "GET" && request.path == "/lacewingshore/machines" {
                return Some((200, fleet.machines().render()));
            }
            note(format!(
                "cloud: {} {}",
                request.path,
                request.json().render()
            ));
            Some((409, obj(vec![("reason", text("busy"))]).render()))
        };
        serve("127.0.0.1", Arc::new(answer)).to_string()
    }

    fn answer(&self, index: usize, request: &Request) -> Reply {
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        let executor = &mut state.executors[index];
        if !executor.up {
            return None;
        }
        if request.method == "GET" {
            return Some((200, String::new()));
        }
        let expected = request.header("x-lacewingshore-expect-instance");
        if !expected.is_empty() && expected != executor.id {
            return executor.reply(421, Vec::new());
        }
        if body.u64("fence_token") < executor.fence {
            return executor.refuse("fence");
        }
        executor.fence = body.u64("fence_token");
        match request.path.as_str() {
            "/lacewingshore/run-start" => start(&mut state, index, &body),
            "/lacewingshore/run-stop" => stop(&mut state, index, &body),
            "/lacewingshore/pace" => state.executors[index].reply(200, Vec::new()),
            "/lacewingshore/hold" => {
                drop(state);
                self.hold(index, &body)
            }
            _ => Some((404, String::new())),
        }
    }

    fn hold(&self, index: usize, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let observed = body.u64("observed");
        let now = now_ms();
        let executor = &mut state.executors[index];
        if let Some(Json::Num(until)) = body.get("until_ms") {
            executor.extend(*until as u64);
        }
        let (noted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut executor.ended)
            .into_iter()
            .partition(|(number, _)| *number <= observed);
        executor.ended = kept;
        let born = executor.born;
        for (_, run) in noted {
            state.runs[run].noted_ms = Some(now);
        }
        let end = Instant::now() + Duration::from_millis(body.u64("wait_ms").min(2000));
        loop {
            let executor = &state.executors[index];
            if !executor.up || executor.born != born {
                return None;
            }
            let left = end.saturating_duration_since(Instant::now());
            if !executor.ended.is_empty() || left.is_zero() {
                return report(&state, index);
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Ends what is due to end.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = now_ms();
        let mut ends: Vec<(usize, &'static str)> = Vec::new();
        begin_gangs(&mut state, now);
        for executor in &state.executors {
            let lapsed = executor.until <= executor.clock();
            for &index in &executor.running {
                let run = &state.runs[index];
                let ms = word(&run.spec, "ms")
                    .and_then(|ms| ms.parse().ok())
                    .unwrap_or(300);
                let worked =
                    run.work_from.is_some_and(|from| now >= from + ms) && !has(&run.spec, "last");
                if lapsed {
                    ends.push((index, "lapsed"));
                } else if run.stop_at.is_some_and(|at| now >= at) {
                    ends.push((index, "stopped"));
                } else if worked {
                    ends.push((
                        index,
                        if has(&run.spec, "fail") {
                            "failed"
                        } else {
                            "done"
                        },
                    ));
                } else if run.work_from.is_none() && now >= run.start_ms + GANG_MS {
                    ends.push((index, "alone"));
                }
            }
        }
        if ends.is_empty() {
            return;
        }
        let broken = broken_gangs(&state, &ends);
        for (index, how) in ends.into_iter().chain(broken) {
            end_run(&mut state, index, how, now);
        }
        self.ended.notify_all();
    }
}

fn gang_size(spec: &str) -> Option<usize> {
    word(spec, "gang")?.parse().ok()
}

fn begin_gangs(state: &mut State, now: u64) {
    let mut present: BTreeMap<(String, u64), Vec<usize>> = BTreeMap::new();
    for &index in state
        .executors
        .iter()
        .flat_map(|executor| &executor.running)
    {
        let run = &state.runs[index];
        if gang_size(&run.spec).is_some() && run.work_from.is_none() {
            let key = (step_of(&run.task).to_owned(), run.attempt);
            present.entry(key).or_default().push(index);
        }
    }
    for members in present.into_values() {
        if gang_size(&state.runs[members[0]].spec) == Some(members.len()) {
            members
                .into_iter()
                .for_each(|index| state.runs[index].work_from = Some(now));
        }
    }
}

/// The other members of gangs of which one ends without being done.
fn broken_gangs(state: &State, ends: &[(usize, &'static str)]) -> Vec<(usize, &'static str)> {
    let mut broken = Vec::new();
    for (index, how) in ends {
        let ended = &state.runs[*index];
        if *how == "done" || gang_size(&ended.spec).is_none() {
            continue;
        }
        for &other in state
            .executors
            .iter()
            .flat_map(|executor| &executor.running)
        {
            let run = &state.runs[other];
            let same = step_of(&run.task) == step_of(&ended.task) && run.attempt == ended.attempt;
            let listed = ends.iter().any(|(index, _)| *index == other);
            if same && !listed && !broken.contains(&(other, "broken")) {
                broken.push((other, "broken"));
            }
        }
    }
    broken
}

fn end_run(state: &mut State, index: usize, how: &'static str, now: u64) {
    let run = &mut state.runs[index];
    run.end = Some((now, how));
    let executor = &mut state.executors[run.executor];
    executor.running.retain(|other| *other != index);
    let closed = executor.closed.entry(run.task.clone()).or_default();
    *closed = run.attempt.max(*closed);
    executor.ended.push((executor.next_end, index));
    executor.next_end += 1;
    note(format!(
        "end   {} run {} on {}: {how}",
        run.task, run.attempt, executor.id
    ));
}

fn start(state: &mut State, index: usize, body: &Json) -> Reply {
    let (task, attempt) = (body.str("task").to_owned(), body.u64("attempt"));
    let executor = &mut state.executors[index];
    let is_this =
        |run: &&usize| state.runs[**run].task == task && state.runs[**run].attempt == attempt;
    if executor.running.iter().any(|run| is_this(&run)) {
        executor.extend(body.u64("until_ms"));
        return executor.reply(200, Vec::new());
    }
    if executor
        .closed
        .get(&task)
        .is_some_and(|closed| attempt <= *closed)
    {
        executor.extend(body.u64("until_ms"));
        return executor.refuse("old");
    }
    if body.u64("until_ms") <= executor.clock() {
        return executor.refuse("late");
    }
    executor.extend(body.u64("until_ms"));
    let spec = body.str("spec").to_owned();
    let now = now_ms();
    let work_from = if gang_size(&spec).is_some() {
        None
    } else {
        Some(now)
    };
    executor.running.push(state.runs.len());
    note(format!(
        "start {task} run {attempt} on {}, token {}",
        executor.id,
        body.u64("fence_token")
    ));
    let reply = executor.reply(200, Vec::new());
    state.runs.push(Run {
        executor: index,
        task,
        attempt,
        spec,
        start_ms: now,
        end: None,
        noted_ms: None,
        work_from,
        stop_at: None,
    });
    reply
}

fn stop(state: &mut State, index: usize, body: &Json) -> Reply {
    let (task, attempt) = (body.str("task"), body.u64("attempt"));
    let executor = &mut state.executors[index];
    let closed = executor.closed.entry(task.to_owned()).or_default();
    *closed = attempt.max(*closed);
    for &run in &executor.running {
        let run = &mut state.runs[run];
        if run.task == task && run.attempt <= attempt {
            run.stop_at.get_or_insert(now_ms() + STOP_MS);
        }
    }
    executor.reply(200, Vec::new())
}

fn report(state: &State, index: usize) -> Reply {
    let executor = &state.executors[index];
    let now = now_ms();
    let running = executor.running.iter().map(|&run| {
        let run = &state.runs[run];
        let ms: u64 = word(&run.spec, "ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(300);
        let worked = run.work_from.map_or(0, |from| now.saturating_sub(from));
        let percent = if has(&run.spec, "last") {
            u64::from(worked >= WARM_MS) * 100
        } else {
            (worked * 100 / ms.max(1)).min(100)
        };
        Json::Arr(vec![
            text(&run.task),
            num(run.attempt),
            text(""),
            num(percent),
        ])
    });
    let finished = executor.ended.iter().take(500).map(|(number, run)| {
        let run = &state.runs[*run];
        let how = run.end.map_or("", |(_, how)| how);
        Json::Arr(vec![
            num(*number),
            text(&run.task),
            num(run.attempt),
            text(how),
            text(""),
        ])
    });
    let lists = vec![
        ("running", Json::Arr(running.collect())),
        ("finished", Json::Arr(finished.collect())),
    ];
    executor.reply(200, lists)
}
