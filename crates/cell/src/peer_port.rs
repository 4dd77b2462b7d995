use std::{cell::RefCell, rc::Rc, time::Duration};

use hyper::Method;
use link::{CallClient, CallFault, HttpCall, HttpReply, HttpRequest, HttpService, ReplyFuture};
use prost::Message;
use wire::work::{AnswerKind, OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use crate::{owner_desk, owner_view::OwnerView, term::Term};

/// Path that the owner answers peers at.
const OWNER_PATH: &str = "/owner";

/// The term that this process runs, while it owns the cell.
pub(crate) type TermSlot = Rc<RefCell<Option<Rc<Term>>>>;

/// Answers the other processes of the system.
pub(crate) struct PeerPort {
    pub(crate) slot: TermSlot,
    pub(crate) owners: Rc<OwnerView>,
}

impl HttpService for PeerPort {
    fn answer(&self, request: HttpRequest) -> ReplyFuture {
        let term = self.slot.borrow().clone();
        let owners = self.owners.clone();
        Box::pin(async move {
            let call = match OwnerCall::decode(request.body) {
                Ok(call) if request.uri.path() == OWNER_PATH => call,
                Ok(_) => return HttpReply::status(404),
                Err(error) => {
                    log::warn!("unreadable message of a peer: {error}");
                    return HttpReply::status(400);
                }
            };
            let answer = match term {
                _ if matches!(call.ask, Some(Ask::Owner(_))) => name_owner(&owners),
                Some(term) => owner_desk::answer_call(&term, call).await,
                None => OwnerAnswer {
                    kind: AnswerKind::NotOwner.into(),
                    ..OwnerAnswer::default()
                },
            };
            HttpReply::json(200, answer.encode_to_vec())
        })
    }
}

/// Says who the owner is, as far as this process has heard.
fn name_owner(owners: &OwnerView) -> OwnerAnswer {
    let owner = owners.owner();
    OwnerAnswer {
        owner_token: owner.as_ref().map_or(0, |owner| owner.token),
        owner: owner.map(|owner| OwnerRecord {
            member: owner.member.to_string(),
            address: owner.address.to_string(),
        }),
        ..OwnerAnswer::default()
    }
}

/// Asks another process as the owner.
///
/// # Errors
/// [`CallFault::NotSent`] if it can't have seen the call.
pub(crate) async fn ask_owner(
    client: &CallClient,
    address: &str,
    call: &OwnerCall,
    timeout: Duration,
) -> Result<OwnerAnswer, CallFault> {
    let request = HttpCall::new("ask owner", address, Method::POST, OWNER_PATH, timeout)
        .with_body(call.encode_to_vec());
    let reply = client.call(request).await?;
    let unreadable =
        |cause: String| CallFault::Unanswered(model::StepError::new("ask owner", address, cause));
    if reply.status != 200 {
        return Err(unreadable(format!("status {}", reply.status)));
    }
    OwnerAnswer::decode(reply.body).map_err(|error| unreadable(error.to_string()))
}
