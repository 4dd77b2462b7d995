//! Log events of this crate, see `docs/EVENTS.md`.

model::event_catalogue! {
    PEER_DIALLED = 200, "peer-dialled",
        "The host started to dial another entry host.";
    PEER_MESSAGE_DROPPED = 201, "peer-message-dropped",
        "A received message was dropped: it was malformed, misdirected or of an unknown kind, or its queue was full.";
    PEER_LINK_FULL = 202, "peer-link-full",
        "A message to an entry host was dropped because the link is down or its queue is full.";
    PEER_LOOP_FAILED = 203, "peer-receiver-failed",
        "The thread that sends and receives messages panicked. Restart the process and report it.";
    PEER_RECEIVE_FAILED = 204, "peer-receive-failed",
        "A connection of a peer could not be accepted; the host continues to accept others.";
    PEER_LINK_DOWN = 205, "peer-link-down",
        "The connection to an entry host could not be established or was closed; it is dialled again.";
}
