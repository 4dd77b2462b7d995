//! Conversions between the generated wire types and the types of `decide` and `ports`.

use std::time::Duration;

use decide::share::{HolderDemand, PoolOffer, SlotMap, TeamLoad};
use ports::{PoolDemand, TeamDemand};
use wire::peer;

pub(crate) fn demand_from_wire(pool: &peer::PoolDemand) -> HolderDemand {
    HolderDemand {
        teams: pool.teams.iter().map(load_from_wire).collect(),
        held: slots_from_wire(&pool.held),
    }
}

pub(crate) fn demand_to_wire(demand: &PoolDemand, held: &SlotMap) -> peer::PoolDemand {
    peer::PoolDemand {
        pool: demand.pool.to_string(),
        teams: demand.teams.iter().map(load_to_wire).collect(),
        held: slots_to_wire(held),
    }
}

pub(crate) fn offer_from_wire(grant: &peer::PoolGrant) -> PoolOffer {
    let teams = grant.teams.iter().map(|team| {
        let time = Duration::from_millis(team.virtual_ms);
        (team.team.as_str().into(), team.slots, time)
    });
    PoolOffer {
        targets: slots_from_wire(&grant.slots),
        teams: teams.collect(),
    }
}

pub(crate) fn offer_to_wire(pool: &str, offer: &PoolOffer) -> peer::PoolGrant {
    let teams = offer.teams.iter().map(|(team, slots, time)| peer::TeamUse {
        team: team.to_string(),
        slots: *slots,
        virtual_ms: millis(*time),
    });
    peer::PoolGrant {
        pool: pool.to_owned(),
        slots: slots_to_wire(&offer.targets),
        teams: teams.collect(),
    }
}

pub(crate) fn slots_to_wire(slots: &SlotMap) -> Vec<peer::TargetSlots> {
    let each = slots.iter().map(|(host, &slots)| peer::TargetSlots {
        host: host.to_string(),
        slots,
    });
    each.collect()
}

fn slots_from_wire(slots: &[peer::TargetSlots]) -> SlotMap {
    let each = slots
        .iter()
        .map(|target| (target.host.as_str().into(), target.slots));
    each.collect()
}

fn load_from_wire(team: &peer::TeamDemand) -> TeamLoad {
    TeamLoad {
        team: team.team.as_str().into(),
        running: team.running,
        queued: team.queued,
        used: Duration::from_millis(team.used_ms),
    }
}

fn load_to_wire(team: &TeamDemand) -> peer::TeamDemand {
    peer::TeamDemand {
        team: team.team.to_string(),
        running: team.running,
        queued: team.queued,
        urgent: team.urgent,
        used_ms: team.used_ms,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
