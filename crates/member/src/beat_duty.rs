use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, select, tick};
use decide::member::MemberList;
use model::{BootTime, MemberId, event as log_event};
use ports::{InboundMessage, PeerLink};
use prost::Message as _;
use wire::peer::{Beat, ChangeTail, envelope::Body};

use crate::{event, shared_state::SharedState, store_key::decode_record};

/// Beats that are sent out of turn keep this distance, so that a burst of changes does not
/// multiply them.
const WAKE_DISTANCE: Duration = Duration::from_millis(20);

/// How long the store gets to deliver what a peer already has, before the peer is asked.
const STORE_GRACE: Duration = Duration::from_millis(150);

/// Distance of questions to peers for what this host lacks.
const ASK_DISTANCE: Duration = Duration::from_millis(300);

/// Sends and hears heartbeats, and helps peers that are behind.
pub(crate) struct BeatDuty {
    shared: Arc<SharedState>,
    beats: Receiver<InboundMessage>,
    tails: Receiver<InboundMessage>,
    behind_since: Option<BootTime>,
    asked_at: Option<BootTime>,
    sent_at: Option<Instant>,
}

impl BeatDuty {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        beats: Receiver<InboundMessage>,
        tails: Receiver<InboundMessage>,
    ) -> Self {
        Self {
            shared,
            beats,
            tails,
            behind_since: None,
            asked_at: None,
            sent_at: None,
        }
    }

    /// Runs until the service stops.
    pub(crate) fn run(mut self) {
        let interval = tick(self.shared.options.settings.heartbeat_interval);
        let wakes = self.shared.beat_wakes();
        while !self.shared.is_stopping() {
            select! {
                recv(interval) -> _ => self.send_beats(),
                recv(wakes) -> _ => self.send_early(),
                recv(self.beats) -> message => if let Ok(message) = message {
                    self.hear_beat(&message);
                },
                recv(self.tails) -> message => if let Ok(message) = message {
                    self.hear_tail(&message);
                },
            }
        }
    }

    fn send_early(&mut self) {
        if let Some(sent) = self.sent_at {
            std::thread::sleep(WAKE_DISTANCE.saturating_sub(sent.elapsed()));
        }
        self.send_beats();
    }

    fn send_beats(&mut self) {
        self.sent_at = Some(Instant::now());
        let now = self.shared.now();
        let mut lease = self.shared.lease.lock();
        lease.tick(now);
        let peers = self.listed_peers(&lease);
        let beats: Vec<(MemberId, Beat)> = peers
            .into_iter()
            .map(|peer| {
                let beat = lease.next_beat(&peer, now);
                (peer, beat)
            })
            .collect();
        drop(lease);
        for (peer, beat) in beats {
            // A beat that can't be queued is as good as lost, and the lease allows for that.
            let _ = self.shared.options.node.send(&peer, Body::Beat(beat));
        }
        self.shared.publish_members();
    }

    /// The peers to beat to: none before this life is listed, since it can't vouch yet.
    fn listed_peers(&self, lease: &decide::lease::LeaseMachine) -> Vec<MemberId> {
        if !lease.is_listed() {
            return Vec::new();
        }
        let members = lease.list().members().iter();
        members
            .map(|member| MemberId::from(member.id.as_str()))
            .filter(|member| *member != self.shared.own)
            .collect()
    }

    fn hear_beat(&mut self, message: &InboundMessage) {
        let Body::Beat(beat) = &message.body else {
            return;
        };
        let now = self.shared.now();
        let mut lease = self.shared.lease.lock();
        lease.handle_beat(&message.from, message.incarnation, beat, now);
        let behind = lease.is_behind();
        let list_revision = lease.list().revision();
        drop(lease);
        self.shared.acks.lock().record_held(
            &message.from,
            message.incarnation,
            beat.member_revision,
        );
        self.compare_hash(message, beat);
        if !behind {
            self.behind_since = None;
            return;
        }
        self.catch_up(&message.from, beat, list_revision, now);
    }

    /// Two configurations of one revision can't both come from the store's single key. The
    /// hash of the newest change rides on each beat, so that a corrupt host or store shows.
    fn compare_hash(&self, message: &InboundMessage, beat: &Beat) {
        let force = self.shared.holder.force();
        if beat.config_revision == force.revision && beat.config_hash != force.hash {
            metrics::counter!("lws_config_faults").increment(1);
            log_event::error(
                &event::CONFIG_DIVERGED,
                format_args!(
                    "peer={} revision={} own_hash={:016x} peer_hash={:016x}",
                    message.from, force.revision, force.hash, beat.config_hash
                ),
            );
        }
    }

    fn catch_up(&mut self, from: &MemberId, beat: &Beat, list_revision: u64, now: BootTime) {
        let since = *self.behind_since.get_or_insert(now);
        self.shared.wake_store();
        let config_revision = self.shared.holder.force().revision;
        let peer_is_ahead =
            beat.config_revision > config_revision || beat.member_revision > list_revision;
        let store_had_time = now.saturating_sub(since) >= STORE_GRACE;
        let asked_lately = self
            .asked_at
            .is_some_and(|at| now.saturating_sub(at) < ASK_DISTANCE);
        if !peer_is_ahead || !store_had_time || asked_lately {
            return;
        }
        self.asked_at = Some(now);
        let question = ChangeTail {
            base_revision: config_revision,
            member_revision: list_revision,
            request: true,
            ..ChangeTail::default()
        };
        let _ = self
            .shared
            .options
            .node
            .send(from, Body::ChangeTail(question));
    }

    fn hear_tail(&mut self, message: &InboundMessage) {
        let Body::ChangeTail(tail) = &message.body else {
            return;
        };
        if !self.shared.is_listed(message) {
            return;
        }
        if tail.request {
            self.answer_tail(&message.from, tail);
            return;
        }
        match self.shared.holder.follow_tail(tail) {
            Ok(true) => self.shared.publish_config(),
            Ok(false) => {}
            Err(error) => {
                log_event::warn(
                    &event::PEER_TAIL_REFUSED,
                    format_args!("peer={} cause={error}", message.from),
                );
            }
        }
        if let Ok(record) = decode_record("peer members", &tail.members) {
            self.shared.follow_list(&MemberList::new(record));
        }
    }

    fn answer_tail(&self, to: &MemberId, question: &ChangeTail) {
        let mut answer = ChangeTail::default();
        if question.base_revision < self.shared.holder.force().revision {
            answer = self.shared.holder.tail_since(question.base_revision);
        }
        let lease = self.shared.lease.lock();
        if question.member_revision < lease.list().revision() {
            answer.members = lease.list().record().encode_to_vec();
        }
        drop(lease);
        let _ = self.shared.options.node.send(to, Body::ChangeTail(answer));
    }
}
