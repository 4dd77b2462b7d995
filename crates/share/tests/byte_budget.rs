//! Network use of a host's broker sessions when very many pools are full.

use std::{collections::BTreeMap, time::Duration};

use decide::share::HolderOptions;
use model::{MemberId, PoolId};
use ports::{PoolDemand, TeamDemand};
use prost::Message as _;
use share::{BrokerSessions, ShareTimes};
use wire::peer::SlotGrant;

const POOLS: usize = 150;
const TEAMS: u32 = 20;
const BROKERS: usize = 7;
const SECONDS: u32 = 20;

fn demand(pool: usize, used_ms: u64) -> PoolDemand {
    let team = |index: u32| TeamDemand {
        team: format!("team-{index}").into(),
        running: 3,
        queued: 40,
        used_ms,
        ..TeamDemand::default()
    };
    PoolDemand {
        pool: format!("pool-{pool}").into(),
        teams: (0..TEAMS).map(team).collect(),
        ..PoolDemand::default()
    }
}

// Guards against overloading the network between entry hosts when all pools are full at once:
// each pool's report has some hundred bytes and is due four times a second. The bytes must stay
// bounded and every session must still be renewed within its lease.
#[test]
fn due_bounds_bytes_and_renews() {
    let mut sessions = BrokerSessions::new(1, HolderOptions::default());
    let assigned = |pool: usize| MemberId::from(format!("e{}", pool % BROKERS));
    let broker_of_pool: BTreeMap<PoolId, MemberId> = (0..POOLS)
        .map(|pool| (format!("pool-{pool}").into(), assigned(pool)))
        .collect();
    sessions.set_brokers(broker_of_pool);
    let times = ShareTimes::default();
    let mut bytes = 0;
    let mut renewed: BTreeMap<MemberId, Duration> = BTreeMap::new();
    for tick in 1..SECONDS * 40 {
        let now = times.tick * tick;
        for pool in 0..POOLS {
            sessions.report(demand(pool, 75));
        }
        for (broker, demand) in sessions.due(now, &times) {
            bytes += demand.encoded_len();
            let grant = SlotGrant {
                round: demand.round,
                session: demand.session,
                pools: Vec::new(),
            };
            sessions.apply(&broker, &grant);
            let last = renewed.insert(broker.clone(), now).unwrap_or(now);
            assert!(
                now - last < times.lease / 2,
                "{broker} renewed after {:?}",
                now - last
            );
        }
    }
    let rate = bytes as f64 / f64::from(SECONDS);
    println!("{rate:.0} bytes a second");
    assert_eq!(renewed.len(), BROKERS);
    assert!(rate < 2800.0, "{rate:.0} bytes a second");
}
