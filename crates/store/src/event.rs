//! Log events of this crate.

model::event_catalogue! {
    STORE_DOWN = 100, "store-down", "Calls to the configuration store fail. Service goes on among entry hosts that hear each other; nothing new is accepted. See docs/OUTAGES.md.";
    STORE_ANSWERS_AGAIN = 101, "store-answers-again", "The configuration store answers again after it had failed.";
    STORE_WRITE_SETTLED = 102, "store-write-settled", "The answer to a write was lost; a later read told whether it took effect.";
}
