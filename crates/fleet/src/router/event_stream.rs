//! Forwarding of event streams, event by event.
//!
//! Only complete events are forwarded. When the target's stream breaks, the caller
//! has received complete events up to a known id, and another target can resume the
//! stream after that id.

use std::time::Duration;

use bamboospur_dispatch::ChosenTarget;
use bamboospur_http1::client::ClientConnection;
use bamboospur_http1::server::Responder;
use bamboospur_http1::{EventSplitter, Framing, ResponseHead};
use bamboospur_types::BufferReservation;
use tokio::time::{Instant, timeout_at};

use super::crashes::SOUND_AFTER;
use super::forward::Job;
use super::path_checks::await_answer;

/// Most bytes of comments and of events that the caller has already between two new events.
const MAX_BYTES_WITHOUT_EVENT: usize = 1024 * 1024;

/// Part of an event stream that the caller has received.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    head_sent: bool,
    last_event_id: Option<u64>,
}

impl StreamProgress {
    /// Creates the state of a caller that has received the events up to
    /// `last_event_id`, if any.
    pub const fn new(last_event_id: Option<u64>) -> Self {
        Self {
            head_sent: false,
            last_event_id,
        }
    }

    /// Whether the response head was sent to the caller.
    pub const fn has_begun(&self) -> bool {
        self.head_sent
    }

    /// Id of the last event that the caller has received.
    pub const fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether the caller has not received the event with this id; true without an id.
    fn is_new(&self, id: Option<u64>) -> bool {
        match (id, self.last_event_id) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }
}

/// How the forwarding of one attempt's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The connection ended before the stream did.
    BrokenOff,
    /// The target's stream is malformed.
    Malformed,
    /// The attempt was abandoned because the target sent no event in time; its retry is
    /// already taken from the retry budget.
    Abandoned,
    /// The deadline of the request passed.
    Deadline,
}

/// Result of [`forward_stream`].
pub struct StreamResult {
    pub end: StreamEnd,
    pub first_event_at: Option<Instant>,
}

/// The answer of a target that is an event stream.
pub struct EventSource<'a> {
    pub choice: &'a ChosenTarget,
    pub connection: &'a mut ClientConnection,
    pub head: &'a ResponseHead,
}

/// Forwards events until the stream ends. The first event is expected by
/// `first_event_by`, and each later one within `event_gap_timeout` of the previous.
pub async fn forward_stream(
    job: &mut Job<'_>,
    source: EventSource<'_>,
    responder: &mut Responder<'_>,
    first_event_by: Instant,
    event_gap_timeout: Duration,
) -> StreamResult {
    let memory = job.router.buffers.reservation();
    let mut forwarder = StreamForwarder {
        job,
        source,
        responder,
        splitter: EventSplitter::default(),
        memory,
        first_event_at: None,
        bytes_without_event: 0,
        is_sound: false,
    };
    let end = forwarder.run(first_event_by, event_gap_timeout).await;
    StreamResult {
        end,
        first_event_at: forwarder.first_event_at,
    }
}

struct StreamForwarder<'a, 'j, 'r> {
    job: &'a mut Job<'j>,
    source: EventSource<'a>,
    responder: &'a mut Responder<'r>,
    splitter: EventSplitter,
    /// Reservation of what the splitter holds and the caller has not read.
    memory: BufferReservation,
    first_event_at: Option<Instant>,
    /// Bytes since the last event that the caller did not have.
    bytes_without_event: usize,
    /// Whether the target has been answering for long enough to show that the request does
    /// not crash it.
    is_sound: bool,
}

