//! Weighs three ways to hand out the slots of a pool, on the same recorded arrivals.
//!
//! `cargo run --release -p decide --example share_bench` prints the table of
//! `docs/design/06-shares.md`. The ways are decisions over values: a permit broker that
//! grants each start, slot leases by [`SlotBroker`], and hosts that decide alone on
//! gossiped totals. There is no network and no clock; a message takes the one-way time
//! between two data centres.

mod outcome;

use std::{collections::VecDeque, time::Duration};

use decide::share::{
    BrokerOptions, HolderDemand, HolderOptions, PickOptions, PoolOffer, SlotBroker, SlotHolder,
    TeamLoad, TeamTurn, pick_next_team,
};
use model::{HostId, MemberId, PoolId, TeamId};
use outcome::{Outcome, print_row};
use rand::{Rng, SeedableRng, rngs::StdRng};

const HOSTS: usize = 6;
const TARGETS: usize = 12;
const SLOTS: u32 = 8;
const WEIGHTS: [f64; 6] = [4.0, 4.0, 3.0, 2.0, 2.0, 1.0];
const SECONDS: u64 = 60;
const SERVICE_MS: f64 = 100.0;
const PATIENCE_MS: u64 = 2000;
const OVERLOAD: f64 = 1.5;
const URGENT: f64 = 0.02;
const ONE_WAY_MS: u64 = 2;
const ROUND_MS: u64 = 250;
const PACKET_BYTES: f64 = 52.0;
// The host that gets half of all requests changes this often.
const SKEW_MS: u64 = 5000;
const WINDOW_S: u64 = 10;
const WARM_UP_S: u64 = 10;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Permits,
    Leases,
    Gossip,
}

#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    host: usize,
    team: usize,
    urgent: bool,
    service: u64,
}

#[derive(Default)]
struct HostModel {
    queues: [VecDeque<Arrival>; WEIGHTS.len()],
    running: Vec<Running>,
    slots: u32,
    told: [f64; WEIGHTS.len()],
    since_told: [f64; WEIGHTS.len()],
    used: [f64; WEIGHTS.len()],
}

struct Running {
    team: usize,
    begin: u64,
    end: u64,
}

fn main() {
    println!(
        "| way | seed | worst share error in any {WINDOW_S} s | slots idle while queued | urgent p99 ms | urgent max ms | messages/s a host | B/s a host |"
    );
    println!("|---|--:|--:|--:|--:|--:|--:|--:|");
    for seed in [1, 2, 3] {
        let arrivals = record(seed);
        for (way, name) in [
            (Way::Permits, "(i) permit for each start"),
            (Way::Leases, "(ii) slot leases"),
            (Way::Gossip, "(iii) alone, on gossip"),
        ] {
            let outcome = run(way, &arrivals);
            print_row(name, seed, outcome);
        }
    }
}

fn record(seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let capacity = f64::from(TARGETS as u32 * SLOTS) / SERVICE_MS;
    let weight: f64 = WEIGHTS.iter().sum();
    let mut arrivals = Vec::new();
    for at in 0..SECONDS * 1000 {
        let hot = (at / SKEW_MS) as usize % HOSTS;
        for (team, own) in WEIGHTS.iter().enumerate() {
            let mut rate = OVERLOAD * capacity * own / weight;
            while random.random::<f64>() < rate {
                let skewed = random.random::<f64>() < 0.5;
                let host = if skewed {
                    hot
                } else {
                    random.random_range(0..HOSTS)
                };
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
                arrivals.push(Arrival {
                    at,
                    host,
                    team,
                    urgent: random.random::<f64>() < URGENT,
                    service: (-uniform.ln() * SERVICE_MS) as u64 + 1,
                });
                rate -= 1.0;
            }
        }
    }
    arrivals
}

