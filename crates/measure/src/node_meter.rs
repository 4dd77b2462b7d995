use std::{collections::BTreeMap, fs, time::Instant};

use anyhow::{Context, Result};
use serde::Serialize;

// IP and TCP with time stamps.
const PACKET_HEADER: f64 = 52.0;
// Heads of a call and its answer, their packets and acknowledgements.
const CALL_HEADERS: f64 = 500.0;
// The host list is asked once a second.
const LIST_CALLS: f64 = 1.0;

/// What one process has spent and holds at one moment.
#[derive(Clone, Debug)]
pub struct NodeReading {
    taken: Instant,
    cpu_seconds: f64,
    memory_mb: f64,
    threads: u64,
    counters: BTreeMap<String, f64>,
}

/// What one process spent between two readings, and what it holds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeCost {
    /// Processor, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Threads.
    pub threads: u64,
    /// Bytes a second to other entry hosts.
    pub peer_sent: f64,
    /// Bytes a second from other entry hosts.
    pub peer_received: f64,
    /// Messages a second to other entry hosts.
    pub peer_messages: f64,
    /// Messages a second from other entry hosts.
    pub peer_messages_in: f64,
    /// Bytes a second to and from the store.
    pub store_bytes: f64,
    /// Bytes a second to and from the host list.
    pub list_bytes: f64,
    /// Store calls a second that write.
    pub store_writes: f64,
    /// Store calls a second that read, waiting watches included.
    pub store_reads: f64,
}

impl NodeReading {
    /// Reads the process `pid` whose metrics are at `admin_url`.
    ///
    /// # Errors
    /// If the process is gone or its metrics can't be read.
    pub fn take(pid: u32, admin_url: &str) -> Result<Self> {
        let mut response = ureq::get(format!("{admin_url}/metrics")).call()?;
        let text = response.body_mut().read_to_string()?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            taken: Instant::now(),
            cpu_seconds: cpu_seconds(&stat).context("read processor time")?,
            memory_mb: status_number(&status, "VmRSS:").context("read memory")? as f64 / 1024.0,
            threads: status_number(&status, "Threads:").unwrap_or_default(),
            counters: text.lines().filter_map(counter_line).collect(),
        })
    }

    /// What a process has spent when it starts.
    pub fn at_start(taken: Instant) -> Self {
        Self {
            taken,
            cpu_seconds: 0.0,
            memory_mb: 0.0,
            threads: 0,
            counters: BTreeMap::new(),
        }
    }

    /// The cost since `before`.
    pub fn since(&self, before: &Self) -> NodeCost {
        let seconds = (self.taken - before.taken).as_secs_f64();
        let rate = |parts: &[&str]| (self.sum(parts) - before.sum(parts)) / seconds;
        NodeCost {
            cpu_percent: (self.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
            memory_mb: self.memory_mb,
            threads: self.threads,
            peer_sent: rate(&["lws_peer_sent_bytes"]),
            peer_received: rate(&["lws_peer_received_bytes"]),
            peer_messages: rate(&["lws_peer_sent_messages"]),
            peer_messages_in: rate(&["lws_peer_received_messages"]),
            store_bytes: rate(&["lws_platform_bytes", "service=\"store\""]),
            list_bytes: rate(&["lws_platform_bytes", "service=\"host-list\""]),
            store_writes: rate(&["lws_store_calls", "kind=\"swap\""])
                + rate(&["lws_store_calls", "kind=\"remove\""]),
            store_reads: rate(&["lws_store_calls", "kind=\"read\""])
                + rate(&["lws_store_calls", "kind=\"watch\""])
                + rate(&["lws_store_calls", "kind=\"list\""]),
        }
    }

    // The sum of all counters whose name and labels contain all of `parts`.
    fn sum(&self, parts: &[&str]) -> f64 {
        let fits = |name: &str| parts.iter().all(|part| name.contains(part));
        let counters = self.counters.iter().filter(|(name, _)| fits(name));
        counters.map(|(_, value)| value).sum()
    }
}

impl NodeCost {
    /// The mean of several nodes.
    pub fn mean(costs: &[Self]) -> Self {
        let count = costs.len().max(1) as f64;
        let mean = |part: fn(&Self) -> f64| costs.iter().map(part).sum::<f64>() / count;
        Self {
            cpu_percent: mean(|cost| cost.cpu_percent),
            memory_mb: mean(|cost| cost.memory_mb),
            threads: costs.first().map_or(0, |cost| cost.threads),
            peer_sent: mean(|cost| cost.peer_sent),
            peer_received: mean(|cost| cost.peer_received),
            peer_messages: mean(|cost| cost.peer_messages),
            peer_messages_in: mean(|cost| cost.peer_messages_in),
            store_bytes: mean(|cost| cost.store_bytes),
            list_bytes: mean(|cost| cost.list_bytes),
            store_writes: mean(|cost| cost.store_writes),
            store_reads: mean(|cost| cost.store_reads),
        }
    }

    /// Bytes a second of all control traffic, without headers.
    pub fn control_bytes(&self) -> f64 {
        self.peer_sent + self.peer_received + self.store_bytes + self.list_bytes
    }

    /// Bytes a second on the wire, estimated: each message has a header, and since links
    /// are one-way, an acknowledgement of its own; each HTTP call has a head in both
    /// directions.
    pub fn wire_bytes(&self) -> f64 {
        let messages = self.peer_messages + self.peer_messages_in;
        let calls = self.store_reads + self.store_writes + LIST_CALLS;
        self.control_bytes() + messages * 2.0 * PACKET_HEADER + calls * CALL_HEADERS
    }
}

fn counter_line(line: &str) -> Option<(String, f64)> {
    if line.starts_with('#') {
        return None;
    }
    let (name, value) = line.rsplit_once(' ')?;
    Some((name.to_owned(), value.parse().ok()?))
}

// Fields 14 and 15 of the process's status line; its name may contain blanks.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / rustix::param::clock_ticks_per_second() as f64)
}

fn status_number(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
