use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    io,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, bounded, never, select};
use decide::share::{BrokerOptions, HolderOptions, SlotMap};
use model::{BootTime, Incarnation, MemberId, PoolId, StepError, event as log_event};
use parking_lot::{Mutex, RwLock};
use ports::{
    ActiveConfig, ConfigSource, InboundMessage, MemberInfo, MemberSource, PeerLink, PoolDemand,
    SlotLease, SlotSource, TargetSource, TargetState,
};
use store::Clock;
use wire::peer::{SlotDemand, SlotGrant, envelope::Body};

use crate::{
    broker_sessions::BrokerSessions,
    demand_merge::merge_report,
    event,
    pool_brokers::{BrokeredPool, PoolBrokers},
    pool_config::{assign_brokers, team_weights},
};

const STACK_BYTES: usize = 256 * 1024;
// Not a valid member id, so it can't be mistaken for a member.
const UNKNOWN_HOLDER: &str = "?";

/// Intervals and timeouts of the share service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareTimes {
    /// Interval at which the share loop checks for due work.
    pub tick: Duration,
    /// Interval of demands to a broker while demand changes or requests are queued.
    pub interval: Duration,
    /// Interval of demands that only renew the slots held.
    pub idle_interval: Duration,
    /// Minimum time between two demands to a broker when requests begin to queue.
    pub min_gap: Duration,
    /// Minimum time between two nudges to a holder, which ask it for a new demand.
    pub min_nudge_gap: Duration,
    /// How long a grant is valid, counted from the sending of its demand.
    pub lease: Duration,
    /// Safety margin after the lease of an unresponsive holder before its slots are reassigned.
    pub guard: Duration,
}

impl Default for ShareTimes {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(25),
            interval: Duration::from_millis(250),
            idle_interval: Duration::from_millis(800),
            min_gap: Duration::from_millis(50),
            min_nudge_gap: Duration::from_millis(100),
            lease: Duration::from_secs(3),
            guard: Duration::from_millis(500),
        }
    }
}

/// Dependencies and settings of the share service.
pub struct ShareOptions {
    /// Link for messages to other entry hosts.
    pub link: Arc<dyn PeerLink>,
    /// Received demands and grants of other entry hosts.
    pub inbound: Receiver<InboundMessage>,
    /// Source of the member list.
    pub members: Arc<dyn MemberSource>,
    /// Source of pools, slots per target and team weights.
    pub config: Arc<dyn ConfigSource>,
    /// Source of the targets of each pool.
    pub targets: Arc<dyn TargetSource>,
    /// Clock for leases and sessions.
    pub clock: Arc<dyn Clock>,
    /// Intervals and timeouts.
    pub times: ShareTimes,
}

/// Holds and brokers slot leases; see the crate's documentation.
pub struct ShareService {
    leases: Arc<RwLock<HashMap<PoolId, Arc<SlotLease>>>>,
    reports: Arc<Mutex<BTreeMap<PoolId, PoolDemand>>>,
    wake: Sender<()>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ShareService {
    /// Starts the thread of the service.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(options: ShareOptions) -> Result<Arc<Self>, StepError> {
        let leases = Arc::new(RwLock::new(HashMap::new()));
        let reports = Arc::new(Mutex::new(BTreeMap::new()));
        let (wake, wake_rx) = bounded(1);
        let (stop, stop_rx) = bounded(0);
        let share_loop = ShareLoop::new(options, Arc::clone(&leases), Arc::clone(&reports));
        let handle = spawn_loop(share_loop, wake_rx, stop_rx)
            .map_err(|error| StepError::new("start share duty", "", error))?;
        Ok(Arc::new(Self {
            leases,
            reports,
            wake,
            stop: Some(stop),
            thread: Some(handle),
        }))
    }
}

impl SlotSource for ShareService {
    fn lease(&self, pool: &PoolId) -> Arc<SlotLease> {
        self.leases.read().get(pool).cloned().unwrap_or_default()
    }

    fn report(&self, demand: PoolDemand) {
        let queued = demand.teams.iter().any(|team| 0 < team.queued);
        merge_report(&mut self.reports.lock(), demand);
        if queued {
            // If the channel is full, a wake-up is already pending.
            let _ = self.wake.try_send(());
        }
    }
}

