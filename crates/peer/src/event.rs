//! Log events of this crate, see `docs/EVENTS.md`.

model::event_catalogue! {
    PEER_DIALLED = 200, "peer-dialled",
        "The host started to dial another entry host.";
    PEER_MESSAGE_DROPPED = 201, "peer-message-dropped",
        "A received message was dropped: it was malformed, misdirected or of an unknown kind, or its queue was full.";
    PEER_LINK_FULL = 202, "peer-link-full",
        "A message to an entry host was dropped because the link is down or its queue is full.";
    PEER_RECEIVER_FAILED = 203, "peer-receiver-failed",
        "The thread that receives messages panicked. Restart the process and report it.";
    PEER_RECEIVE_FAILED = 204, "peer-receive-failed",
        "Receiving a message failed; the host continues to receive.";
}
