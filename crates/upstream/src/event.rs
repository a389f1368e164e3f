//! Reader of the server-sent events that engines send.

use bamboospur_http1::has_only_fields;
use bamboospur_types::BufferReservation;

use crate::answer::AnswerBody;
use crate::failure::{Failure, FailureKind};

/// Largest accepted event; bounds the memory of a stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Most bytes taken from the body in one read.
const READ_BYTES: usize = 4 * 1024;
/// Data of the event that ends a stream.
const END_EVENT_DATA: &str = "[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, counting from 1; `None` for the `[DONE]` event.
    pub id: Option<u64>,
    /// Values of the `data` lines, joined by line feeds.
    pub data: String,
}

impl Event {
    /// Returns whether this is the `[DONE]` event, which ends the stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == END_EVENT_DATA
    }
}

/// Splits a response body into events.
#[derive(Debug)]
pub struct EventReader {
    body: AnswerBody,
    pending: Vec<u8>,
    /// Reservation of `pending`.
    memory: BufferReservation,
    scanned_bytes: usize,
    /// Bytes of blocks without data since the last event.
    skipped_bytes: usize,
}

impl EventReader {
    /// Creates a reader for the events of a body.
    #[must_use]
    pub fn new(body: AnswerBody) -> Self {
        Self {
            memory: body.budget().reservation(),
            body,
            pending: Vec::new(),
            scanned_bytes: 0,
            skipped_bytes: 0,
        }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Fails when the body fails or ends before the `[DONE]` event, or when an event is
    /// not UTF-8 or larger than 256 KiB, comments before it included.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            if let Some(event) = self.take_event()? {
                return Ok(event);
            }
            if self.pending.len() + self.skipped_bytes > MAX_EVENT_BYTES {
                let detail = "an event is larger than the limit";
                return Err(self.body.failure(FailureKind::Malformed, detail));
            }
            self.fill()?;
        }
    }

    /// Reads the end of the body after the `[DONE]` event, so that the connection can
    /// return to the pool.
    pub fn finish(&mut self) {
        let mut rest = [0; 64];
        // Only the last chunk should follow; with any other input the connection is
        // closed instead of reused.
        let _ = self.body.read(&mut rest);
    }

    fn fill(&mut self) -> Result<(), Failure> {
        let mut buffer = [0; READ_BYTES];
        let count = self.body.read(&mut buffer)?;
        if count == 0 {
            let detail = "the stream ended without its [DONE] event";
            return Err(self.body.failure(FailureKind::CutBody, detail));
        }
        if self.memory.resize(self.pending.len() + count).is_err() {
            let detail = "there is no memory for an event of this size";
            return Err(self.body.failure(FailureKind::Malformed, detail));
        }
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take_event(&mut self) -> Result<Option<Event>, Failure> {
        while let Some(end) = self.find_blank_line() {
            let block: Vec<u8> = self.pending.drain(..end).collect();
            self.scanned_bytes = 0;
            let Ok(text) = std::str::from_utf8(&block) else {
                let detail = "an event is not UTF-8";
                return Err(self.body.failure(FailureKind::Malformed, detail));
            };
            if !has_only_fields(&block) {
                let detail = "a line of an event is no field, such as the head of another answer";
                return Err(self.body.failure(FailureKind::Malformed, detail));
            }
            if let Some(event) = parse_event(text) {
                self.skipped_bytes = 0;
                return Ok(Some(event));
            }
            self.skipped_bytes += block.len();
        }
        Ok(None)
    }

    /// Returns the length of the first block of lines, including the blank line that
    /// ends it.
    fn find_blank_line(&mut self) -> Option<usize> {
        let start = self.scanned_bytes.saturating_sub(3);
        let from = &self.pending[start..];
        let end = from.iter().enumerate().find_map(|(at, byte)| {
            let rest = &from[at + 1..];
            match (byte, rest) {
                (b'\n', [b'\n', ..]) => Some(at + 2),
                (b'\n', [b'\r', b'\n', ..]) => Some(at + 3),
                _ => None,
            }
        });
        self.scanned_bytes = self.pending.len();
        end.map(|end| start + end)
    }
}

/// Parses a block of lines; `None` when the block has no `data` line, such as a comment.
fn parse_event(block: &str) -> Option<Event> {
    let mut id = None;
    let mut data: Option<String> = None;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.parse().ok(),
            "data" => match data.as_mut() {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            },
            _ => {}
        }
    }
    data.map(|data| Event { id, data })
}
