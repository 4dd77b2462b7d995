use decide::claim::MintedId;
use hyper::body::Bytes;
use model::{BootTime, KeyId, PoolId, RequestId, RunFate, TeamId};
use tokio::sync::oneshot;

use crate::CallerProblem;

/// What a caller gets in the end.
pub(crate) type CallerOutcome = Result<TargetAnswer, CallerProblem>;

/// A whole answer of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header `Content-Type`, if the target sent one.
    pub content_type: Option<String>,
    /// The body, whole.
    pub body: Bytes,
}

/// The key that admitted a request; checked again before the request goes out.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyFingerprint {
    /// Its id.
    pub key: KeyId,
    /// The digest it had, so that a key granted anew under the same id does not count.
    pub digest: Vec<u8>,
}

/// One admitted request, from the caller port to its answer.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Its id.
    pub id: RequestId,
    /// Team whose key came with it.
    pub team: TeamId,
    /// The key.
    pub fingerprint: KeyFingerprint,
    /// Pool whose executors answer the service.
    pub pool: PoolId,
    /// When it arrived.
    pub arrived: BootTime,
    /// When its answer is of no more use.
    pub deadline: BootTime,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it goes before the other requests of its team.
    pub urgent: bool,
    /// Whether its id must be claimed at the host that minted it; false once it is.
    pub needs_claim: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// True once an attempt ended that a target may have run.
    pub may_have_run: bool,
    /// Header `Content-Type`, if the caller sent one.
    pub content_type: Option<String>,
    /// The body, whole.
    pub body: Bytes,
    /// Where the outcome goes.
    pub reply: ReplySlot,
}

impl CallerRequest {
    /// The id that the target is told and must echo.
    ///
    /// Ids that entry hosts minted are unique. A caller's own id is not: two teams may use
    /// the same one at a time, and a target that crosses their answers would go unnoticed.
    pub fn target_id(&self) -> RequestId {
        if MintedId::parse(&self.id).is_some() {
            return self.id.clone();
        }
        RequestId::from(format!("{}:{}", self.team, self.id))
    }

    /// Hands the caller its problem.
    ///
    /// What refuses a request now knows nothing of its earlier attempts; if one of them may
    /// have run, then "not run" would be false.
    pub fn refuse(&mut self, mut problem: CallerProblem) {
        if self.may_have_run && problem.fate == RunFate::NotRun {
            problem.fate = RunFate::MayHaveRun;
        }
        problem.claimed = !self.needs_claim;
        self.reply.send(Err(problem));
    }
}

/// The one place that the outcome of a request goes to.
///
/// Dropping it unused leaves the caller's task without an outcome; that task then says
/// that the request may have run, which is true whatever the cause.
#[derive(Debug)]
pub(crate) struct ReplySlot(Option<oneshot::Sender<CallerOutcome>>);

impl ReplySlot {
    /// A slot and the receiver that waits for its outcome.
    pub fn channel() -> (Self, oneshot::Receiver<CallerOutcome>) {
        let (sender, receiver) = oneshot::channel();
        (Self(Some(sender)), receiver)
    }

    /// True once the caller went away.
    pub fn is_abandoned(&self) -> bool {
        self.0.as_ref().is_none_or(oneshot::Sender::is_closed)
    }

    /// Hands the outcome over; only the first one counts.
    pub fn send(&mut self, outcome: CallerOutcome) {
        let Some(sender) = self.0.take() else { return };
        // The caller may have gone away; then nobody wants the outcome.
        let _ = sender.send(outcome);
    }
}
