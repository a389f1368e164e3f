//! The metrics address: counters as text on request.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{ReadLimits, ServerConnection, build_response_head};
use bamboospur_http1::socket;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tracing::{info, warn};

use crate::process;

/// Path of the counters.
const PATH: &str = "/metrics";
/// Bounds on those who ask.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 4 * 1024,
    body_bytes: 0,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Serves text on a port for ever. Without the port the process goes on.
pub fn start<F>(ip: Ipv4Addr, port: u16, text: impl Fn() -> F + 'static)
where
    F: Future<Output = String> + 'static,
{
    let address = SocketAddr::new(ip.into(), port);
    match socket::listen(address) {
        Ok(listener) => {
            info!(%address, "metrics are served");
            spawn_local(accept(listener, Rc::new(text)));
        }
        Err(error) => warn!(%address, %error, "no metrics are served"),
    }
}

async fn accept<F>(listener: TcpListener, text: Rc<impl Fn() -> F + 'static>)
where
    F: Future<Output = String> + 'static,
{
    loop {
        let stream = process::accept(&listener, "metrics").await;
        spawn_local(answer(stream, Rc::clone(&text)));
    }
}

async fn answer<F: Future<Output = String>>(stream: TcpStream, text: Rc<impl Fn() -> F>) {
    let mut connection = ServerConnection::new(stream);
    while let Ok(request) = connection.read_request(&LIMITS).await {
        let (mut responder, _) = connection.split();
        responder.adapt_to_request(&request.head);
        let (status, body) = match request.head.target.as_str() {
            PATH => (200, text().await),
            _ => (404, String::new()),
        };
        let head = build_response_head(status, &[("Content-Type", "text/plain; version=0.0.4")]);
        let sent = responder.answer(&head, body.as_bytes()).await;
        if sent.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}
