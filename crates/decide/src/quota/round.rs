//! What an entry host reads, asks and writes, round by round.

use model::{BootTime, MemberId, TeamId};
use wire::state::QuotaRecord;

use super::{
    QuotaAction, QuotaMachine, QuotaOptions, QuotaWrite, WriteOutcome,
    grant_record::{granted_sum, is_within_limit, set_max_run_ms, units_of},
    messages::{record_update, reserve_units, send_release},
    team::{PendingWrite, TeamQuota},
};

/// Distance of reads of one team's record, in question distances.
const READ_INTERVAL: u32 = 2;

impl QuotaMachine {
    /// What is to be done at `now`; called every few tens of milliseconds.
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

    /// Takes the outcome of a write; the notes to send are returned.
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
        let concerned = members.filter(|m| m.id != self.own.as_str()).filter(|m| {
            follows_limit
                || units_of(before, &m.id, m.incarnation)
                    != units_of(&quota.record, &m.id, m.incarnation)
        });
        concerned
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
        if let Some(wish) = quota.current_ask(now).cloned() {
            let ceiling = quota.ceiling(&own, incarnation, options.mutation);
            reserve_units(quota, ceiling, &wish.from, &wish.ask, now);
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
            // The answer was lost; the same write again settles it either way.
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

    /// The record to write with what it says of the work that this host starts; the present one if
    /// that alone is to be changed.
    ///
    /// A grant is for short work only while nothing long has run here for long, and allows long work
    /// as soon as some waits.
    fn with_max_run_time(
        &self,
        name: &TeamId,
        next: Option<QuotaRecord>,
        now: BootTime,
    ) -> Option<QuotaRecord> {
        let quota = self.teams.get(name)?;
        let longest = match quota.is_short(now, self.options.max_deadline) {
            true => self.options.short_deadline_ms(),
            false => 0,
        };
        if let Some(mut record) = next {
            set_max_run_ms(&mut record, &self.own, self.incarnation, longest);
            return Some(record);
        }
        // Any other version of the record voids what was put aside.
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
    let read_within = |distance| quota.read_at.is_some_and(|at| now < at + distance);
    let distance = options.ask_interval * READ_INTERVAL;
    if read_within(distance) {
        return false;
    }
    let is_unknown = !quota.record_known && quota.need() > 0;
    // Whoever waits for others to fit into a lowered limit may miss that they did.
    let waits_for_limit = quota.record_lags_limit() && quota.need() > 0;
    let is_polled = waits_for_limit && !read_within(distance.max(options.ask_interval_max));
    quota.read_due || is_unknown || is_polled
}