impl StreamForwarder<'_, '_, '_> {
    async fn run(&mut self, first_event_by: Instant, event_gap_timeout: Duration) -> StreamEnd {
        let mut event_by = first_event_by;
        loop {
            let chunk = match self.next_chunk(event_by).await {
                Ok(chunk) => chunk,
                Err(end) => return end,
            };
            let Some(chunk) = chunk else {
                return self.finish().await;
            };
            // A time-out never fires while the next bytes have always arrived already.
            if Instant::now() >= self.job.deadline {
                return StreamEnd::Deadline;
            }
            self.splitter.push(&chunk);
            if self.memory.resize(self.splitter.buffered_bytes()).is_err() {
                return StreamEnd::Malformed;
            }
            match self.forward_events().await {
                Ok(0) => {}
                Ok(_) => event_by = Instant::now() + event_gap_timeout,
                Err(end) => return end,
            }
            if self.splitter.is_overlong() || self.bytes_without_event > MAX_BYTES_WITHOUT_EVENT {
                return StreamEnd::Malformed;
            }
        }
    }

    /// Reads from the target. When nothing has arrived at `event_by`, the attempt is
    /// abandoned if the request may be retried; otherwise the read lasts until the
    /// deadline.
    async fn next_chunk(&mut self, event_by: Instant) -> Result<Option<bytes::Bytes>, StreamEnd> {
        let deadline = self.job.deadline;
        let (router, service) = (self.job.router, &self.job.service.name);
        let next = self.source.connection.next_chunk();
        let next = await_answer(router, service, self.source.choice, next);
        tokio::pin!(next);
        let wait_until = event_by.min(deadline);
        let mut chunk = timeout_at(wait_until, &mut next).await;
        if chunk.is_err() && Instant::now() < deadline {
            if self.job.history.may_abandon_attempt() && router.try_retry(service) {
                return Err(StreamEnd::Abandoned);
            }
            chunk = timeout_at(deadline, &mut next).await;
        }
        match chunk {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(error)) if error.is_connection_end() => Err(StreamEnd::BrokenOff),
            Ok(Err(_)) => Err(StreamEnd::Malformed),
            Err(_) => Err(StreamEnd::Deadline),
        }
    }

    /// Forwards the complete events among the bytes read so far. Returns the number of those
    /// that the caller did not have; comments are none.
    async fn forward_events(&mut self) -> Result<usize, StreamEnd> {
        let mut out = Vec::new();
        let mut count = 0;
        let mut is_malformed = false;
        while let Some(event) = self.splitter.next_event() {
            if event.is_malformed {
                is_malformed = true;
                break;
            }
            let is_new = self.job.progress.is_new(event.id);
            if is_new && !event.is_comment {
                count += 1;
                self.bytes_without_event = 0;
            } else {
                self.bytes_without_event += event.bytes.len();
            }
            // A comment alone does not begin the answer, so that another target can still.
            let is_forwarded = is_new && (!event.is_comment || self.job.progress.head_sent);
            if is_forwarded {
                out.extend_from_slice(&event.bytes);
                self.job.progress.last_event_id = event.id.or(self.job.progress.last_event_id);
            }
        }
        if count > 0 {
            let first_event_at = *self.first_event_at.get_or_insert_with(Instant::now);
            if !self.is_sound && first_event_at.elapsed() >= SOUND_AFTER {
                self.is_sound = true;
                self.job.record_answer();
            }
        }
        if !out.is_empty() {
            self.job.begin_stream(&self.source.choice.software);
            self.send_head().await?;
            let deadline = self.job.deadline;
            let written = timeout_at(deadline, self.responder.write_chunk(&out)).await;
            written
                .map_err(|_| StreamEnd::Deadline)?
                .map_err(|_| StreamEnd::CallerGone)?;
        }
        if is_malformed {
            return Err(StreamEnd::Malformed);
        }
        Ok(count)
    }

    /// Sends the response head unless one was sent before: a resumed stream keeps the
    /// head of its first target.
    async fn send_head(&mut self) -> Result<(), StreamEnd> {
        if self.job.progress.head_sent {
            return Ok(());
        }
        self.job.progress.head_sent = true;
        let mut head = self.source.head.clone();
        head.headers.remove_hop_by_hop_fields();
        let sent = self.responder.write_head(&head, Framing::Chunked).await;
        sent.map_err(|_| StreamEnd::CallerGone)
    }

    async fn finish(&mut self) -> StreamEnd {
        let has_ended_inside_event = self.splitter.has_partial();
        // Such a stream ends like one whose target fails, so one without events is no answer
        // and no end of one that has begun.
        let is_empty = self.first_event_at.is_none() && self.source.connection.ended_by_close();
        if has_ended_inside_event || is_empty {
            return StreamEnd::BrokenOff;
        }
        if let Err(end) = self.send_head().await {
            return end;
        }
        match self.responder.finish().await {
            Ok(()) => StreamEnd::Complete,
            Err(_) => StreamEnd::CallerGone,
        }
    }
}
