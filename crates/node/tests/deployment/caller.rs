//! A caller that keeps its connection and reads streams event by event.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::harness::Reply;

/// Longest wait of a caller for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(7);

/// What a caller read of one answer.
#[derive(Debug, Default)]
pub struct StreamRead {
    /// Ids of the events, and the targets that wrote them.
    pub events: Vec<(u64, String)>,
    /// Whether the answer ended as complete.
    pub is_whole: bool,
}

/// A connection that stays open from one request to the next.
pub struct KeptConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    open: bool,
}

impl KeptConnection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
            open: true,
        })
    }

    /// Whether a further request can be sent.
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// Sends a request and reads its answer as far as it comes.
    pub fn read_stream(&mut self, text: &str) -> StreamRead {
        let mut read = StreamRead::default();
        let ended = match self.stream.write_all(text.as_bytes()) {
            Ok(()) => self.read_answer(&mut read),
            Err(_) => None,
        };
        self.open &= ended.is_some();
        read
    }

    /// Sends a request and reads its answer. The body is as it was sent: one in chunks that breaks
    /// off is without its last chunk, and one with a length that does is no answer.
    pub fn send(&mut self, head: &str, body: &[u8]) -> Option<Reply> {
        let sent = self.stream.write_all(head.as_bytes());
        let sent = sent.and_then(|()| self.stream.write_all(body));
        let reply = sent.ok().and_then(|()| self.read_reply());
        let is_whole = reply.as_ref().is_some_and(Reply::is_whole);
        self.open &= is_whole;
        reply
    }

    fn read_reply(&mut self) -> Option<Reply> {
        let head = self.read_head()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut body = Vec::new();
        if let Some(length) = content_length(&head) {
            body = self.read_count(length)?;
        } else {
            while let Some(chunk) = self.read_chunk() {
                body.extend_from_slice(&chunk);
                if chunk.starts_with(b"0\r\n") {
                    break;
                }
            }
        }
        let body = String::from_utf8(body).ok()?;
        Some(Reply { status, head, body })
    }

    /// Reads a chunk with its size and line ends.
    fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let mut chunk = self.read_until(b"\r\n")?;
        let size = std::str::from_utf8(&chunk).ok()?.trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        chunk.append(&mut self.read_count(size + 2)?);
        Some(chunk)
    }

    fn read_head(&mut self) -> Option<String> {
        let head = String::from_utf8(self.read_until(b"\r\n\r\n")?).ok()?;
        self.open &= !head.to_ascii_lowercase().contains("connection: close");
        Some(head)
    }

    /// Reads an answer to its end; `None` if it broke off.
    fn read_answer(&mut self, read: &mut StreamRead) -> Option<()> {
        let head = self.read_head()?;
        if let Some(length) = content_length(&head) {
            self.read_count(length)?;
            return Some(());
        }
        let mut events = String::new();
        loop {
            let size = self.read_until(b"\r\n")?;
            let size = String::from_utf8(size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let chunk = self.read_count(size + 2)?;
            if size == 0 {
                read.is_whole = true;
                return Some(());
            }
            events.push_str(std::str::from_utf8(&chunk[..size]).ok()?);
            read.events = parse_events(&events);
        }
    }

    fn read_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self.buffer.windows(end.len()).position(|part| part == end);
            if let Some(at) = found {
                return Some(self.buffer.drain(..at + end.len()).collect());
            }
            self.fill()?;
        }
    }

    fn read_count(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes).ok().filter(|&n| n > 0)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

fn content_length(head: &str) -> Option<usize> {
    let head = head.to_ascii_lowercase();
    let (_, rest) = head.split_once("content-length: ")?;
    rest.lines().next()?.trim().parse().ok()
}

/// Parses events with an id and the name of their target as data.
fn parse_events(text: &str) -> Vec<(u64, String)> {
    let event = |text: &str| {
        let (id, data) = text.split_once('\n')?;
        let id = id.strip_prefix("id: ")?.parse().ok()?;
        Some((id, data.strip_prefix("data: ")?.to_owned()))
    };
    text.split("\n\n").filter_map(event).collect()
}
