//! Each check finds its broken promise in a history made by hand, and nothing in a sound
//! one. Times are in seconds here.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::time::Duration;

use fake::RunRecord;
use model::RunFate;
use proof::{
    ChangeEffect, ChangeOp, ChangeResult, DrainCheck, ForceCheck, ForceOp, History, HistoryCheck,
    HostDrain, HostRun, KeyCheck, LimitCheck, OnceCheck, OpSpan, RefusalCheck, RequestOp,
    RequestOutcome, RevisionCheck, WholeCheck,
};
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(3);
const RIGHT: RequestOutcome = RequestOutcome::Answer { is_right: true };

fn s(seconds: u64) -> u64 {
    seconds * 1_000_000_000
}

fn span(from: u64, to: u64) -> OpSpan {
    OpSpan {
        invoke_ns: s(from),
        response_ns: s(to),
    }
}

fn attempt(nonce: &str, from: u64, to: u64, outcome: RequestOutcome) -> RequestOp {
    RequestOp {
        span: span(from, to),
        entry: "e1".to_owned(),
        request: String::new(),
        nonce: nonce.to_owned(),
        key_id: "k1".to_owned(),
        idempotent: false,
        outcome,
    }
}

fn run(host: &str, nonce: &str, from: u64, to: u64) -> HostRun {
    HostRun {
        host: host.to_owned(),
        run: RunRecord {
            nonce: nonce.to_owned(),
            team: "weights".to_owned(),
            start_ns: s(from),
            end_ns: s(to),
            ..RunRecord::default()
        },
    }
}

fn change(from: u64, to: u64, effect: ChangeEffect, outcome: ChangeResult) -> ChangeOp {
    ChangeOp {
        span: span(from, to),
        change_id: format!("c{from}"),
        effect,
        outcome,
        ..ChangeOp::default()
    }
}

fn accepted(revision: u64) -> ChangeResult {
    ChangeResult::Accepted {
        revision,
        repeated: false,
    }
}

fn limit(units: u32) -> ChangeEffect {
    ChangeEffect::Manifest {
        limits: vec![("weights".to_owned(), units)],
    }
}

fn refused(fate: RunFate) -> RequestOutcome {
    RequestOutcome::Refused {
        fate,
        kind: "no-target".to_owned(),
    }
}

#[test]
fn once_check_two_runs() {
    let mut history = History {
        runs: vec![run("x1", "n1", 1, 2), run("x2", "n2", 1, 2)],
        ..History::default()
    };
    assert!(OnceCheck.findings(&history).is_empty());
    history.runs.push(run("x3", "n1", 5, 6));
    assert_eq!(OnceCheck.findings(&history).len(), 1);
    for run in &mut history.runs {
        run.run.idempotent = true;
    }
    assert!(OnceCheck.findings(&history).is_empty());
}

#[test]
fn whole_check_wrong_answer() {
    let wrong = RequestOutcome::Answer { is_right: false };
    let mut history = History {
        requests: vec![attempt("n1", 1, 2, RIGHT)],
        ..History::default()
    };
    assert!(WholeCheck.findings(&history).is_empty());
    history.requests.push(attempt("n2", 1, 2, wrong));
    assert_eq!(WholeCheck.findings(&history).len(), 1);
}

/// Attempts of `n1`, and whether a run of it that starts at 5 is explained.
#[rstest]
#[case::refused_then_ran(vec![attempt("n1", 1, 9, refused(RunFate::NotRun))], false)]
#[case::refused_before_it_ran(vec![attempt("n1", 1, 2, refused(RunFate::NotRun))], false)]
#[case::not_connected(vec![attempt("n1", 1, 2, RequestOutcome::NotConnected)], false)]
#[case::may_have_run(vec![attempt("n1", 1, 2, refused(RunFate::MayHaveRun))], true)]
#[case::no_answer(vec![attempt("n1", 1, 2, RequestOutcome::Nothing)], true)]
#[case::retried(
    vec![attempt("n1", 1, 2, refused(RunFate::NotRun)), attempt("n1", 3, 9, RIGHT)],
    true
)]
#[case::retried_after_run(
    vec![attempt("n1", 1, 2, refused(RunFate::NotRun)), attempt("n1", 6, 9, RIGHT)],
    false
)]
fn refusal_check_attempts(#[case] requests: Vec<RequestOp>, #[case] is_true: bool) {
    let history = History {
        requests,
        runs: vec![run("x1", "n1", 5, 6)],
        ..History::default()
    };
    assert_eq!(RefusalCheck.findings(&history).is_empty(), is_true);
}

