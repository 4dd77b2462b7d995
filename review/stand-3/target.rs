//! An executor on its machine, as PROTOCOL.md describes it. A partition is told by the sender of each
//! call, which its fencing token names.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::Json,
    record::{Record, unix_ms},
    store::{Store, map},
};

const HOLD_MAX_MS: u64 = 6000;
const STOP_MS: u64 = 100;
const BEAT: Duration = Duration::from_millis(1500);

/// How long a member of a gang waits for the others.
const GANG_MS: u64 = 3000;

/// Members of one run of a gang, and how it goes.
#[derive(Default)]
struct Gang {
    present: HashSet<String>,
    begun: Option<Instant>,
    broken: bool,
}

/// All runs of gangs, by the step and the attempt.
pub type Gangs = Arc<Mutex<HashMap<String, GangRun>>>;

#[derive(Default)]
pub struct GangRun(Gang);

/// What the `spec` of a job of this script says of its gang: `gang COUNT FAILING MS`.
struct GangSpec {
    count: usize,
    failing: String,
    length: Duration,
}

impl GangSpec {
    fn parse(spec: &str) -> Option<Self> {
        let mut words = spec.strip_prefix("gang ")?.split(' ');
        Some(Self {
            count: words.next()?.parse().ok()?,
            failing: words.next()?.to_owned(),
            length: Duration::from_millis(words.next()?.parse().ok()?),
        })
    }
}

struct Run {
    gang: Option<(String, GangSpec)>,
    task: String,
    attempt: u64,
    begun: u64,
    ends: u64,
    stop_at: Option<u64>,
    record: usize,
}

