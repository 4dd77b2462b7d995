//! The platform's store, as PROTOCOL.md describes it, with an endpoint for each process.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{Json, from_base64, to_base64},
};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Endpoints that get no answer.
    silent: Vec<bool>,
    /// For each endpoint, addresses that are read as others of the same length.
    views: Vec<HashMap<String, String>>,
    /// The endpoint of the last change under a condition.
    last_writer: Option<usize>,
    /// The endpoints of all changes, by their revisions.
    writers: BTreeMap<u64, usize>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = State {
            rev: 1,
            next_lease: 1,
            ..State::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        http::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        store
    }

    /// Starts the endpoint of one more process; returns its number and address.
    pub fn endpoint(self: &Arc<Self>) -> (usize, String) {
        let number = {
            let mut state = self.state.lock().unwrap();
            state.silent.push(false);
            state.views.push(HashMap::new());
            state.silent.len() - 1
        };
        let store = self.clone();
        let address = http::serve(Arc::new(move |request: &Request| {
            if store.is_silent(number) {
                return Reply::Silent;
            }
            thread::sleep(Duration::from_millis(4));
            let reply = store.handle(number, request);
            if store.is_silent(number) {
                Reply::Silent
            } else {
                reply
            }
        }));
        (number, address)
    }

    pub fn set_silent(&self, endpoint: usize, silent: bool) {
        self.state.lock().unwrap().silent[endpoint] = silent;
        self.changed.notify_all();
    }

    fn is_silent(&self, endpoint: usize) -> bool {
        self.state.lock().unwrap().silent[endpoint]
    }

    /// Lets an endpoint read an address as another one.
    pub fn set_view(&self, endpoint: usize, from: &str, to: &str) {
        let mut state = self.state.lock().unwrap();
        state.views[endpoint].insert(from.to_owned(), to.to_owned());
    }

    pub fn clear_view(&self, endpoint: usize, from: &str) {
        self.state.lock().unwrap().views[endpoint].remove(from);
    }

    pub fn last_writer(&self) -> Option<usize> {
        self.state.lock().unwrap().last_writer
    }

    /// The endpoint of a change. An owner's fencing token is the revision of its entry.
    pub fn writer(&self, rev: u64) -> Option<usize> {
        self.state.lock().unwrap().writers.get(&rev).copied()
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        write(&mut state, key, to_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        delete(&mut state, key);
        self.changed.notify_all();
    }

    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let bytes = from_base64(&state.items.get(key)?.value)?;
        String::from_utf8(bytes).ok()
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.changed.notify_all();
        }
    }

    fn handle(&self, endpoint: usize, request: &Request) -> Reply {
        let name = request
            .path
            .strip_prefix("/lacewingshore/")
            .unwrap_or_default();
        let (name, id) = name.split_once('/').unwrap_or((name, ""));
        let id: u64 = id.parse().unwrap_or_default();
        match name {
            "kv-key" => {
                let state = self.state.lock().unwrap();
                let key = request.query("key");
                match state.items.get(key) {
                    Some(item) => Reply::json(200, show(&state, endpoint, key, item)),
                    None => Reply::json(404, Json::Map(vec![])),
                }
            }
            "kv-range" => self.range(endpoint, request),
            "kv-watch" => self.watch(endpoint, request),
            "kv-txn" => self.change(endpoint, &request.json()),
            "kv-lease" => {
                let ttl = request.json().get("ttl_ms").num();
                let mut state = self.state.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                let length = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (length, Instant::now() + length));
                Reply::json(200, map(&[("lease", lease), ("ttl_ms", ttl)]))
            }
            "kv-keep" => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.1 = Instant::now() + lease.0;
                        let ttl = lease.0.as_millis() as u64;
                        Reply::json(200, map(&[("ttl_ms", ttl)]))
                    }
                    None => Reply::json(404, Json::Map(vec![])),
                }
            }
            "kv-lease-end" => {
                let mut state = self.state.lock().unwrap();
                let found = end_lease(&mut state, id);
                self.changed.notify_all();
                Reply::json(if found { 200 } else { 404 }, Json::Map(vec![]))
            }
            _ => Reply::json(404, Json::Map(vec![])),
        }
    }

    fn range(&self, endpoint: usize, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let rows = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let mut rows = rows.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let items: Vec<Json> = rows
            .by_ref()
            .take(500)
            .map(|(key, item)| show(&state, endpoint, key, item))
            .collect();
        let more = rows.next().is_some();
        let body = vec![
            ("items".to_owned(), Json::List(items)),
            ("has_more".to_owned(), Json::Bool(more)),
            ("as_of".to_owned(), Json::Num(state.rev as f64)),
        ];
        Reply::json(200, Json::Map(body))
    }

    fn watch(&self, endpoint: usize, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait: u64 = request.query("wait_ms").parse().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            if state.silent[endpoint] {
                return Reply::Silent;
            }
            let first = state.history.partition_point(|row| row.0 <= after);
            let rows = state.history[first..]
                .iter()
                .filter(|row| row.1.starts_with(prefix));
            let events: Vec<Json> = rows
                .map(|(rev, key, item)| match item {
                    Some(item) => show(&state, endpoint, key, item),
                    None => Json::Map(vec![
                        ("key".to_owned(), Json::Str(key.clone())),
                        ("rev".to_owned(), Json::Num(*rev as f64)),
                        ("deleted".to_owned(), Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = vec![
                    ("events".to_owned(), Json::List(events)),
                    ("as_of".to_owned(), Json::Num(state.rev as f64)),
                ];
                return Reply::json(200, Json::Map(body));
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn change(&self, endpoint: usize, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expected_rev").list();
        let holds = |row: &Json| {
            let found = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.rev);
            found == row.get("rev").num()
        };
        if !expected.iter().all(holds) {
            let none = Item {
                value: String::new(),
                rev: 0,
                created: 0,
                lease: 0,
            };
            let items = expected.iter().map(|row| {
                let key = row.get("key").text();
                show(&state, endpoint, key, state.items.get(key).unwrap_or(&none))
            });
            let items = Json::List(items.collect());
            return Reply::json(412, Json::Map(vec![("items".to_owned(), items)]));
        }
        let writes = body.get("writes").list();
        let ended = |row: &Json| {
            let lease = row.get("lease").num();
            lease > 0 && !state.leases.contains_key(&lease)
        };
        if writes.iter().any(ended) {
            return Reply::json(404, Json::Map(vec![]));
        }
        if !expected.is_empty() {
            state.last_writer = Some(endpoint);
        }
        state.rev += 1;
        let rev = state.rev;
        state.writers.insert(rev, endpoint);
        for key in body.get("remove").list() {
            delete(&mut state, key.text());
        }
        for row in writes {
            let value = row.get("value").text().to_owned();
            write(
                &mut state,
                row.get("key").text(),
                value,
                row.get("lease").num(),
            );
        }
        self.changed.notify_all();
        Reply::json(200, map(&[("rev", state.rev)]))
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let created = state.items.get(key).map_or(state.rev, |item| item.created);
    let item = Item {
        value,
        rev: state.rev,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((state.rev, key.to_owned(), Some(item)));
}

fn delete(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.history.push((state.rev, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, lease: u64) -> bool {
    let found = state.leases.remove(&lease).is_some();
    let held = state
        .items
        .iter()
        .filter(|(_, item)| found && item.lease == lease);
    let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    state.rev += u64::from(!keys.is_empty());
    for key in keys {
        delete(state, &key);
    }
    found
}

fn show(state: &State, endpoint: usize, key: &str, item: &Item) -> Json {
    let mut bytes = from_base64(&item.value).unwrap_or_default();
    for (from, to) in &state.views[endpoint] {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        for at in 0..bytes.len().saturating_sub(from.len() - 1) {
            if bytes[at..].starts_with(from) {
                bytes[at..at + to.len()].copy_from_slice(to);
            }
        }
    }
    let numbers = [
        ("rev", item.rev),
        ("created", item.created),
        ("lease", item.lease),
    ];
    let mut rows = vec![
        ("key".to_owned(), Json::Str(key.to_owned())),
        ("value".to_owned(), Json::Str(to_base64(&bytes))),
        ("as_of".to_owned(), Json::Num(state.rev as f64)),
    ];
    rows.extend(
        numbers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), Json::Num(*value as f64))),
    );
    Json::Map(rows)
}

pub fn map(rows: &[(&str, u64)]) -> Json {
    let row = |(name, value): &(&str, u64)| ((*name).to_owned(), Json::Num(*value as f64));
    Json::Map(rows.iter().map(row).collect())
}
