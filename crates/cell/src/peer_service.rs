use std::{cell::RefCell, rc::Rc, time::Duration};

use compact_str::CompactString;
use link::{HttpReply, HttpRequest, HttpService, ReplyFuture};
use model::{event as log_event, work::FencingToken};
use ports::{AdvicePort, LeaseId, LeaseStore};
use prost::Message;
use store::{BootClock, Clock};
use tokio::time::timeout;
use wire::work::{AnswerKind, OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use crate::{
    advice_call::call_for_owner, election_promise::ElectionPromise, event, owner_service,
    owner_view::OwnerView, peer_call::OWNER_PATH, term::Term,
};

/// The term that this process runs while it owns the cell.
pub(crate) type CurrentTerm = Rc<RefCell<Option<Rc<Term>>>>;

/// Longest wait for the store before a process reports that it does not reach it. This is less than
/// the timeout of the process that asks.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Answers the other processes of the cell.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) current_term: CurrentTerm,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) store: Rc<dyn LeaseStore>,
    pub(crate) owner_key: CompactString,
    pub(crate) promise: Rc<ElectionPromise>,
    pub(crate) advice: Rc<dyn AdvicePort>,
}

impl HttpService for PeerService {
    fn answer(&self, request: HttpRequest) -> ReplyFuture {
        let service = self.clone();
        Box::pin(async move {
            let call = match OwnerCall::decode(request.body) {
                Ok(call) if request.uri.path() == OWNER_PATH => call,
                Ok(_) => return HttpReply::status(404),
                Err(error) => {
                    log::warn!("unreadable message of a peer: {error}");
                    return HttpReply::status(400);
                }
            };
            let answer = service.answer_call(call).await;
            HttpReply::json(200, answer.encode_to_vec())
        })
    }
}

impl PeerService {
    async fn answer_call(&self, call: OwnerCall) -> OwnerAnswer {
        let term = self.current_term.borrow().clone();
        match (call.ask, term) {
            (Some(Ask::Owner(_)), _) => owner_answer(&self.owners),
            (Some(Ask::Store(token)), term) => self.probe_store(token, term.is_some()).await,
            (Some(Ask::Release(lease)), _) => self.release_lease(lease).await,
            (Some(Ask::Advice(call)), _) => OwnerAnswer {
                advice: Some(call_for_owner(&*self.advice, call).await),
                ..OwnerAnswer::default()
            },
            (ask, Some(term)) => owner_service::handle_call(&term, OwnerCall { ask, ..call }).await,
            (_, None) => OwnerAnswer {
                kind: AnswerKind::NotOwner.into(),
                ..OwnerAnswer::default()
            },
        }
    }

    /// Checks whether this process reaches the store, for an owner that does not. If it does not
    /// either, it promises not to campaign for a while, so that the owner knows that there is no
    /// other one.
    async fn probe_store(&self, token: FencingToken, owns: bool) -> OwnerAnswer {
        let read = timeout(PROBE_TIMEOUT, self.store.read(&self.owner_key)).await;
        let Ok(Ok(item)) = read else {
            let pledged = !owns && self.promise.make(BootClock.boot_now());
            return OwnerAnswer {
                pledged,
                ..OwnerAnswer::default()
            };
        };
        self.owners.set(item.as_ref());
        let is_current = item.is_some_and(|item| item.revision == token);
        OwnerAnswer {
            store_reached: true,
            owner_token: if is_current { token } else { 0 },
            ..OwnerAnswer::default()
        }
    }

    /// Ends a lease for an owner that the store refuses.
    async fn release_lease(&self, lease: LeaseId) -> OwnerAnswer {
        if let Err(error) = self.store.end_lease(lease).await {
            log_event::warn(
                &event::STORE_LOST,
                format_args!("step=\"end lease for an owner\" cause=\"{error}\""),
            );
        }
        OwnerAnswer::default()
    }
}

/// The owner that this process knows of.
fn owner_answer(owners: &OwnerView) -> OwnerAnswer {
    let owner = owners.owner();
    OwnerAnswer {
        owner_token: owner.as_ref().map_or(0, |owner| owner.token),
        owner: owner.map(|owner| OwnerRecord {
            member: owner.member.to_string(),
            address: owner.address.to_string(),
            ..OwnerRecord::default()
        }),
        ..OwnerAnswer::default()
    }
}
