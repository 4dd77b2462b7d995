use super::{HOSTS, HostModel, PACKET_BYTES, SECONDS, WARM_UP_S, WEIGHTS, WINDOW_S};

#[derive(Default)]
pub struct Outcome {
    // Slot time by second and team, in milliseconds.
    pub used: Vec<[f64; WEIGHTS.len()]>,
    pub idle_while_queued: f64,
    pub slot_time: f64,
    pub urgent_delays: Vec<u64>,
    pub messages: u64,
    pub bytes: f64,
}

impl Outcome {
    pub fn send(&mut self, bytes: f64) {
        self.messages += 1;
        self.bytes += bytes + PACKET_BYTES;
    }

    pub fn note(&mut self, now: u64, hosts: &[HostModel], total: u32) {
        let second = (now / 1000) as usize;
        if self.used.len() <= second {
            self.used.push([0.0; WEIGHTS.len()]);
        }
        for host in hosts {
            for running in host.running.iter().filter(|running| running.begin <= now) {
                self.used[second][running.team] += 1.0;
            }
        }
        let begun = |host: &HostModel| {
            let begun = host.running.iter().filter(|running| running.begin <= now);
            begun.count()
        };
        let running: usize = hosts.iter().map(begun).sum();
        let queued = hosts
            .iter()
            .any(|host| host.queues.iter().any(|queue| !queue.is_empty()));
        if WARM_UP_S * 1000 <= now && queued {
            self.idle_while_queued += f64::from(total) - (running as f64).min(f64::from(total));
            self.slot_time += f64::from(total);
        }
    }

    pub fn worst_error(&self) -> f64 {
        let weight: f64 = WEIGHTS.iter().sum();
        let windows = self.used[WARM_UP_S as usize..].windows(WINDOW_S as usize);
        let error = |window: &[[f64; WEIGHTS.len()]]| {
            let all: f64 = window.iter().flatten().sum();
            (0..WEIGHTS.len())
                .map(|team| {
                    let got: f64 = window.iter().map(|second| second[team]).sum();
                    (got / all - WEIGHTS[team] / weight).abs()
                })
                .fold(0.0, f64::max)
        };
        windows.map(error).fold(0.0, f64::max)
    }
}

pub fn print_row(name: &str, seed: u64, mut outcome: Outcome) {
    outcome.urgent_delays.sort_unstable();
    let delays = &outcome.urgent_delays;
    let at = |part: f64| {
        delays
            .get((delays.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0)
    };
    let per_host = 1.0 / (SECONDS as f64 * HOSTS as f64);
    println!(
        "| {name} | {seed} | {:.2} % | {:.2} % | {} | {} | {:.1} | {:.0} |",
        outcome.worst_error() * 100.0,
        outcome.idle_while_queued / outcome.slot_time * 100.0,
        at(0.99),
        delays.last().copied().unwrap_or(0),
        outcome.messages as f64 * per_host,
        outcome.bytes * per_host
    );
}
