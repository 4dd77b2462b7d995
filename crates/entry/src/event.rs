//! Log events of this crate.

model::event_catalogue! {
    CALLER_PORT_OPEN = 500, "caller-port-open", "Callers are answered at `address` from now on.";
    CALLER_PORT_LEAVING = 501, "caller-port-leaving", "A graceful shutdown began: new requests are refused, what runs may end within `patience_ms`.";
    CALLER_PORT_CLOSED = 502, "caller-port-closed", "The graceful shutdown of the caller port ended; `cut` counts requests that were still running.";
    CONNECTION_ENDED = 503, "connection-ended", "A caller's connection ended in an error; frequent ones point at the network or at a caller that gives up.";
    ANSWER_MISMATCHED = 510, "answer-mismatched", "A target sent the answer of another request; it was dropped. Look into the target `host`.";
    ANSWER_TRUNCATED = 511, "answer-truncated", "An answer of the target `host` broke off; it was dropped.";
    THREAD_MISSING = 512, "thread-missing", "No dispatch thread could be started; the machine is short of threads or memory.";
    TARGET_EJECTED = 520, "target-ejected", "The target `host` failed everything and gets no requests from this entry host for a growing time.";
    TARGET_REFUSED = 521, "target-refused", "The target `host` refused new work; it is left alone for a moment.";
}
