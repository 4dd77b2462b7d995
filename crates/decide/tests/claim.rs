//! Claims of request ids with any order of minting, claiming and repeating.

use std::collections::{BTreeMap, BTreeSet};

use decide::claim::{ClaimGrant, ClaimLedger, Claimant, MintedId};
use model::{RequestId, TeamId};
use proptest::prelude::*;
use rstest::rstest;

#[derive(Clone, Debug)]
enum Step {
    Mint {
        team: u8,
    },
    MintSpent,
    Claim {
        counter: u64,
        team: u8,
        member: u8,
        call: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_u8..3).prop_map(|team| Step::Mint { team }),
        1 => Just(Step::MintSpent),
        6 => (0_u64..60, 0_u8..3, 0_u8..3, 0_u64..4).prop_map(|(counter, team, member, call)| {
            Step::Claim { counter, team, member, call }
        }),
    ]
}

fn claimant(member: u8, call: u64) -> Claimant {
    Claimant {
        member: format!("e{member}").into(),
        incarnation: 1,
        call,
    }
}

proptest! {
    /// At most one claimant is ever granted an id, only the team it was minted for gets it, and the
    /// ledger stays within its capacity.
    #[test]
    fn claim_granted_once(steps in prop::collection::vec(step(), 1..400), capacity in 1_usize..20) {
        let mut ledger = ClaimLedger::new(capacity);
        let mut owners: BTreeMap<u64, TeamId> = BTreeMap::new();
        let mut spent = BTreeSet::new();
        let mut granted: BTreeMap<u64, Claimant> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Mint { team } => {
                    let team = TeamId::from(format!("team{team}"));
                    let counter = ledger.mint(&team);
                    prop_assert!(owners.insert(counter, team).is_none());
                }
                Step::MintSpent => {
                    spent.insert(ledger.mint_claimed());
                }
                Step::Claim { counter, team, member, call } => {
                    let team = TeamId::from(format!("team{team}"));
                    let claimant = claimant(member, call);
                    if ledger.claim(counter, &team, &claimant) == ClaimGrant::First {
                        prop_assert_eq!(owners.get(&counter), Some(&team));
                        prop_assert!(!spent.contains(&counter));
                        let first = granted.entry(counter).or_insert_with(|| claimant.clone());
                        prop_assert_eq!(&*first, &claimant);
                    }
                }
            }
            prop_assert!(ledger.open_count() <= capacity);
        }
    }

    #[test]
    fn minted_id_round_trip(home in "[a-z][a-z0-9.-]{0,12}", incarnation: u64, counter: u64) {
        let minted = MintedId { home: home.as_str().into(), incarnation, counter };
        prop_assert_eq!(MintedId::parse(&minted.to_request()), Some(minted));
    }
}

#[rstest]
#[case::words("order-17")]
#[case::two_parts("e1.7")]
#[case::no_home(".1.7")]
#[case::leading_zero("e1.1.07")]
#[case::plus("e1.+1.7")]
#[case::negative("e1.1.-7")]
#[case::huge("e1.1.99999999999999999999999")]
#[case::empty("")]
fn minted_id_rejects_foreign_text(#[case] text: &str) {
    assert_eq!(MintedId::parse(&RequestId::from(text)), None);
}

/// The home's response is lost and the claimant repeats its request: the same call gets the same
/// response, and a later call of the same host does not.
#[test]
fn claim_repeated_call_is_granted_again() {
    let mut ledger = ClaimLedger::new(4);
    let team = TeamId::from("panels");
    let counter = ledger.mint(&team);
    assert_eq!(
        ledger.claim(counter, &team, &claimant(1, 7)),
        ClaimGrant::First
    );
    assert_eq!(
        ledger.claim(counter, &team, &claimant(1, 7)),
        ClaimGrant::First
    );
    assert_eq!(
        ledger.claim(counter, &team, &claimant(1, 8)),
        ClaimGrant::Taken
    );
    let reborn = Claimant {
        incarnation: 2,
        ..claimant(1, 7)
    };
    assert_eq!(ledger.claim(counter, &team, &reborn), ClaimGrant::Taken);
}

/// Another team guesses an id. Its claim is refused and does not use up the id.
#[test]
fn claim_of_another_team_is_refused() {
    let mut ledger = ClaimLedger::new(4);
    let team = TeamId::from("panels");
    let counter = ledger.mint(&team);
    let guess = ledger.claim(counter, &TeamId::from("planners"), &claimant(1, 1));
    assert_eq!(guess, ClaimGrant::Taken);
    assert_eq!(
        ledger.claim(counter, &team, &claimant(2, 1)),
        ClaimGrant::First
    );
}

#[test]
fn claim_of_evicted_id_is_refused() {
    let mut ledger = ClaimLedger::new(2);
    let team = TeamId::from("panels");
    let oldest = ledger.mint(&team);
    ledger.mint(&team);
    ledger.mint(&team);
    assert_eq!(
        ledger.claim(oldest, &team, &claimant(1, 1)),
        ClaimGrant::Taken
    );
}