impl Drop for ShareService {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct ShareLoop {
    options: ShareOptions,
    own: MemberId,
    leases: Arc<RwLock<HashMap<PoolId, Arc<SlotLease>>>>,
    reports: Arc<Mutex<BTreeMap<PoolId, PoolDemand>>>,
    brokers: PoolBrokers,
    sessions: BrokerSessions,
    started: BootTime,
    last_refresh: BootTime,
    // Incarnation of each member and when it was first seen.
    first_seen: BTreeMap<MemberId, (Incarnation, BootTime)>,
    // When each holder was last nudged to send a new demand.
    last_nudge: BTreeMap<MemberId, BootTime>,
    // Members that may hold slots, and when each was last listed.
    holders: BTreeMap<MemberId, BootTime>,
}

impl ShareLoop {
    fn new(
        options: ShareOptions,
        leases: Arc<RwLock<HashMap<PoolId, Arc<SlotLease>>>>,
        reports: Arc<Mutex<BTreeMap<PoolId, PoolDemand>>>,
    ) -> Self {
        let times = options.times;
        let broker_options = BrokerOptions {
            lease: times.lease,
            guard: times.guard,
            ..BrokerOptions::default()
        };
        let first_session = u64::try_from(options.clock.unix_now().as_millis()).unwrap_or(1);
        Self {
            own: options.members.own_id(),
            leases,
            reports,
            brokers: PoolBrokers::new(broker_options),
            sessions: BrokerSessions::new(first_session, HolderOptions { lease: times.lease }),
            started: options.clock.boot_now(),
            last_refresh: BootTime::ZERO,
            first_seen: BTreeMap::new(),
            last_nudge: BTreeMap::new(),
            holders: BTreeMap::new(),
            options,
        }
    }

