use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use cell::CellPorts;
use model::{
    DataCentreId, HostId, PoolId,
    work::{
        AdvicePolicy, EndKind, EndReport, FleetHost, FleetPolicy, HostOrderAnswer, MaintenanceWave,
        OrderAnswer, OrderSender, PollAnswer, PollOrder, PoolPolicy, QueuePolicy, ResourceVector,
        RunReport, StartAnswer, StartOrder, StopOrder, TargetAddress, TargetEntry, TargetReport,
        ThrottleOrder, WaveId, WorkspacePolicy,
    },
};
use ports::{AdvicePort, AdviceTicket, FleetCodec, HostControl, PortFuture, TargetPort};
use store::{BootClock, Clock};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use super::{LIMIT, MemoryStore};

/// Targets that complete each task at once, except for the last ones if told so.
#[derive(Clone, Default)]
pub struct MemoryTargets {
    /// Number of tasks, the last ones that a target was given, that do not end.
    unfinished: Rc<Cell<usize>>,
    /// Number of polls.
    pub polls: Rc<Cell<usize>>,
    /// Polls in progress.
    active_polls: Rc<Cell<usize>>,
    /// Maximum number of concurrent polls so far.
    pub max_concurrent_polls: Rc<Cell<usize>>,
    /// When each target was last granted time, by a poll or a start.
    last_grant: Rc<RefCell<BTreeMap<HostId, Instant>>>,
    /// How long a start takes.
    start_delay: Rc<Cell<Duration>>,
    /// How long the network holds a start up; its sender gets no answer.
    start_hold: Rc<Cell<Duration>>,
    ended: Rc<RefCell<BTreeMap<HostId, Vec<EndReport>>>>,
    /// All starts, in the order of sending.
    pub start_orders: Rc<RefCell<Vec<StartOrder>>>,
    /// Number of starts of each task.
    pub starts_by_task: Rc<RefCell<BTreeMap<String, usize>>>,
    /// Targets that the process with this handle does not reach.
    unreachable: Rc<RefCell<BTreeSet<HostId>>>,
}

impl MemoryTargets {
    /// Sets whether all tasks run forever or end at once.
    pub fn set_blocked(&self, blocked: bool) {
        self.hold_last(if blocked { usize::MAX } else { 0 });
    }

    /// Sets how long the network holds starts up, whose senders then get no answer.
    pub fn hold_starts(&self, time: Duration) {
        self.start_hold.set(time);
    }

    /// A handle of another process on the same targets.
    pub fn new_handle(&self) -> Self {
        Self {
            unreachable: Rc::default(),
            ..self.clone()
        }
    }

    /// Sets which targets the process with this handle does not reach.
    pub fn set_unreachable(&self, targets: &[&str]) {
        let targets = targets.iter().map(|target| HostId::from(*target));
        *self.unreachable.borrow_mut() = targets.collect();
    }

    fn is_unreachable(&self, target: &HostId) -> bool {
        self.unreachable.borrow().contains(target)
    }

    /// Sets how long a start takes.
    pub fn delay_starts(&self, delay: Duration) {
        self.start_delay.set(delay);
    }

    /// Longest time since a target that runs a task was granted time.
    pub fn longest_since_grant(&self) -> Duration {
        let (granted, used) = (self.last_grant.borrow(), self.ended.borrow());
        let times = used.keys().filter_map(|target| granted.get(target));
        times.map(Instant::elapsed).max().unwrap_or_default()
    }

    /// Number of starts that were sent.
    pub fn start_count(&self) -> usize {
        self.starts_by_task.borrow().values().sum()
    }

    /// True if no task was started more than once.
    pub fn started_once(&self) -> bool {
        self.starts_by_task
            .borrow()
            .values()
            .all(|&count| count == 1)
    }

