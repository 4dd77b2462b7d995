use model::{ChangeId, KeyId, Revision};
use serde::Serialize;

use crate::{AdminProblem, ProblemCode};

/// The HTTP methods that the interface knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HttpVerb {
    Get,
    Put,
    Post,
    Delete,
}

impl HttpVerb {
    pub(crate) fn parse(method: &str) -> Option<Self> {
        match method {
            "GET" => Some(Self::Get),
            "PUT" => Some(Self::Put),
            "POST" => Some(Self::Post),
            "DELETE" => Some(Self::Delete),
            _ => None,
        }
    }
}

/// One call of an operator, read whole.
#[derive(Clone, Debug)]
pub(crate) struct AdminCall {
    pub(crate) verb: HttpVerb,
    pub(crate) path: String,
    pub(crate) query: String,
    /// Id of the administration key; empty on the open paths.
    pub(crate) author: KeyId,
    pub(crate) change_id: ChangeId,
    pub(crate) base_revision: Option<Revision>,
    pub(crate) body: Vec<u8>,
}

impl AdminCall {
    /// The value of a query parameter; empty if it is left out.
    pub(crate) fn text(&self, name: &str) -> &str {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or("", |(_, value)| value)
    }

    /// The value of a query parameter that is a number.
    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, AdminProblem> {
        match self.text(name) {
            "" => Ok(None),
            text => text.parse().map(Some).map_err(|_| {
                let detail = format!("the parameter {name} is not a number");
                AdminProblem::new(ProblemCode::BadRequest, detail)
            }),
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct AdminReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    /// Revision that the answer shows, if it shows one.
    pub(crate) revision: Option<Revision>,
    pub(crate) body: Vec<u8>,
}

impl AdminReply {
    pub(crate) fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            revision: None,
            body: body.into(),
        }
    }

    pub(crate) fn json<T: Serialize>(status: u16, body: &T) -> Self {
        Self {
            status,
            content_type: "application/json",
            revision: None,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    pub(crate) fn with_revision(self, revision: Revision) -> Self {
        Self {
            revision: Some(revision),
            ..self
        }
    }
}

impl From<AdminProblem> for AdminReply {
    fn from(problem: AdminProblem) -> Self {
        Self {
            content_type: "application/problem+json",
            ..Self::json(problem.kind.status(), &problem)
        }
    }
}
