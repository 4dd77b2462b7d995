use decide::claim::MintedId;
use hyper::body::Bytes;
use model::{BootTime, KeyId, PoolId, RequestId, RunFate, TeamId};
use tokio::sync::oneshot;

use crate::CallerProblem;

/// The final result for a caller.
pub(crate) type CallerOutcome = Result<TargetAnswer, CallerProblem>;

/// The complete response of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header `Content-Type`, if the target sent one.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// Identifies the key that admitted a request; the key is checked again before the request
/// is sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyFingerprint {
    /// Id of the key.
    pub key: KeyId,
    /// Digest of the key, so that a key granted later under the same id is not accepted.
    pub digest: Vec<u8>,
}

/// An admitted request, from the caller port to its response.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Team of the key.
    pub team: TeamId,
    /// The key.
    pub fingerprint: KeyFingerprint,
    /// Pool whose executors serve the service.
    pub pool: PoolId,
    /// Time of arrival.
    pub arrived: BootTime,
    /// Time after which the response is of no use.
    pub deadline: BootTime,
    /// Whether running it more than once is harmless.
    pub idempotent: bool,
    /// Whether it is started before other requests of its team.
    pub urgent: bool,
    /// Whether its id must still be claimed at the host that minted it.
    pub needs_claim: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// True once an attempt has ended that a target may have run.
    pub may_have_run: bool,
    /// Header `Content-Type`, if the caller sent one.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
    /// Receives the outcome.
    pub reply: ReplySlot,
}

impl CallerRequest {
    /// The id that is sent to the target, which must echo it.
    ///
    /// Ids minted by entry hosts are unique, but an id chosen by a caller is not: two teams
    /// may use the same one at the same time. If a target then confused their responses, it
    /// would go undetected, so the team is prepended.
    pub fn target_id(&self) -> RequestId {
        if MintedId::parse(&self.id).is_some() {
            return self.id.clone();
        }
        RequestId::from(format!("{}:{}", self.team, self.id))
    }

    /// Sends the problem to the caller.
    ///
    /// The problem describes the current attempt only. If an earlier attempt may have run,
    /// "not run" would be false and is replaced.
    pub fn refuse(&mut self, mut problem: CallerProblem) {
        if self.may_have_run && problem.fate == RunFate::NotRun {
            problem.fate = RunFate::MayHaveRun;
        }
        problem.claimed = !self.needs_claim;
        self.reply.send(Err(problem));
    }
}

/// The sender of a request's outcome.
///
/// If it is dropped unused, the task that waits for the outcome reports that the request
/// may have run, which is always true.
#[derive(Debug)]
pub(crate) struct ReplySlot(Option<oneshot::Sender<CallerOutcome>>);

impl ReplySlot {
    /// Creates a slot and the receiver of its outcome.
    pub fn channel() -> (Self, oneshot::Receiver<CallerOutcome>) {
        let (sender, receiver) = oneshot::channel();
        (Self(Some(sender)), receiver)
    }

    /// True once the caller has disconnected.
    pub fn is_abandoned(&self) -> bool {
        self.0.as_ref().is_none_or(oneshot::Sender::is_closed)
    }

    /// Sends the outcome; only the first one counts.
    pub fn send(&mut self, outcome: CallerOutcome) {
        let Some(sender) = self.0.take() else { return };
        // Fails only if the caller has disconnected.
        let _ = sender.send(outcome);
    }
}
