//! Prints what moves of hosts between pools save, on the same seeded demand.
//!
//! Demand takes turns: one queue at a time peaks at five times its mean, the others fall
//! to a twentieth. Work is a fluid served first come, first served; work is late when it
//! waits longer than the deployment allows. For each policy the smallest fleet is sought
//! that keeps late work below one in a hundred. Run it with
//! `cargo run --release -p decide --example moves_bench`.

use std::{collections::VecDeque, time::Duration};

use decide::moves::{HostMove, MovePlanner, MovePolicy, PoolLoad};
use model::PoolId;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SECONDS: usize = 3600;
const POOLS: usize = 5;
const LATE_GOAL: f64 = 0.01;
const SEEDS: [u64; 3] = [11, 12, 13];

/// One of the two deployments.
#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    mean: f64,
    turn: (f64, f64),
    move_time: usize,
    late_after: f64,
    budget: u32,
    /// Chance that the next queue to peak is not the one that usually follows.
    disorder: f64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Association",
        mean: 3.0,
        turn: (15.0, 30.0),
        move_time: 4,
        late_after: 6.0,
        budget: 2,
        disorder: 0.0,
    },
    Deployment {
        name: "Karoo Bond",
        mean: 2.5,
        turn: (8.0, 16.0),
        move_time: 3,
        late_after: 3.0,
        budget: 2,
        disorder: 0.0,
    },
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    NeverMove,
    AlwaysChase,
    Planner,
    Oracle,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    late: f64,
    moves: f64,
    share_error: f64,
}

fn main() {
    println!(
        "| deployment | policy | hosts | buffer hosts | buffer / never-move | moves an hour | moves / oracle | late % | share error % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for deployment in DEPLOYMENTS.into_iter().flat_map(in_disorder) {
        let demands: Vec<_> = SEEDS
            .iter()
            .map(|seed| demand(&deployment, *seed))
            .collect();
        let policies = [
            Policy::NeverMove,
            Policy::AlwaysChase,
            Policy::Planner,
            Policy::Oracle,
        ];
        let rows: Vec<_> = policies
            .iter()
            .map(|policy| (*policy, smallest_fleet(&deployment, &demands, *policy)))
            .collect();
        let mean_demand = deployment.mean * f64::from(u32::try_from(POOLS).unwrap_or(0));
        let never = f64::from(rows[0].1.0) - mean_demand;
        let oracle = rows[3].1.1.moves;
        for (policy, (hosts, outcome)) in rows {
            let buffer = f64::from(hosts) - mean_demand;
            println!(
                "| {} | {:.0} | {policy:?} | {hosts} | {buffer:.1} | {:.2} | {:.0} | {:.2} | {:.2} | {:.1} |",
                deployment.name,
                deployment.disorder * 100.0,
                buffer / never,
                outcome.moves,
                outcome.moves / oracle.max(1.0),
                outcome.late * 100.0,
                outcome.share_error * 100.0
            );
        }
    }
}

/// The deployment with turns that are never, seldom or often out of order.
fn in_disorder(deployment: Deployment) -> [Deployment; 3] {
    [0.0, 0.05, 0.15].map(|disorder| Deployment {
        disorder,
        ..deployment
    })
}

/// Hosts' worth of work that arrives at each queue in each second.
fn demand(deployment: &Deployment, seed: u64) -> Vec<[f64; POOLS]> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut seconds = Vec::with_capacity(SECONDS);
    let mut peaking = 0;
    while seconds.len() < SECONDS {
        let length = random.random_range(deployment.turn.0..deployment.turn.1);
        for _ in 0..length as usize {
            let mut arrivals = [0.0; POOLS];
            for (pool, value) in arrivals.iter_mut().enumerate() {
                let level = if pool == peaking { 5.0 } else { 0.05 };
                let noise = random.random_range(0.85..1.15);
                *value = deployment.mean * level * noise;
            }
            seconds.push(arrivals);
        }
        let step = if random.random_bool(deployment.disorder) {
            random.random_range(2..POOLS)
        } else {
            1
        };
        peaking = (peaking + step) % POOLS;
    }
    seconds.truncate(SECONDS);
    seconds
}

fn smallest_fleet(
    deployment: &Deployment,
    demands: &[Vec<[f64; POOLS]>],
    policy: Policy,
) -> (u32, Outcome) {
    let mut last = (0, Outcome::default());
    for hosts in 10..140 {
        let outcomes = demands
            .iter()
            .map(|demand| replay(deployment, demand, policy, hosts));
        let outcome = average(&outcomes.collect::<Vec<_>>());
        last = (hosts, outcome);
        if outcome.late <= LATE_GOAL {
            break;
        }
    }
    last
}

fn average(outcomes: &[Outcome]) -> Outcome {
    let count = outcomes.len() as f64;
    let mean = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / count;
    Outcome {
        late: mean(|o| o.late),
        moves: mean(|o| o.moves),
        share_error: mean(|o| o.share_error),
    }
}

/// One queue and the hosts of its pool.
#[derive(Clone, Default)]
struct Queue {
    waiting: VecDeque<(f64, f64)>,
    serving: u32,
    recent: VecDeque<f64>,
}

impl Queue {
    fn backlog(&self) -> f64 {
        self.waiting.iter().map(|(_, amount)| amount).sum()
    }

    fn demand(&self) -> f64 {
        let count = self.recent.len().max(1) as f64;
        self.recent.iter().sum::<f64>() / count
    }

    fn arrive(&mut self, now: f64, amount: f64) {
        self.waiting.push_back((now, amount));
        self.recent.push_back(amount);
        if self.recent.len() > 2 {
            self.recent.pop_front();
        }
    }

