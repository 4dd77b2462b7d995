use std::{collections::VecDeque, time::Duration};

use model::{BootTime, Incarnation, Revision};
use wire::peer::Beat;

/// Beats whose sending times are kept for each peer; an echo of an older one proves nothing
/// that could still matter.
const MAX_SENT_BEATS: usize = 16;

/// What a peer's beats have shown.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Which incarnation was heard last.
    pub incarnation: Incarnation,
    /// When it was heard last; `None` if never.
    pub last_beat_at: Option<BootTime>,
    /// Revision of the configuration that it holds.
    pub config_revision: Revision,
    /// Hash of that configuration.
    pub config_hash: u64,
    /// Revision of the member list that it holds.
    pub member_revision: Revision,
    /// True once it shuts down gracefully.
    pub leaving: bool,
    /// Members that it has not heard for long.
    pub reports_unresponsive: Vec<String>,
    known_since: Option<BootTime>,
    last_beat: u64,
    next_beat: u64,
    sent: VecDeque<(u64, BootTime)>,
    counted_ack_at: Option<BootTime>,
    newest_ack: Option<PeerAck>,
}

/// At `at` or later the peer held these revisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAck {
    /// When the question was sent that the peer answered.
    pub at: BootTime,
    /// Revision of the configuration.
    pub config: Revision,
    /// Revision of the member list.
    pub members: Revision,
}

impl PeerView {
    /// Begins the view of another incarnation; what the incarnation before said counts no more.
    pub(crate) fn reset(&mut self, incarnation: Incarnation) {
        *self = Self {
            incarnation,
            known_since: self.known_since,
            next_beat: self.next_beat,
            sent: std::mem::take(&mut self.sent),
            ..Self::default()
        };
    }

    /// Counts the next beat to this peer.
    pub(crate) fn begin_beat(&mut self, now: BootTime) -> u64 {
        self.known_since = self.known_since.or(Some(now));
        self.next_beat += 1;
        self.sent.push_back((self.next_beat, now));
        if self.sent.len() > MAX_SENT_BEATS {
            self.sent.pop_front();
        }
        self.next_beat
    }

    /// Takes a beat of the incarnation in view; false if it is repeated or was overtaken.
    pub(crate) fn apply_beat(&mut self, beat: &Beat, now: BootTime) -> bool {
        if beat.beat <= self.last_beat {
            return false;
        }
        self.last_beat = beat.beat;
        self.last_beat_at = Some(now);
        self.config_revision = beat.config_revision;
        self.config_hash = beat.config_hash;
        self.member_revision = beat.member_revision;
        self.leaving = beat.leaving;
        self.reports_unresponsive.clone_from(&beat.silent);
        true
    }

    /// The newest beat heard.
    pub(crate) fn last_beat(&self) -> u64 {
        self.last_beat
    }

    /// Keeps the newest word of the peer.
    pub(crate) fn record_ack(&mut self, vouch: PeerAck) {
        self.newest_ack = Some(vouch);
    }

    /// The newest word of the peer.
    pub(crate) fn newest_ack(&self) -> Option<PeerAck> {
        self.newest_ack
    }

    /// Counts a word of the peer towards the lease.
    pub(crate) fn count_ack(&mut self, vouch: PeerAck) {
        self.counted_ack_at = self.counted_ack_at.max(Some(vouch.at));
    }

    /// When the question was sent whose answer counts.
    pub(crate) fn counted_ack_at(&self) -> Option<BootTime> {
        self.counted_ack_at
    }

    /// True if the peer was not heard for longer than `after`.
    pub(crate) fn is_unresponsive(&self, now: BootTime, after: Duration) -> bool {
        let since = self.last_beat_at.or(self.known_since);
        since.is_some_and(|since| now.saturating_sub(since) > after)
    }

    /// When a beat was sent that the peer echoes.
    pub(crate) fn sent_at(&self, beat: u64) -> Option<BootTime> {
        let sent = self.sent.iter().find(|(count, _)| *count == beat);
        sent.map(|(_, at)| *at)
    }
}
