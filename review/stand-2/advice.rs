//! Stand-in of the advice service: one call at a time for the calling machine, in turn, and 429 once
//! 32 calls wait. It does not work on a call whose caller has closed its connection meanwhile.

use std::sync::{Arc, Condvar, Mutex};

use crate::base::{Json, Reply, Request, note, num, obj, pause, serve, text};

/// Calls that may wait.
const MAX_WAITING: u64 = 32;

/// How long the service takes, and which workers its policy allows.
pub struct Advice {
    pub decide_ms: u64,
    pub each_ms: u64,
    pub valid_ms: u64,
    pub allows: fn(&str) -> bool,
}

#[derive(Default)]
struct Turns {
    /// Number of the next call to arrive.
    next: u64,
    /// Number of the call that is handled.
    current: u64,
}

impl Advice {
    /// The entry of a route that asks this service.
    pub fn terms(&self) -> Json {
        obj(vec![
            ("decide_ms", num(self.decide_ms)),
            ("each_ms", num(self.each_ms)),
            ("valid_ms", num(self.valid_ms)),
        ])
    }

    /// Starts the service and returns its address.
    pub fn start(self) -> String {
        let (turns, turn_over) = (Mutex::new(Turns::default()), Condvar::new());
        let answer = move |request: &Request| {
            let mut state = turns.lock().unwrap();
            // One of the calls that have arrived is handled, the others wait.
            if state.next - state.current > MAX_WAITING {
                note("advice: 429");
                return Some((429, String::new()));
            }
            let own = state.next;
            state.next += 1;
            while state.current != own {
                state = turn_over.wait(state).unwrap();
            }
            drop(state);
            let reply = self.handle(request);
            turns.lock().unwrap().current += 1;
            turn_over.notify_all();
            reply
        };
        serve("127.0.0.1", Arc::new(answer)).to_string()
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = request.json();
        let step = body.str("step");
        if request.is_closed() {
            note(format!("advice: {step} dropped, its caller has gone"));
            return None;
        }
        let workers = body.rows("workers");
        pause(self.decide_ms + self.each_ms * workers.len() as u64);
        let allowed = workers
            .iter()
            .map(Json::as_str)
            .filter(|id| (self.allows)(id));
        let ticket = |id| Json::Arr(vec![text(id), text(format!("t-{step}-{id}"))]);
        let granted: Vec<Json> = allowed.map(ticket).collect();
        let late = if request.is_closed() {
            ", but its caller has gone"
        } else {
            ""
        };
        note(format!(
            "advice: {step} asked for {} workers, {} granted{late}",
            workers.len(),
            granted.len()
        ));
        Some((200, obj(vec![("granted", Json::Arr(granted))]).render()))
    }
}
