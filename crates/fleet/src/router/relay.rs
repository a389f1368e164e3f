//! Streams of events, passed on as they arrive.
//!
//! Only whole events are passed on. When the target breaks off, the caller has
//! complete events up to a known id, and the stream can go on at another target
//! after that id.

use std::time::Duration;

use bamboospur_http1::client::ClientConnection;
use bamboospur_http1::server::Responder;
use bamboospur_http1::{EventSplitter, Framing, ResponseHead};
use tokio::time::{Instant, timeout_at};

use super::forward::Job;

/// What the caller has of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    begun: bool,
    last_event_id: Option<u64>,
}

impl Progress {
    /// Begins after an event that the caller has.
    pub const fn new(last_event_id: Option<u64>) -> Self {
        Self {
            begun: false,
            last_event_id,
        }
    }

    /// Whether the caller has the head.
    pub const fn has_begun(&self) -> bool {
        self.begun
    }

    /// Last event that the caller has.
    pub const fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether the caller lacks an event.
    fn is_new(&self, id: Option<u64>) -> bool {
        match (id, self.last_event_id) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }
}

/// How the relay of one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed.
    CallerGone,
    /// The target broke off.
    Broken,
    /// The target was silent, and a retry was taken from the budget.
    Left,
    /// The time is over.
    Deadline,
}

/// Result of a relay.
pub struct Relayed {
    pub end: RelayEnd,
    pub first_event_at: Option<Instant>,
}

/// Passes events on until the stream ends.
pub async fn relay(
    job: &mut Job<'_>,
    connection: &mut ClientConnection,
    head: &ResponseHead,
    responder: &mut Responder<'_>,
    first_by: Instant,
    gap: Duration,
) -> Relayed {
    let mut relay = Relay {
        job,
        connection,
        head,
        responder,
        splitter: EventSplitter::default(),
        first_event_at: None,
    };
    let end = relay.run(first_by, gap).await;
    Relayed {
        end,
        first_event_at: relay.first_event_at,
    }
}

struct Relay<'a, 'j, 'r> {
    job: &'a mut Job<'j>,
    connection: &'a mut ClientConnection,
    head: &'a ResponseHead,
    responder: &'a mut Responder<'r>,
    splitter: EventSplitter,
    first_event_at: Option<Instant>,
}

impl Relay<'_, '_, '_> {
    async fn run(&mut self, first_by: Instant, gap: Duration) -> RelayEnd {
        let mut event_by = first_by;
        loop {
            let piece = match self.next_piece(event_by).await {
                Ok(piece) => piece,
                Err(end) => return end,
            };
            let Some(piece) = piece else {
                return self.finish().await;
            };
            self.splitter.push(&piece);
            match self.pass_on().await {
                Ok(0) => {}
                Ok(_) => event_by = Instant::now() + gap,
                Err(end) => return end,
            }
            if self.splitter.is_overlong() {
                return RelayEnd::Broken;
            }
        }
    }

    /// Reads from the target; leaves it when it is silent past `event_by`.
    async fn next_piece(&mut self, event_by: Instant) -> Result<Option<bytes::Bytes>, RelayEnd> {
        let deadline = self.job.deadline;
        let next = self.connection.next_chunk();
        tokio::pin!(next);
        let by = event_by.min(deadline);
        let mut piece = timeout_at(by, &mut next).await;
        if piece.is_err() && Instant::now() < deadline {
            let service = &self.job.service.name;
            if self.job.evidence.may_abandon_attempt() && self.job.router.try_retry(service) {
                return Err(RelayEnd::Left);
            }
            piece = timeout_at(deadline, &mut next).await;
        }
        match piece {
            Ok(Ok(piece)) => Ok(piece),
            Ok(Err(_)) => Err(RelayEnd::Broken),
            Err(_) => Err(RelayEnd::Deadline),
        }
    }

    /// Passes on whole events; returns how many came.
    async fn pass_on(&mut self) -> Result<usize, RelayEnd> {
        let mut out = Vec::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            count += 1;
            if self.job.progress.is_new(event.id) {
                out.extend_from_slice(&event.bytes);
                self.job.progress.last_event_id = event.id.or(self.job.progress.last_event_id);
            }
        }
        if count > 0 && self.first_event_at.is_none() {
            self.first_event_at = Some(Instant::now());
        }
        if !out.is_empty() {
            self.begin().await?;
            let deadline = self.job.deadline;
            let written = timeout_at(deadline, self.responder.write_chunk(&out)).await;
            written
                .map_err(|_| RelayEnd::Deadline)?
                .map_err(|_| RelayEnd::CallerGone)?;
        }
        Ok(count)
    }

    /// Sends the head once. A stream that goes on keeps the first target's.
    async fn begin(&mut self) -> Result<(), RelayEnd> {
        if self.job.progress.begun {
            return Ok(());
        }
        self.job.progress.begun = true;
        let mut head = self.head.clone();
        head.headers.remove_connection_fields();
        let begun = self.responder.begin(&head, Framing::Chunked).await;
        begun.map_err(|_| RelayEnd::CallerGone)
    }

    async fn finish(&mut self) -> RelayEnd {
        if self.splitter.has_partial() {
            return RelayEnd::Broken;
        }
        if let Err(end) = self.begin().await {
            return end;
        }
        match self.responder.finish().await {
            Ok(()) => RelayEnd::Complete,
            Err(_) => RelayEnd::CallerGone,
        }
    }
}
