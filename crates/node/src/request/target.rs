//! Calls the chosen target once and reads its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_retries::AttemptOutcome;
use bamboospur_types::{BufferBudget, ChunkedBuffer, RequestRate, TargetKind, time_from_s};
use bamboospur_upstream::{
    Answer, Call, CancelHandle, Event, EventStream, Failure, FailureKind, ReadTimeouts,
    RequestIdEcho,
};

use super::accept::CheckedRequest;
use super::authenticate::Identity;
use super::crash_check::CrashEvidence;
use super::headers;
use super::node::Node;
use super::place::{ChosenTarget, Reservation};
use crate::actors::RouterMessage;
use crate::edge::Caller;
use crate::mailbox::MainLoopMessage;

/// Limit for the call that cancels a request at an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to return because a target rejected its request.
const MAX_TARGET_PAUSE: Duration = Duration::from_secs(5);
/// Statuses by which a target, or a proxy in front of it, reports a failure.
const FAILED_STATUSES: [u16; 4] = [429, 502, 503, 504];
const OK: u16 = 200;

/// Header by which a target in need states how many requests per second it takes from all
/// routers together.
const REQUEST_LIMIT_HEADER: &str = "x-request-limit";

/// Result of one call to a target.
pub enum CallResult {
    /// A complete answer that belongs to the request.
    Whole(WholeAnswer),
    /// A stream of events, and its first event.
    Stream(Box<EventStream>, Event),
    /// The target refused the request and proves that it did not run it.
    NotRun {
        /// What the target answered, for the caller.
        detail: String,
        /// Value of the target's `Retry-After` header.
        pause: Option<Duration>,
    },
    /// The target answered with a status of `FAILED_STATUSES`.
    Status(u16),
    /// No complete answer was received.
    Failed(Failure),
}

/// A complete answer of a target.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    pub body: Arc<ChunkedBuffer>,
    /// Name of the target; empty until the attempt fills it in.
    pub target: String,
}

impl WholeAnswer {
    /// Returns the value of a header, given its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A stream of events, with the reservation of the target that sends it.
pub struct LiveStream {
    events: EventStream,
    /// The event that was read ahead to see whether the stream works.
    first: Option<Event>,
    /// Held until the stream is dropped.
    pub reservation: Reservation,
    evidence: CrashEvidence,
}

impl LiveStream {
    /// Creates a stream whose first event has been read already.
    #[must_use]
    pub const fn new(
        events: EventStream,
        first: Event,
        reservation: Reservation,
        evidence: CrashEvidence,
    ) -> Self {
        Self {
            events,
            first: Some(first),
            reservation,
            evidence,
        }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke and could not be resumed.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        let event = match self.first.take() {
            Some(event) => event,
            None => self
                .events
                .next_event()
                .inspect_err(|failure| self.evidence.record_failure(failure))?,
        };
        self.evidence.record_event();
        if event.is_done() {
            self.evidence.record_answer();
            self.reservation.outcome = AttemptOutcome::Success;
        }
        Ok(event)
    }

    /// Returns how many times a resume of the stream was attempted.
    #[must_use]
    pub const fn resumes(&self) -> u32 {
        self.events.resumes()
    }

