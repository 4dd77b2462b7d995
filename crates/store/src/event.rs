//! Log events of this crate.

model::event_catalogue! {
    STORE_DOWN = 100, "store-down", "Calls to the configuration store fail. Entry hosts that receive each other's heartbeats go on serving; no configuration change is accepted. See docs/OUTAGES.md.";
    STORE_ANSWERS_AGAIN = 101, "store-answers-again", "The configuration store answers again after calls had failed.";
    STORE_WRITE_SETTLED = 102, "store-write-settled", "The response to a write was lost; a later read showed that the write took effect.";
}