    /// Serves for a second; returns the work done and how much of it was late.
    fn serve(&mut self, now: f64, late_after: f64) -> (f64, f64) {
        let mut left = f64::from(self.serving);
        let (mut done, mut late) = (0.0, 0.0);
        while left > 1e-9 {
            let Some((arrived, amount)) = self.waiting.front_mut() else {
                break;
            };
            let part = left.min(*amount);
            *amount -= part;
            left -= part;
            done += part;
            if now - *arrived > late_after {
                late += part;
            }
            if *amount <= 1e-9 {
                self.waiting.pop_front();
            }
        }
        (done, late)
    }
}

fn replay(deployment: &Deployment, demand: &[[f64; POOLS]], policy: Policy, hosts: u32) -> Outcome {
    let mut queues = vec![Queue::default(); POOLS];
    for host in 0..hosts {
        queues[host as usize % POOLS].serving += 1;
    }
    let mut planner = MovePlanner::new(MovePolicy {
        move_time: Duration::from_secs(deployment.move_time as u64),
        ..MovePolicy::default()
    });
    // Hosts on their way: second of arrival, pool.
    let mut moving: Vec<(usize, usize)> = Vec::new();
    let (mut total, mut late, mut moves) = (0.0, 0.0, 0_u32);
    let (mut error, mut contended) = (0.0, 0.0);
    for (second, arrivals) in demand.iter().enumerate() {
        let now = second as f64;
        moving.retain(|(at, pool)| {
            if *at <= second {
                queues[*pool].serving += 1;
            }
            *at > second
        });
        let mut parts = Vec::new();
        for (queue, amount) in queues.iter_mut().zip(arrivals) {
            queue.arrive(now, *amount);
            let wanted = queue.backlog();
            let (done, too_late) = queue.serve(now, deployment.late_after);
            total += done;
            late += too_late;
            parts.push((wanted, done));
        }
        if let Some(value) = share_error(&parts) {
            error += value;
            contended += 1.0;
        }
        let loads = loads(deployment, &queues, &moving);
        let wanted = match policy {
            Policy::NeverMove => Vec::new(),
            Policy::Planner => planner.plan(&loads, Duration::from_secs(second as u64)),
            Policy::AlwaysChase => chase(&loads, |pool| queues[pool].demand()),
            Policy::Oracle => chase(&loads, |pool| future(demand, second, pool, deployment)),
        };
        for host_move in wanted {
            let (from, to) = (index(&host_move.from), index(&host_move.to));
            queues[from].serving -= host_move.count;
            moves += host_move.count;
            for _ in 0..host_move.count {
                moving.push((second + 1 + deployment.move_time, to));
            }
        }
    }
    let unserved: f64 = queues.iter().map(Queue::backlog).sum();
    Outcome {
        late: (late + unserved) / (total + unserved),
        moves: f64::from(moves),
        share_error: error / f64::max(contended, 1.0),
    }
}

/// How far the queues' parts of what they want differ from the fleet's, while some wait.
fn share_error(parts: &[(f64, f64)]) -> Option<f64> {
    let wanted: f64 = parts.iter().map(|(wanted, _)| wanted).sum();
    let done: f64 = parts.iter().map(|(_, done)| done).sum();
    if done >= wanted - 1e-6 {
        return None;
    }
    let fair = done / wanted;
    let off = |(want, got): &(f64, f64)| (got - want * fair).abs();
    Some(parts.iter().map(off).sum::<f64>() / 2.0 / done)
}

fn loads(deployment: &Deployment, queues: &[Queue], moving: &[(usize, usize)]) -> Vec<PoolLoad> {
    let load = |(pool, queue): (usize, &Queue)| PoolLoad {
        pool: name(pool),
        serving: queue.serving,
        incoming: moving.iter().filter(|(_, to)| *to == pool).count() as u32,
        budget: deployment.budget,
        demand: queue.demand(),
        backlog: queue.backlog(),
        spare: false,
    };
    queues.iter().enumerate().map(load).collect()
}

/// Demand of a queue over the time that a move takes and the seconds after it.
fn future(demand: &[[f64; POOLS]], second: usize, pool: usize, deployment: &Deployment) -> f64 {
    let from = second + 1;
    let until = (from + deployment.move_time + 2).min(demand.len());
    let coming = demand[from.min(until)..until]
        .iter()
        .map(|arrivals| arrivals[pool]);
    coming.fold(0.0, f64::max)
}

/// Moves whatever the wanted levels ask for, with no regard to the price.
fn chase(loads: &[PoolLoad], level: impl Fn(usize) -> f64) -> Vec<HostMove> {
    let need = |pool: usize, load: &PoolLoad| {
        let hosts = (level(pool) + load.backlog / 4.0).ceil() as u32;
        hosts.max(load.budget)
    };
    let mut free: Vec<u32> = loads
        .iter()
        .enumerate()
        .map(|(pool, load)| load.serving.saturating_sub(need(pool, load)))
        .collect();
    let mut moves = Vec::new();
    for (to, load) in loads.iter().enumerate() {
        let mut lack = need(to, load).saturating_sub(load.serving + load.incoming);
        for (from, held) in free.iter_mut().enumerate() {
            let count = lack.min(*held);
            if from == to || count == 0 {
                continue;
            }
            *held -= count;
            lack -= count;
            moves.push(HostMove {
                from: name(from),
                to: name(to),
                count,
            });
        }
    }
    moves
}

fn name(pool: usize) -> PoolId {
    format!("p{pool}").into()
}

fn index(pool: &PoolId) -> usize {
    pool[1..].parse().unwrap_or_default()
}
