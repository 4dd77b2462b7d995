//! Small stand-ins of the areas around the administration interface.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use admin::{AdminConfig, AdminServer, AuditKeeper, key_secret::KeySecret};
use metrics_exporter_prometheus::PrometheusBuilder;
use model::{Incarnation, Manifest, MemberId};
use parking_lot::Mutex;
use ports::{
    ActiveConfig, ChangeError, ChangeOutcome, ChangeRequest, ChangeSink, ConfigSource, MemberInfo,
    MemberSource, NotServing, ServingGate,
};
use prost::Message;
use store::{BootClock, KeyStore, StoreError, StoreVersion, StoredValue};
use wire::state::{Change, ConfigRecord};

/// What the store does to the next write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteFault {
    #[default]
    None,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// Nothing answers.
    Down,
}

/// A store in memory with faults.
#[derive(Default)]
pub struct MemoryStore {
    pub values: Mutex<BTreeMap<String, StoredValue>>,
    pub faults: Mutex<Vec<WriteFault>>,
    pub down: Mutex<bool>,
}

impl MemoryStore {
    pub fn put<M: Message>(&self, key: &str, message: &M) {
        let mut values = self.values.lock();
        let version = values.get(key).map_or(0, |stored| stored.version) + 1;
        let value = message.encode_to_vec();
        values.insert(key.to_owned(), StoredValue { version, value });
    }

    pub fn get<M: Message + Default>(&self, key: &str) -> M {
        let values = self.values.lock();
        let stored = values.get(key).map(|stored| stored.value.clone());
        M::decode(stored.unwrap_or_default().as_slice()).unwrap_or_default()
    }

    fn check(&self) -> Result<(), StoreError> {
        match *self.down.lock() {
            true => Err(StoreError::Unavailable("down".to_owned())),
            false => Ok(()),
        }
    }
}

impl KeyStore for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.check()?;
        Ok(self.values.lock().get(key).cloned())
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        self.check()?;
        let fault = self.faults.lock().pop().unwrap_or_default();
        if fault == WriteFault::Down {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        let mut values = self.values.lock();
        let current = values.get(key).map_or(0, |stored| stored.version);
        if current != expect {
            return Err(StoreError::Conflict { current });
        }
        let stored = StoredValue {
            version: expect + 1,
            value: value.to_vec(),
        };
        values.insert(key.to_owned(), stored);
        if fault == WriteFault::AnswerLost {
            return Err(StoreError::Unknown("answer lost".to_owned()));
        }
        Ok(expect + 1)
    }

    fn remove(&self, key: &str, _expect: StoreVersion) -> Result<(), StoreError> {
        self.check()?;
        self.values.lock().remove(key);
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        _after: StoreVersion,
        _patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.read(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.check()?;
        let values = self.values.lock();
        let found = values.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(found
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect())
    }
}

/// Configuration, gate and member list of one entry host, all in one.
#[derive(Default)]
pub struct LoneHost {
    pub store: Arc<MemoryStore>,
    pub config: Mutex<Arc<ActiveConfig>>,
    pub log: Mutex<ConfigRecord>,
    pub closed: Mutex<bool>,
    /// Refuses the next change after it took effect.
    pub lose_next: Mutex<bool>,
}

impl LoneHost {
    pub fn with_manifest(text: &str) -> Self {
        let (sections, manifest) = Manifest::from_ini(text).unwrap_or_default();
        let config = ActiveConfig {
            manifest,
            sections,
            ..ActiveConfig::default()
        };
        Self {
            config: Mutex::new(Arc::new(config)),
            ..Self::default()
        }
    }

