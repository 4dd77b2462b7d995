use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use model::{Incarnation, MemberId, StepError, event as log_event};
use parking_lot::Mutex;
use ports::{AuditRecord, AuditSink, ConfigSource, MemberSource};
use prost::Message;
use store::{Clock, KeyStore};
use wire::state::{ConfigBase, ConfigRecord};

use super::{
    AuditDraft, AuditStore, ConfigHistory, TrailName, config_history::LOST_SUBJECT,
    trail_lane::TrailLane,
};
use crate::event;

/// Key of the change log.
const CONFIG_KEY: &str = "config";
/// Name of the duty to audit the change log, for choosing its holder.
const AUDIT_DUTY: &str = "audit";
/// Notes that may wait for the store.
const QUEUE_NOTES: usize = 1024;
/// How long notes gather before they are written.
const ROUND: Duration = Duration::from_secs(2);
/// How long notes on grants gather; they are many, and of each team the last one counts.
const GRANT_ROUND: Duration = Duration::from_secs(10);
/// How notes on grants begin.
const GRANT_SUBJECT: &str = "grant ";
const STACK_BYTES: usize = 512 * 1024;

/// What the keeper needs to audit the change log as well.
pub struct ConfigWatch {
    /// Tells when there are new revisions.
    pub config: Arc<dyn ConfigSource>,
    /// Tells which entry host audits the change log.
    pub members: Arc<dyn MemberSource>,
}

/// Writes the audit trail: a thread that batches notes, and that turns new changes of the
/// change log into entries while this entry host holds that duty.
pub struct AuditKeeper {
    notes: Sender<AuditRecord>,
    shared: Arc<KeeperState>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// What the keeper's thread shares with its owner.
struct KeeperState {
    dropped: AtomicU64,
    stopped: AtomicBool,
    watch: Mutex<Option<ConfigWatch>>,
}

impl KeeperState {
    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("lws_audit_notes_dropped").increment(1);
    }
}

impl AuditKeeper {
    /// Starts the keeper's thread.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        store: Arc<dyn KeyStore>,
        clock: Arc<dyn Clock>,
        member: MemberId,
        incarnation: Incarnation,
    ) -> Result<Self, StepError> {
        let (sender, receiver) = bounded(QUEUE_NOTES);
        let shared = Arc::new(KeeperState {
            dropped: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            watch: Mutex::new(None),
        });
        let lane = |trail, interval| {
            let trail = AuditStore::new(Arc::clone(&store), trail);
            TrailLane::new(trail, member.clone(), incarnation, interval)
        };
        let round = KeeperRound {
            changes: lane(TrailName::Changes, ROUND),
            grants: lane(TrailName::Grants, GRANT_ROUND).with_merging(),
            store,
            clock,
            member,
            history: None,
            shared: Arc::clone(&shared),
        };
        let thread = thread::Builder::new()
            .name("audit-keeper".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || round.run(&receiver))
            .map_err(|error| StepError::new("start audit keeper", "", error))?;
        Ok(Self {
            notes: sender,
            shared,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// From now on the keeper audits the change log too.
    pub fn watch_config(&self, watch: ConfigWatch) {
        *self.shared.watch.lock() = Some(watch);
    }

    /// Writes what waits, if the store answers, and ends the thread.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.lock().take() {
            let _ = thread.join();
        }
    }
}

impl AuditSink for AuditKeeper {
    fn record(&self, note: AuditRecord) {
        // While the store is down notes wait. Beyond the queue's bound memory goes before
        // completeness; the trail then says how many are missing.
        if let Err(TrySendError::Full(_)) = self.notes.try_send(note) {
            self.shared.count_dropped();
        }
    }
}

impl Drop for AuditKeeper {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The state of the keeper's thread.
struct KeeperRound {
    changes: TrailLane,
    grants: TrailLane,
    store: Arc<dyn KeyStore>,
    clock: Arc<dyn Clock>,
    member: MemberId,
    history: Option<ConfigHistory>,
    shared: Arc<KeeperState>,
}

impl KeeperRound {
    fn run(mut self, notes: &Receiver<AuditRecord>) {
        let mut is_delayed = false;
        loop {
            let is_stopped = self.shared.stopped.load(Ordering::Acquire);
            self.gather(notes);
            match self.write(is_stopped) {
                Ok(()) => is_delayed = false,
                Err(error) if !is_delayed => {
                    is_delayed = true;
                    log_event::warn(&event::AUDIT_DELAYED, format_args!("cause=\"{error}\""));
                }
                Err(_) => {}
            }
            if is_stopped {
                return;
            }
        }
    }