    /// Reads the stream to its end and returns it as one answer.
    pub fn collect(
        mut self,
        limit_bytes: usize,
        budget: &BufferBudget,
    ) -> Result<WholeAnswer, Failure> {
        let mut body = ChunkedBuffer::new(budget);
        loop {
            let event = self.next_event()?;
            let has_room = body.extend(event_text(&event).as_bytes()).is_ok();
            if event.is_done() && has_room {
                break;
            }
            if !has_room || body.len() > limit_bytes {
                return Err(Failure {
                    kind: FailureKind::Malformed,
                    sent: true,
                    reused: false,
                    detail: format!(
                        "the answer is larger than {limit_bytes} bytes, or than the memory left for it"
                    ),
                });
            }
        }
        Ok(WholeAnswer {
            status: OK,
            headers: vec![("content-type".to_owned(), "text/event-stream".to_owned())],
            body: Arc::new(body),
            target: self.reservation.chosen.name.clone(),
        })
    }
}

/// Formats an event as server-sent event text for the caller.
#[must_use]
pub fn event_text(event: &Event) -> String {
    let mut text = String::with_capacity(event.data.len() + 32);
    if let Some(id) = event.id {
        text.push_str("id: ");
        text.push_str(&id.to_string());
        text.push('\n');
    }
    for line in event.data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text
}

#[must_use]
pub fn is_engine(reservation: &Reservation) -> bool {
    reservation.chosen.kind == TargetKind::Engine
}

/// Sends the request to the target; `fresh` forbids the reuse of a connection.
pub fn call(
    node: &Node,
    request: &CheckedRequest,
    identity: &Identity,
    reservation: &Reservation,
    caller: &Caller,
    fresh: bool,
) -> CallResult {
    let call = build_call(node, request, identity, reservation, fresh);
    let sent_at = Instant::now();
    let answer = match node.client.send(&call, caller.cancel_handle()) {
        Ok(answer) => answer,
        Err(failure) => return CallResult::Failed(failure),
    };
    report_limit(node, reservation, &answer, sent_at);
    if answer.proves_not_run() {
        return CallResult::NotRun {
            detail: format!(
                "the target refused the request with status {}",
                answer.status
            ),
            pause: retry_after(&answer),
        };
    }
    if FAILED_STATUSES.contains(&answer.status) {
        return CallResult::Status(answer.status);
    }
    read_answer(node, request, caller, call, answer)
}

/// Tells the router actor which limit the target states. A rejection without a limit does not
/// say that it has none.
fn report_limit(node: &Node, reservation: &Reservation, answer: &Answer, sent_at: Instant) {
    let stated = answer.headers.get(REQUEST_LIMIT_HEADER);
    let limit = stated.and_then(|value| RequestRate::parse(value.to_str().ok()?));
    let is_over = limit.is_none() && reservation.chosen.is_limited && !answer.proves_not_run();
    if limit.is_some() || is_over {
        let target = reservation.chosen.start_id;
        let message = RouterMessage::Limited {
            target,
            limit,
            sent_at,
        };
        node.mailbox.send(MainLoopMessage::Router(message));
    }
}

/// Reads the answer: a stream up to its first event, any other one to its end.
fn read_answer(
    node: &Node,
    request: &CheckedRequest,
    caller: &Caller,
    call: Call,
    mut answer: Answer,
) -> CallResult {
    if request.stream && answer.status == OK && answer.is_event_stream() {
        let client = node.client.clone();
        let cancel = caller.cancel_handle().clone();
        let mut events = EventStream::new(client, call, cancel, answer);
        return match events.next_event() {
            Ok(first) => CallResult::Stream(Box::new(events), first),
            Err(failure) => CallResult::Failed(failure),
        };
    }
    if answer.is_event_stream() {
        let detail = "the target answered with a stream that was not asked for";
        let failure = answer.body.failure(FailureKind::Malformed, detail);
        return CallResult::Failed(failure);
    }
    let headers = headers::for_caller(&answer.headers);
    match answer.body.read_whole(node.settings.limits.answer_bytes) {
        Ok(body) => CallResult::Whole(WholeAnswer {
            status: answer.status,
            headers,
            body: Arc::new(body),
            target: String::new(),
        }),
        Err(failure) => CallResult::Failed(failure),
    }
}

fn build_call(
    node: &Node,
    request: &CheckedRequest,
    identity: &Identity,
    reservation: &Reservation,
    fresh: bool,
) -> Call {
    let limits = &node.settings.limits;
    let mut headers = request.headers.clone();
    let engine = is_engine(reservation);
    if engine {
        headers.push(("x-priority".to_owned(), identity.team.priority.to_string()));
    }
    Call {
        address: reservation.chosen.address,
        method: request.method.clone(),
        path: request.path.clone(),
        headers,
        body: request.body.clone(),
        request_id: request.context.request_id.clone(),
        echo: if engine {
            RequestIdEcho::Required
        } else {
            RequestIdEcho::Optional
        },
        new_connection: fresh,
        timeouts: ReadTimeouts {
            head: limits.first_byte,
            body: limits.stall,
        },
        deadline: request.deadline,
    }
}

/// Returns for how long the target wants no further requests. Other targets may have room
/// sooner, so callers are told [`MAX_TARGET_PAUSE`] at most.
fn retry_after(answer: &Answer) -> Option<Duration> {
    let value = answer.headers.get("retry-after")?.to_str().ok()?;
    let pause = time_from_s(value.trim().parse().ok()?)?;
    Some(pause.min(MAX_TARGET_PAUSE))
}

/// Tells an engine to stop processing a request whose answer is no longer needed.
pub fn cancel(node: &Node, chosen: &ChosenTarget, request_id: &str) {
    let now = Instant::now();
    let call = Call {
        address: chosen.address,
        method: "POST".to_owned(),
        path: "/v1/cancel".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: format!("{{\"request_id\":\"{request_id}\"}}").into(),
        request_id: node.next_request_id(),
        echo: RequestIdEcho::Optional,
        new_connection: true,
        timeouts: ReadTimeouts {
            head: CANCEL_TIMEOUT,
            body: CANCEL_TIMEOUT,
        },
        deadline: now + CANCEL_TIMEOUT,
    };
    // Without this call the engine stops 5 s after the connection broke.
    if let Err(failure) = node.client.send(&call, &CancelHandle::default()) {
        tracing::debug!(target_name = chosen.name, %failure, "cancelling a request at an engine failed; the engine stops it later by itself");
    }
}
