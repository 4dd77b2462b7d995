use std::{net::SocketAddr, sync::Arc};

use metrics_exporter_prometheus::PrometheusHandle;
use model::{KeyId, StepError, event as log_event};
use ports::{ChangeSink, ConfigSource, MemberSource, ServingGate, StatusSource};
use store::{Clock, KeyStore};
use tokio::sync::oneshot;

use crate::{
    AdminProblem, AuditKeeper,
    admin_auth::AdminAuth,
    audit::ConfigWatch,
    event,
    metrics_keeper::MetricsKeeper,
    route::AdminRouter,
    server::{AdminCall, AdminReply, HttpPort, HttpVerb, PortHandler, WorkLane},
};

/// What the administration interface is built from.
pub struct AdminConfig {
    /// Address to listen on, as `ip:port`; port 0 takes a free one.
    pub address: String,
    /// Digest of the bootstrap key as `ID:SALT:DIGEST`; empty for none.
    pub bootstrap_key: String,
    /// The configuration in force.
    pub config: Arc<dyn ConfigSource>,
    /// Takes changes.
    pub changes: Arc<dyn ChangeSink>,
    /// The member list.
    pub members: Arc<dyn MemberSource>,
    /// Says whether this entry host serves.
    pub gate: Arc<dyn ServingGate>,
    /// What the status shows.
    pub statuses: Vec<Arc<dyn StatusSource>>,
    /// The store that keeps the audit trail.
    pub store: Arc<dyn KeyStore>,
    /// Writes the audit trail; from now on it audits the change log too.
    pub audit: Arc<AuditKeeper>,
    /// Wall clock for the end of keys.
    pub clock: Arc<dyn Clock>,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// The administration interface of one entry host.
pub struct AdminServer {
    port: Option<HttpPort>,
    address: SocketAddr,
    desk: Option<Arc<AdminDesk>>,
    metrics: Option<MetricsKeeper>,
}

impl AdminServer {
    /// Listens, and answers operators until stopped.
    ///
    /// # Errors
    /// If the address can't be listened on or a thread can't be started.
    pub fn start(config: AdminConfig) -> Result<Self, StepError> {
        let address = config.address.clone();
        config.audit.watch_config(ConfigWatch {
            config: Arc::clone(&config.config),
            members: Arc::clone(&config.members),
        });
        let auth = AdminAuth::new(
            Arc::clone(&config.config),
            Arc::clone(&config.clock),
            &config.bootstrap_key,
        );
        let metrics = MetricsKeeper::start(config.metrics.clone())?;
        let router = Arc::new(AdminRouter::new(config));
        let answer: Arc<dyn Fn(&AdminCall) -> AdminReply + Send + Sync> = {
            let router = Arc::clone(&router);
            Arc::new(move |call| router.answer(call))
        };
        let desk = Arc::new(AdminDesk {
            auth,
            router,
            reads: WorkLane::start("read", &answer)?,
            changes: WorkLane::start("change", &answer)?,
        });
        let port = HttpPort::start(&address, Arc::clone(&desk) as Arc<dyn PortHandler>)?;
        let address = port.address();
        log_event::info(&event::ADMIN_STARTED, format_args!("address={address}"));
        Ok(Self {
            port: Some(port),
            address,
            desk: Some(desk),
            metrics: Some(metrics),
        })
    }

    /// The address that operators reach.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more calls, finishes those under way and ends the threads.
    pub fn stop(&mut self) {
        if let Some(port) = self.port.take() {
            port.stop();
        }
        let desk = self.desk.take().and_then(Arc::into_inner);
        if let Some(desk) = desk {
            desk.reads.stop();
            desk.changes.stop();
        }
        if let Some(metrics) = self.metrics.take() {
            metrics.stop();
        }
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Takes calls from the port and hands them to the lanes.
struct AdminDesk {
    auth: AdminAuth,
    router: Arc<AdminRouter>,
    reads: WorkLane,
    changes: WorkLane,
}

impl PortHandler for AdminDesk {
    fn open(&self, verb: HttpVerb, path: &str) -> Option<AdminReply> {
        self.router.answer_open(verb, path)
    }

    fn author(&self, authorization: &str, peer: SocketAddr) -> Option<KeyId> {
        let author = self.auth.check(authorization);
        if author.is_none() {
            metrics::counter!("lws_admin_keys_refused").increment(1);
            log_event::warn(&event::ADMIN_KEY_REFUSED, format_args!("peer={peer}"));
        }
        author
    }

    fn submit(&self, call: AdminCall) -> Result<oneshot::Receiver<AdminReply>, AdminProblem> {
        match call.verb {
            HttpVerb::Get => self.reads.submit(call),
            HttpVerb::Put | HttpVerb::Post | HttpVerb::Delete => self.changes.submit(call),
        }
    }
}