fn run(way: Way, arrivals: &[Arrival]) -> Outcome {
    let mut hosts: Vec<HostModel> = (0..HOSTS).map(|_| HostModel::default()).collect();
    let mut leases = LeaseModel::new();
    let total = TARGETS as u32 * SLOTS;
    for host in &mut hosts {
        host.slots = total / HOSTS as u32;
    }
    let mut outcome = Outcome::default();
    let mut next = 0;
    for now in 0..SECONDS * 1000 {
        while let Some(arrival) = arrivals.get(next).filter(|arrival| arrival.at <= now) {
            let queue = &mut hosts[arrival.host].queues[arrival.team];
            if arrival.urgent {
                queue.push_front(*arrival);
            } else {
                queue.push_back(*arrival);
            }
            next += 1;
            if way == Way::Permits {
                outcome.send(24.0);
            }
        }
        for host in &mut hosts {
            host.advance(now);
        }
        match way {
            Way::Permits => start_by_permits(&mut hosts, now, &mut outcome),
            Way::Leases => {
                leases.step(&mut hosts, now, &mut outcome);
                hosts
                    .iter_mut()
                    .for_each(|host| host.start(now, &mut outcome));
            }
            Way::Gossip => {
                gossip(&mut hosts, now, &mut outcome);
                hosts
                    .iter_mut()
                    .for_each(|host| host.start(now, &mut outcome));
            }
        }
        outcome.note(now, &hosts, total);
    }
    outcome
}

// One broker sees all queues and grants each start; a slot stays empty for the two
// messages between the end of a request and the next start.
fn start_by_permits(hosts: &mut [HostModel], now: u64, outcome: &mut Outcome) {
    let total = TARGETS * SLOTS as usize;
    loop {
        let running: usize = hosts.iter().map(|host| host.running.len()).sum();
        if total <= running {
            return;
        }
        let mut turns: Vec<TeamTurn> = Vec::new();
        for (team, weight) in WEIGHTS.iter().enumerate() {
            let used: f64 = hosts
                .iter()
                .map(|host| host.used[team] + host.ahead(team))
                .sum();
            let queued: usize = hosts.iter().map(|host| host.queues[team].len()).sum();
            let urgent = hosts
                .iter()
                .filter_map(|host| host.urgent_wait(team, now))
                .max();
            turns.push(turn(team, used / weight, queued, urgent));
        }
        let Some(team) = pick_next_team(&turns, &PickOptions::default()) else {
            return;
        };
        let oldest = |host: &&mut HostModel| {
            let first = host.queues[team].front();
            first.map_or((true, u64::MAX), |first| (!first.urgent, first.at))
        };
        let Some(host) = hosts.iter_mut().min_by_key(oldest) else {
            return;
        };
        host.start_team(team, now + 2 * ONE_WAY_MS, outcome);
        // The permit, and the report of the end.
        outcome.send(20.0);
        outcome.send(20.0);
    }
}

// Each host keeps its part of the slots, and hears the others' totals every round.
fn gossip(hosts: &mut [HostModel], now: u64, outcome: &mut Outcome) {
    if !now.is_multiple_of(ROUND_MS) {
        return;
    }
    let mut totals = [0.0; WEIGHTS.len()];
    for host in hosts.iter() {
        for (team, total) in totals.iter_mut().enumerate() {
            *total += host.used[team];
        }
    }
    for host in hosts.iter_mut() {
        for (team, total) in totals.iter().enumerate() {
            host.told[team] = total / WEIGHTS[team];
        }
        host.since_told = [0.0; WEIGHTS.len()];
        for _ in 1..HOSTS {
            outcome.send(12.0 * WEIGHTS.len() as f64);
        }
    }
}

struct LeaseModel {
    broker: SlotBroker,
    holders: Vec<SlotHolder>,
    pool: PoolId,
}

impl LeaseModel {
    fn new() -> Self {
        let pool = PoolId::from("pool");
        let mut broker = SlotBroker::new(pool.clone(), Duration::ZERO, BrokerOptions::default());
        let targets = (0..TARGETS).map(|index| (HostId::from(format!("x{index}")), SLOTS));
        broker.set_targets(targets.collect());
        let weights = WEIGHTS
            .iter()
            .enumerate()
            .map(|(team, weight)| (team_id(team), *weight));
        broker.set_weights(weights.collect());
        broker.set_members((0..HOSTS).map(member).collect());
        let mut holders: Vec<SlotHolder> = (0..HOSTS)
            .map(|_| SlotHolder::new(1, HolderOptions::default()))
            .collect();
        for (index, holder) in holders.iter_mut().enumerate() {
            holder.mark_demand_changed(&pool);
            broker.open(Duration::ZERO, &member(index), 0, HolderDemand::default());
        }
        Self {
            broker,
            holders,
            pool,
        }
    }

