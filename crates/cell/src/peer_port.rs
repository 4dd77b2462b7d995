use std::{cell::RefCell, rc::Rc};

use link::{HttpReply, HttpRequest, HttpService, ReplyFuture};
use prost::Message;
use wire::work::{AnswerKind, OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use crate::{owner_desk, owner_view::OwnerView, peer_call::OWNER_PATH, term::Term};

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
            ..OwnerRecord::default()
        }),
        ..OwnerAnswer::default()
    }
}