    /// Waits until this many tasks were started.
    pub async fn wait_for_started(&self, count: usize) {
        let end = Instant::now() + LIMIT;
        while self.starts_by_task.borrow().len() < count {
            assert!(Instant::now() < end, "fewer tasks were started");
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Keeps this many tasks, the last ones that a target was given, from ending.
    pub fn hold_last(&self, tasks: usize) {
        self.unfinished.set(tasks);
    }
}

impl TargetPort for MemoryTargets {
    fn start(&self, target: &TargetAddress, order: StartOrder) -> PortFuture<StartAnswer> {
        let (targets, target) = (self.clone(), target.target.clone());
        if self.is_unreachable(&target) {
            return Box::pin(async { StartAnswer::NotSent("no connection".to_owned()) });
        }
        let hold = self.start_hold.get();
        let effect: PortFuture<StartAnswer> = Box::pin(async move {
            *targets
                .starts_by_task
                .borrow_mut()
                .entry(order.task.to_string())
                .or_default() += 1;
            targets.start_orders.borrow_mut().push(order.clone());
            let now = Instant::now();
            targets.last_grant.borrow_mut().insert(target.clone(), now);
            sleep(targets.start_delay.get()).await;
            let mut ended = targets.ended.borrow_mut();
            let ends = ended.entry(target).or_default();
            ends.push(EndReport {
                number: ends.len() as u64 + 1,
                task: order.task,
                attempt: order.attempt,
                kind: EndKind::Done,
                checkpoint: Default::default(),
            });
            StartAnswer::Started {
                clock: BootClock.boot_now(),
            }
        });
        if hold.is_zero() {
            return effect;
        }
        spawn_local(async move {
            sleep(hold).await;
            effect.await
        });
        Box::pin(pending())
    }

    fn stop(&self, _: &TargetAddress, _: StopOrder) -> PortFuture<OrderAnswer> {
        Box::pin(async { OrderAnswer::Done })
    }

    fn throttle(&self, _: &TargetAddress, _: ThrottleOrder) -> PortFuture<OrderAnswer> {
        Box::pin(async { OrderAnswer::Done })
    }

    fn poll(&self, target: &TargetAddress, order: PollOrder) -> PortFuture<PollAnswer> {
        let (targets, target) = (self.clone(), target.target.clone());
        if self.is_unreachable(&target) {
            return Box::pin(async { PollAnswer::Unanswered("no answer".to_owned()) });
        }
        self.polls.set(self.polls.get() + 1);
        if order.lease_until.is_some() {
            let now = Instant::now();
            self.last_grant.borrow_mut().insert(target.clone(), now);
        }
        Box::pin(async move {
            targets.active_polls.set(targets.active_polls.get() + 1);
            let most = targets
                .max_concurrent_polls
                .get()
                .max(targets.active_polls.get());
            targets.max_concurrent_polls.set(most);
            sleep(Duration::from_millis(5)).await;
            targets.active_polls.set(targets.active_polls.get() - 1);
            let ended = targets
                .ended
                .borrow()
                .get(&target)
                .cloned()
                .unwrap_or_default();
            let listed = ended.into_iter().filter(|end| end.number > order.acked_end);
            let mut ended: Vec<EndReport> = listed.collect();
            let held = ended.split_off(ended.len().saturating_sub(targets.unfinished.get()));
            let running = held.into_iter().map(running_report).collect();
            PollAnswer::Seen(TargetReport {
                clock: BootClock.boot_now(),
                started_at: Duration::from_secs(1),
                running,
                ended,
            })
        })
    }
}

/// Reports a task, which would end later, as running.
fn running_report(end: EndReport) -> RunReport {
    RunReport {
        task: end.task,
        attempt: end.attempt,
        ..RunReport::default()
    }
}

/// Decodes the plain words that the tests write.
pub struct TextCodec;

impl FleetCodec for TextCodec {
    fn policy_key(&self) -> &'static str {
        "op/terms"
    }

    fn operator_prefix(&self) -> &'static str {
        "op/"
    }

    fn target_prefix(&self) -> &'static str {
        "targets/"
    }

    fn parse_wave_key(&self, _key: &str) -> Option<WaveId> {
        None
    }

    fn parse_drain_key(&self, key: &str) -> Option<DataCentreId> {
        key.strip_prefix("op/drain/").map(Into::into)
    }

    fn wave_status(&self, wave: WaveId, completed: bool) -> (String, Vec<u8>) {
        (format!("status/{wave}"), vec![u8::from(completed)])
    }

    /// The revision, then the keys of the only workspace, separated by spaces; [`ADVISED`] among them
    /// gives the queue an advice service.
    fn read_policy(&self, value: &[u8]) -> Result<FleetPolicy, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let mut words = text.split(' ');
        let revision = words
            .next()
            .and_then(|word| word.parse().ok())
            .ok_or("no revision")?;
        let (advised, words): (Vec<&str>, Vec<&str>) = words.partition(|word| *word == ADVISED);
        Ok(FleetPolicy {
            revision,
            queues: vec![QueuePolicy {
                name: "queue".into(),
                host: "jobs.example".into(),
                prefix: "/queue/".into(),
                pool: "pool".into(),
                max_attempts: 2,
                slack_factor: 2.0,
                advice: (!advised.is_empty()).then_some(ADVICE),
                ..QueuePolicy::default()
            }],
            pools: vec![PoolPolicy {
                name: "pool".into(),
                ..PoolPolicy::default()
            }],
            workspaces: workspaces_of_keys(words),
            max_body: 1 << 16,
        })
    }

    fn read_wave(&self, _value: &[u8]) -> Result<MaintenanceWave, String> {
        Err("no waves here".to_owned())
    }

    fn read_target(&self, target: &str, value: &[u8]) -> Result<TargetEntry, String> {
        let started_at = match value {
            b"ready" => Duration::from_secs(1),
            b"restarted" => Duration::from_secs(2),
            _ => return Err("unknown state".to_owned()),
        };
        Ok(TargetEntry {
            target: target.into(),
            address: format!("{target}:80").into(),
            pool: "pool".into(),
            data_centre: "north".into(),
            capacity: ResourceVector {
                cpu: 4000,
                memory_mb: 4000,
                gpu: 0,
            },
            started_at,
            ..TargetEntry::default()
        })
    }
}

