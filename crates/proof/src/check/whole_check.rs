use crate::{History, HistoryCheck, RequestOutcome};

/// Every caller gets the whole answer to its own request: the answers of the stand-ins
/// depend on all of the body, so that a foreign or cut one shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct WholeCheck;

impl HistoryCheck for WholeCheck {
    fn name(&self) -> &'static str {
        "whole-answers"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        history
            .requests
            .iter()
            .filter(|op| op.outcome == RequestOutcome::Answer { is_right: false })
            .map(|op| format!("{} got a wrong answer through {}", op.nonce, op.entry))
            .collect()
    }
}
