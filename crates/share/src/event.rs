//! Log events of this crate.

model::event_catalogue! {
    MESSAGE_DROPPED = 401, "share-message-dropped", "A slot message was dropped because the link to the entry host is full or does not exist; the next round replaces it.";
}
