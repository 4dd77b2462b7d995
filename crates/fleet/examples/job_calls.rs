//! Prints the number of store calls per job, the latency of acceptance, and the time to take
//! a log over.
//!
//! Seven entry hosts in one process submit jobs at a given rate to workers that complete
//! each at once. The store is in memory and takes 3 ms per call. Run it with
//! `cargo run --release -p fleet --example job_calls`.
#![allow(clippy::expect_used)]

#[path = "../tests/common/memory_store.rs"]
#[allow(dead_code)]
mod memory_store;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use decide::{
    job::{AttemptStatus, JobSpec, JobState},
    placement::JobSize,
    wave::FleetLimits,
};
use fleet::{
    FleetOptions, FleetService, FleetTiming, HealthReport, HostPort, JobLog, WorkerPort,
    WorkerReport,
};
use memory_store::MemoryStore;
use model::{HostRole, Incarnation, Manifest, MemberId, PoolSpec, ServiceSpec, StepError, TeamId};
use ports::{
    ActiveConfig, ConfigSource, JobRequest, JobSink, MemberInfo, MemberSource, QuotaPermit,
    QuotaSource,
};
use store::{
    BootClock, HostEntry, HostList, HostListError, KeyStore, StoreError, StoreVersion, StoredValue,
};

const HOLDERS: u64 = 7;
const STORE_DELAY: Duration = Duration::from_millis(3);
const RUN: Duration = Duration::from_secs(15);

struct SlowStore(MemoryStore);

impl KeyStore for SlowStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        thread::sleep(STORE_DELAY);
        self.0.read(key)
    }

    fn swap(&self, key: &str, expect: u64, value: &[u8]) -> Result<StoreVersion, StoreError> {
        thread::sleep(STORE_DELAY);
        self.0.swap(key, expect, value)
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        thread::sleep(STORE_DELAY);
        self.0.remove(key, expect)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.0.watch(key, after, patience)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        thread::sleep(STORE_DELAY);
        self.0.list(prefix)
    }
}

/// Workers that are always healthy and complete each task at once.
struct QuickWorkers;

impl HostPort for QuickWorkers {
    fn health(&self, _address: &str) -> Result<HealthReport, StepError> {
        Ok(HealthReport::default())
    }

    fn drain(&self, _address: &str) -> Result<(), StepError> {
        Ok(())
    }

    fn undrain(&self, _address: &str) -> Result<(), StepError> {
        Ok(())
    }

    fn reboot(&self, _address: &str) -> Result<(), StepError> {
        Ok(())
    }
}

impl WorkerPort for QuickWorkers {
    fn start(&self, _address: &str, _job: &JobState, _lease: Duration, _: bool) -> AttemptStatus {
        AttemptStatus::Done
    }

    fn renew(
        &self,
        _address: &str,
        tasks: &[String],
        _lease: Duration,
    ) -> Result<WorkerReport, StepError> {
        let done = |task: &String| (task.clone(), AttemptStatus::Done);
        Ok(WorkerReport {
            boot: "b".to_owned(),
            tasks: tasks.iter().map(done).collect(),
        })
    }

    fn poll(&self, address: &str, tasks: &[String]) -> Result<WorkerReport, StepError> {
        self.renew(address, tasks, Duration::ZERO)
    }

    fn stop(&self, _address: &str, _task: &str) -> Result<AttemptStatus, StepError> {
        Ok(AttemptStatus::Stopped)
    }

    fn usage(&self, _address: &str) -> Result<(String, JobSize), StepError> {
        Ok(("b".to_owned(), JobSize::default()))
    }
}

impl HostList for QuickWorkers {
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError> {
        let entry = |index: u32| HostEntry {
            host: format!("w{index}").into(),
            address: format!("w{index}"),
            role: HostRole::Worker,
            rack: format!("r{}", index / 4).into(),
            cores: 64,
            memory_mb: 128 * 1024,
            ..HostEntry::default()
        };
        Ok((0..12).map(entry).collect())
    }
}

struct Dependencies {
    own: MemberId,
    config: Arc<ActiveConfig>,
}

impl ConfigSource for Dependencies {
    fn current(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.config)
    }
}

impl MemberSource for Dependencies {
    fn own_id(&self) -> MemberId {
        self.own.clone()
    }

    fn own_incarnation(&self) -> Incarnation {
        1
    }

    fn members(&self) -> Arc<Vec<MemberInfo>> {
        let info = |index| MemberInfo {
            member: format!("e{index}").into(),
            incarnation: 1,
            reachable: true,
            ..MemberInfo::default()
        };
        Arc::new((0..HOLDERS).map(info).collect())
    }
}

impl QuotaSource for Dependencies {
    fn try_take_for(&self, _team: &TeamId, _length: Duration) -> Option<QuotaPermit> {
        Some(QuotaPermit::new(|| {}))
    }

    fn report_waiting(&self, _team: &TeamId, _waiting: u32) {}
}

fn main() {
    println!(
        "| jobs/s | accepted | calls a job | writes a job | bytes written a job | mean wait ms |"
    );
    println!("|---|---|---|---|---|---|");
    for rate in [50, 500] {
        measure(rate);
    }
    println!();
    println!("| jobs in the log | pages | take-over ms |");
    println!("|---|---|---|");
    for jobs in [1_000, 5_000, 20_000] {
        measure_takeover(jobs);
    }
}

