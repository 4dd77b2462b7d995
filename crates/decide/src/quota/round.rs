//! Reads, requests and writes of an entry host, decided once per round.

use model::{BootTime, MemberId, TeamId};
use wire::state::QuotaRecord;

use super::{
    QuotaAction, QuotaMachine, QuotaOptions, QuotaWrite, WriteOutcome,
    grant_record::{granted_sum, is_within_limit, set_max_run_ms, units_of},
    messages::{record_update, reserve_units, send_release},
    team::{PendingWrite, TeamQuota},
};

/// Interval between reads of one team's record, in units of the ask interval.
const READ_INTERVAL: u32 = 2;

impl QuotaMachine {
    /// Actions to perform at `now`. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: BootTime) -> Vec<QuotaAction> {
        let is_leaving = self.is_leaving;
        let busy = self
            .teams
            .iter()
            .filter(|(_, t)| is_leaving || !t.is_idle());
        let names: Vec<TeamId> = busy.map(|(name, _)| name.clone()).collect();
        let mut actions = self.report_ends(now);
        for name in names {
            self.tick_team(&name, now, &mut actions);
        }
        actions
    }

    /// Handles the outcome of a write; returns the records to send to other hosts.
    pub fn handle_write_outcome(
        &mut self,
        team: &TeamId,
        outcome: WriteOutcome,
        now: BootTime,
    ) -> Vec<QuotaAction> {
        let Some(quota) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        let Some(write) = quota.pending_write.take() else {
            return Vec::new();
        };
        match outcome {
            WriteOutcome::Done(version) => {
                let before = quota.record.clone();
                quota.apply_record(version, write.record);
                quota.ask_interval = self.options.ask_interval;
                quota.write_after = now + self.options.ask_interval * READ_INTERVAL;
                self.mark_ended(now);
                self.record_updates(team, &before)
            }
            WriteOutcome::Conflict => {
                quota.read_due = true;
                Vec::new()
            }
            WriteOutcome::NotDone => {
                quota.write_after = now + self.options.ask_interval * READ_INTERVAL;
                Vec::new()
            }
            WriteOutcome::Unknown => {
                if quota.version <= write.expect {
                    quota.pending_write = Some(PendingWrite {
                        in_flight: false,
                        ..write
                    });
                }
                quota.read_due = true;
                quota.write_after = now + self.options.ask_interval * READ_INTERVAL;
                Vec::new()
            }
        }
    }

    fn record_updates(&self, team: &TeamId, before: &QuotaRecord) -> Vec<QuotaAction> {
        let Some(quota) = self.teams.get(team) else {
            return Vec::new();
        };
        let members = self.list.members().iter();
        let follows_limit = before.config_revision < quota.record.config_revision;
        let affected = members.filter(|m| m.id != self.own.as_str()).filter(|m| {
            follows_limit
                || units_of(before, &m.id, m.incarnation)
                    != units_of(&quota.record, &m.id, m.incarnation)
        });
        affected
            .map(|m| {
                QuotaAction::SendRecord(MemberId::from(m.id.as_str()), record_update(team, quota))
            })
            .collect()
    }

    fn tick_team(&mut self, name: &TeamId, now: BootTime, actions: &mut Vec<QuotaAction>) {
        let (own, incarnation, options) = (self.own.clone(), self.incarnation, self.options);
        let Some(quota) = self.teams.get_mut(name) else {
            return;
        };
        quota.update_peak(now);
        quota.update_long_seen(now);
        quota.drop_stale_ask(now);
        if let Some(pending) = quota.current_ask(now).cloned() {
            let ceiling = quota.ceiling(&own, incarnation, options.mutation);
            reserve_units(quota, ceiling, &pending.from, &pending.ask, now);
        }
        actions.extend(send_release(quota, name, &own, incarnation));
        if quota.pending_write.as_ref().is_some_and(|w| w.in_flight) {
            return;
        }
        if is_read_due(quota, now, &options) {
            quota.read_at = Some(now);
            actions.push(QuotaAction::Read(name.clone()));
            return;
        }
        if !quota.record_known || now < quota.write_after {
            return;
        }
        if let Some(write) = &mut quota.pending_write {
            // The response was lost. Repeating the same write settles the outcome either way.
            write.in_flight = true;
            actions.push(QuotaAction::Write(QuotaWrite {
                team: name.clone(),
                expect: write.expect,
                record: write.record.clone(),
            }));
            return;
        }
        if self.list.contains(&own, incarnation) {
            let next = self.next_record(name, now, actions);
            if let Some(record) = self.with_max_run_time(name, next, now) {
                self.write(name, record, now, actions);
            }
        }
        if let Some(quota) = self.teams.get_mut(name) {
            quota.start_refused = false;
            quota.long_waits = false;
        }
    }

    /// `next` with the longest run time of work that this host starts; the present record if only
    /// that value changes.
    ///
    /// A grant is limited to short work once no long work has run here for `max_deadline`. It
    /// allows long work as soon as some waits.
    fn with_max_run_time(
        &self,
        name: &TeamId,
        next: Option<QuotaRecord>,
        now: BootTime,
    ) -> Option<QuotaRecord> {
        let quota = self.teams.get(name)?;
        let longest = match quota.ran_only_short_work(now, self.options.max_deadline) {
            true => self.options.short_deadline_ms(),
            false => 0,
        };
        if let Some(mut record) = next {
            set_max_run_ms(&mut record, &self.own, self.incarnation, longest);
            return Some(record);
        }
        // Any new version of the record would void the reserved units.
        if quota.release.is_some() || quota.record_lags_limit() || quota.need() == 0 {
            return None;
        }
        let mut record = quota.record.clone();
        set_max_run_ms(&mut record, &self.own, self.incarnation, longest).then_some(record)
    }

    fn write(
        &mut self,
        name: &TeamId,
        record: QuotaRecord,
        now: BootTime,
        actions: &mut Vec<QuotaAction>,
    ) {
        let Some(quota) = self.teams.get_mut(name) else {
            return;
        };
        let shrinks = granted_sum(&record) < granted_sum(&quota.record);
        let fits = is_within_limit(&record) || shrinks;
        if !fits || !self.is_leaving && !self.writes.take(now) {
            return;
        }
        quota.pending_write = Some(PendingWrite {
            expect: quota.version,
            record: record.clone(),
            in_flight: true,
        });
        actions.push(QuotaAction::Write(QuotaWrite {
            team: name.clone(),
            expect: quota.version,
            record,
        }));
    }
}

/// True if the team's record should be read from the store now.
fn is_read_due(quota: &TeamQuota, now: BootTime, options: &QuotaOptions) -> bool {
    let read_within = |interval| quota.read_at.is_some_and(|at| now < at + interval);
    let interval = options.ask_interval * READ_INTERVAL;
    if read_within(interval) {
        return false;
    }
    let is_unknown = !quota.record_known && quota.need() > 0;
    // A host that waits for the others to fit into a lowered limit may miss the write that did it.
    let waits_for_limit = quota.record_lags_limit() && quota.need() > 0;
    let should_poll = waits_for_limit && !read_within(interval.max(options.ask_interval_max));
    quota.read_due || is_unknown || should_poll
}
