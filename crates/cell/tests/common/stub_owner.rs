use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use link::{HttpReply, HttpRequest, HttpService, ReplyFuture, ServerLimits, serve_http};
use prost::Message;
use wire::work::{AnswerKind, OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use super::{MemoryStore, OWNER, free_address};

/// An owner in another process, which gives the same answer to each call of a kind.
#[derive(Clone)]
pub struct StubOwner {
    /// Answer to a submission.
    pub submission_answer: Rc<Cell<AnswerKind>>,
    /// Answer to a dry run.
    pub dry_run_answer: Rc<Cell<AnswerKind>>,
    /// Submissions and dry runs, in the order of arrival.
    pub asks: Rc<RefCell<Vec<Ask>>>,
}

impl StubOwner {
    /// Time after which refused callers may retry.
    pub const RETRY_AFTER_MS: u64 = 1500;

    /// Starts an owner and writes its entry to the store.
    pub fn start(store: &MemoryStore) -> Self {
        let owner = Self {
            submission_answer: Rc::new(Cell::new(AnswerKind::Refused)),
            dry_run_answer: Rc::new(Cell::new(AnswerKind::WouldRefuse)),
            asks: Rc::default(),
        };
        let address = free_address();
        let entry = OwnerRecord {
            member: "stub".to_owned(),
            address: address.to_string(),
            ..OwnerRecord::default()
        };
        store.put(OWNER, &entry.encode_to_vec());
        let service = Rc::new(owner.clone());
        tokio::task::spawn_local(async move {
            let limits = ServerLimits::default();
            let served = serve_http(address, service, limits, Default::default()).await;
            served.unwrap_or_else(|error| panic!("stub owner: {error}"));
        });
        owner
    }
}

impl HttpService for StubOwner {
    fn answer(&self, request: HttpRequest) -> ReplyFuture {
        let owner = self.clone();
        Box::pin(async move {
            let call = OwnerCall::decode(request.body);
            let kind = match call.ok().and_then(|call| call.ask) {
                Some(ask @ Ask::Submit(_)) => {
                    owner.asks.borrow_mut().push(ask);
                    owner.submission_answer.get()
                }
                Some(ask @ Ask::DryRun(_)) => {
                    owner.asks.borrow_mut().push(ask);
                    owner.dry_run_answer.get()
                }
                _ => AnswerKind::NotOwner,
            };
            let answer = OwnerAnswer {
                kind: kind.into(),
                retry_after_ms: Self::RETRY_AFTER_MS,
                ..OwnerAnswer::default()
            };
            HttpReply::json(200, answer.encode_to_vec())
        })
    }
}
