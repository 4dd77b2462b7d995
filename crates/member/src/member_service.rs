use std::{
    fmt,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use crossbeam_channel::bounded;
use model::{Incarnation, MemberId, StepError, TeamId, event as log_event};
use parking_lot::Mutex;
use peer::BodyKind;
use ports::{
    ActiveConfig, ChangeError, ChangeOutcome, ChangeRequest, ChangeSink, ConfigSource, MemberInfo,
    MemberSource, MemberStatus, NotServing, QuotaPermit, QuotaSource, ServingGate, StatusSource,
    TeamStatus,
};

use crate::{
    MemberOptions,
    change_submission::ChangeSubmission,
    event,
    heartbeat_loop::HeartbeatLoop,
    probe_loop::ProbeLoop,
    quota_loop::QuotaLoop,
    quota_store_loop::{QuotaStoreLoop, release_grants},
    shared_state::SharedState,
    store_loop::StoreLoop,
    watch_loop::WatchLoop,
};

/// Maximum number of queued store calls for quotas.
const STORE_CALL_QUEUE: usize = 256;

const THREAD_STACK: usize = 512 * 1024;

/// Runs the threads that maintain member list, lease, configuration and quotas of one entry host.
///
/// It offers [`MemberSource`], [`ServingGate`], [`ConfigSource`], [`QuotaSource`],
/// [`ChangeSink`] and [`StatusSource`].
pub struct MemberService {
    shared: Arc<SharedState>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl MemberService {
    /// Starts the threads and returns immediately; [`ServingGate::check`] succeeds once the host
    /// has joined and serves.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(options: MemberOptions) -> Result<Arc<Self>, StepError> {
        let node = options.node.clone();
        let shared = Arc::new(SharedState::new(options));
        let heartbeat_loop = HeartbeatLoop::new(
            shared.clone(),
            node.inbound(BodyKind::Beat),
            node.inbound(BodyKind::ChangeTail),
        );
        let watch_loop = WatchLoop::new(shared.clone());
        let store_loop = StoreLoop::new(shared.clone());
        let probe_loop = ProbeLoop::new(shared.clone());
        let (calls, call_queue) = bounded(STORE_CALL_QUEUE);
        let quota_loop = QuotaLoop::new(shared.clone(), node.inbound(BodyKind::QuotaTalk), calls);
        let quota_store_loop = QuotaStoreLoop::new(shared.clone(), call_queue);
        let threads = vec![
            spawn("member-beat", move || heartbeat_loop.run())?,
            spawn("member-watch", move || watch_loop.run())?,
            spawn("member-store", move || store_loop.run())?,
            spawn("member-probe", move || probe_loop.run())?,
            spawn("member-quota", move || quota_loop.run())?,
            spawn("member-quota-store", move || quota_store_loop.run())?,
        ];
        Ok(Arc::new(Self {
            shared,
            threads: Mutex::new(threads),
        }))
    }

    /// Removes this host from the member list and stops the threads. Call it once no work runs
    /// any more. If the store is down, the host stays listed and other hosts remove it later.
    pub fn stop(&self) {
        self.shared.set_leaving();
        if !self.threads.lock().is_empty() {
            release_grants(&self.shared);
        }
        self.shared.set_stopping();
        for thread in std::mem::take(&mut *self.threads.lock()) {
            // The watch thread ends with its timeout; nothing depends on it any more.
            if thread.thread().name() == Some("member-watch") {
                continue;
            }
            if thread.join().is_err() {
                log_event::error(&event::MEMBER_DUTY_FAILED, format_args!(""));
            }
        }
    }
}

impl MemberSource for MemberService {
    fn own_id(&self) -> MemberId {
        self.shared.own.clone()
    }

    fn own_incarnation(&self) -> Incarnation {
        self.shared.incarnation()
    }

    fn members(&self) -> Arc<Vec<MemberInfo>> {
        self.shared.members.load_full()
    }
}

impl ServingGate for MemberService {
    fn check(&self) -> Result<(), NotServing> {
        self.shared.check()
    }

    fn leave(&self) {
        self.shared.set_leaving();
    }
}

impl ConfigSource for MemberService {
    fn current(&self) -> Arc<ActiveConfig> {
        self.shared.holder.active_config()
    }
}

impl QuotaSource for MemberService {
    fn try_take_for(&self, team: &TeamId, length: Duration) -> Option<QuotaPermit> {
        self.shared.quota.try_take_for(team, length)
    }

    fn report_waiting(&self, team: &TeamId, waiting: u32) {
        self.shared.quota.set_waiting(team, waiting);
    }
}

impl ChangeSink for MemberService {
    fn submit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        ChangeSubmission::new(&self.shared, request).run()
    }
}

impl StatusSource for MemberService {
    fn members(&self) -> Vec<MemberStatus> {
        let infos = self.shared.members.load_full();
        let lease = self.shared.lease.lock();
        let own_revision = self.shared.holder.active_config().revision;
        let status = infos.iter().map(|info| MemberStatus {
            member: info.member.clone(),
            incarnation: info.incarnation,
            config_revision: if info.member == self.shared.own {
                own_revision
            } else {
                let view = lease.peers().get(&info.member);
                view.map_or(0, |view| view.config_revision)
            },
            reachable: info.reachable,
            leaving: info.leaving,
        });
        status.collect()
    }

    fn teams(&self) -> Vec<TeamStatus> {
        self.shared
            .quota
            .status(&self.shared.holder.active_config())
    }
}

impl Drop for MemberService {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for MemberService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemberService")
            .field("own", &self.shared.own)
            .finish_non_exhaustive()
    }
}

fn spawn(
    name: &'static str,
    body: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, StepError> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(THREAD_STACK)
        .spawn(body)
        .map_err(|error| StepError::new("start thread", name, error))
}
