//! Fixture of the tests with real processes: a fleet with a manifest and keys, and the checks
//! that hold for any history.

#![allow(dead_code, reason = "each proof uses its part")]

use std::{
    collections::BTreeMap,
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use fake::WorkOrder;
use model::RunFate;
use proof::{
    CallerCrew, ChangeResult, CrewPlan, CrewTally, DrainCheck, EntryPlace, FleetPlan, ForceCheck,
    GrantCheck, History, HistoryCheck, KeyCheck, LimitCheck, MemberCheck, OnceCheck, PoolCheck,
    RefusalCheck, RequestCall, RequestClient, RequestOutcome, RevisionCheck, TeamKey, TestFleet,
    WholeCheck, await_true,
};

/// Timeout for an event that must occur.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(40);
/// Time within which an accepted change must be in force: two seconds, and half a second
/// for requests that were already on their way to a target.
pub const PROPAGATION_LIMIT: Duration = Duration::from_millis(2500);
/// Time after which a draining target must get no work.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Pause between two polls of one entry host.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Limit of concurrent tests; they mostly wait, but more would slow each other down.
const MAX_PARALLEL_PROOFS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Stops the polling threads when dropped.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Permit to run a test, released when dropped.
struct ProofPermit;

impl ProofPermit {
    fn take() -> Self {
        // A panic of one test poisons the lock, which must not fail the others.
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_PARALLEL_PROOFS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self
    }
}

impl Drop for ProofPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// A running fleet with two teams and a key for each.
pub struct ProofFixture {
    /// The fleet.
    pub fleet: TestFleet,
    /// The key of `weights`, then the one of `coding`.
    pub keys: Vec<TeamKey>,
    /// Revision of the manifest.
    pub revision: u64,
    seed: u64,
    _permit: ProofPermit,
}

/// Upper limits of the two teams.
pub type TeamLimits = [(&'static str, u32); 2];

/// Limits that the callers never reach.
pub const WIDE_LIMITS: TeamLimits = [("weights", 200), ("coding", 200)];

/// A manifest with one pool of executors and two teams.
pub fn manifest(executors: usize, limits: &TeamLimits) -> String {
    let budget = executors.saturating_sub(1).max(1);
    let mut text = format!(
        "[deployment]\nname = proof\n\
         [pool.quotes]\nrole = executor\nsize = {executors}\nbudget = {budget}\n\
         [service.quotes]\npool = quotes\n"
    );
    for (team, limit) in limits {
        text += &format!("[team.{team}]\nshare = 1\nlimit = {limit}\n");
    }
    text
}

impl ProofFixture {
    /// Starts a fleet with [`WIDE_LIMITS`].
    pub fn start(seed: u64, plan: &FleetPlan) -> Self {
        Self::with_limits(seed, plan, &WIDE_LIMITS)
    }

    /// Starts a fleet with these limits.
    pub fn with_limits(seed: u64, plan: &FleetPlan, limits: &TeamLimits) -> Self {
        Self::with_manifest(seed, plan, &manifest(plan.executors, limits), limits)
    }

    /// Starts a fleet with this manifest.
    pub fn with_manifest(seed: u64, plan: &FleetPlan, text: &str, limits: &TeamLimits) -> Self {
        let permit = ProofPermit::take();
        println!("seed {seed}");
        let mut fleet = TestFleet::start(plan).unwrap();
        let place = &fleet.entries[0].place;
        fleet.operator.grant_self(place, "grant-operator").unwrap();
        let operator = &fleet.operator;
        let outcome = operator.apply(place, "manifest", Some(1), text, limits);
        let ChangeResult::Accepted { revision, .. } = outcome else {
            panic!(
                "the first manifest was not accepted: {outcome:?}\n{}",
                fleet.logs()
            );
        };
        let keys = limits
            .iter()
            .map(|(team, _)| operator.grant(place, &format!("grant-{team}"), team))
            .collect::<Result<Vec<_>, _>>()
            .unwrap();
        let fixture = Self {
            fleet,
            keys,
            revision,
            seed,
            _permit: permit,
        };
        for entry in &fixture.fleet.entries {
            fixture.expect_answer(&entry.place);
        }
        fixture
    }

    /// Waits until an entry host answers a request correctly.
    pub fn expect_answer(&self, place: &EntryPlace) {
        let client = RequestClient::default();
        let call = self.call("probe");
        let answers = await_true(EVENT_TIMEOUT, || {
            client.call(place, &call).outcome == RequestOutcome::Answer { is_right: true }
        });
        assert!(
            answers,
            "{} does not answer\n{}",
            place.member,
            self.fleet.logs()
        );
    }

    /// A short idempotent request of the first team.
    pub fn call(&self, nonce: &str) -> RequestCall {
        let order = WorkOrder {
            nonce: nonce.to_owned(),
            ..WorkOrder::default()
        };
        RequestCall {
            service: "quotes".to_owned(),
            key: self.keys[0].clone(),
            request: None,
            deadline: Duration::from_secs(2),
            idempotent: true,
            body: order.body(0),
        }
    }

    /// The addresses of the entry host with this index.
    pub fn place(&self, index: usize) -> &EntryPlace {
        &self.fleet.entries[index].place
    }

    /// Kills an entry host at once and starts it again after `pause`.
    pub fn replace(&mut self, index: usize, pause: Duration) {
        let entry = &mut self.fleet.entries[index];
        entry.kill().unwrap();
        thread::sleep(pause);
        entry.start().unwrap();
    }

    /// Pauses an entry host for a while.
    pub fn pause(&self, index: usize, pause: Duration) {
        let process = self.fleet.entries[index].process.as_ref().unwrap();
        process.pause().unwrap();
        thread::sleep(pause);
        process.resume().unwrap();
    }

    /// Polls every entry host during `work`, so that the history records which configuration was
    /// in force where. A host that is down or cut off gives no observation.
    pub fn while_polling(&mut self, work: impl FnOnce(&mut Self)) {
        let stop = AtomicBool::new(false);
        let places = self.fleet.places();
        let operator = self.fleet.operator.clone();
        thread::scope(|scope| {
            for place in &places {
                let (operator, stop) = (&operator, &stop);
                scope.spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let _ = operator.status(place);
                        thread::sleep(POLL_PAUSE);
                    }
                });
            }
            // Stops the polling threads also if `work` panics.
            let _guard = StopGuard(&stop);
            work(self);
        });
    }

    /// Changes the limits to wide ones that differ by round; retries until accepted.
    pub fn change_limits(&self, round: usize) {
        let units = 100 + u32::try_from(round).unwrap();
        let limits: TeamLimits = [("weights", units), ("coding", units)];
        let (text, id) = (manifest(3, &limits), format!("round-{round}"));
        let place = self.place((round + 1) % 3);
        let operator = &self.fleet.operator;
        let accepted = await_true(EVENT_TIMEOUT, || {
            let outcome = operator.apply(place, &id, None, &text, &limits);
            matches!(outcome, ChangeResult::Accepted { .. })
        });
        assert!(accepted, "round {round}\n{}", self.fleet.logs());
    }

    /// Withdraws the key of the second team through one entry host; retries until accepted.
    pub fn expect_withdrawn(&self, index: usize) {
        let key = &self.keys[1].key_id;
        let operator = &self.fleet.operator;
        let withdrawn = await_true(EVENT_TIMEOUT, || {
            let outcome = operator.withdraw(self.place(index), "withdraw", key);
            matches!(outcome, ChangeResult::Accepted { .. })
        });
        assert!(withdrawn, "not withdrawn\n{}", self.fleet.logs());
    }

    /// The default plan for callers of both teams.
    pub fn crew_plan(&self) -> CrewPlan {
        CrewPlan {
            seed: self.seed,
            keys: self.keys.clone(),
            ..CrewPlan::default()
        }
    }

    /// Starts callers of both teams, and waits until they get answers.
    pub fn crew(&self) -> CallerCrew {
        self.crew_with(self.crew_plan())
    }

    /// Starts callers by this plan, and waits until they get answers.
    pub fn crew_with(&self, plan: CrewPlan) -> CallerCrew {
        let crew = CallerCrew::start(plan, self.fleet.places(), &self.fleet.log);
        self.expect_answers(&crew, 20);
        crew
    }

    /// Waits until the callers have got `more` answers.
    pub fn expect_answers(&self, crew: &CallerCrew, more: u64) {
        let came = crew.await_answers(more, EVENT_TIMEOUT);
        assert!(
            came,
            "no answers: {:?}\n{}",
            crew.tally(),
            self.fleet.logs()
        );
    }

    /// Checks that no request was cut off: no run started within an attempt that got no clear
    /// answer.
    ///
    /// Two kinds of unclear attempts ran nothing and are only printed: a request sent while the
    /// entry host closes the connection, which HTTP can't report to the caller, and a request
    /// whose id could not be looked up, for which the entry host answers that it may have run.
    pub fn expect_no_request_cut(&self, tally: CrewTally) {
        let history = self.fleet.collect().unwrap();
        let unclear = history.requests.iter().filter(|op| is_unclear(&op.outcome));
        let (cut, not_begun): (Vec<_>, Vec<_>) = unclear.partition(|op| {
            let within = op.span.invoke_ns..=op.span.response_ns;
            let mut runs = history.runs.iter();
            runs.any(|run| run.run.nonce == op.nonce && within.contains(&run.run.start_ns))
        });
        println!(
            "{tally:?}, {} unclear attempts ran nothing",
            not_begun.len()
        );
        assert!(cut.is_empty(), "{tally:?} {cut:#?}\n{}", self.fleet.logs());
    }

    /// The latest outcomes of callers, with their counts.
    fn last_outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for op in self.fleet.log.history().requests.iter().rev().take(2_000) {
            let text = format!("{} {} {:?}", op.entry, op.key_id, op.outcome);
            *counts.entry(text).or_default() += 1;
        }
        counts
    }

    /// Collects the history and runs every check that holds for any history.
    pub fn expect_valid_history(&self) {
        let history = self.fleet.collect().unwrap();
        println!(
            "history: {} requests, {} runs, {} changes, {} polls, {} writes",
            history.requests.len(),
            history.runs.len(),
            history.changes.len(),
            history.forces.len(),
            history.writes.len(),
        );
        assert!(!history.runs.is_empty(), "nothing ran");
        println!(
            "maximum concurrent runs: {:?}",
            max_concurrent_runs(&history)
        );
        let hosts = self
            .fleet
            .targets
            .iter()
            .map(|target| target.row.host.clone());
        let pools = PoolCheck {
            budgets: BTreeMap::from([("quotes".to_owned(), self.budget())]),
            pool_of: hosts.map(|host| (host, "quotes".to_owned())).collect(),
        };
        let keys = KeyCheck {
            stops_within: PROPAGATION_LIMIT,
        };
        let limits = LimitCheck {
            force_within: PROPAGATION_LIMIT,
        };
        let force = ForceCheck {
            force_within: PROPAGATION_LIMIT,
        };
        let drains = DrainCheck {
            quiet_within: DRAIN_LIMIT,
        };
        let checks: [&dyn HistoryCheck; 11] = [
            &OnceCheck,
            &WholeCheck,
            &RefusalCheck,
            &keys,
            &limits,
            &drains,
            &force,
            &pools,
            &GrantCheck,
            &MemberCheck,
            &RevisionCheck,
        ];
        let violations = self.fleet.log.violations(self.seed, &checks);
        let shown: Vec<String> = violations.iter().take(5).map(ToString::to_string).collect();
        assert!(
            violations.is_empty(),
            "{} violations: {shown:#?}\n{}",
            violations.len(),
            self.fleet.logs()
        );
    }

    fn budget(&self) -> u32 {
        u32::try_from(self.fleet.targets.len().saturating_sub(1).max(1)).unwrap()
    }
}

fn is_unclear(outcome: &RequestOutcome) -> bool {
    match outcome {
        RequestOutcome::Answer { .. } | RequestOutcome::NotConnected => false,
        RequestOutcome::Refused { fate, .. } => *fate != RunFate::NotRun,
        RequestOutcome::Nothing => true,
    }
}

/// Maximum number of concurrent runs, by team.
pub fn max_concurrent_runs(history: &History) -> BTreeMap<String, usize> {
    let mut most = BTreeMap::new();
    for run in &history.runs {
        let at = run.run.start_ns;
        let others = history
            .runs
            .iter()
            .filter(|other| other.run.team == run.run.team);
        let running = others
            .filter(|other| {
                other.run.start_ns <= at && (other.run.end_ns == 0 || at < other.run.end_ns)
            })
            .count();
        let known = most.entry(run.run.team.clone()).or_insert(0);
        *known = running.max(*known);
    }
    most
}
