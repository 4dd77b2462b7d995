use model::StepError;

use super::AdminRouter;
use crate::{
    AdminProblem, ProblemCode,
    server::{AdminCall, AdminReply},
    view::AuditView,
};

impl AdminRouter {
    /// The newest entries, or those of the page asked for.
    pub(super) fn show_audit(&self, call: &AdminCall) -> Result<AdminReply, AdminProblem> {
        let unread = |error: StepError| {
            AdminProblem::new(
                ProblemCode::Unavailable,
                format!("the trail can't be read: {error}"),
            )
        };
        let page = call.number("page")?;
        let trail = match call.text("trail") {
            "" => &self.changes,
            "grants" => &self.grants,
            other => {
                let detail = format!("there is no trail {other:?}; `grants` is one");
                return Err(AdminProblem::new(ProblemCode::NotFound, detail));
            }
        };
        let (_, head) = trail.read_head().map_err(unread)?;
        let Some(page) = page else {
            return Ok(AdminReply::json(200, &AuditView::new(&head, &head.tail)));
        };
        let Some(entries) = trail.read_page(page).map_err(unread)? else {
            let detail = format!("there is no page {page}; it may have been dropped for age");
            return Err(AdminProblem::new(ProblemCode::NotFound, detail));
        };
        Ok(AdminReply::json(200, &AuditView::new(&head, &entries)))
    }
}
