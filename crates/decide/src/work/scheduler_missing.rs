use std::collections::BTreeSet;

use model::{BootTime, HostId, work::TargetReport};

use super::{PlacementPhase, SchedulerEvent, SchedulerTime, WorkScheduler, target_state::RunKey};

/// Runs that were expected on a target and that its reports lack.
impl WorkScheduler {
    /// Handles runs that the report of a poll sent at `sent` lacks although they were expected
    /// there.
    pub(super) fn handle_missing_runs(
        &mut self,
        id: &HostId,
        sent: BootTime,
        report: &TargetReport,
        now: SchedulerTime,
    ) {
        let reported = report.running.iter().map(|run| (&run.task, run.attempt));
        let reported: BTreeSet<_> = reported.collect();
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let missing = target.claims.keys();
        let missing = missing.filter(|(task, attempt)| !reported.contains(&(task, *attempt)));
        let missing: Vec<RunKey> = missing.cloned().collect();
        for run in missing {
            self.handle_missing_run(id, &run, sent, now);
        }
    }

    fn handle_missing_run(
        &mut self,
        id: &HostId,
        run: &RunKey,
        sent: BootTime,
        now: SchedulerTime,
    ) {
        let (key, attempt) = run;
        let place = self.job_table.placement_of(id, run);
        let Some((phase, since)) = place.map(|place| (place.phase, place.since)) else {
            // A run without a task is gone if its stop was answered before the poll.
            let stopped = self.pending_stops.contains_key(&(id.clone(), run.clone()));
            if !stopped {
                self.release_claim(id, run);
            }
            return;
        };
        if since > sent {
            return;
        }
        match phase {
            PlacementPhase::Starting => {}
            PlacementPhase::Stopping(false) => self.fence_start_again(id, run, now),
            PlacementPhase::Unconfirmed => {
                // The run is not there but may still start. A stop fences this start: the target
                // refuses a start that is not newer than one stopped there.
                self.stop_run(id, run, now);
            }
            PlacementPhase::Running => {
                self.emit(SchedulerEvent::Vanished(key.clone(), *attempt, id.clone()));
                self.release_claim(id, run);
                self.clear_placement(id, run, Some("vanished"));
            }
            PlacementPhase::Stopping(true) => {
                self.release_claim(id, run);
                self.clear_placement(id, run, Some("stop-answered"));
            }
        }
    }
}