    // Hosts take turns within a round; a demand and its grant take one step here, and the
    // slots of a lowered grant are free for others from the next demand on.
    fn step(&mut self, hosts: &mut [HostModel], now: u64, outcome: &mut Outcome) {
        for (index, host) in hosts.iter_mut().enumerate() {
            if now % ROUND_MS != index as u64 * (ROUND_MS / HOSTS as u64) {
                continue;
            }
            let at = Duration::from_millis(now);
            let (round, _) = self.holders[index].begin_round(at);
            let id = member(index);
            let teams = (0..WEIGHTS.len()).map(|team| host.load(team));
            let demand = HolderDemand {
                teams: teams.collect(),
                ..HolderDemand::default()
            };
            let demand_bytes = 16.0 + 12.0 * demand.teams.len() as f64;
            if self
                .broker
                .confirm(at, &id, round, self.holders[index].applied())
            {
                self.broker.update_load(&id, demand);
            }
            let Some(offer) = self.broker.offer(at, &id, round) else {
                continue;
            };
            // The broker is one of the hosts and does not write to itself.
            if index != 0 {
                outcome.send(demand_bytes);
                outcome.send(10.0 * (offer.targets.len() + offer.teams.len()) as f64);
            }
            host.take_offer(&offer);
            self.holders[index].apply_grant(1, round, vec![(self.pool.clone(), offer)]);
        }
    }
}

impl HostModel {
    fn advance(&mut self, now: u64) {
        for running in self.running.iter().filter(|running| running.begin <= now) {
            self.used[running.team] += 1.0;
            self.since_told[running.team] += 1.0;
        }
        self.running.retain(|running| now < running.end);
        for queue in &mut self.queues {
            queue.retain(|request| now < request.at + PATIENCE_MS);
        }
    }

    // Charges what runs ahead, as the entry queues do.
    fn ahead(&self, team: usize) -> f64 {
        let running = self.running.iter().filter(|running| running.team == team);
        running.count() as f64 * SERVICE_MS
    }

    fn start(&mut self, now: u64, outcome: &mut Outcome) {
        while (self.running.len() as u32) < self.slots {
            let turns: Vec<TeamTurn> = (0..WEIGHTS.len())
                .map(|team| {
                    let own = (self.since_told[team] + self.ahead(team)) / WEIGHTS[team];
                    let urgent = self.urgent_wait(team, now);
                    turn(team, self.told[team] + own, self.queues[team].len(), urgent)
                })
                .collect();
            let Some(team) = pick_next_team(&turns, &PickOptions::default()) else {
                return;
            };
            self.start_team(team, now, outcome);
        }
    }

    fn start_team(&mut self, team: usize, at: u64, outcome: &mut Outcome) {
        let Some(request) = self.queues[team].pop_front() else {
            return;
        };
        if request.urgent {
            outcome.urgent_delays.push(at - request.at);
        }
        self.running.push(Running {
            team,
            begin: at,
            end: at + request.service,
        });
    }

    fn urgent_wait(&self, team: usize, now: u64) -> Option<Duration> {
        let first = self.queues[team].front().filter(|request| request.urgent)?;
        Some(Duration::from_millis(now.saturating_sub(first.at)))
    }

    fn load(&self, team: usize) -> TeamLoad {
        let running = self.running.iter().filter(|running| running.team == team);
        TeamLoad {
            team: team_id(team),
            running: running.count() as u32,
            queued: self.queues[team].len() as u32,
            used: Duration::from_millis(self.used[team] as u64),
        }
    }

    fn take_offer(&mut self, offer: &PoolOffer) {
        self.slots = offer.targets.values().sum();
        for (team, _, time) in &offer.teams {
            if let Some(index) = (0..WEIGHTS.len()).find(|index| team_id(*index) == *team) {
                self.told[index] = time.as_secs_f64() * 1000.0;
                self.since_told[index] = 0.0;
            }
        }
    }
}

fn turn(team: usize, virtual_ms: f64, queued: usize, urgent_wait: Option<Duration>) -> TeamTurn {
    TeamTurn {
        team: team_id(team),
        virtual_time: Duration::from_secs_f64(virtual_ms / 1000.0),
        queued: queued as u32,
        urgent_wait,
        blocked: false,
    }
}

fn team_id(team: usize) -> TeamId {
    TeamId::from(format!("t{team}"))
}

fn member(index: usize) -> MemberId {
    MemberId::from(format!("e{index}"))
}
