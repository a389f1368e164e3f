//! HTTP server and helper functions of both stand-ins, on top of `tiny_http`.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use tiny_http::{Header, Request, Response, Server};

/// Bytes of a request body beyond this limit are not read.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
/// Stack size of a request thread. The handlers use little stack.
const REQUEST_STACK_BYTES: usize = 128 * 1024;

/// Time between connections that make the server take queued ones; see `wake_server`.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a server on an address; each request runs on its own thread.
///
/// # Errors
///
/// Returns a message when the address cannot be bound.
pub fn serve<F>(address: SocketAddr, handle: F) -> Result<(Arc<Server>, SocketAddr), String>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::http(address).map_err(|e| format!("cannot bind {address}: {e}"))?;
    let server = Arc::new(server);
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| format!("{address} is not an IP address"))?;
    let accepting = Arc::clone(&server);
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while let Ok(request) = accepting.recv() {
            let handle = Arc::clone(&handle);
            let builder = thread::Builder::new().stack_size(REQUEST_STACK_BYTES);
            // A failed spawn drops the request, which closes its connection.
            let _ = builder.spawn(move || handle(request));
        }
    });
    let waking = Arc::downgrade(&server);
    thread::spawn(move || wake_server(&waking, bound));
    Ok((server, bound))
}

/// Connects to the server at intervals. `tiny_http` can leave a new connection
/// queued until another one ends; each further connection makes it take a queued
/// one.
fn wake_server(server: &Weak<Server>, address: SocketAddr) {
    while server.strong_count() > 1 {
        // A failed connection is not retried: the next interval brings another one.
        drop(TcpStream::connect_timeout(&address, WAKE_INTERVAL));
        thread::sleep(WAKE_INTERVAL);
    }
}

/// Returns the value of a request header; the case of the name is ignored.
pub fn header(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str().to_owned())
}

/// Reads the request body, up to `MAX_BODY_BYTES`.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    use std::io::Read;
    let mut bytes = Vec::new();
    let mut reader = request.as_reader().take(MAX_BODY_BYTES);
    // After a read error, the part of the body that arrived is used.
    let _ = reader.read_to_end(&mut bytes);
    bytes
}

/// Sends a JSON answer with the request's `x-request-id` and extra headers.
pub fn respond(request: Request, status: u16, json: &serde_json::Value, extra: &[(&str, &str)]) {
    let mut response = Response::from_string(json.to_string()).with_status_code(status);
    response.add_header(make_header("content-type", "application/json"));
    if let Some(id) = header(&request, "x-request-id") {
        response.add_header(make_header("x-request-id", &id));
    }
    for (name, value) in extra {
        response.add_header(make_header(name, value));
    }
    // Sending fails when the caller has closed the connection; that needs no action.
    let _ = request.respond(response);
}

/// Writes status line and headers of a chunked event stream.
///
/// # Errors
///
/// Returns the write error when the caller has closed the connection.
pub fn write_stream_head(out: &mut dyn Write, request_id: &str) -> std::io::Result<()> {
    write!(
        out,
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\nx-request-id: {request_id}\r\n\r\n"
    )?;
    out.flush()
}

fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .unwrap_or_else(|()| Header::from_bytes("x-invalid", "1").expect("constant header"))
}
