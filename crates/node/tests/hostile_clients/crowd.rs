//! Crowds of clients that do not behave.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

/// Most bytes of one write.
const WRITE_BYTES: usize = 32 * 1024;
/// Time until a client whose connection was closed opens another one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// What each client of a crowd sends on its connection, before it falls silent and stays.
#[derive(Clone, Debug)]
pub struct Client {
    /// Sent once.
    begin: Vec<u8>,
    /// Sent again and again.
    pattern: Vec<u8>,
    /// Number of bytes after `begin`.
    rest_bytes: usize,
}

impl Client {
    /// Sends these bytes only.
    pub fn only(bytes: &str) -> Self {
        Self {
            begin: bytes.as_bytes().to_vec(),
            pattern: Vec::new(),
            rest_bytes: 0,
        }
    }

    /// Sends `begin`, and then the pattern up to this many bytes.
    pub fn repeating(begin: &str, pattern: &str, rest_bytes: usize) -> Self {
        let copies = WRITE_BYTES / pattern.len() + 1;
        Self {
            begin: begin.as_bytes().to_vec(),
            pattern: pattern.repeat(copies).into_bytes(),
            rest_bytes: if pattern.is_empty() { 0 } else { rest_bytes },
        }
    }

    /// Sends a body in chunks of this size, and stops just short of its end.
    pub fn chunked(head: &str, chunk_bytes: usize, body_bytes: usize) -> Self {
        let begin = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        let chunks = body_bytes / chunk_bytes;
        let rest_bytes = chunks * chunk.len() - 1;
        Self::repeating(&begin, &chunk, rest_bytes)
    }

    /// Announces a body of this length and sends all of it but `missing_bytes`.
    pub fn with_length(head: &str, body_bytes: usize, missing_bytes: usize) -> Self {
        let begin = format!("{head}Content-Length: {body_bytes}\r\n\r\n");
        Self::repeating(&begin, "x", body_bytes - missing_bytes)
    }
}

struct Connection {
    stream: Option<TcpStream>,
    reopen_at: Instant,
    sent_bytes: usize,
}

/// Clients that are connected and send; they end when this value is dropped.
pub struct Crowd {
    sending: Arc<AtomicBool>,
    ending: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Opens this many connections to an address, and opens those anew that are closed.
    pub fn start(address: SocketAddr, connections: usize, client: Client) -> Self {
        let sending = Arc::new(AtomicBool::new(true));
        let ending = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicUsize::new(0));
        let thread = {
            let (sending, ending, open) =
                (Arc::clone(&sending), Arc::clone(&ending), Arc::clone(&open));
            thread::spawn(move || {
                let mut connections: Vec<_> = (0..connections)
                    .map(|_| Connection::new(Instant::now()))
                    .collect();
                while !ending.load(Ordering::SeqCst) {
                    let mut progress = false;
                    for connection in &mut connections {
                        let is_sending = sending.load(Ordering::SeqCst);
                        progress |= connection.step(address, &client, is_sending);
                    }
                    let count = connections.iter().filter(|c| c.stream.is_some()).count();
                    open.store(count, Ordering::SeqCst);
                    if !progress {
                        thread::sleep(Duration::from_millis(2));
                    }
                }
            })
        };
        Self {
            sending,
            ending,
            open,
            thread: Some(thread),
        }
    }

    /// Stops sending and opens no connection any more; those that are open stay.
    pub fn fall_silent(&self) {
        self.sending.store(false, Ordering::SeqCst);
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A panic of the crowd's thread has been printed.
            let _ended = thread.join();
        }
    }
}

impl Connection {
    const fn new(reopen_at: Instant) -> Self {
        Self {
            stream: None,
            reopen_at,
            sent_bytes: 0,
        }
    }

    /// Sends what the peer takes now; returns whether anything was done.
    fn step(&mut self, address: SocketAddr, client: &Client, is_sending: bool) -> bool {
        let Some(stream) = &mut self.stream else {
            if !is_sending || Instant::now() < self.reopen_at {
                return false;
            }
            self.reopen_at = Instant::now() + RECONNECT_PAUSE;
            self.stream = connect(address);
            self.sent_bytes = 0;
            return self.stream.is_some();
        };
        let next = next_bytes(client, self.sent_bytes);
        let sent = match next {
            [] => Ok(0),
            _ if !is_sending => Ok(0),
            bytes => stream.write(bytes),
        };
        let sent_bytes = match sent {
            Ok(count) => count,
            Err(error) if is_pending(&error) => 0,
            Err(_) => return self.close(),
        };
        self.sent_bytes += sent_bytes;
        match stream.read(&mut [0; 1024]) {
            Ok(0) => self.close(),
            Ok(_) => true,
            Err(error) if is_pending(&error) => sent_bytes > 0,
            Err(_) => self.close(),
        }
    }

    fn close(&mut self) -> bool {
        *self = Self::new(Instant::now() + RECONNECT_PAUSE);
        true
    }
}

fn is_pending(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

/// Starts to connect, without waiting for the peer to accept.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
    socket.set_nonblocking(true).ok()?;
    // The connection may still be in progress.
    let _started = socket.connect(&address.into());
    Some(socket.into())
}

/// Returns the bytes that follow the first `sent_bytes` of a client.
fn next_bytes(client: &Client, sent_bytes: usize) -> &[u8] {
    if let Some(begin @ [_, ..]) = client.begin.get(sent_bytes..) {
        return begin;
    }
    let sent_bytes = sent_bytes - client.begin.len();
    let left_bytes = client.rest_bytes - sent_bytes;
    if left_bytes == 0 {
        return &[];
    }
    let rest = &client.pattern[sent_bytes % client.pattern.len()..];
    &rest[..rest.len().min(left_bytes)]
}