    /// Takes notes for a round, or until stopped.
    fn gather(&mut self, notes: &Receiver<AuditRecord>) {
        /// How soon the thread sees that it is stopped.
        const STEP: Duration = Duration::from_millis(100);
        let deadline = Instant::now() + ROUND;
        while Instant::now() < deadline && !self.shared.stopped.load(Ordering::Acquire) {
            match notes.recv_timeout(STEP) {
                Ok(note) => self.take(note),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        while let Ok(note) = notes.try_recv() {
            self.take(note);
        }
    }

    fn take(&mut self, note: AuditRecord) {
        let lane = match note.subject.starts_with(GRANT_SUBJECT) {
            true => &mut self.grants,
            false => &mut self.changes,
        };
        let draft = AuditDraft {
            unix_ms: unix_ms(self.clock.as_ref()),
            author: note.author,
            change_id: note.change_id,
            subject: note.subject,
            difference: note.difference,
            revision_before: note.revision_before,
            revision_after: note.revision_after,
        };
        if !lane.add(draft) {
            self.shared.count_dropped();
        }
    }

    fn write(&mut self, is_stopped: bool) -> Result<(), StepError> {
        let dropped = self.shared.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log_event::error(&event::AUDIT_DROPPED, format_args!("notes={dropped}"));
            let draft = self.own_draft(format!("{dropped} notes were dropped"));
            if !self.changes.add(draft) {
                self.shared.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        self.changes.flush(true)?;
        self.write_changes()?;
        self.grants.flush(is_stopped)
    }

    /// Audits new changes of the change log, if this entry host holds the duty.
    ///
    /// The entries are made from the log itself and not when a change is accepted: an
    /// entry host that dies right after accepting one would leave no entry otherwise. The
    /// head remembers the newest audited revision, so two holders write each change once.
    fn write_changes(&mut self) -> Result<(), StepError> {
        if !self.has_news() {
            return Ok(());
        }
        let Some(record) = self.read::<ConfigRecord>(CONFIG_KEY)? else {
            return Ok(());
        };
        let audited = self.audited_revision()?;
        // The history moves on only once the entries are written: after a failed write the
        // next round has to find the same differences again.
        let mut history = self.history.clone().unwrap_or_default();
        let base = self.read_base(&history, &record)?;
        let mut drafts = history.follow(&record, base.as_ref(), audited);
        for draft in &mut drafts {
            if draft.subject == LOST_SUBJECT {
                let (first, last) = (draft.revision_before + 1, draft.revision_after);
                log_event::error(&event::AUDIT_GAP, format_args!("first={first} last={last}"));
            }
            // What the log forgot of a change is when it happened and who caused it.
            if draft.author.is_empty() {
                draft.unix_ms = unix_ms(self.clock.as_ref());
            }
        }
        self.changes.append_changes(&drafts)?;
        self.history = Some(history);
        Ok(())
    }

    /// The newest revision with an entry, as far as this writer knows.
    fn audited_revision(&self) -> Result<u64, StepError> {
        self.changes.trail.peek(|head| head.config_revision)
    }

    /// True if the log has changes that this entry host should audit and has not followed.
    fn has_news(&self) -> bool {
        let watch = self.shared.watch.lock();
        let Some(watch) = watch.as_ref() else {
            return false;
        };
        let members = watch.members.members();
        let heard = members
            .iter()
            .filter(|member| member.reachable && !member.leaving)
            .map(|member| &member.member);
        if decide::rendezvous::duty_holder(AUDIT_DUTY, heard) != Some(&self.member) {
            return false;
        }
        let followed = self.history.as_ref().map_or(0, ConfigHistory::revision);
        watch.config.current().revision > followed
    }

    fn read_base(
        &self,
        history: &ConfigHistory,
        record: &ConfigRecord,
    ) -> Result<Option<ConfigBase>, StepError> {
        if !history.needs_base(record) || record.base_key.is_empty() {
            return Ok(None);
        }
        let base = self.read(&record.base_key)?;
        base.map(Some)
            .ok_or_else(|| StepError::new("read configuration base", &record.base_key, "absent"))
    }

    fn read<M: Message + Default>(&self, key: &str) -> Result<Option<M>, StepError> {
        let stored = self
            .store
            .read(key)
            .map_err(|error| StepError::new("read change log", key, error))?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        M::decode(stored.value.as_slice())
            .map(Some)
            .map_err(|error| StepError::new("decode change log", key, error))
    }

    fn own_draft(&self, difference: String) -> AuditDraft {
        AuditDraft {
            unix_ms: unix_ms(self.clock.as_ref()),
            author: self.member.to_string(),
            subject: "audit".to_owned(),
            difference,
            ..AuditDraft::default()
        }
    }
}

fn unix_ms(clock: &dyn Clock) -> u64 {
    u64::try_from(clock.unix_now().as_millis()).unwrap_or(u64::MAX)
}
