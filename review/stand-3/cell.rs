//! The processes of a cell, started with the command of the deploy file, and its callers.

use std::{
    env, fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    control::Control,
    http,
    json::Json,
    record::Record,
    store::Store,
    target::{Gangs, Target},
};

pub const HOST: &str = "jepu9.example";
pub const PREFIX: &str = "/puxa400/";
pub const KEY: &str = "sjnbanfqasnmgkcuyj8p";

pub struct Process {
    pub name: String,
    pub number: usize,
    pub front: String,
    pub ready: String,
    pub peer: String,
    child: Option<Child>,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The platform with its executors, and the processes of one cell.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub control: Arc<Control>,
    pub targets: Vec<Arc<Target>>,
    pub processes: Vec<Process>,
    gangs: Gangs,
    folder: PathBuf,
}

impl World {
    /// Starts the platform with the configuration of one queue, and machines in its pool.
    pub fn start(folder: &Path, machines: usize) -> Self {
        let record = Arc::new(Record::new());
        let store = Store::start();
        let control = Control::start(&store, &record);
        let mut world = Self {
            record,
            store,
            control,
            targets: Vec::new(),
            processes: Vec::new(),
            gangs: Gangs::default(),
            folder: folder.to_owned(),
        };
        world.store.put("op/config", &config());
        for number in 0..machines {
            world.add_machine(&format!("m-{number}"));
        }
        world
    }

    pub fn add_machine(&mut self, name: &str) -> Arc<Target> {
        let target = Target::start(name, "coder", &self.store, &self.record, &self.gangs);
        self.control.add(target.clone());
        self.targets.push(target.clone());
        target
    }

    /// Starts one more process of the cell; returns its place.
    pub fn add_process(&mut self, name: &str) -> usize {
        let (number, store) = self.store.endpoint();
        let control = self.control.endpoint(number);
        let ports = free_addresses(4);
        let settings = format!(
            "[entry]\nmember = {name}\ndata_centre = regina\naddress = {}\nready_address = {}\n\
             peer_address = {}\nmetrics_address = {}\n\n[platform]\nstore_address = {store}\n\
             control_address = {control}\n\n[times]\ntask_lease = 6000ms\nhost_order_pause = 3000ms\n\
             \n[sharing]\nwork_admission = true\nfair_order = true\nfair_division = true\n\n[limits]\n\
             processor_share = 0.25\nprocessor_speed = 1\nmemory_mb = 260\nlink_mbps = 1000\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("write settings");
        self.processes.push(Process {
            name: name.to_owned(),
            number,
            front: ports[0].clone(),
            ready: ports[1].clone(),
            peer: ports[2].clone(),
            child: None,
            settings: path,
        });
        let place = self.processes.len() - 1;
        self.run_process(place);
        place
    }

    pub fn run_process(&mut self, place: usize) {
        let log = self
            .folder
            .join(format!("{}.log", self.processes[place].name));
        let log = fs::File::create(log).expect("create a log");
        let process = &mut self.processes[place];
        let child = Command::new("target/release/lacewingshore")
            .arg("cell")
            .env("LACEWINGSHORE_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("clone a log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("start a process: {error}")));
        process.child = Some(child);
        self.record
            .line(&format!("process {} starts", process.name));
    }

