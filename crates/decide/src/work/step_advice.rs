use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use model::{BootTime, HostId};

use super::TargetState;

/// How long a target that the service did not grant is not named again. The service's answer for a
/// step does not change, but its policy is not known here.
const DENIAL_VALIDITY: Duration = Duration::from_secs(10);
/// How long a target that refused a ticket is not named again.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// What the advice service has answered for one step.
///
/// A target that was not granted is remembered, so that the next request names others.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    tickets: BTreeMap<HostId, StartTicket>,
    denials: BTreeMap<HostId, TargetDenial>,
    /// Number of consecutive answers without a ticket.
    pub(super) misses: u32,
}

/// A target as named in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NamedTarget {
    pub(super) id: HostId,
    /// Number of its incarnation, for which alone the answer holds.
    pub(super) incarnation: u64,
}

#[derive(Clone, Debug)]
struct StartTicket {
    ticket: CompactString,
    incarnation: u64,
    expires_at: BootTime,
    /// Until when the target is not named, because it refused the ticket.
    refused_until: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct TargetDenial {
    incarnation: u64,
    until: BootTime,
}

impl StepAdvice {
    /// Records an answer; `tickets` are valid until `expires_at`.
    pub(super) fn record_answer(
        &mut self,
        named: Vec<NamedTarget>,
        mut tickets: BTreeMap<HostId, CompactString>,
        expires_at: BootTime,
        now: BootTime,
    ) {
        let has_tickets = !tickets.is_empty();
        self.misses = if has_tickets { 0 } else { self.misses + 1 };
        for NamedTarget { id, incarnation } in named {
            let Some(ticket) = tickets.remove(&id) else {
                self.tickets.remove(&id);
                let until = now + DENIAL_VALIDITY;
                self.denials.insert(id, TargetDenial { incarnation, until });
                continue;
            };
            let ticket = StartTicket {
                ticket,
                incarnation,
                expires_at,
                refused_until: BootTime::ZERO,
            };
            self.denials.remove(&id);
            self.tickets.insert(id, ticket);
        }
    }

    /// Records that a target refused its ticket.
    pub(super) fn record_refusal(&mut self, id: &HostId, now: BootTime) {
        if let Some(ticket) = self.tickets.get_mut(id) {
            ticket.expires_at = now;
            ticket.refused_until = now + REFUSAL_PAUSE;
        }
    }

    /// Returns true if a ticket for any target is valid.
    pub(super) fn has_valid_ticket(&self, now: BootTime) -> bool {
        let mut tickets = self.tickets.values();
        tickets.any(|ticket| now < ticket.expires_at)
    }

    /// Returns true if the service has granted any target that is still there, even if the ticket has
    /// expired.
    pub(super) fn has_grants(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Returns true if an answer is about an incarnation for which `is_current` returns false.
    pub(super) fn has_outdated(&self, is_current: impl Fn(&HostId, u64) -> bool) -> bool {
        let mut tickets = self.tickets.iter();
        let mut denials = self.denials.iter();
        tickets.any(|(id, ticket)| !is_current(id, ticket.incarnation))
            || denials.any(|(id, denial)| !is_current(id, denial.incarnation))
    }

    /// Forgets the answers about incarnations for which `is_current` returns false.
    pub(super) fn forget_outdated(&mut self, is_current: impl Fn(&HostId, u64) -> bool) {
        self.tickets
            .retain(|id, ticket| is_current(id, ticket.incarnation));
        self.denials
            .retain(|id, denial| is_current(id, denial.incarnation));
    }

    /// Returns the ticket for a target; `None` if there is none that is valid.
    pub(super) fn valid_ticket(
        &self,
        target: &TargetState,
        now: BootTime,
    ) -> Option<&CompactString> {
        let ticket = self.ticket_of_incarnation(target)?;
        (now < ticket.expires_at).then_some(&ticket.ticket)
    }

    /// Returns true if the service granted a target, even if the ticket has expired.
    pub(super) fn was_granted(&self, target: &TargetState) -> bool {
        self.ticket_of_incarnation(target).is_some()
    }

    /// Returns true if the service did not grant a target the last time it was named.
    pub(super) fn was_denied(&self, target: &TargetState) -> bool {
        self.denial_of_incarnation(target).is_some()
    }

    /// Returns true if a request may name a target: there is no valid ticket for it, and it was not
    /// denied or refused recently.
    pub(super) fn may_name(&self, target: &TargetState, now: BootTime) -> bool {
        let denial = self.denial_of_incarnation(target);
        let ticket = self.ticket_of_incarnation(target);
        denial.is_none_or(|denial| now >= denial.until)
            && ticket.is_none_or(|ticket| now >= ticket.expires_at.max(ticket.refused_until))
    }

    fn denial_of_incarnation(&self, target: &TargetState) -> Option<&TargetDenial> {
        let denial = self.denials.get(&target.entry.target)?;
        (denial.incarnation == target.incarnation.number).then_some(denial)
    }

    fn ticket_of_incarnation(&self, target: &TargetState) -> Option<&StartTicket> {
        let ticket = self.tickets.get(&target.entry.target)?;
        (ticket.incarnation == target.incarnation.number).then_some(ticket)
    }
}