struct State {
    /// The life of the executor; empty while the machine is down.
    id: String,
    born: u64,
    zero: Instant,
    fence: u64,
    until: u64,
    running: Vec<Run>,
    /// Ends that are listed: number, task, attempt, how, and the count of lapses at that time.
    ended: Vec<(u64, String, u64, &'static str, u64)>,
    /// How often the lease has lapsed.
    lapses: u64,
    next_end: u64,
    closed: HashMap<String, u64>,
    pool: String,
    seq: u64,
    /// Whether the executor has crashed and is not back yet.
    down: bool,
    /// For how long the next start is held up.
    hold_next: Option<Duration>,
    /// Processes whose calls do not get here.
    apart: HashSet<usize>,
    lives: u64,
}

pub struct Target {
    pub machine: String,
    pub address: String,
    /// Its kind, a label.
    kind: &'static str,
    store: Arc<Store>,
    record: Arc<Record>,
    gangs: Gangs,
    state: Mutex<State>,
    changed: Condvar,
}

impl Target {
    pub fn start(
        machine: &str,
        pool: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        gangs: &Gangs,
    ) -> Arc<Self> {
        let state = State {
            id: String::new(),
            born: 0,
            zero: Instant::now(),
            fence: 0,
            until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            lapses: 0,
            next_end: 1,
            closed: HashMap::new(),
            pool: pool.to_owned(),
            seq: 0,
            down: false,
            hold_next: None,
            apart: HashSet::new(),
            lives: 0,
        };
        let listener = Arc::new(Mutex::new(None::<Arc<Self>>));
        let direct = listener.clone();
        let address = http::serve(Arc::new(move |request: &Request| {
            let target = direct.lock().unwrap().clone();
            target.map_or(Reply::Silent, |target| target.handle(request))
        }));
        let target = Arc::new(Self {
            machine: machine.to_owned(),
            address,
            kind: kind_of(machine),
            store: store.clone(),
            record: record.clone(),
            gangs: gangs.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        *listener.lock().unwrap() = Some(target.clone());
        target.begin_life();
        let ticking = target.clone();
        http::spawn(move || ticking.tick());
        target
    }

    /// Cuts the path between a process and this executor, or restores it.
    pub fn set_apart(&self, process: usize, apart: bool) {
        let mut state = self.state.lock().unwrap();
        match apart {
            true => state.apart.insert(process),
            false => state.apart.remove(&process),
        };
        drop(state);
        self.changed.notify_all();
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    pub fn pool(&self) -> String {
        self.state.lock().unwrap().pool.clone()
    }

    pub fn run_count(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Begins a new life of the executor, under a new id.
    pub fn begin_life(&self) {
        let mut state = self.state.lock().unwrap();
        state.lives += 1;
        state.id = format!("i-{}-{}", self.machine, state.lives);
        state.born = unix_ms();
        state.zero = Instant::now();
        (state.fence, state.until, state.next_end) = (0, 0, 1);
        state.ended.clear();
        state.closed.clear();
        let line = format!("executor {} begins on machine {}", state.id, self.machine);
        drop(state);
        self.record.line(&line);
        self.beat();
    }

    /// Ends the life of the executor with all that runs there.
    pub fn end_life(&self, pool: &str) {
        let mut state = self.state.lock().unwrap();
        let id = std::mem::take(&mut state.id);
        for run in std::mem::take(&mut state.running) {
            self.record.end_run(run.record, "machine down");
        }
        state.pool = pool.to_owned();
        drop(state);
        self.store.remove(&format!("servers/{id}"));
        self.record.line(&format!(
            "executor {id} ends, machine {} goes down",
            self.machine
        ));
        self.changed.notify_all();
    }

    /// Crashes, and starts again under the same id after `time`. The store removes the entry after
    /// three heartbeats of silence.
    pub fn crash(self: &Arc<Self>, time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        for run in std::mem::take(&mut state.running) {
            self.record.end_run(run.record, "crashed");
        }
        state.ended.clear();
        let id = state.id.clone();
        drop(state);
        self.changed.notify_all();
        self.record.line(&format!("executor {id} crashes"));
        let (target, entry) = (self.clone(), format!("servers/{id}"));
        http::spawn(move || {
            thread::sleep(BEAT * 3);
            if target.state.lock().unwrap().down {
                target.store.remove(&entry);
            }
            thread::sleep(time.saturating_sub(BEAT * 3));
            let mut state = target.state.lock().unwrap();
            state.born = unix_ms();
            state.zero = Instant::now();
            (state.fence, state.until, state.next_end) = (0, 0, 1);
            state.closed.clear();
            state.down = false;
            drop(state);
            target
                .record
                .line(&format!("executor {id} has started again"));
            target.beat();
        });
    }

    /// Holds the next start up: it gets no answer and is carried out later.
    pub fn hold_next_start(&self, time: Duration) {
        self.state.lock().unwrap().hold_next = Some(time);
    }

    /// Lets the next starts through.
    pub fn release_starts(&self) {
        self.state.lock().unwrap().hold_next = None;
    }

    /// True once a start was held up.
    pub fn has_held(&self) -> bool {
        self.state.lock().unwrap().hold_next.is_none()
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if state.id.is_empty() || state.down {
            return;
        }
        state.seq += 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"regina\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":16000,\"mem_mb\":32768,\
             \"gpu\":0}},\"labels\":[\"{}\",\"r1-1\"],\"born\":{},\"clock_ms\":{},\"seq_no\":{}}}",
            state.pool,
            self.address,
            self.kind,
            state.born,
            state.zero.elapsed().as_millis(),
            state.seq
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.put(&key, &entry);
    }

    fn tick(&self) {
        let mut beaten = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(5));
            self.end_due_runs(&mut self.state.lock().unwrap());
            if beaten.elapsed() >= BEAT {
                beaten = Instant::now();
                self.beat();
            }
        }
    }

    fn end_due_runs(&self, state: &mut State) {
        let now = state.zero.elapsed().as_millis() as u64;
        let lapsed = state.until > 0 && state.until <= now;
        let mut left = Vec::new();
        for run in std::mem::take(&mut state.running) {
            let how = if let Some(how) = self.gang_end(&run, now) {
                how
            } else if run.ends <= now {
                "done"
            } else if run.stop_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if lapsed {
                "lapsed"
            } else {
                left.push(run);
                continue;
            };
            self.record.end_run(run.record, how);
            let closed = state.closed.entry(run.task.clone()).or_default();
            *closed = run.attempt.max(*closed);
            state
                .ended
                .push((state.next_end, run.task, run.attempt, how, state.lapses));
            state.next_end += 1;
            self.changed.notify_all();
        }
        state.running = left;
        if lapsed {
            state.lapses += 1;
            state.until = 0;
        }
    }

    /// How a member of a gang ends now, if it does.
    fn gang_end(&self, run: &Run, now: u64) -> Option<&'static str> {
        let (key, spec) = run.gang.as_ref()?;
        let mut gangs = self.gangs.lock().unwrap();
        let gang = &mut gangs.get_mut(key)?.0;
        let Some(begun) = gang.begun else {
            return (now >= run.begun + GANG_MS).then_some("alone");
        };
        if gang.broken {
            return Some("broken");
        }
        let fails = run.task.ends_with(&format!(".{}", spec.failing));
        if begun.elapsed() < spec.length || !fails {
            return None;
        }
        gang.broken = true;
        Some("failed")
    }

    /// Adds a run to its gang, which works from the moment when all members are present.
    fn join_gang(&self, task: &str, attempt: u64, spec: &str) -> Option<(String, GangSpec)> {
        let spec = GangSpec::parse(spec)?;
        let (step, _) = task.rsplit_once('.')?;
        let key = format!("{step}#{attempt}");
        let mut gangs = self.gangs.lock().unwrap();
        let gang = &mut gangs.entry(key.clone()).or_default().0;
        gang.present.insert(task.to_owned());
        if gang.present.len() == spec.count {
            gang.begun.get_or_insert_with(Instant::now);
        }
        Some((key, spec))
    }

    fn carry_out_later(self: &Arc<Self>, request: Request, time: Duration) {
        let target = self.clone();
        http::spawn(move || {
            thread::sleep(time);
            let status = match target.handle(&request) {
                Reply::Answer(status, body) => format!("{status} {body}"),
                Reply::Silent => "none".to_owned(),
            };
            target.record.line(&format!(
                "the start that was held up is carried out on {}, its answer would be {status}",
                target.id()
            ));
        });
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let body = request.json();
        let token = body.get("fence_token").num();
        let sender = self.store.writer(token);
        let silent = |state: &State| {
            state.id.is_empty()
                || state.down
                || sender.is_some_and(|sender| state.apart.contains(&sender))
        };
        let mut state = self.state.lock().unwrap();
        if silent(&state) {
            return Reply::Silent;
        }
        self.end_due_runs(&mut state);
        let id = state.id.clone();
        if request.header("x-lacewingshore-expect-instance") != id {
            return Reply::json(421, map(&[]));
        }
        let name = request
            .path
            .strip_prefix("/lacewingshore/")
            .unwrap_or_default();
        if token < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = token;
        let now = state.zero.elapsed().as_millis() as u64;
        match name {
            "run-start" => {
                let Some(time) = state.hold_next.take() else {
                    return self.start_run(&mut state, &body, now);
                };
                drop(state);
                let text = format!("{} is held up on {id}", body.get("task").text());
                self.record.line(&format!("start of {text}"));
                self.carry_out_later(request.clone(), time);
                Reply::Silent
            }
            "run-stop" => {
                let (task, attempt) = (body.get("task").text(), body.get("attempt").num());
                let runs = state.running.iter_mut();
                for run in runs.filter(|run| run.task == task && run.attempt <= attempt) {
                    run.stop_at.get_or_insert(now + STOP_MS);
                }
                let closed = state.closed.entry(task.to_owned()).or_default();
                *closed = attempt.max(*closed);
                Reply::json(200, map(&[("clock_ms", now)]))
            }
            "hold" => {
                let observed = body.get("observed").num();
                // An end before a lapse of the lease does not count as taken note of.
                let noted = |end: &&(u64, String, u64, &str, u64)| {
                    end.0 <= observed && end.4 == state.lapses
                };
                for (_, task, attempt, ..) in state.ended.iter().filter(noted) {
                    self.record.note_end(task, *attempt);
                }
                state.ended.retain(|end| end.0 > observed);
                extend(&mut state, body.get("until_ms").num(), now);
                let wait = Duration::from_millis(body.get("wait_ms").num().min(2000));
                let end = Instant::now() + wait;
                while state.ended.is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    if silent(&state) || state.id != id {
                        return Reply::Silent;
                    }
                }
                report(&state)
            }
            "pace" => Reply::json(200, map(&[("clock_ms", now)])),
            _ => Reply::json(404, map(&[])),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json, now: u64) -> Reply {
        let (task, attempt) = (body.get("task").text(), body.get("attempt").num());
        let until = body.get("until_ms").num();
        if state
            .running
            .iter()
            .any(|run| run.task == task && run.attempt == attempt)
        {
            extend(state, until, now);
            return Reply::json(200, map(&[("clock_ms", now)]));
        }
        if attempt <= state.closed.get(task).copied().unwrap_or_default() {
            extend(state, until, now);
            return refuse(state, "old");
        }
        if until <= now {
            return refuse(state, "late");
        }
        extend(state, until, now);
        let gang = self.join_gang(task, attempt, body.get("spec").text());
        let length = match gang {
            Some(_) => 60_000,
            None => body.get("spec").text().parse().unwrap_or(1000),
        };
        let record = self.record.begin_run(task, attempt, &state.id);
        state.running.push(Run {
            gang,
            task: task.to_owned(),
            attempt,
            begun: now,
            ends: now + length,
            stop_at: None,
            record,
        });
        Reply::json(200, map(&[("clock_ms", now)]))
    }
}

/// The kind of a machine: that of the first one is `b`, all others are `a`.
pub fn kind_of(machine: &str) -> &'static str {
    if machine == "m-0" { "b" } else { "a" }
}

fn extend(state: &mut State, until: u64, now: u64) {
    state.until = state.until.max(until.min(now + HOLD_MAX_MS));
}

fn refuse(state: &State, reason: &str) -> Reply {
    let now = state.zero.elapsed().as_millis() as f64;
    let rows = vec![
        ("clock_ms".to_owned(), Json::Num(now)),
        ("born".to_owned(), Json::Num(state.born as f64)),
        ("reason".to_owned(), Json::Str(reason.to_owned())),
    ];
    Reply::json(409, Json::Map(rows))
}

fn report(state: &State) -> Reply {
    let now = state.zero.elapsed().as_millis() as u64;
    let text = |text: &str| Json::Str(text.to_owned());
    let running = state.running.iter().map(|run| {
        let percent = (now - run.begun) * 100 / (run.ends - run.begun).max(1);
        let attempt = Json::Num(run.attempt as f64);
        let percent = Json::Num(percent.min(100) as f64);
        Json::List(vec![
            text(&run.task),
            attempt,
            text(""),
            percent,
            Json::Num(1000.0),
        ])
    });
    let finished = state
        .ended
        .iter()
        .take(500)
        .map(|(number, task, attempt, how, _)| {
            let (number, attempt) = (Json::Num(*number as f64), Json::Num(*attempt as f64));
            Json::List(vec![number, text(task), attempt, text(how), text("")])
        });
    let rows = vec![
        ("clock_ms".to_owned(), Json::Num(now as f64)),
        ("born".to_owned(), Json::Num(state.born as f64)),
        ("running".to_owned(), Json::List(running.collect())),
        ("finished".to_owned(), Json::List(finished.collect())),
    ];
    Reply::json(200, Json::Map(rows))
}