    fn apply(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        let mut log = self.log.lock();
        let known = log
            .tail
            .iter()
            .find(|change| change.change_id == request.change_id.as_str());
        if let Some(change) = known {
            return Ok(ChangeOutcome {
                revision: change.revision,
                repeated: true,
            });
        }
        let mut config = self.config.lock();
        if let Some(base) = request.base.filter(|base| *base != config.revision) {
            return Err(ChangeError::Conflict {
                base,
                newest: config.revision,
                touched: log
                    .tail
                    .iter()
                    .flat_map(|change| change.sections.iter())
                    .map(|edit| edit.section.clone())
                    .collect(),
            });
        }
        let mut next = ActiveConfig::clone(&config);
        next.revision += 1;
        for edit in &request.sections {
            match edit.text.as_str() {
                "" => next.sections.remove(&edit.section),
                text => next.sections.insert(edit.section.clone(), text.to_owned()),
            };
        }
        next.manifest = Manifest::from_sections(&next.sections).unwrap_or_default();
        for edit in &request.keys {
            match (&edit.record, edit.withdrawn) {
                (Some(record), false) => next
                    .keys
                    .insert(edit.key_id.as_str().into(), record.clone()),
                _ => next.keys.remove(edit.key_id.as_str()),
            };
        }
        log.revision = next.revision;
        log.tail.push(Change {
            revision: next.revision,
            change_id: request.change_id.to_string(),
            author: request.author.clone(),
            unix_ms: 1,
            sections: request.sections.clone(),
            keys: request.keys.clone(),
            ..Change::default()
        });
        self.store.put("config", &*log);
        let revision = next.revision;
        *config = Arc::new(next);
        Ok(ChangeOutcome {
            revision,
            repeated: false,
        })
    }
}

impl ConfigSource for LoneHost {
    fn current(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.config.lock())
    }
}

impl ChangeSink for LoneHost {
    fn submit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        let outcome = self.apply(request)?;
        if std::mem::take(&mut *self.lose_next.lock()) {
            return Err(ChangeError::Pending("no majority answered".to_owned()));
        }
        Ok(outcome)
    }
}

impl ServingGate for LoneHost {
    fn check(&self) -> Result<(), NotServing> {
        match *self.closed.lock() {
            true => Err(NotServing::LeaseLapsed),
            false => Ok(()),
        }
    }

    fn leave(&self) {}
}

impl MemberSource for LoneHost {
    fn own_id(&self) -> MemberId {
        "e1".into()
    }

    fn own_incarnation(&self) -> Incarnation {
        1
    }

    fn members(&self) -> Arc<Vec<MemberInfo>> {
        Arc::new(vec![MemberInfo {
            member: "e1".into(),
            incarnation: 1,
            reachable: true,
            ..MemberInfo::default()
        }])
    }
}

/// A running interface with its bootstrap key.
pub struct Bench {
    pub host: Arc<LoneHost>,
    pub server: AdminServer,
    pub audit: Arc<AuditKeeper>,
    pub key: String,
}

pub fn start(host: LoneHost) -> Result<Bench, model::StepError> {
    let host = Arc::new(host);
    let secret = KeySecret::mint()?;
    let store = Arc::clone(&host.store) as Arc<dyn KeyStore>;
    let clock = Arc::new(BootClock);
    let audit = AuditKeeper::start(Arc::clone(&store), clock.clone(), "e1".into(), 1)?;
    let audit = Arc::new(audit);
    let server = AdminServer::start(AdminConfig {
        address: "127.0.0.1:0".to_owned(),
        bootstrap_key: secret.digest_text(),
        config: host.clone(),
        changes: host.clone(),
        members: host.clone(),
        gate: host.clone(),
        statuses: Vec::new(),
        store,
        audit: Arc::clone(&audit),
        clock,
        metrics: PrometheusBuilder::new().build_recorder().handle(),
    })?;
    Ok(Bench {
        host,
        server,
        audit,
        key: secret.text,
    })
}

/// An answer: status and body.
pub type Answer = (u16, String);

impl Bench {
    /// Sends a call and reads the whole answer.
    pub fn call(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Answer {
        let key = format!("Authorization: Bearer {}", self.key);
        let mut all = vec![key.as_str()];
        all.extend(headers);
        call(self.server.address(), method, path, &all, body.as_bytes())
    }
}

/// Sends a call over a connection of its own; status 0 if no answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &[u8],
) -> Answer {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: {}\r\n",
        body.len()
    );
    for header in headers {
        head += &format!("{header}\r\n");
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    let Ok(mut stream) = TcpStream::connect(address) else {
        return (0, String::new());
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.write_all(&bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return (0, String::new());
    };
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    (status.unwrap_or(0), body.to_owned())
}

/// Waits for something that another thread brings about.
pub fn eventually(what: &str, mut is_true: impl FnMut() -> bool) {
    for _ in 0..600 {
        if is_true() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("never: {what}");
}