/// Measures the time to read a log and fence its holder.
fn measure_takeover(jobs: u64) {
    let store: Arc<dyn KeyStore> = Arc::new(SlowStore(MemoryStore::default()));
    let mut log = JobLog::create(Arc::clone(&store), "e1.1.0", "e1@1");
    let mut pages = 0;
    for page in 0..jobs / 100 {
        let record = |index: u64| {
            let request = request(page, index);
            let mut state = JobState::queued(JobSpec {
                job: format!("e1.1.0-{page}-{index}").into(),
                team: request.team,
                payload: request.payload,
                ..JobSpec::default()
            });
            state.attempt = 1;
            state.to_record()
        };
        log.append((0..100).map(record).collect());
        pages += 1;
    }
    let began = Instant::now();
    let (_, records) = JobLog::take_over(store, "e1.1.0", "e2@1").expect("taken over");
    let states: Vec<JobState> = records.into_iter().map(JobState::from_record).collect();
    let took = began.elapsed().as_millis();
    println!("| {} | {pages} | {took} |", states.len());
}

fn measure(rate: u64) {
    let store = Arc::new(SlowStore(MemoryStore::default()));
    let holders: Vec<_> = (0..HOLDERS).map(|index| start(&store, index)).collect();
    // Wait until the pool map exists, the hosts have joined, and each holder has a log.
    thread::sleep(Duration::from_secs(8));
    let count = |value: &AtomicU64| value.load(Ordering::SeqCst);
    let (calls, writes) = (store.0.calls(), count(&store.0.writes));
    let bytes = count(&store.0.bytes_written);
    let (accepted, waited) = submit_all(&holders, rate);
    // Wait until the jobs accepted last have ended and are recorded as done.
    thread::sleep(Duration::from_secs(2));
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let per_job = |after: u64, before: u64| (after - before) as f64 / accepted as f64;
    println!(
        "| {rate} | {accepted} | {:.3} | {:.3} | {:.0} | {:.0} |",
        per_job(store.0.calls(), calls),
        per_job(count(&store.0.writes), writes),
        per_job(count(&store.0.bytes_written), bytes),
        per_job(waited, 0)
    );
    for holder in holders {
        holder.stop();
    }
}

fn start(store: &Arc<SlowStore>, index: u64) -> Arc<FleetService> {
    let mut manifest = Manifest::default();
    let pool = PoolSpec {
        role: HostRole::Worker,
        size: 12,
        ..PoolSpec::default()
    };
    manifest.pools.insert("coding".into(), pool);
    let service = ServiceSpec {
        worker_pool: "coding".into(),
        ..ServiceSpec::default()
    };
    manifest.services.insert("code".into(), service);
    let config = ActiveConfig {
        manifest,
        ..ActiveConfig::default()
    };
    let dependencies = Arc::new(Dependencies {
        own: format!("e{index}").into(),
        config: Arc::new(config),
    });
    let options = FleetOptions::new(
        store.clone(),
        Arc::new(QuickWorkers),
        dependencies.clone(),
        dependencies.clone(),
        Arc::new(BootClock),
        dependencies,
    )
    .with_port(Arc::new(QuickWorkers))
    .with_workers(Arc::new(QuickWorkers))
    .with_timing(FleetTiming {
        round_interval: Duration::from_millis(100),
        ..FleetTiming::default()
    })
    .with_limits(FleetLimits::default());
    FleetService::start(options).expect("threads start")
}

/// Submits jobs at `rate`; returns their number and the sum of their latencies in ms.
fn submit_all(holders: &[Arc<FleetService>], rate: u64) -> (u64, u64) {
    let (accepted, waited) = (AtomicU64::new(0), AtomicU64::new(0));
    let threads = 280;
    let pause = Duration::from_secs(threads) / u32::try_from(rate).expect("small");
    let until = Instant::now() + RUN;
    thread::scope(|scope| {
        for thread in 0..threads {
            let (accepted, waited) = (&accepted, &waited);
            let holder = Arc::clone(&holders[thread as usize % holders.len()]);
            scope.spawn(move || {
                let mut next = Instant::now() + pause * u32::try_from(thread).expect("small") / 280;
                let mut index = 0;
                while next < until {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += pause;
                    index += 1;
                    let began = Instant::now();
                    if holder.submit(request(thread, index)).is_ok() {
                        accepted.fetch_add(1, Ordering::SeqCst);
                        let took = began.elapsed().as_millis();
                        waited.fetch_add(u64::try_from(took).unwrap_or(0), Ordering::SeqCst);
                    }
                }
            });
        }
    });
    (accepted.into_inner(), waited.into_inner())
}

fn request(thread: u64, index: u64) -> JobRequest {
    JobRequest {
        request: format!("r{thread}-{index}").into(),
        team: format!("t{}", thread % 10).into(),
        service: "code".into(),
        payload: vec![7; 200],
        cores: 1,
        memory_mb: 64,
        idempotent: true,
        ..JobRequest::default()
    }
}
