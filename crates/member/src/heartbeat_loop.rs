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

/// Minimum time between early heartbeats, so that a burst of changes does not multiply them.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the store to deliver what a peer already has, before this host asks the peer.
const STORE_GRACE: Duration = Duration::from_millis(150);

/// Minimum time between requests to peers for missing changes.
const TAIL_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Sends and handles heartbeats, and exchanges missing changes with peers.
pub(crate) struct HeartbeatLoop {
    shared: Arc<SharedState>,
    beats: Receiver<InboundMessage>,
    tails: Receiver<InboundMessage>,
    behind_since: Option<BootTime>,
    last_tail_request: Option<BootTime>,
    last_sent: Option<Instant>,
}

impl HeartbeatLoop {
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
            last_tail_request: None,
            last_sent: None,
        }
    }

    /// Runs until the service stops.
    pub(crate) fn run(mut self) {
        let interval = tick(self.shared.options.settings.heartbeat_interval);
        let wakes = self.shared.beat_wakes();
        while !self.shared.is_stopping() {
            select! {
                recv(interval) -> _ => self.send_beats(),
                recv(wakes) -> _ => self.send_beats_early(),
                recv(self.beats) -> message => if let Ok(message) = message {
                    self.handle_heartbeat(&message);
                },
                recv(self.tails) -> message => if let Ok(message) = message {
                    self.handle_tail(&message);
                },
            }
        }
    }

    fn send_beats_early(&mut self) {
        if let Some(sent) = self.last_sent {
            std::thread::sleep(MIN_ROUND_INTERVAL.saturating_sub(sent.elapsed()));
        }
        self.send_beats();
    }

    fn send_beats(&mut self) {
        self.last_sent = Some(Instant::now());
        let echo_now = self.shared.take_echo_request();
        let now = self.shared.now();
        let mut lease = self.shared.lease.lock();
        lease.tick(now);
        let peers = self.heartbeat_peers(&lease);
        let beats: Vec<(MemberId, Beat)> = peers
            .into_iter()
            .map(|peer| {
                let beat = Beat {
                    echo_now,
                    ..lease.next_beat(&peer, now)
                };
                (peer, beat)
            })
            .collect();
        drop(lease);
        for (peer, beat) in beats {
            // An unsent heartbeat counts as lost; the lease tolerates lost heartbeats.
            let _ = self.shared.options.node.send(&peer, Body::Beat(beat));
        }
        self.shared.publish_members();
    }

    /// The peers that get heartbeats. There are none until this incarnation is in the member list,
    /// because its acknowledgements don't count before.
    fn heartbeat_peers(&self, lease: &decide::lease::LeaseMachine) -> Vec<MemberId> {
        if !lease.is_listed() {
            return Vec::new();
        }
        let members = lease.list().members().iter();
        members
            .map(|member| MemberId::from(member.id.as_str()))
            .filter(|member| *member != self.shared.own)
            .collect()
    }

    fn handle_heartbeat(&mut self, message: &InboundMessage) {
        let Body::Beat(beat) = &message.body else {
            return;
        };
        let now = self.shared.now();
        let mut lease = self.shared.lease.lock();
        lease.handle_beat(&message.from, message.incarnation, beat, now);
        let behind = lease.is_behind();
        let list_revision = lease.list().revision();
        let asked = beat.echo_now && lease.list().contains(&message.from, message.incarnation);
        let echo = asked.then(|| lease.next_beat(&message.from, now));
        drop(lease);
        if let Some(echo) = echo {
            // An unsent echo counts as lost; the sender gets one with the next heartbeat.
            let _ = self
                .shared
                .options
                .node
                .send(&message.from, Body::Beat(echo));
        }
        self.shared.acks.lock().record_held(
            &message.from,
            message.incarnation,
            beat.member_revision,
        );
        self.check_config_hash(message, beat);
        if !behind {
            self.behind_since = None;
            return;
        }
        self.request_missing_changes(&message.from, beat, list_revision, now);
    }

    /// The store has a single configuration key, so there is one configuration per revision.
    /// Heartbeats carry its hash; a mismatch reveals a corrupt host or store.
    fn check_config_hash(&self, message: &InboundMessage, beat: &Beat) {
        let config = self.shared.holder.active_config();
        if beat.config_revision == config.revision && beat.config_hash != config.hash {
            metrics::counter!("lws_config_faults").increment(1);
            log_event::error(
                &event::CONFIG_DIVERGED,
                format_args!(
                    "peer={} revision={} own_hash={:016x} peer_hash={:016x}",
                    message.from, config.revision, config.hash, beat.config_hash
                ),
            );
        }
    }

    fn request_missing_changes(
        &mut self,
        from: &MemberId,
        beat: &Beat,
        list_revision: u64,
        now: BootTime,
    ) {
        let since = *self.behind_since.get_or_insert(now);
        self.shared.wake_store();
        let config_revision = self.shared.holder.active_config().revision;
        let peer_is_ahead =
            beat.config_revision > config_revision || beat.member_revision > list_revision;
        let grace_elapsed = now.saturating_sub(since) >= STORE_GRACE;
        let requested_recently = self
            .last_tail_request
            .is_some_and(|at| now.saturating_sub(at) < TAIL_REQUEST_INTERVAL);
        if !peer_is_ahead || !grace_elapsed || requested_recently {
            return;
        }
        self.last_tail_request = Some(now);
        let request = ChangeTail {
            base_revision: config_revision,
            member_revision: list_revision,
            request: true,
            ..ChangeTail::default()
        };
        let _ = self
            .shared
            .options
            .node
            .send(from, Body::ChangeTail(request));
    }

    fn handle_tail(&mut self, message: &InboundMessage) {
        let Body::ChangeTail(tail) = &message.body else {
            return;
        };
        if !self.shared.is_listed(message) {
            return;
        }
        if tail.request {
            self.send_tail(&message.from, tail);
            return;
        }
        match self.shared.holder.apply_peer_tail(tail) {
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
            self.shared.apply_list(&MemberList::new(record));
        }
    }

    fn send_tail(&self, to: &MemberId, request: &ChangeTail) {
        let mut answer = ChangeTail::default();
        if request.base_revision < self.shared.holder.active_config().revision {
            answer = self.shared.holder.tail_since(request.base_revision);
        }
        let lease = self.shared.lease.lock();
        if request.member_revision < lease.list().revision() {
            answer.members = lease.list().record().encode_to_vec();
        }
        drop(lease);
        let _ = self.shared.options.node.send(to, Body::ChangeTail(answer));
    }
}
