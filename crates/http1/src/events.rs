//! Event streams (`text/event-stream`) cut into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event; a longer one is an error of the target.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes as they came.
    pub bytes: Bytes,
    /// Value of its `id` line.
    pub id: Option<u64>,
}

/// Cuts a byte stream into events and holds back an event that is not whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an unfinished event are held back.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the bytes of the unfinished event.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Whether the unfinished event is longer than any valid one.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the length of the first event with its empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut from = self.scanned;
        while let Some(found) = bytes[from..].iter().position(|&b| b == b'\n') {
            let line_end = from + found + 1;
            match bytes.get(line_end..) {
                Some([b'\n', ..]) => return Some(line_end + 1),
                Some([b'\r', b'\n', ..]) => return Some(line_end + 2),
                _ => from = line_end,
            }
        }
        // The last line end can be followed by an empty line that is not here yet.
        self.scanned = from.saturating_sub(1);
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