#[rstest]
#[case::after_it_ran(5, false, false)]
#[case::before_it_ran(9, false, true)]
#[case::idempotent(5, true, true)]
fn refusal_check_ids(#[case] start: u64, #[case] idempotent: bool, #[case] is_true: bool) {
    let mut second = attempt("n1", 7, 8, refused(RunFate::NotRun));
    second.request = "e1.1.1".to_owned();
    second.idempotent = idempotent;
    let mut ran = run("x1", "n1", start, start + 1);
    ran.run.request = "e1.1.1".to_owned();
    let history = History {
        requests: vec![attempt("n1", 4, 6, RequestOutcome::Nothing), second],
        runs: vec![ran],
        ..History::default()
    };
    assert_eq!(RefusalCheck.findings(&history).is_empty(), is_true);
}

#[rstest]
#[case::in_time(12, "weights", true)]
#[case::too_late(14, "weights", false)]
#[case::before_grant(0, "weights", false)]
#[case::foreign_team(5, "coding", false)]
fn key_check_withdrawn(#[case] start: u64, #[case] team: &str, #[case] is_sound: bool) {
    let (key_id, team_of_key) = ("k1".to_owned(), "weights".to_owned());
    let grant = ChangeEffect::Grant {
        key_id: key_id.clone(),
        team: team_of_key,
    };
    let withdraw = ChangeEffect::Withdraw { key_id };
    let mut late = run("x1", "n1", start, start + 1);
    late.run.team = team.to_owned();
    let mut history = History {
        requests: vec![attempt("n1", 0, 30, RIGHT)],
        changes: vec![
            change(1, 2, grant, accepted(1)),
            change(9, 10, withdraw, accepted(2)),
        ],
        runs: vec![late],
        ..History::default()
    };
    let check = KeyCheck {
        stops_within: BOUND,
    };
    assert_eq!(check.findings(&history).is_empty(), is_sound);
    history.requests[0].key_id = "never-granted".to_owned();
    assert_eq!(check.findings(&history).len(), 1);
}

#[test]
fn key_check_withdrawal_not_accepted() {
    let grant = ChangeEffect::Grant {
        key_id: "k1".to_owned(),
        team: "weights".to_owned(),
    };
    let withdraw = ChangeEffect::Withdraw {
        key_id: "k1".to_owned(),
    };
    let history = History {
        requests: vec![attempt("n1", 0, 30, RIGHT)],
        changes: vec![
            change(1, 2, grant, accepted(1)),
            change(9, 10, withdraw, ChangeResult::Unclear),
        ],
        runs: vec![run("x1", "n1", 20, 21)],
        ..History::default()
    };
    assert!(
        KeyCheck {
            stops_within: BOUND
        }
        .findings(&history)
        .is_empty()
    );
}

#[rstest]
#[case::at_limit(vec![(1, 9), (2, 9), (9, 10)], true)]
#[case::over_limit(vec![(1, 9), (2, 9), (3, 4)], false)]
#[case::never_ends(vec![(1, 0), (2, 0), (3, 4)], false)]
#[case::runs_on_when_lowered(vec![(1, 40), (2, 40)], true)]
#[case::starts_soon_after_lowered(vec![(1, 40), (22, 40)], true)]
#[case::starts_when_lowered(vec![(1, 40), (25, 40)], false)]
fn limit_check_overlap(#[case] spans: Vec<(u64, u64)>, #[case] is_sound: bool) {
    let runs = spans
        .iter()
        .map(|(from, to)| run("x1", &format!("n{from}"), *from, *to))
        .collect();
    let history = History {
        changes: vec![
            change(0, 1, limit(2), accepted(1)),
            change(19, 20, limit(1), accepted(2)),
        ],
        runs,
        ..History::default()
    };
    let check = LimitCheck {
        force_within: BOUND,
    };
    assert_eq!(check.findings(&history).is_empty(), is_sound);
}

