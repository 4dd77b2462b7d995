//! A manifest is accepted or rejected as a whole; an error has the place of the first problem.

use model::{HostRole, Manifest};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const MANIFEST: &str = "\
[deployment]
name = trial
[pool.quote]
role = executor
size = 8
budget = 6
window = night
[pool.plan]
role = worker
size = 8
budget = 6
slots = 4
[service.quotes]
worker_pool = plan
pool = quote
[team.sales]
share = 2
limit = 40
[window.night]
start = 22:30
length = 6h
every = 56d
at_once = 2
[workspace.daily]
team = sales
limit = 10
";

#[test]
fn from_ini_valid() {
    let (sections, manifest) = Manifest::from_ini(MANIFEST).expect("a valid manifest");
    assert_eq!(manifest.name, "trial");
    assert_eq!(manifest.pools["plan"].role, HostRole::Worker);
    assert_eq!(manifest.services["quotes"].worker_pool, "plan");
    assert_eq!(manifest.windows["night"].start.as_secs(), 81_000);
    assert_eq!(
        sections["service.quotes"],
        "pool = quote\nworker_pool = plan\n"
    );
}

#[test]
fn from_sections_empty() {
    // A new deployment has no manifest; operators grant the first key in this state.
    let manifest = Manifest::from_sections(&model::SectionTexts::new());
    assert_eq!(manifest, Ok(Manifest::default()));
    assert!(Manifest::from_ini("; nothing\n").is_err());
}

#[test]
fn format_sections_round_trip() {
    let sections = Manifest::split(MANIFEST).expect("valid text");
    let again = Manifest::split(&Manifest::format_sections(&sections)).expect("valid text");
    assert_eq!(sections, again);
}

#[rstest]
#[case::unknown_pool(
    "pool = quote",
    "pool = quotes",
    "line 15: [service.quotes] pool: there is no section [pool.quotes]"
)]
#[case::wrong_role(
    "pool = quote",
    "pool = plan",
    "line 15: [service.quotes] pool: [pool.plan] must have the role executor"
)]
#[case::unknown_window(
    "window = night",
    "window = noon",
    "line 7: [pool.quote] window: there is no section [window.noon]"
)]
#[case::unknown_team(
    "team = sales",
    "team = ales",
    "line 25: [workspace.daily] team: there is no section [team.ales]"
)]
#[case::budget_above_size(
    "budget = 6",
    "budget = 9",
    "line 6: [pool.quote] budget: more hosts than the size of the pool, 8"
)]
#[case::budget_all(
    "budget = 6",
    "budget = 8",
    "line 6: [pool.quote] budget: leaves no host to maintain: a pool of 8 with a window needs a budget of 7 at most"
)]
#[case::budget_window(
    "at_once = 2",
    "at_once = 3",
    "line 6: [pool.quote] budget: can't be met: [window.night] takes 3 hosts out at once, size less budget is 2"
)]
#[case::zero_weight(
    "share = 2",
    "share = 0",
    "line 17: [team.sales] share: `0` is not a whole number from 1 to 1000"
)]
#[case::huge_number(
    "limit = 40",
    "limit = 99999999999999999999999",
    "line 18: [team.sales] limit: `99999999999999999999999` is not a whole number from 1 to 1000000"
)]
#[case::negative(
    "limit = 40",
    "limit = -1",
    "line 18: [team.sales] limit: `-1` is not a whole number from 1 to 1000000"
)]
#[case::empty_pool(
    "size = 8",
    "size = 0",
    "line 5: [pool.quote] size: `0` is not a whole number from 1 to 2000"
)]
#[case::workspace_limit(
    "limit = 10",
    "limit = 41",
    "line 26: [workspace.daily] limit: more than the limit of [team.sales], 40"
)]
#[case::spare_in_use(
    "slots = 4",
    "spare = true",
    "line 14: [service.quotes] worker_pool: [pool.plan] is a spare pool"
)]
#[case::connections(
    "window = night",
    "connections = 7",
    "line 7: [pool.quote] connections: fewer than the slots of a host, 8"
)]
#[case::no_keys(
    "limit = 10",
    "limit = 10\n[team.idle]",
    "line 27: [team.idle] the section has no keys"
)]
#[case::bad_name(
    "[team.sales]",
    "[team.Sales]",
    "line 16: [team.Sales] `Sales` is not a name of 1 to 40 characters from a-z, 0-9 and, within, `-`"
)]
#[case::unknown_kind(
    "[team.sales]",
    "[gang.sales]",
    "line 16: [gang.sales] unknown section; known are deployment, pool.NAME, service.NAME, team.NAME, window.NAME and workspace.NAME"
)]
#[case::no_deployment(
    "[deployment]\nname = trial\n",
    "",
    "[deployment] the section is required"
)]
fn from_ini_refused(#[case] old: &str, #[case] new: &str, #[case] message: &str) {
    let text = MANIFEST.replacen(old, new, 1);
    let error = Manifest::from_ini(&text).expect_err("must be refused");
    assert_eq!(error.to_string(), message);
}

