use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, bounded};
use decide::claim::{ClaimGrant, ClaimLedger, Claimant, MintedId};
use model::{ProblemKind, RequestId, RunFate, StepError, TeamId};
use parking_lot::Mutex;
use ports::{ClaimSource, ClaimVerdict, InboundMessage, MemberSource, PeerLink};
use wire::peer::{ClaimReply, ClaimRequest, ClaimVerdict as WireVerdict, envelope::Body};

use crate::CallerProblem;

/// Stack size of the claim thread, in bytes.
const CLAIM_STACK: usize = 128 * 1024;
/// How many times a claim is sent before its home counts as unresponsive.
const CLAIM_ATTEMPTS: u32 = 2;

/// Mints request ids, answers claims of them, and claims ids that other entry hosts minted.
pub struct ClaimService {
    members: Arc<dyn MemberSource>,
    link: Arc<dyn PeerLink>,
    ledger: Mutex<ClaimLedger>,
    calls: AtomicU64,
    pending: Mutex<HashMap<u64, PendingClaim>>,
}

/// A claim that was sent to the home of its id and has no reply yet.
struct PendingClaim {
    minted: MintedId,
    verdict: Sender<ClaimVerdict>,
}

impl ClaimService {
    /// Creates a service that keeps at most `open_ids` minted and unclaimed ids.
    pub fn new(members: Arc<dyn MemberSource>, link: Arc<dyn PeerLink>, open_ids: usize) -> Self {
        Self {
            members,
            link,
            ledger: Mutex::new(ClaimLedger::new(open_ids)),
            // A reply to the previous incarnation may still arrive. Counting from 1 again
            // could match it to a call of this incarnation.
            calls: AtomicU64::new(rand::random::<u64>() >> 8),
            pending: Mutex::default(),
        }
    }