#[rstest]
#[case::in_time(12, 0, false, true)]
#[case::attempt_late(14, 14, false, false)]
#[case::attempt_early(12, 12, false, true)]
#[case::start_late(14, 0, false, false)]
#[case::start_after_end(21, 0, false, true)]
#[case::cut_off(9, 0, true, false)]
fn drain_check_late(
    #[case] start: u64,
    #[case] attempt: u64,
    #[case] cut: bool,
    #[case] is_sound: bool,
) {
    let mut last = run("x1", "n1", start, start + 1);
    last.run.cut = cut;
    let history = History {
        runs: vec![last, run("x2", "n2", 15, 16)],
        drains: vec![HostDrain {
            host: "x1".to_owned(),
            begin_ns: s(10),
            end_ns: s(20),
            last_attempt_ns: s(attempt),
        }],
        ..History::default()
    };
    let check = DrainCheck {
        quiet_within: BOUND,
    };
    assert_eq!(check.findings(&history).is_empty(), is_sound);
}

fn force(member: &str, at: u64, revision: u64, hash: &str, serving: bool) -> ForceOp {
    ForceOp {
        span: span(at, at),
        member: member.to_owned(),
        revision,
        hash: hash.to_owned(),
        serving,
    }
}

#[rstest]
#[case::sound(vec![force("e1", 5, 1, "a", true), force("e1", 15, 2, "b", true)], true)]
#[case::reverts(vec![force("e1", 11, 2, "b", true), force("e1", 12, 1, "a", true)], false)]
#[case::forks(vec![force("e1", 11, 2, "b", true), force("e2", 12, 2, "c", true)], false)]
#[case::behind(vec![force("e1", 14, 1, "a", true)], false)]
#[case::behind_within_bound(vec![force("e1", 12, 1, "a", true)], true)]
#[case::behind_and_not_serving(vec![force("e1", 14, 1, "a", false)], true)]
fn force_check_order(#[case] forces: Vec<ForceOp>, #[case] is_sound: bool) {
    let history = History {
        forces,
        changes: vec![change(9, 10, ChangeEffect::Other, accepted(2))],
        ..History::default()
    };
    let check = ForceCheck {
        force_within: BOUND,
    };
    assert_eq!(check.findings(&history).is_empty(), is_sound);
}

fn revise(from: u64, to: u64, id: &str, base: Option<u64>, outcome: ChangeResult) -> ChangeOp {
    ChangeOp {
        span: span(from, to),
        change_id: id.to_owned(),
        base,
        outcome,
        ..ChangeOp::default()
    }
}

const CONFLICT: ChangeResult = ChangeResult::Conflict { newest: 1 };
const REPEATED: ChangeResult = ChangeResult::Accepted {
    revision: 1,
    repeated: true,
};

#[rstest]
#[case::in_order(vec![
    revise(1, 2, "a", Some(0), accepted(1)), revise(3, 4, "b", Some(1), accepted(2))], true)]
#[case::race_one_wins(vec![
    revise(1, 5, "a", Some(0), accepted(1)), revise(2, 4, "b", Some(0), CONFLICT)], true)]
#[case::race_both_win(vec![
    revise(1, 5, "a", Some(0), accepted(1)), revise(2, 4, "b", Some(0), accepted(1))], false)]
#[case::race_both_lose(vec![
    revise(1, 5, "a", Some(0), CONFLICT), revise(2, 4, "b", Some(0), CONFLICT)], false)]
#[case::lost_then_repeated(vec![
    revise(1, 2, "a", Some(0), ChangeResult::Unclear), revise(3, 4, "a", Some(0), REPEATED)],
    true)]
#[case::refused_but_recorded(vec![
    revise(1, 2, "a", Some(0), ChangeResult::NotRecorded),
    revise(3, 4, "a", Some(0), REPEATED)], false)]
#[case::made_twice(vec![
    revise(1, 2, "a", None, accepted(1)), revise(3, 4, "a", None, accepted(2))], false)]
#[case::older_after_newer(vec![
    revise(1, 2, "a", None, accepted(2)), revise(3, 4, "b", None, accepted(1))], false)]
#[case::lost_takes_effect_later(vec![
    revise(1, 2, "a", None, ChangeResult::Unclear), revise(3, 4, "b", Some(0), accepted(1)),
    revise(5, 6, "c", Some(2), accepted(3))], true)]
fn revision_check_order(#[case] changes: Vec<ChangeOp>, #[case] is_sound: bool) {
    let history = History {
        changes,
        ..History::default()
    };
    assert_eq!(RevisionCheck.findings(&history).is_empty(), is_sound);
}