#[test]
fn from_ini_two_spare_pools() {
    let spare = "[pool.a]\nrole = worker\nsize = 4\nbudget = 0\nspare = true\n";
    let text = format!("{MANIFEST}{spare}{}", spare.replace("pool.a", "pool.b"));
    let error = Manifest::from_ini(&text).expect_err("must be refused");
    assert_eq!(
        error.to_string(),
        "line 36: [pool.b] spare: [pool.a] is the spare pool of the role worker already"
    );
}

#[test]
fn from_ini_shared_executor_pool() {
    let text = format!("{MANIFEST}[service.stock]\npool = quote\n");
    let error = Manifest::from_ini(&text).expect_err("must be refused");
    assert_eq!(
        error.to_string(),
        "line 28: [service.stock] pool: [pool.quote] answers [service.quotes] already"
    );
}

#[test]
fn from_ini_too_large() {
    let text = "; a comment\n".repeat(100_000);
    let error = Manifest::from_ini(&text).expect_err("must be refused");
    assert_eq!(error.to_string(), "the text is larger than 524288 bytes");
}

#[test]
fn from_ini_too_many_sections() {
    let text: String = (0..5_000)
        .map(|n| format!("[team.t{n}]\nshare = 1\n"))
        .collect();
    let error = Manifest::from_ini(&text).expect_err("must be refused");
    assert!(
        error.to_string().ends_with("more than 4096 sections"),
        "{error}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Parsing arbitrary text never panics, and an error has a line number within the text.
    #[test]
    fn from_ini_any_text(text in "(\\[(pool|team|window)\\.[a-z]\\]|[a-z_]{1,9}|=| |\n|:|;|\\PC){0,80}") {
        if let Err(error) = Manifest::from_ini(&text) {
            prop_assert!(error.line <= text.lines().count());
        }
    }

    /// A manifest with two lines swapped is rejected, or is unchanged by a round trip.
    #[test]
    fn from_ini_swapped_lines(from in 0usize..26, to in 0usize..26) {
        let mut lines: Vec<&str> = MANIFEST.lines().collect();
        lines.swap(from, to);
        if let Ok((sections, manifest)) = Manifest::from_ini(&lines.join("\n")) {
            let again = Manifest::from_ini(&Manifest::format_sections(&sections));
            prop_assert_eq!(again, Ok((sections, manifest)));
        }
    }
}

#[rstest]
#[case::none(0, &["losing a rack of 4 leaves 4 hosts, fewer than the budget of 6"])]
#[case::fifth(20, &["losing a rack of 4 leaves 2 hosts, fewer than the budget of 6", "with 6 hosts none can be maintained within a budget of 6"])]
#[case::third(33, &["without 3 of its hosts the pool has 5, fewer than its budget of 6"])]
fn advice_lost_hosts(#[case] percent: u32, #[case] expected: &[&str]) {
    let (_, manifest) = Manifest::from_ini(MANIFEST).expect("a valid manifest");
    let advice: Vec<String> = manifest
        .advice(percent)
        .into_iter()
        .filter(|advice| advice.section == "pool.quote")
        .map(|advice| advice.text)
        .collect();
    for text in expected {
        assert!(advice.iter().any(|advice| advice == text), "{advice:?}");
    }
}
