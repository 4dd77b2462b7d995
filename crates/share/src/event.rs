//! Log events of this crate.

model::event_catalogue! {
    MESSAGE_DROPPED = 401, "share-message-dropped", "A message about slots was dropped because the link to the entry host is full or missing; the next round replaces it.";
}