    fn run(mut self, wake_rx: &Receiver<()>, stop_rx: &Receiver<()>) {
        let inbound = self.options.inbound.clone();
        let mut inbound = &inbound;
        let closed = never();
        loop {
            select! {
                recv(stop_rx) -> _ => return,
                recv(inbound) -> message => match message {
                    Ok(message) => self.handle_message(message),
                    Err(_) => inbound = &closed,
                },
                recv(wake_rx) -> _ => {}
                default(self.options.times.tick) => {}
            }
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.options.clock.boot_now();
        if self.last_refresh + self.options.times.interval <= now {
            self.last_refresh = now;
            self.refresh(now);
        }
        let reports = std::mem::take(&mut *self.reports.lock());
        for demand in reports.into_values() {
            self.sessions.report(demand);
        }
        let times = self.options.times;
        for (broker, demand) in self.sessions.due(now, &times) {
            self.send_demand(now, &broker, demand);
        }
    }

    // Applies the current member list, configuration and targets.
    fn refresh(&mut self, now: BootTime) {
        let config = self.options.config.current();
        let members = self.options.members.members();
        self.update_holders(now, &members);
        let eligible = self.eligible_brokers(now, &members);
        let broker_of_pool = assign_brokers(&config, &eligible);
        let own_pools: BTreeMap<PoolId, BrokeredPool> = broker_of_pool
            .iter()
            .filter(|(_, broker)| **broker == self.own)
            .map(|(pool, _)| (pool.clone(), self.brokered_pool(&config, pool)))
            .collect();
        self.brokers.set_pools(now, &own_pools);
        let may_hold: BTreeSet<MemberId> = self.holders.keys().cloned().collect();
        self.brokers
            .set_weights_and_members(&team_weights(&config), &may_hold);
        self.brokers.expire(now);
        self.sessions.set_brokers(broker_of_pool);
        self.leases
            .write()
            .retain(|pool, _| config.manifest.pools.contains_key(pool));
        metrics::gauge!("lws_share_brokered_pools").set(self.brokers.pool_count() as f64);
    }

    // A removed member may use its slots until its lease expires, so brokers wait for its
    // report as if it were still listed. A process that started more recently than that cannot
    // know which members were removed before; it counts one unknown holder that never reports.
    fn update_holders(&mut self, now: BootTime, members: &[MemberInfo]) {
        for member in members {
            self.holders.insert(member.member.clone(), now);
        }
        let expiry = self.options.times.lease + self.options.times.guard;
        if now < self.started + expiry {
            self.holders
                .insert(MemberId::const_new(UNKNOWN_HOLDER), self.started);
        }
        self.holders.retain(|_, listed| now < *listed + expiry);
    }

    // A broker that has just started grants no new slots until all earlier grants have expired.
    // So a recently started member gets no pools while older members are available.
    fn eligible_brokers(&mut self, now: BootTime, members: &[MemberInfo]) -> Vec<MemberId> {
        self.first_seen
            .retain(|id, _| members.iter().any(|member| member.member == *id));
        for member in members {
            let age = self
                .first_seen
                .entry(member.member.clone())
                .or_insert((member.incarnation, now));
            if age.0 != member.incarnation {
                *age = (member.incarnation, now);
            }
        }
        let expiry = self.options.times.lease + self.options.times.guard;
        let recently_started = now < self.started + expiry;
        let is_established = |member: &&MemberInfo| {
            if recently_started {
                return member.member != self.own;
            }
            let age = self.first_seen.get(&member.member);
            age.is_some_and(|(_, seen)| *seen + expiry <= now)
        };
        let available = || {
            members
                .iter()
                .filter(|member| member.reachable && !member.leaving)
        };
        let established: Vec<MemberId> = available()
            .filter(is_established)
            .map(|member| member.member.clone())
            .collect();
        if !established.is_empty() {
            return established;
        }
        available().map(|member| member.member.clone()).collect()
    }

    fn brokered_pool(&self, config: &ActiveConfig, pool: &PoolId) -> BrokeredPool {
        let slots = config.manifest.pools.get(pool).map_or(0, |spec| spec.slots);
        let targets = self.options.targets.pool_targets(pool);
        let serving = targets
            .iter()
            .filter(|target| target.state == TargetState::Serving);
        let targets: SlotMap = serving.map(|target| (target.host.clone(), slots)).collect();
        BrokeredPool { targets }
    }

    fn handle_message(&mut self, message: InboundMessage) {
        let now = self.options.clock.boot_now();
        match message.body {
            Body::SlotDemand(demand) => {
                if let Some(answer) = self.brokers.answer(now, &message.from, &demand) {
                    let is_renewal = demand.pools.is_empty() && answer.grant.pools.is_empty();
                    self.send(&message.from, Body::SlotGrant(answer.grant), is_renewal);
                    self.send_nudges(now, answer.nudges);
                }
            }
            Body::SlotGrant(grant) => self.update_leases(&message.from, &grant),
            _ => {}
        }
    }

    fn send_demand(&mut self, now: BootTime, broker: &MemberId, demand: SlotDemand) {
        if *broker != self.own {
            let is_renewal = demand.pools.is_empty() && 0 < demand.applied;
            self.send(broker, Body::SlotDemand(demand), is_renewal);
            return;
        }
        if let Some(answer) = self.brokers.answer(now, broker, &demand) {
            self.update_leases(broker, &answer.grant);
            self.send_nudges(now, answer.nudges);
        }
    }

    fn send_nudges(&mut self, now: BootTime, nudges: BTreeMap<MemberId, SlotGrant>) {
        for (holder, grant) in nudges {
            let nudged = self.last_nudge.entry(holder.clone()).or_default();
            if now < *nudged + self.options.times.min_nudge_gap {
                continue;
            }
            *nudged = now;
            if holder == self.own {
                self.update_leases(&holder, &grant);
            } else {
                self.send(&holder, Body::SlotGrant(grant), false);
            }
        }
    }

    fn update_leases(&mut self, broker: &MemberId, grant: &SlotGrant) {
        let changed = self.sessions.apply(broker, grant);
        let mut leases = self.leases.write();
        for pool in changed {
            if let Some(lease) = self.sessions.lease(&pool) {
                leases.insert(pool, lease);
            }
        }
    }

    // The next round replaces a lost message. A message that only renews is sent with the next
    // heartbeat, because separate messages for idle pools would dominate the network traffic.
    fn send(&self, to: &MemberId, body: Body, is_renewal: bool) {
        let link = &self.options.link;
        let sent = if is_renewal {
            link.send_with_next(to, body)
        } else {
            link.send(to, body)
        };
        if let Err(error) = sent {
            log_event::debug(
                &event::MESSAGE_DROPPED,
                format_args!("peer={to} cause=\"{error}\""),
            );
        }
    }
}

fn spawn_loop(
    share_loop: ShareLoop,
    wake_rx: Receiver<()>,
    stop_rx: Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("share".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || share_loop.run(&wake_rx, &stop_rx))
}
