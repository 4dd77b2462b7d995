use std::time::Duration;

use model::TeamId;

/// One team's claim to the next free slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamTurn {
    /// The team.
    pub team: TeamId,
    /// Virtual time: slot time used over weight, fleet-wide as last heard plus what was
    /// used here since.
    pub virtual_time: Duration,
    /// Requests queued.
    pub queued: u32,
    /// How long the oldest urgent request has waited; `None` without one.
    pub urgent_wait: Option<Duration>,
    /// True if the team can't start now for another reason, such as its upper limit.
    pub blocked: bool,
}

/// Bounds of the order in which teams go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PickOptions {
    /// How far a team's virtual time may be ahead of the least served team for its urgent
    /// requests still to go first. Urgent work is paid from the team's own share, and this
    /// bounds how much it may be in debt.
    pub urgent_debt: Duration,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            urgent_debt: Duration::from_secs(2),
        }
    }
}

/// The index of the team that goes next, or `None` if none can.
///
/// Urgent requests go first, the longest waiting before others, while their team's debt
/// is bounded; then the team with the least virtual time.
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
