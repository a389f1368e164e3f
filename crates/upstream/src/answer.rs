//! Response of a target: checks of its head, and reads of its body.

use std::io::{self, Read};
use std::sync::Arc;

use bamboospur_http1::{BodyError, Framing, Headers, ResponseHead};
use bamboospur_types::{BufferBudget, ChunkedBuffer, ResponseStatus};
use ureq::http::{HeaderMap, Response};
use ureq::{Body, BodyReader};

use crate::call::{Call, RequestIdEcho};
use crate::current;
use crate::failure::{Failure, FailureKind};
use crate::state::CallState;

const REQUEST_ID_HEADER: &str = "x-request-id";
const NOT_RUN_HEADER: &str = "x-not-run";
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// Response whose head has arrived and belongs to the call.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, of which nothing has been read yet.
    pub body: AnswerBody,
}

impl Answer {
    /// Checks that the head is that of an answer, that it belongs to the call, and that a
    /// truncated body will be detected.
    pub(crate) fn accept(
        call: &Call,
        state: Arc<CallState>,
        response: Response<Body>,
        budget: &BufferBudget,
    ) -> Result<Self, Failure> {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        check_status(&state, status)?;
        check_request_id(call, &state, &parts.headers)?;
        match framing(call, status, &parts.headers) {
            Ok(Framing::Length(_) | Framing::Chunked) => {}
            // The last event shows the end of a stream.
            Ok(Framing::UntilClose) if is_event_stream(&parts.headers) => {}
            Ok(Framing::UntilClose) => {
                let detail = "the response has neither Content-Length nor chunked transfer coding";
                return Err(state.failure(FailureKind::Unframed, detail.to_owned()));
            }
            Err(error) => return Err(state.failure(FailureKind::Malformed, error.to_string())),
        }
        let reader = body.into_with_config().limit(u64::MAX).reader();
        let body = AnswerBody {
            state,
            reader: Some(reader),
            budget: budget.clone(),
        };
        Ok(Self {
            status,
            headers: parts.headers,
            body,
        })
    }

    /// Returns whether the target states that it did not run the request: status 429
    /// or 503 with `x-not-run: true`.
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        let refused = matches!(
            self.status,
            STATUS_TOO_MANY_REQUESTS | STATUS_SERVICE_UNAVAILABLE
        );
        let marked = self.headers.get(NOT_RUN_HEADER);
        refused && marked.is_some_and(|value| value == "true")
    }

    /// Returns whether the body is a stream of server-sent events.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        is_event_stream(&self.headers)
    }
}

fn check_status(state: &CallState, status: u16) -> Result<(), Failure> {
    match ResponseStatus::from(status) {
        ResponseStatus::Final => Ok(()),
        // `ureq` skips informational responses.
        ResponseStatus::Interim | ResponseStatus::Invalid => {
            let detail = format!("the response has the status {status}, which no answer has");
            Err(state.failure(FailureKind::Malformed, detail))
        }
    }
}

fn check_request_id(call: &Call, state: &CallState, headers: &HeaderMap) -> Result<(), Failure> {
    let echoed = headers.get(REQUEST_ID_HEADER);
    let matches = echoed.map(|value| value.as_bytes() == call.request_id.as_bytes());
    match (matches, call.echo) {
        (Some(true), _) => {
            state.allow_reuse();
            Ok(())
        }
        // On a reused connection it can be an earlier response that the target sent again, so
        // the connection is closed after use.
        (None, RequestIdEcho::Optional) if !state.is_reused() => Ok(()),
        (Some(false), _) => {
            let detail = "the response has the x-request-id of another request".to_owned();
            Err(state.failure(FailureKind::WrongAnswer, detail))
        }
        (None, _) => {
            let detail =
                "the response has no x-request-id header that shows its request".to_owned();
            Err(state.failure(FailureKind::WrongAnswer, detail))
        }
    }
}

/// Returns how the body of a response is delimited, by the rules of the other HTTP client.
fn framing(call: &Call, status: u16, headers: &HeaderMap) -> Result<Framing, BodyError> {
    let mut fields = Headers::default();
    for name in ["transfer-encoding", "content-length"] {
        for value in headers.get_all(name) {
            fields.push(name, value.to_str().map_err(|_| BodyError::Ambiguous)?);
        }
    }
    let head = ResponseHead {
        status,
        reason: String::new(),
        is_http11: true,
        headers: fields,
    };
    head.framing(&call.method)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get("content-type").and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Body of a response; a read error means that the body is incomplete.
pub struct AnswerBody {
    state: Arc<CallState>,
    reader: Option<BodyReader<'static>>,
    budget: BufferBudget,
}

impl AnswerBody {
    /// Reads some bytes; 0 means that the body is complete.
    ///
    /// # Errors
    ///
    /// Fails when the body ends early, or the call times out or is cancelled.
    pub fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Failure> {
        let Some(reader) = self.reader.as_mut() else {
            return Ok(0);
        };
        match current::with_call(&self.state, || reader.read(buffer)) {
            Ok(0) => {
                self.state.release_socket();
                self.reader = None;
                Ok(0)
            }
            Ok(count) => Ok(count),
            Err(error) => Err(self.fail(&error)),
        }
    }

    /// Reads the whole body, up to a limit in bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`AnswerBody::read`] does, and when the body is larger than the limit or there is
    /// no memory for it.
    pub fn read_whole(&mut self, limit_bytes: usize) -> Result<ChunkedBuffer, Failure> {
        let mut whole = ChunkedBuffer::new(&self.budget);
        let mut buffer = [0; 4096];
        loop {
            let count = self.read(&mut buffer)?;
            if count == 0 {
                return Ok(whole);
            }
            if whole.len() + count > limit_bytes {
                let error = io::Error::other("the response body is larger than the limit");
                return Err(self.fail(&error));
            }
            if let Err(error) = whole.extend(&buffer[..count]) {
                return Err(self.fail(&io::Error::other(error)));
            }
        }
    }

    /// Returns the budget for what is read of the body.
    #[must_use]
    pub const fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Builds a failure of this call for an error found in the content of the body.
    #[must_use]
    pub fn failure(&self, kind: FailureKind, detail: &str) -> Failure {
        self.state.failure(kind, detail.to_owned())
    }

    fn fail(&mut self, error: &io::Error) -> Failure {
        // Dropping the reader closes the connection: one with an incomplete body
        // must not return to the pool.
        self.reader = None;
        self.state.release_socket();
        self.state.failure(FailureKind::CutBody, error.to_string())
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The reference held by `CancelHandle` would keep the connection open.
        self.state.release_socket();
    }
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}
