//! Health, readiness and metrics over HTTP, the same at every role.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::task::JoinHandle;

use crate::core::HostCx;
use crate::util::http_server::{self, AnyResponse, ServerLimits, TEXT};
use crate::util::rendered_metrics::RenderedMetrics;

/// Sized for load balancers and metric scrapers, which need a few connections each.
const LIMITS: ServerLimits = ServerLimits {
    connections: 64,
    header_bytes: 8 * 1024,
    long_head_bytes: 512 * 1024,
    read_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
};

/// Content type of the Prometheus text exposition format.
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Serves `/healthz`, `/readyz` and `/metrics` until the task is aborted.
///
/// `/readyz` responds with 503 while `ready` returns false, so that load balancers send no
/// requests.
///
/// # Errors
/// Returns an error when the listener can't be made non-blocking or registered with the runtime.
pub fn spawn(
    cx: &HostCx,
    listener: TcpListener,
    ready: impl Fn() -> bool + Send + Sync + 'static,
) -> io::Result<JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    let entered = cx.runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    drop(entered);
    let metrics = RenderedMetrics::new(cx.metrics.clone());
    let ready = Arc::new(ready);
    let serving = http_server::serve(listener, LIMITS, move |req, _peer| {
        let is_get = req.method() == Method::GET;
        let answer = answer(is_get, req.uri().path(), &metrics, &*ready);
        std::future::ready(answer)
    });
    Ok(cx.runtime.spawn(serving))
}

fn answer(
    is_get: bool,
    path: &str,
    metrics: &RenderedMetrics,
    ready: &(impl Fn() -> bool + ?Sized),
) -> AnyResponse {
    if !is_get {
        return http_server::full(StatusCode::METHOD_NOT_ALLOWED, TEXT, "only GET\n");
    }
    match path {
        "/healthz" => http_server::full(StatusCode::OK, TEXT, "ok\n"),
        "/readyz" if ready() => http_server::full(StatusCode::OK, TEXT, "ready\n"),
        "/readyz" => http_server::full(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n"),
        "/metrics" => http_server::full(StatusCode::OK, PROMETHEUS_TEXT, metrics.render()),
        _ => http_server::full(StatusCode::NOT_FOUND, TEXT, "no such page\n"),
    }
}
