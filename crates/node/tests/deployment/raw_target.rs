//! A target that writes raw bytes, chosen by the test.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Receive buffer of the target, so that the rest of a long body stays with the sender.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Head of a request, and what has arrived of its body.
pub struct RawRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl RawRequest {
    pub fn field(&self, wanted: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let field = lines.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        field.map(|(_, value)| value)
    }

    pub fn id(&self) -> &str {
        self.field("x-bamboospur-request-id").unwrap_or_default()
    }

    /// Length that the head states for the body.
    pub fn length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Connection of a router to the target.
pub struct RawConnection {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl RawConnection {
    /// Reads up to the end of a head; `None` at the end of the connection.
    pub fn read_request(&mut self) -> Option<RawRequest> {
        loop {
            let end = self.unread.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.unread.split_off(end + 4);
                let head = String::from_utf8(std::mem::replace(&mut self.unread, rest)).ok()?;
                let length = self.unread.len();
                let mut request = RawRequest {
                    head,
                    body: Vec::new(),
                };
                let arrived = length.min(request.length());
                request.body = self.unread.drain(..arrived).collect();
                return Some(request);
            }
            let mut buffer = [0; 4096];
            let count = self.stream.read(&mut buffer).ok().filter(|&n| n > 0)?;
            self.unread.extend_from_slice(&buffer[..count]);
        }
    }

    /// Reads the rest of the body of a request.
    pub fn read_body(&mut self, request: &mut RawRequest) -> Option<()> {
        let start = request.body.len();
        request.body.resize(request.length(), 0);
        self.stream.read_exact(&mut request.body[start..]).ok()
    }

    pub fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// Makes the connection end with a reset once it is dropped.
    pub fn reset_at_end(&self) -> Option<()> {
        let no_linger = Some(Duration::ZERO);
        SockRef::from(&self.stream).set_linger(no_linger).ok()
    }

    /// Closes the own side, which shows the end of what was written.
    pub fn close_writing(&self) -> Option<()> {
        self.stream.shutdown(Shutdown::Write).ok()
    }
}

/// Accepts connections on a free port, and serves each by `serve` until that returns `None`.
pub fn start<S>(host: Ipv4Addr, serve: S) -> SocketAddr
where
    S: Fn(&mut RawConnection) -> Option<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a receive buffer");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let mut connection = RawConnection {
                    stream,
                    unread: Vec::new(),
                };
                while serve(&mut connection).is_some() {}
            });
        }
    });
    address
}

/// Returns a whole answer with further header lines.
pub fn answer(id: &str, status: &str, lines: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: t\r\n\
         Keep-Alive: timeout=60\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Removes the request id from an answer.
pub fn without_id(answer: &str) -> String {
    without_field(answer, "X-Bamboospur-Request-Id")
}

/// Removes the length from an answer.
pub fn without_length(answer: &str) -> String {
    without_field(answer, "Content-Length")
}

fn without_field(answer: &str, name: &str) -> String {
    let lines = answer.split_inclusive("\r\n");
    lines.filter(|line| !line.starts_with(name)).collect()
}
