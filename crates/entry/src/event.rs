//! Log events of this crate.

model::event_catalogue! {
    CALLER_PORT_OPEN = 500, "caller-port-open", "The caller port accepts connections at `address`.";
    CALLER_PORT_LEAVING = 501, "caller-port-leaving", "A graceful shutdown of the caller port has started: new requests are refused, and running ones may finish within `patience_ms`.";
    CALLER_PORT_CLOSED = 502, "caller-port-closed", "The graceful shutdown of the caller port has ended; `cut` is the number of requests that were still running.";
    CONNECTION_ENDED = 503, "connection-ended", "A caller's connection ended with an error; if this is frequent, check the network and the callers' timeouts.";
    ANSWER_MISMATCHED = 510, "answer-mismatched", "The target `host` sent the response of another request, which was dropped. Check the target.";
    ANSWER_TRUNCATED = 511, "answer-truncated", "A response of the target `host` was truncated and was dropped.";
    THREAD_MISSING = 512, "thread-missing", "No dispatch thread could be started; check the limits of threads and memory of the machine.";
    TARGET_EJECTED = 520, "target-ejected", "The target `host` was ejected after repeated failures; it gets no requests from this entry host for a time that grows with each ejection.";
    TARGET_REFUSED = 521, "target-refused", "The target `host` refused a request because it drains or is full; it gets no requests from this entry host for `rest_ms`.";
}
