//! Stand-in of the platform's metadata store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::base::{Json, Reply, Request, base64, note, num, obj, pause, serve, text};

/// Time of an answer.
const ANSWER_MS: u64 = 4;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    rev: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store: linearizable, loses nothing that it acknowledged.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start(self: &Arc<Self>) -> String {
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                pause(10);
                store.expire();
            }
        });
        let store = self.clone();
        serve("127.0.0.1", Arc::new(move |request| store.answer(request))).to_string()
    }

    /// Writes a key as the operator or an executor does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        write(&mut state, key, base64(value), 0);
        self.changed.notify_all();
        if !key.starts_with("servers/i-0") {
            note(format!("store: {key} written, rev {}", state.rev));
        }
    }

    /// Revision of a key; 0 if it does not exist.
    pub fn revision(&self, key: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.items.get(key).map_or(0, |item| item.rev)
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        pause(ANSWER_MS);
        let path = request.path.strip_prefix("/lacewingshore/")?;
        match (request.method.as_str(), path) {
            ("GET", "kv-key") => self.read(request.query("key")),
            ("GET", "kv-range") => self.range(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.change(&request.json()),
            ("POST", "kv-lease") => self.take_lease(&request.json()),
            ("POST", path) => self.renew(path.strip_prefix("kv-keep/")?.parse().ok()?),
            ("DELETE", path) => self.end(path.strip_prefix("kv-lease-end/")?.parse().ok()?),
            _ => Some((404, String::new())),
        }
    }

    fn read(&self, key: &str) -> Reply {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => Some((200, item_json(key, item).render())),
            None => Some((404, String::new())),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let state = self.state.lock().unwrap();
        let matching = state.items.iter();
        let mut matching =
            matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Json> = matching
            .by_ref()
            .take(500)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = matching.next().is_some();
        let body = obj(vec![
            ("items", Json::Arr(items)),
            ("has_more", Json::Bool(more)),
            ("as_of", num(state.rev)),
        ]);
        Some((200, body.render()))
    }

    fn watch(&self, request: &Request) -> Reply {
        let (prefix, after) = (
            request.query("prefix"),
            request.query("after").parse().ok()?,
        );
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|event| event.rev > after && event.key.starts_with(prefix));
            let events: Vec<Json> = new
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => obj(vec![
                        ("key", text(&event.key)),
                        ("rev", num(event.rev)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = obj(vec![
                    ("events", Json::Arr(events)),
                    ("as_of", num(state.rev)),
                ]);
                return Some((200, body.render()));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let expected = body.rows("expected_rev");
        let rev = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        if expected
            .iter()
            .any(|row| rev(&state, row.str("key")) != row.u64("rev"))
        {
            let items = expected
                .iter()
                .map(|row| match state.items.get(row.str("key")) {
                    Some(item) => item_json(row.str("key"), item),
                    None => obj(vec![("key", text(row.str("key"))), ("rev", num(0))]),
                });
            let items: Vec<Json> = items.collect();
            return Some((412, obj(vec![("items", Json::Arr(items))]).render()));
        }
        let writes = body.rows("writes");
        let forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|row| forbidden(row.str("key"))) {
            return Some((403, String::new()));
        }
        let lease_gone =
            |row: &Json| row.u64("lease") != 0 && !state.leases.contains_key(&row.u64("lease"));
        if writes.iter().any(lease_gone) {
            return Some((404, String::new()));
        }
        state.rev += 1;
        for row in writes {
            write(
                &mut state,
                row.str("key"),
                row.str("value").to_owned(),
                row.u64("lease"),
            );
        }
        for key in body.rows("remove") {
            remove(&mut state, key.as_str());
        }
        self.changed.notify_all();
        Some((200, obj(vec![("rev", num(state.rev))]).render()))
    }

    fn take_lease(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let (lease, ttl) = (state.next_lease, body.u64("ttl_ms").clamp(1000, 600_000));
        let length = Duration::from_millis(ttl);
        state
            .leases
            .insert(lease, (length, Instant::now() + length));
        Some((
            200,
            obj(vec![("lease", num(lease)), ("ttl_ms", num(ttl))]).render(),
        ))
    }

    fn renew(&self, lease: u64) -> Reply {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((length, until)) => {
                *until = Instant::now() + *length;
                Some((200, "{}".to_owned()))
            }
            None => Some((404, String::new())),
        }
    }

    fn end(&self, lease: u64) -> Reply {
        let mut state = self.state.lock().unwrap();
        let known = state.leases.contains_key(&lease);
        end_lease(&mut state, lease);
        self.changed.notify_all();
        Some((if known { 200 } else { 404 }, String::new()))
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let rev = state.rev;
    let created = state.items.get(key).map_or(rev, |item| item.created);
    let item = Item {
        value,
        rev,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.events.push(Event {
        key: key.to_owned(),
        rev,
        item: Some(item),
    });
}

fn remove(state: &mut State, key: &str) {
    let rev = state.rev;
    if state.items.remove(key).is_some() {
        state.events.push(Event {
            key: key.to_owned(),
            rev,
            item: None,
        });
    }
}

fn end_lease(state: &mut State, lease: u64) {
    if state.leases.remove(&lease).is_none() {
        return;
    }
    state.rev += 1;
    let held = state.items.iter().filter(|(_, item)| item.lease == lease);
    let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    held.iter().for_each(|key| remove(state, key));
}

fn item_json(key: &str, item: &Item) -> Json {
    obj(vec![
        ("key", text(key)),
        ("value", text(&item.value)),
        ("rev", num(item.rev)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}
