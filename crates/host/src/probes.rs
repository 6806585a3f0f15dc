//! HTTP listeners for readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::debug;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Host;

/// Lifetime of a probe connection; probes arrive every few seconds.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Kind of probe that an address serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Whether the load balancer should route clients to this host.
    Readiness,
    /// Metrics in the Prometheus text format.
    Metrics,
}

/// Serves one probe connection.
pub async fn serve_probe<W, R>(cx: Rc<Host<W, R>>, probe: Probe, stream: TcpStream) {
    let service = service_fn(|_req: Request<Incoming>| {
        let response = match probe {
            Probe::Readiness => readiness(&cx),
            Probe::Metrics => metrics(&cx),
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(err)) = timeout(CONNECTION_TIMEOUT, connection).await {
        debug!(cx.log, "probe connection failed"; "error" => %err);
    }
}

fn readiness<W, R>(cx: &Rc<Host<W, R>>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !cx.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics<W, R>(cx: &Rc<Host<W, R>>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(cx.metrics.to_text())));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}
