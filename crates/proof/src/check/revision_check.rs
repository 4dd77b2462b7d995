use std::collections::BTreeMap;

use todc_utils::{Action, History as OpHistory, Specification, WGLChecker};

use crate::{BootNanos, ChangeOp, ChangeResult, History, HistoryCheck, OpSpan};

/// The configuration as operators see it is one sequence of revisions: their changes are
/// linearizable, by the checker of Wing and Gong in `todc-utils`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RevisionCheck;

impl HistoryCheck for RevisionCheck {
    fn name(&self) -> &'static str {
        "linearizable-changes"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let ops: Vec<_> = history.changes.iter().map(revision_op).collect();
        if is_linearizable::<RevisionSpec>(&ops) {
            return Vec::new();
        }
        let mut changes = history.changes.clone();
        changes.sort_by_key(|change| change.span.invoke_ns);
        vec![format!(
            "no order of these changes explains them: {changes:#?}"
        )]
    }
}

/// Whether operations with their spans can be put into one order that keeps the
/// specification. Operations whose outcome is unclear must be given as open-ended.
pub fn is_linearizable<S: Specification>(ops: &[(OpSpan, S::Operation)]) -> bool
where
    S::Operation: Clone,
{
    if ops.is_empty() {
        return true;
    }
    // Each operation is a process of its own: the spans alone say what precedes what.
    let mut points = Vec::<(BootNanos, usize, bool)>::new();
    for (index, (span, _)) in ops.iter().enumerate() {
        points.push((span.invoke_ns, index, false));
        points.push((span.response_ns, index, true));
    }
    // At equal times calls go first, which only allows more orders.
    points.sort_unstable_by_key(|(at, index, is_response)| (*at, *is_response, *index));
    let actions = points.into_iter().map(|(_, index, is_response)| {
        let operation = ops[index].1.clone();
        let action = if is_response {
            Action::Response(operation)
        } else {
            Action::Call(operation)
        };
        (index, action)
    });
    WGLChecker::<S>::is_linearizable(OpHistory::from_actions(actions.collect()))
}

/// A change of the configuration and what its operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionOp {
    /// Id of the change.
    pub change_id: String,
    /// Revision that it was made against.
    pub base: Option<u64>,
    /// What the operator was told.
    pub result: ChangeResult,
}

/// A change whose outcome is unclear may take effect long after its operator gave up.
fn revision_op(op: &ChangeOp) -> (OpSpan, RevisionOp) {
    let mut span = op.span;
    if op.outcome == ChangeResult::Unclear {
        span.response_ns = BootNanos::MAX;
    }
    let revision_op = RevisionOp {
        change_id: op.change_id.clone(),
        base: op.base,
        result: op.outcome,
    };
    (span, revision_op)
}

/// Revision and the changes that made it, by id.
pub type RevisionState = (u64, BTreeMap<String, u64>);

/// One sequence of revisions; repeating a change id is idempotent.
#[derive(Clone, Copy, Debug)]
pub struct RevisionSpec;

impl Specification for RevisionSpec {
    type State = RevisionState;
    type Operation = RevisionOp;

    fn init() -> RevisionState {
        (0, BTreeMap::new())
    }

    fn apply(op: &RevisionOp, state: &RevisionState) -> (bool, RevisionState) {
        let known = state.1.get(&op.change_id).copied();
        let fits = op.base.is_none_or(|base| base == state.0);
        let applied = || {
            let mut next = state.clone();
            next.0 += 1;
            next.1.insert(op.change_id.clone(), next.0);
            next
        };
        match (op.result, known) {
            (ChangeResult::Accepted { revision, repeated }, Some(made)) => {
                (repeated && revision == made, state.clone())
            }
            (ChangeResult::Accepted { revision, repeated }, None) => {
                (!repeated && fits && revision == state.0 + 1, applied())
            }
            (ChangeResult::Conflict { .. }, known) => (known.is_none() && !fits, state.clone()),
            (ChangeResult::NotRecorded, known) => (known.is_none(), state.clone()),
            (ChangeResult::Unclear, None) if fits => (true, applied()),
            (ChangeResult::Unclear, _) => (true, state.clone()),
        }
    }
}

/// A call of the store on one key whose values are never written twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterOp {
    /// A read and the value that it brought.
    Read(Option<u64>),
    /// A swap that succeeded.
    Swapped {
        /// Value whose version was expected.
        expect: Option<u64>,
        /// Value written.
        value: u64,
    },
    /// A swap that met another version.
    Conflicted {
        /// Value whose version was expected.
        expect: Option<u64>,
    },
    /// A swap whose answer was lost; its span is open-ended.
    Lost {
        /// Value whose version was expected.
        expect: Option<u64>,
        /// Value written.
        value: u64,
    },
}

/// One key of the store with compare-and-swap.
#[derive(Clone, Copy, Debug)]
pub struct KeyRegisterSpec;

impl Specification for KeyRegisterSpec {
    type State = Option<u64>;
    type Operation = RegisterOp;

    fn init() -> Option<u64> {
        None
    }

    fn apply(op: &RegisterOp, state: &Option<u64>) -> (bool, Option<u64>) {
        match *op {
            RegisterOp::Read(value) => (value == *state, *state),
            RegisterOp::Swapped { expect, value } => (expect == *state, Some(value)),
            RegisterOp::Conflicted { expect } => (expect != *state, *state),
            RegisterOp::Lost { expect, value } if expect == *state => (true, Some(value)),
            RegisterOp::Lost { .. } => (true, *state),
        }
    }
}
