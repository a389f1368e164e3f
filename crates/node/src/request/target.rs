//! One call to the chosen target.

use std::time::{Duration, Instant};

use bamboospur_retries::AttemptOutcome;
use bamboospur_types::TargetKind;
use bamboospur_upstream::{
    Answer, Call, Cancel, Event, EventStream, Failure, FailureKind, ReadTimeouts, RequestIdEcho,
};

use super::accept::Ask;
use super::authenticate::Identity;
use super::headers;
use super::node::Node;
use super::place::{ChosenTarget, Placed};
use crate::edge::Caller;

/// Longest time for telling an engine that a request is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Statuses of a target, or of something in front of it, that failed.
const FAILED_STATUSES: [u16; 4] = [429, 502, 503, 504];
const OK: u16 = 200;

/// How a call ended.
pub enum CallEnd {
    /// A whole answer that belongs to the request.
    Whole(Whole),
    /// A stream and its first event.
    Stream(Box<EventStream>, Event),
    /// The target proves that it did not run the request.
    NotRun {
        /// What the target answered.
        detail: String,
        /// Pause that the target asked for.
        pause: Option<Duration>,
    },
    /// The target answered that it failed.
    Status(u16),
    /// There was no whole answer.
    Failed(Failure),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Name of the target.
    pub target: String,
}

impl Whole {
    /// Returns a header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A stream in progress, with its place at the target.
pub struct Live {
    events: EventStream,
    first: Option<Event>,
    /// Place at the target.
    pub placed: Placed,
}

impl Live {
    /// Holds the place until the stream ends.
    #[must_use]
    pub fn new(events: EventStream, first: Event, placed: Placed) -> Self {
        Self {
            events,
            first: Some(first),
            placed,
        }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke for good.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        let event = match self.first.take() {
            Some(event) => event,
            None => self.events.next_event()?,
        };
        if event.is_done() {
            self.placed.verdict = AttemptOutcome::Success;
        }
        Ok(event)
    }

    /// Returns how often the stream was resumed.
    #[must_use]
    pub const fn resumes(&self) -> u32 {
        self.events.resumes()
    }

    /// Reads the stream to its end.
    pub fn collect(mut self, limit_bytes: usize) -> Result<Whole, Failure> {
        let mut body = Vec::new();
        loop {
            let event = self.next_event()?;
            body.extend_from_slice(event_text(&event).as_bytes());
            if event.is_done() {
                break;
            }
            if body.len() > limit_bytes {
                return Err(Failure {
                    kind: FailureKind::Malformed,
                    sent: true,
                    reused: false,
                    detail: format!("the answer is larger than {limit_bytes} bytes"),
                });
            }
        }
        Ok(Whole {
            status: OK,
            headers: vec![("content-type".to_owned(), "text/event-stream".to_owned())],
            body,
            target: self.placed.chosen.name.clone(),
        })
    }
}

/// Writes an event as it goes to the caller.
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

/// Returns whether the target is an engine.
#[must_use]
pub fn is_engine(placed: &Placed) -> bool {
    placed.chosen.kind == TargetKind::Engine
}

/// Calls the target once.
pub fn call(
    node: &Node,
    ask: &Ask,
    identity: &Identity,
    placed: &Placed,
    caller: &Caller,
    fresh: bool,
) -> CallEnd {
    let call = build(node, ask, identity, placed, fresh);
    let answer = match node.client.send(&call, caller.cancel()) {
        Ok(answer) => answer,
        Err(failure) => return CallEnd::Failed(failure),
    };
    if answer.proves_not_run() {
        return CallEnd::NotRun {
            detail: format!(
                "the target refused the request with status {}",
                answer.status
            ),
            pause: retry_after(&answer),
        };
    }
    if FAILED_STATUSES.contains(&answer.status) {
        return CallEnd::Status(answer.status);
    }
    read(node, ask, caller, call, answer)
}

fn read(node: &Node, ask: &Ask, caller: &Caller, call: Call, mut answer: Answer) -> CallEnd {
    if ask.stream && answer.status == OK && answer.is_event_stream() {
        let client = node.client.clone();
        let cancel = caller.cancel().clone();
        let mut events = EventStream::new(client, call, cancel, answer);
        return match events.next_event() {
            Ok(first) => CallEnd::Stream(Box::new(events), first),
            Err(failure) => CallEnd::Failed(failure),
        };
    }
    if answer.is_event_stream() {
        let detail = "the target answered with a stream that was not asked for";
        let failure = answer.body.failure(FailureKind::Malformed, detail);
        return CallEnd::Failed(failure);
    }
    let headers = headers::answered(&answer.headers);
    match answer.body.read_whole(node.settings.limits.answer_bytes) {
        Ok(body) => CallEnd::Whole(Whole {
            status: answer.status,
            headers,
            body,
            target: String::new(),
        }),
        Err(failure) => CallEnd::Failed(failure),
    }
}

fn build(node: &Node, ask: &Ask, identity: &Identity, placed: &Placed, fresh: bool) -> Call {
    let limits = &node.settings.limits;
    let mut headers = ask.headers.clone();
    let engine = is_engine(placed);
    if engine {
        headers.push(("x-priority".to_owned(), identity.team.priority.to_string()));
    }
    Call {
        address: placed.chosen.address,
        method: ask.method.clone(),
        path: ask.path.clone(),
        headers,
        body: ask.body.clone(),
        request_id: ask.head.request_id.clone(),
        echo: if engine {
            RequestIdEcho::Required
        } else {
            RequestIdEcho::Optional
        },
        fresh,
        wait: ReadTimeouts {
            head: limits.first_byte,
            body: limits.stall,
        },
        deadline: ask.deadline,
    }
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    let value = answer.headers.get("retry-after")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

/// Tells an engine to stop a request whose answer nobody reads.
pub fn cancel(node: &Node, chosen: &ChosenTarget, request_id: &str) {
    let now = Instant::now();
    let call = Call {
        address: chosen.address,
        method: "POST".to_owned(),
        path: "/v1/cancel".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: format!("{{\"request_id\":\"{request_id}\"}}").into_bytes(),
        request_id: node.next_request_id(),
        echo: RequestIdEcho::Optional,
        fresh: true,
        wait: ReadTimeouts {
            head: CANCEL_TIMEOUT,
            body: CANCEL_TIMEOUT,
        },
        deadline: now + CANCEL_TIMEOUT,
    };
    // Without the cancel the engine stops 5 s after the connection broke.
    if let Err(failure) = node.client.send(&call, &Cancel::default()) {
        tracing::debug!(target_name = chosen.name, %failure, "an engine took no cancel");
    }
}