    pub fn kill(&mut self, place: usize) {
        let process = &mut self.processes[place];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("process {} is killed", process.name));
        }
    }

    pub fn kill_all(&mut self) {
        for place in 0..self.processes.len() {
            self.kill(place);
        }
    }

    /// True if a process has ended by itself.
    pub fn any_ended(&mut self) -> bool {
        let children = self
            .processes
            .iter_mut()
            .filter_map(|process| process.child.as_mut());
        children
            .map(|child| child.try_wait())
            .any(|ended| matches!(ended, Ok(Some(_))))
    }

    /// Waits until the processes report ready, and one of them owns the cell; returns its place.
    pub fn wait_ready(&mut self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        loop {
            let ready = self
                .processes
                .iter()
                .filter(|process| process.child.is_some())
                .all(|process| {
                    let path = "/lacewingshore/ready";
                    let answer = http::call(
                        &process.ready,
                        "GET",
                        path,
                        &[],
                        "",
                        Duration::from_millis(500),
                    );
                    answer.is_some_and(|answer| answer.0 == 200)
                });
            if let Some(owner) = self.owner().filter(|_| ready) {
                self.record.line(&format!(
                    "all are ready, {} owns the cell",
                    self.processes[owner].name
                ));
                return owner;
            }
            if Instant::now() >= end {
                self.kill_all();
                could_not_run("the processes are not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The process that last wrote to the store under a condition.
    pub fn owner(&self) -> Option<usize> {
        let writer = self.store.last_writer()?;
        self.processes
            .iter()
            .position(|process| process.number == writer)
    }

    /// Hands a job in until a process answers with 200; true if one did.
    pub fn submit(&self, place: usize, id: &str, body: &str) -> bool {
        for _ in 0..10 {
            let answer = self.caller(place, "POST", id, body);
            if answer.as_ref().is_some_and(|answer| answer.0 == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Sends one call of a client and records the answer.
    pub fn caller(&self, place: usize, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        let process = &self.processes[place];
        let key = format!("Bearer {KEY}");
        let headers = [
            ("host", HOST),
            ("authorization", key.as_str()),
            ("content-type", "application/json"),
            ("x-lacewingshore-deadline-ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let answer = http::call(
            &process.front,
            method,
            &path,
            &headers,
            body,
            Duration::from_secs(3),
        );
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record
            .line(&format!("{method} {path} to {}: {text}", process.name));
        answer
    }

    /// Writes the record and ends all processes; exits with 1 if a rule was broken.
    pub fn finish(mut self, out: &Path, broken: Option<String>) -> ! {
        let ended = self.any_ended();
        self.kill_all();
        let verdict = match &broken {
            Some(text) => format!("BROKEN: {text}"),
            None => "HELD".to_owned(),
        };
        self.record.line(&verdict);
        if ended {
            self.record.line("a process ended by itself");
        }
        fs::write(out.join("record.txt"), self.record.text()).expect("write the record");
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        println!("{verdict}");
        std::process::exit(i32::from(broken.is_some()))
    }
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

/// A job of one step of equal tasks that each run for `ms`.
pub fn job(count: u32, cpu: u32, ms: u64) -> String {
    job_of_kind("", count, cpu, ms)
}

/// The same on executors of one kind; on any, if it is empty.
pub fn job_of_kind(kind: &str, count: u32, cpu: u32, ms: u64) -> String {
    format!(
        "{{\"spec\":\"{ms}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":256,\
         \"est_ms\":{ms},\"required_label\":\"{kind}\"}}]}}"
    )
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":600,\"priority\":0,\
         \"service\":\"coder\",\"max_attempts\":2,\"slack_factor\":3,\"public\":false}}],\
         \"services\":[{{\"name\":\"coder\",\"health_path\":\"/health\",\"max_conns\":64,\
         \"protocol\":\"h1\",\"tls_enabled\":false,\"admission_check\":false,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"cugo130\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"weight\":47,\"cap\":{{\"cpu\":0,\"mem_mb\":0,\
         \"gpu\":0}}}}]}}"
    )
}

/// Free addresses for a process, with ports below those that connections get, so that they are still
/// free when the process is started again. All have five digits, so that one can be shown as another.
fn free_addresses(count: usize) -> Vec<String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id() % 12 * 1000;
    let mut found = Vec::new();
    while found.len() < count {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.0.0.1:{}", 20_000 + (offset + number) % 12_000);
        if TcpListener::bind(&address).is_ok() {
            found.push(address);
        }
        if number > 12_000 {
            could_not_run("no free ports");
        }
    }
    found
}
