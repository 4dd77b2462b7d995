use std::{collections::VecDeque, time::Duration};

use model::{BootTime, Incarnation, Revision};
use wire::peer::Beat;

/// Heartbeats whose send times are kept per peer. An echo of an older one is too old to matter.
const MAX_SENT_BEATS: usize = 16;

/// What a peer's heartbeats have shown.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Incarnation of the last heartbeat.
    pub incarnation: Incarnation,
    /// When the last heartbeat arrived; `None` if none did.
    pub last_beat_at: Option<BootTime>,
    /// Revision of the configuration that the peer holds.
    pub config_revision: Revision,
    /// Hash of that configuration.
    pub config_hash: u64,
    /// Revision of the member list that the peer holds.
    pub member_revision: Revision,
    /// True once the peer shuts down gracefully.
    pub leaving: bool,
    /// Members that the peer reports as unresponsive.
    pub reports_unresponsive: Vec<String>,
    known_since: Option<BootTime>,
    last_beat: u64,
    next_beat: u64,
    sent: VecDeque<(u64, BootTime)>,
    counted_ack_at: Option<BootTime>,
    newest_ack: Option<PeerAck>,
}

/// An acknowledgement: at `at` or later the peer held these revisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAck {
    /// When the acknowledged heartbeat was sent.
    pub at: BootTime,
    /// Revision of the configuration.
    pub config: Revision,
    /// Revision of the member list.
    pub members: Revision,
}

impl PeerView {
    /// Resets the view for another incarnation; reports of the previous one no longer count.
    pub(crate) fn reset(&mut self, incarnation: Incarnation) {
        *self = Self {
            incarnation,
            known_since: self.known_since,
            next_beat: self.next_beat,
            sent: std::mem::take(&mut self.sent),
            ..Self::default()
        };
    }

    /// Numbers the next heartbeat to this peer and records its send time.
    pub(crate) fn begin_beat(&mut self, now: BootTime) -> u64 {
        self.known_since = self.known_since.or(Some(now));
        self.next_beat += 1;
        self.sent.push_back((self.next_beat, now));
        if self.sent.len() > MAX_SENT_BEATS {
            self.sent.pop_front();
        }
        self.next_beat
    }

    /// Applies a heartbeat of the current incarnation; false if it is a duplicate or was overtaken.
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

    /// Number of the newest heartbeat received.
    pub(crate) fn last_beat(&self) -> u64 {
        self.last_beat
    }

    /// Stores the newest acknowledgement of the peer.
    pub(crate) fn record_ack(&mut self, ack: PeerAck) {
        self.newest_ack = Some(ack);
    }

    /// The newest acknowledgement of the peer.
    pub(crate) fn newest_ack(&self) -> Option<PeerAck> {
        self.newest_ack
    }

    /// Counts an acknowledgement towards the lease.
    pub(crate) fn count_ack(&mut self, ack: PeerAck) {
        self.counted_ack_at = self.counted_ack_at.max(Some(ack.at));
    }

    /// Send time of the newest heartbeat whose acknowledgement counts.
    pub(crate) fn counted_ack_at(&self) -> Option<BootTime> {
        self.counted_ack_at
    }

    /// True if the peer has been unresponsive for longer than `after`.
    pub(crate) fn is_unresponsive(&self, now: BootTime, after: Duration) -> bool {
        let since = self.last_beat_at.or(self.known_since);
        since.is_some_and(|since| now.saturating_sub(since) > after)
    }

    /// Send time of the heartbeat that the peer echoes.
    pub(crate) fn sent_at(&self, beat: u64) -> Option<BootTime> {
        let sent = self.sent.iter().find(|(count, _)| *count == beat);
        sent.map(|(_, at)| *at)
    }
}
