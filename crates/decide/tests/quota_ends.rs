//! Guards against lost units when hosts are killed one after the other, each before it has seen a
//! dead incarnation's units become free. The team would be refused everywhere with `team-limit`
//! although none of its work runs.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use decide::{
    member::MemberList,
    quota::{QuotaAction, QuotaMachine, QuotaOptions, QuotaWrite, TeamLimit, WriteOutcome},
};
use model::{MemberId, TeamId};
use wire::state::{Member, MemberRecord, QuotaRecord};

const TEAM: &str = "panels";
const LIMIT: TeamLimit = TeamLimit {
    limit: 12,
    since: 1,
};
const STEP: Duration = Duration::from_millis(25);
/// Each of three hosts is killed every 60 s, before an incarnation's units are free after 62.5 s.
const KILL_INTERVAL: Duration = Duration::from_secs(20);
const KILLS: usize = 20;
/// Allowed time for the write after units become free.
const RECLAIM_WITHIN: Duration = Duration::from_secs(2);

struct Host {
    name: MemberId,
    incarnation: u64,
    machine: QuotaMachine,
}

/// Three hosts that always want more of one team's limit, and a store that responds immediately.
struct Fleet {
    now: Duration,
    list: MemberRecord,
    hosts: Vec<Host>,
    store: (u64, QuotaRecord),
    ended: BTreeMap<u64, Duration>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1000),
            list: MemberRecord::default(),
            hosts: Vec::new(),
            store: (0, QuotaRecord::default()),
            ended: BTreeMap::new(),
        };
        for name in ["e1", "e2", "e3"] {
            fleet.start(name);
        }
        fleet
    }

    /// Starts a host, replacing its previous incarnation.
    fn start(&mut self, name: &str) {
        self.list.revision += 1;
        let incarnation = self.list.revision;
        for host in self.hosts.extract_if(.., |host| host.name == *name) {
            self.ended.insert(host.incarnation, self.now);
        }
        self.list.members.retain(|member| member.id != name);
        self.list.members.push(Member {
            id: name.to_owned(),
            incarnation,
            peer_address: name.to_owned(),
            ..Member::default()
        });
        let mut machine = QuotaMachine::new(QuotaOptions::default(), name.into(), incarnation);
        machine.set_limits(1, &BTreeMap::from([(TeamId::from(TEAM), LIMIT)]));
        self.hosts.push(Host {
            name: name.into(),
            incarnation,
            machine,
        });
        let list = MemberList::new(self.list.clone());
        for host in &mut self.hosts {
            host.machine.set_members(&list, self.now);
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.hosts.len() {
                let machine = &mut self.hosts[index].machine;
                machine.set_waiting(&TEAM.into(), 20);
                let actions = machine.tick(self.now);
                self.perform(index, actions);
            }
            self.expect_units_in_time();
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<QuotaAction>) {
        for action in actions {
            let further = self.perform_one(index, action);
            for (index, actions) in further {
                self.perform(index, actions);
            }
        }
    }

    fn perform_one(&mut self, index: usize, action: QuotaAction) -> Vec<(usize, Vec<QuotaAction>)> {
        let (from, incarnation) = (
            self.hosts[index].name.clone(),
            self.hosts[index].incarnation,
        );
        let now = self.now;
        match action {
            QuotaAction::Read(team) => {
                let (version, record) = self.store.clone();
                let machine = &mut self.hosts[index].machine;
                machine.apply_read(&team, version, record, now);
                Vec::new()
            }
            QuotaAction::Write(write) => {
                let outcome = self.swap(&write);
                let machine = &mut self.hosts[index].machine;
                vec![(
                    index,
                    machine.handle_write_outcome(&write.team, outcome, now),
                )]
            }
            QuotaAction::Ask(to, ask) => {
                let (index, machine) = self.find(&to);
                vec![(index, machine.handle_ask(&from, &ask, now))]
            }
            QuotaAction::Release(to, release) => {
                self.find(&to)
                    .1
                    .handle_release(&from, incarnation, &release);
                Vec::new()
            }
            QuotaAction::SendRecord(to, note) => {
                self.find(&to).1.handle_record(&note, now);
                Vec::new()
            }
            QuotaAction::SendEnds(to, ends) => {
                self.find(&to).1.handle_ends(&ends, now);
                Vec::new()
            }
        }
    }

    fn find(&mut self, name: &MemberId) -> (usize, &mut QuotaMachine) {
        let index = self.hosts.iter().position(|host| host.name == *name);
        let index = index.unwrap();
        (index, &mut self.hosts[index].machine)
    }

    /// Writes the record; units of a dead incarnation must not be taken too early.
    fn swap(&mut self, write: &QuotaWrite) -> WriteOutcome {
        if self.store.0 != write.expect {
            return WriteOutcome::Conflict;
        }
        let after = QuotaOptions::default().reclaim_after();
        let before = std::mem::replace(&mut self.store.1, write.record.clone());
        for grant in before.grants {
            let is_kept = write.record.grants.contains(&grant);
            if let Some(at) = self.ended.get(&grant.incarnation).filter(|_| !is_kept) {
                assert!(self.now - *at >= after, "taken too early: {grant:?}");
            }
        }
        self.store.0 += 1;
        WriteOutcome::Done(self.store.0)
    }

    /// Units of a dead incarnation must not stay reserved for longer than its work can run.
    fn expect_units_in_time(&self) {
        let latest = QuotaOptions::default().reclaim_after() + RECLAIM_WITHIN;
        for grant in &self.store.1.grants {
            if let Some(at) = self.ended.get(&grant.incarnation) {
                let age = self.now - *at;
                assert!(
                    age < latest,
                    "still reserved {age:?} after its end: {grant:?}"
                );
            }
        }
    }
}

// A restarted host does not know when incarnations ended before its own start. If it counted from
// its start, units would never become free while hosts are replaced one after the other, and with
// each kill more of the limit would be lost.
#[test]
fn handle_ends_frees_units_while_hosts_are_killed_in_turn() {
    let mut fleet = Fleet::new();
    for kill in 0..KILLS {
        fleet.run(KILL_INTERVAL);
        fleet.start(["e1", "e2", "e3"][kill % 3]);
    }
    fleet.run(KILL_INTERVAL);
}