    /// Starts the thread that answers claims. It exits when `inbound` disconnects.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(self: &Arc<Self>, inbound: Receiver<InboundMessage>) -> Result<(), StepError> {
        let service = Arc::clone(self);
        thread::Builder::new()
            .name("entry-claim".to_owned())
            .stack_size(CLAIM_STACK)
            .spawn(move || {
                for message in inbound {
                    service.handle_message(&message);
                }
            })
            .map(drop)
            .map_err(|cause| StepError::new("start claim thread", "", cause))
    }

    /// Mints an id that `team` may use once.
    pub(crate) fn mint_for(&self, team: &TeamId) -> RequestId {
        let counter = self.ledger.lock().mint(team);
        self.format_id(counter)
    }

    /// Mints an id that is already claimed, for a request that runs on this host.
    pub(crate) fn mint_claimed(&self) -> RequestId {
        let counter = self.ledger.lock().mint_claimed();
        self.format_id(counter)
    }

    /// Returns the id under which a request runs, and whether it must be claimed first.
    ///
    /// An id chosen by the caller is refused for a non-idempotent request, because no entry
    /// host could tell whether another one has run it.
    pub(crate) fn resolve_id(
        &self,
        given: Option<RequestId>,
        idempotent: bool,
    ) -> Result<(RequestId, bool), CallerProblem> {
        let Some(request) = given else {
            return Ok((self.mint_claimed(), false));
        };
        if idempotent {
            return Ok((request, false));
        }
        if MintedId::parse(&request).is_none() {
            return Err(CallerProblem::not_run(
                ProblemKind::BadRequest,
                "the Request-Id of a non-idempotent request must come from \
                 POST /v1/request-ids; or leave it out, or say Idempotent: true",
            ));
        }
        Ok((request, true))
    }

    /// Corrects the fate of a request that was refused under an id given by its caller.
    ///
    /// If the response to a request was lost, the caller repeats it, and the repetition may
    /// be refused before its claim. "Not run" would be true of the repetition but not of
    /// the first attempt, and a caller who relies on it sends the request again under a new
    /// id. Therefore "not run" stays only if this attempt holds the claim, or if the id is
    /// known here to be unclaimed.
    pub(crate) fn qualify_fate(&self, given: &RequestId, problem: CallerProblem) -> CallerProblem {
        let is_known = problem.fate != RunFate::NotRun || problem.claimed;
        if is_known || self.is_unclaimed_here(given) {
            return problem;
        }
        problem.with_uncertain_fate()
    }

    fn is_unclaimed_here(&self, request: &RequestId) -> bool {
        let Some(minted) = MintedId::parse(request) else {
            return false;
        };
        self.is_minted_here(&minted) && self.ledger.lock().is_open(minted.counter)
    }

    fn format_id(&self, counter: u64) -> RequestId {
        MintedId {
            home: self.members.own_id(),
            incarnation: self.members.own_incarnation(),
            counter,
        }
        .to_request()
    }

    fn is_minted_here(&self, minted: &MintedId) -> bool {
        minted.home == self.members.own_id() && minted.incarnation == self.members.own_incarnation()
    }

    /// False if the home has left or was restarted: it no longer knows whether the id was
    /// used.
    fn is_member(&self, minted: &MintedId) -> bool {
        self.members
            .members()
            .iter()
            .any(|info| info.member == minted.home && info.incarnation == minted.incarnation)
    }

    fn next_claimant(&self) -> Claimant {
        Claimant {
            member: self.members.own_id(),
            incarnation: self.members.own_incarnation(),
            call: self.calls.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn claim_locally(&self, counter: u64, team: &TeamId, claimant: &Claimant) -> ClaimVerdict {
        match self.ledger.lock().claim(counter, team, claimant) {
            ClaimGrant::First => ClaimVerdict::First,
            ClaimGrant::Taken => ClaimVerdict::Taken,
        }
    }

    fn claim_remote(
        &self,
        minted: &MintedId,
        team: &TeamId,
        call: u64,
        timeout: Duration,
    ) -> ClaimVerdict {
        let (sender, receiver) = bounded(1);
        let pending = PendingClaim {
            minted: minted.clone(),
            verdict: sender,
        };
        self.pending.lock().insert(call, pending);
        let verdict = self.request_from_home(minted, team, call, timeout, &receiver);
        self.pending.lock().remove(&call);
        verdict
    }

    /// Sends the claim twice, because one message can be lost while a link reconnects. The
    /// home recognizes the repeated call and returns the same answer.
    fn request_from_home(
        &self,
        minted: &MintedId,
        team: &TeamId,
        call: u64,
        timeout: Duration,
        receiver: &Receiver<ClaimVerdict>,
    ) -> ClaimVerdict {
        let until = Instant::now() + timeout;
        for attempt in 1..=CLAIM_ATTEMPTS {
            let body = Body::ClaimRequest(ClaimRequest {
                call,
                request: minted.to_request().into(),
                team: team.to_string(),
            });
            // If the link is full or missing now, the second message may still get through.
            let _ = self.link.send(&minted.home, body);
            let left = until.saturating_duration_since(Instant::now());
            let wait = left / (CLAIM_ATTEMPTS - attempt + 1);
            if let Ok(verdict) = receiver.recv_timeout(wait) {
                return verdict;
            }
        }
        metrics::counter!("lws_claims_unanswered").increment(1);
        ClaimVerdict::Unknown
    }

    fn handle_message(&self, message: &InboundMessage) {
        match &message.body {
            Body::ClaimRequest(request) => self.handle_claim_request(message, request),
            Body::ClaimReply(reply) => self.handle_claim_reply(message, reply),
            _ => {}
        }
    }

    fn handle_claim_request(&self, message: &InboundMessage, request: &ClaimRequest) {
        let claimant = Claimant {
            member: message.from.clone(),
            incarnation: message.incarnation,
            call: request.call,
        };
        let minted = MintedId::parse(&RequestId::from(request.request.as_str()));
        let verdict = match minted {
            Some(minted) if self.is_minted_here(&minted) => {
                self.claim_locally(minted.counter, &request.team.as_str().into(), &claimant)
            }
            _ => ClaimVerdict::Unknown,
        };
        let reply = ClaimReply {
            call: request.call,
            verdict: encode_verdict(verdict).into(),
        };
        // If the reply is lost, the claimant asks again; without any reply it returns
        // `Unknown`.
        let _ = self.link.send(&message.from, Body::ClaimReply(reply));
    }

    fn handle_claim_reply(&self, message: &InboundMessage, reply: &ClaimReply) {
        let pending = self.pending.lock();
        let Some(claim) = pending.get(&reply.call) else {
            return;
        };
        let minted = &claim.minted;
        let from_home = message.from == minted.home && message.incarnation == minted.incarnation;
        if !from_home {
            metrics::counter!("lws_claim_replies_dropped").increment(1);
            return;
        }
        // A second reply to the same call is identical; only the first one is read.
        let _ = claim.verdict.try_send(decode_verdict(reply.verdict()));
    }
}

impl ClaimSource for ClaimService {
    fn mint(&self, team: &TeamId) -> RequestId {
        self.mint_for(team)
    }

    fn claim(&self, request: &RequestId, team: &TeamId, timeout: Duration) -> ClaimVerdict {
        let Some(minted) = MintedId::parse(request) else {
            return ClaimVerdict::Unknown;
        };
        let claimant = self.next_claimant();
        if self.is_minted_here(&minted) {
            return self.claim_locally(minted.counter, team, &claimant);
        }
        if !self.is_member(&minted) {
            return ClaimVerdict::Unknown;
        }
        self.claim_remote(&minted, team, claimant.call, timeout)
    }
}

fn encode_verdict(verdict: ClaimVerdict) -> WireVerdict {
    match verdict {
        ClaimVerdict::First => WireVerdict::First,
        ClaimVerdict::Taken => WireVerdict::Taken,
        ClaimVerdict::Unknown => WireVerdict::Unknown,
    }
}

fn decode_verdict(verdict: WireVerdict) -> ClaimVerdict {
    match verdict {
        WireVerdict::First => ClaimVerdict::First,
        WireVerdict::Taken => ClaimVerdict::Taken,
        WireVerdict::Unspecified | WireVerdict::Unknown => ClaimVerdict::Unknown,
    }
}
