use model::EventInfo;

/// Events of the binary itself.
pub mod event {
    model::event_catalogue! {
        PROCESS_STARTED = 1, "process-started", "An entry host's process started; carries its id, data centre, version, the commit that was built, and the platform that it was built for.";
        PROCESS_STOPPED = 2, "process-stopped", "The process ended after a graceful shutdown; nothing was cut off.";
        PROCESS_STOPPING = 4, "process-stopping", "The process was told to stop and shuts down gracefully.";
        START_WAITS = 5, "start-waits", "The process can't reach the store and waits; it serves once the store answers.";
        PROCESS_FAILED = 3, "process-failed", "The process can't go on and ends; the cause is in the line. Mend it and start the process again.";
    }
}

/// Events of every crate, in order of their numbers.
pub fn all_events() -> Vec<EventInfo> {
    let catalogues = [
        event::ALL,
        store::event::ALL,
        peer::event::ALL,
        member::event::ALL,
        share::event::ALL,
        entry::event::ALL,
        fleet::event::ALL,
        admin::event::ALL,
        cell::event::ALL,
    ];
    let mut events = catalogues.concat();
    events.sort_by_key(|info| info.code);
    events
}
