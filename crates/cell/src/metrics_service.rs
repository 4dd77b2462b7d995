use std::rc::Rc;

use link::{HttpReply, HttpRequest, HttpService, ReplyFuture};
use metrics_exporter_prometheus::PrometheusHandle;

/// Serves the metrics of the process as text, on any path.
pub(crate) struct MetricsService {
    pub(crate) handle: PrometheusHandle,
}

impl HttpService for MetricsService {
    fn answer(&self, _request: HttpRequest) -> ReplyFuture {
        let text = self.handle.render();
        Box::pin(async move { HttpReply::json(200, text) })
    }
}

impl MetricsService {
    pub(crate) fn service(handle: PrometheusHandle) -> Rc<dyn HttpService> {
        Rc::new(Self { handle })
    }
}