/// The text that [`TextCodec`] decodes as a policy.
pub fn policy_text(revision: u64, key: &str) -> String {
    format!("{revision} {key}")
}

/// The workspaces of a policy: a second one has the keys that begin with `foreign:`.
fn workspaces_of_keys(keys: Vec<&str>) -> Vec<WorkspacePolicy> {
    let (foreign, own): (Vec<&str>, Vec<&str>) = keys
        .into_iter()
        .partition(|key| key.starts_with("foreign:"));
    let spaces = [("space", own), ("foreign-space", foreign)].into_iter();
    spaces
        .map(|(name, keys)| WorkspacePolicy {
            name: name.into(),
            keys: keys.into_iter().map(Into::into).collect(),
            ..WorkspacePolicy::default()
        })
        .collect()
}

/// A control of no hosts.
#[derive(Clone, Default)]
pub struct EmptyHostControl {
    /// How long a list of hosts takes.
    pub list_delay: Duration,
    /// Number of lists of hosts.
    pub list_count: Rc<Cell<usize>>,
}

impl HostControl for EmptyHostControl {
    fn hosts(&self) -> PortFuture<Result<Vec<FleetHost>, String>> {
        self.list_count.set(self.list_count.get() + 1);
        let time = self.list_delay;
        Box::pin(async move {
            sleep(time).await;
            Ok(Vec::new())
        })
    }

    fn move_host(&self, _: &OrderSender, _: &HostId, _: &PoolId) -> PortFuture<HostOrderAnswer> {
        Box::pin(async { HostOrderAnswer::Impossible })
    }

    fn maintain(&self, _: &OrderSender, _: &HostId, _: WaveId) -> PortFuture<HostOrderAnswer> {
        Box::pin(async { HostOrderAnswer::Impossible })
    }
}

/// Word of a policy whose queue has an advice service.
pub const ADVISED: &str = "advised";
/// Response times of [`MemoryAdvice`].
pub const ADVICE: AdvicePolicy = AdvicePolicy {
    fixed: Duration::from_millis(50),
    per_target: Duration::from_millis(2),
    valid: Duration::from_secs(3),
};

/// An advice service that allows all targets and handles one call after the other.
#[derive(Clone, Default)]
pub struct MemoryAdvice {
    /// Number of calls.
    pub calls: Rc<Cell<usize>>,
    /// Calls in progress.
    waiting: Rc<Cell<usize>>,
    /// Maximum number of concurrent calls so far.
    pub max_waiting: Rc<Cell<usize>>,
    /// When all calls so far have been handled.
    busy_until: Rc<Cell<Option<Instant>>>,
}

impl AdvicePort for MemoryAdvice {
    fn request_tickets(
        &self,
        step: &str,
        targets: Vec<HostId>,
        timeout: Duration,
    ) -> PortFuture<Result<Vec<AdviceTicket>, String>> {
        let (advice, step) = (self.clone(), step.to_owned());
        advice.calls.set(advice.calls.get() + 1);
        advice.waiting.set(advice.waiting.get() + 1);
        let most = advice.max_waiting.get().max(advice.waiting.get());
        advice.max_waiting.set(most);
        let now = Instant::now();
        let begin = advice.busy_until.get().map_or(now, |until| until.max(now));
        let end = begin + ADVICE.call_time(targets.len());
        advice.busy_until.set(Some(end));
        Box::pin(async move {
            sleep((end - now).min(timeout)).await;
            advice.waiting.set(advice.waiting.get() - 1);
            if end - now > timeout {
                return Err("timed out".to_owned());
            }
            let ticket = |target: HostId| AdviceTicket {
                ticket: format!("{step}-{target}").into(),
                target,
            };
            Ok(targets.into_iter().map(ticket).collect())
        })
    }
}

/// Ports of one process on a store and targets that several processes may share.
pub fn ports_on(store: &MemoryStore, targets: &MemoryTargets) -> CellPorts {
    CellPorts {
        store: Rc::new(store.clone()),
        codec: Rc::new(TextCodec),
        targets: Rc::new(targets.clone()),
        hosts: Rc::new(EmptyHostControl::default()),
        advice: Rc::new(MemoryAdvice::default()),
    }
}

/// An address on which nothing listens at present.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    listener.unwrap_or_else(|error| panic!("no free port: {error}"))
}
