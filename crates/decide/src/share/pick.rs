use std::time::Duration;

use model::TeamId;

/// A team competing for the next free slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamTurn {
    /// The team.
    pub team: TeamId,
    /// Virtual time: slot time used divided by weight. Fleet-wide as last reported, plus local use
    /// since then.
    pub virtual_time: Duration,
    /// Queued requests.
    pub queued: u32,
    /// How long the oldest urgent request has waited; `None` without one.
    pub urgent_wait: Option<Duration>,
    /// True if the team can't start work now for another reason, such as its upper limit.
    pub blocked: bool,
}

/// Limits on the order of teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PickOptions {
    /// How far a team's virtual time may exceed that of the least served team while its urgent
    /// requests still go first. Urgent work is charged to the team's own share; this bounds its
    /// debt.
    pub urgent_debt: Duration,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            urgent_debt: Duration::from_secs(2),
        }
    }
}

/// Index of the team to serve next, or `None` if none can start work.
///
/// Urgent requests go first, longest waiting first, while their team's debt is bounded; then the
/// team with the least virtual time.
pub fn pick_next_team(turns: &[TeamTurn], options: &PickOptions) -> Option<usize> {
    let ready = || turns.iter().enumerate().filter(|(_, turn)| turn.is_ready());
    let least = ready().map(|(_, turn)| turn.virtual_time).min()?;
    let urgent = ready()
        .filter(|(_, turn)| turn.virtual_time < least + options.urgent_debt)
        .filter_map(|(index, turn)| turn.urgent_wait.map(|wait| (wait, index)))
        .max_by_key(|(wait, _)| *wait);
    if let Some((_, index)) = urgent {
        return Some(index);
    }
    ready()
        .min_by_key(|(_, turn)| turn.virtual_time)
        .map(|(index, _)| index)
}

impl TeamTurn {
    fn is_ready(&self) -> bool {
        0 < self.queued && !self.blocked
    }
}
