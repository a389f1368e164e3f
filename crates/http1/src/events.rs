//! Splitter of server-sent event streams (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// Names of the fields of an event.
const KNOWN_FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];
/// Longest event; a longer one counts as a target failure.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes as received.
    pub bytes: Bytes,
    /// Number in the first `id` line; `None` when there is no such line or its value
    /// is not a number.
    pub id: Option<u64>,
    /// Whether there are only comments, as targets send to keep connections alive.
    pub is_comment: bool,
    /// Whether a line is no field of an event, such as those of the head of a further answer.
    pub is_malformed: bool,
}

/// Splits a byte stream into events and buffers an incomplete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that were searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        let is_comment = is_comment(&bytes);
        let is_malformed = !has_only_fields(&bytes);
        Some(Event {
            bytes,
            id,
            is_comment,
            is_malformed,
        })
    }

    /// Whether the buffer holds bytes of an incomplete event, once `next_event` has
    /// returned `None`.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Returns the number of bytes that are buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the incomplete event is longer than the 1 MiB limit.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the length of the first event, including its empty line.
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
        // The empty line after the last line end may not have arrived yet.
        let rest = &bytes[from..];
        let may_end_here = rest.is_empty() || rest == b"\r";
        self.scanned = if may_end_here {
            from.saturating_sub(1)
        } else {
            bytes.len()
        };
        None
    }
}

/// Returns the lines of an event without their ends.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|&byte| byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Whether all lines of an event are fields or comments.
///
/// Fields that this program does not know may come before the known ones. A target that breaks
/// off inside an event and writes the head of another answer leaves them behind.
#[must_use]
pub fn has_only_fields(event: &[u8]) -> bool {
    let mut has_known = false;
    lines(event).filter(|line| !line.is_empty()).all(|line| {
        let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
        let is_known = KNOWN_FIELDS.contains(&name);
        has_known |= is_known;
        let is_name = !name.iter().any(|byte| matches!(byte, b' ' | b'/'));
        is_known || name.is_empty() || (is_name && !has_known)
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
