//! HTTP server for metrics in the text format of Prometheus.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::DoorSettings;
use bamboospur_http1::server::{ReadLimits, ServerConnection, build_response_head};
use bamboospur_types::BufferBudget;
use tracing::{info, warn};

use crate::process::{Listener, spawn_detached};

const METRICS_PATH: &str = "/metrics";
/// Limits on requests for metrics, which have no body.
const READ_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 4 * 1024,
    body_bytes: 0,
    head_timeout: Duration::from_secs(2),
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Starts a server that answers requests for metrics with `text`. If the port is not
/// free, the process continues without metrics.
pub fn start<F>(
    ip: Ipv4Addr,
    port: u16,
    door: DoorSettings,
    buffers: &BufferBudget,
    text: impl Fn() -> F + 'static,
) where
    F: Future<Output = String> + 'static,
{
    let address = SocketAddr::new(ip.into(), port);
    match Listener::bind(address, door, buffers, "metrics") {
        Ok(listener) => {
            info!(%address, "serving metrics");
            spawn_detached(accept_connections(listener, Rc::new(text)));
        }
        Err(error) => warn!(error, "continuing without metrics"),
    }
}

async fn accept_connections<F>(listener: Listener, text: Rc<impl Fn() -> F + 'static>)
where
    F: Future<Output = String> + 'static,
{
    loop {
        let (stream, place) = listener.accept().await;
        let connection = ServerConnection::new(stream, place);
        spawn_detached(serve_connection(connection, Rc::clone(&text)));
    }
}

async fn serve_connection<F: Future<Output = String>>(
    mut connection: ServerConnection,
    text: Rc<impl Fn() -> F>,
) {
    while let Ok(request) = connection.read_request(&READ_LIMITS).await {
        let (mut responder, _) = connection.split();
        responder.adapt_to_request(&request.head);
        let (status, body) = match request.head.target.as_str() {
            METRICS_PATH => (200, text().await),
            _ => (404, String::new()),
        };
        let head = build_response_head(status, &[("Content-Type", "text/plain; version=0.0.4")]);
        let sent = responder.write_response(&head, body.as_bytes()).await;
        if sent.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}
