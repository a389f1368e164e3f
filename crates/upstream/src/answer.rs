//! The head of an answer and its checked body.

use std::io::{self, Read};
use std::sync::Arc;

use ureq::http::HeaderMap;
use ureq::http::Response;
use ureq::{Body, BodyReader};

use crate::call::{Call, RequestIdEcho};
use crate::current;
use crate::failure::{Failure, FailureKind};
use crate::state::CallState;

const REQUEST_ID: &str = "x-request-id";
const NOT_RUN: &str = "x-not-run";
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Answer of a target whose head has arrived and belongs to the call.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, not read yet.
    pub body: AnswerBody,
}

impl Answer {
    /// Checks that the head belongs to the call and that the end will show.
    pub(crate) fn accept(
        call: &Call,
        state: Arc<CallState>,
        response: Response<Body>,
    ) -> Result<Self, Failure> {
        let (parts, body) = response.into_parts();
        check_id(call, &state, &parts.headers)?;
        let status = parts.status.as_u16();
        let framed = is_framed(call, status, &parts.headers);
        let events = is_event_stream(&parts.headers);
        if !framed && !events {
            let detail = "the answer has neither a length nor chunks".to_owned();
            return Err(state.failure(FailureKind::Unframed, detail));
        }
        let reader = body.into_with_config().limit(u64::MAX).reader();
        let body = AnswerBody {
            state,
            reader: Some(reader),
        };
        Ok(Self {
            status,
            headers: parts.headers,
            body,
        })
    }

    /// Returns whether the target proves that it did not run the request.
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        let refused = matches!(self.status, STATUS_TOO_MANY | STATUS_UNAVAILABLE);
        let marked = self.headers.get(NOT_RUN);
        refused && marked.is_some_and(|value| value == "true")
    }

    /// Returns whether the body is a stream of server-sent events.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        is_event_stream(&self.headers)
    }
}

fn check_id(call: &Call, state: &CallState, headers: &HeaderMap) -> Result<(), Failure> {
    let echoed = headers.get(REQUEST_ID);
    let matches = echoed.map(|value| value.as_bytes() == call.request_id.as_bytes());
    match (matches, call.echo) {
        (Some(true), _) => {
            state.keep_connection();
            Ok(())
        }
        // Without the id, a late answer on a reused connection could not be
        // told from the right one, so the connection is closed after use.
        (None, RequestIdEcho::Optional) => Ok(()),
        (Some(false), _) => {
            let detail = "the answer carries another request's id".to_owned();
            Err(state.failure(FailureKind::WrongAnswer, detail))
        }
        (None, RequestIdEcho::Required) => {
            let detail = "the answer does not repeat the request id".to_owned();
            Err(state.failure(FailureKind::WrongAnswer, detail))
        }
    }
}

fn is_framed(call: &Call, status: u16, headers: &HeaderMap) -> bool {
    let bodyless = call.method == "HEAD" || matches!(status, 204 | 304);
    let chunked = headers.get("transfer-encoding");
    let chunked = chunked.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
    bodyless || chunked || headers.contains_key("content-length")
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get("content-type").and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Body of an answer; a read error means that it is not whole.
pub struct AnswerBody {
    state: Arc<CallState>,
    reader: Option<BodyReader<'static>>,
}

impl AnswerBody {
    /// Reads some bytes; 0 means that the body is whole.
    ///
    /// # Errors
    ///
    /// Returns how the body ended early.
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
    /// Returns how the body ended early, or that it is larger than the limit.
    pub fn read_whole(&mut self, limit_bytes: usize) -> Result<Vec<u8>, Failure> {
        let mut whole = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let count = self.read(&mut buffer)?;
            if count == 0 {
                return Ok(whole);
            }
            if whole.len() + count > limit_bytes {
                let error = io::Error::other("the answer is larger than the limit");
                return Err(self.fail(&error));
            }
            whole.extend_from_slice(&buffer[..count]);
        }
    }

    /// Returns a failure of this call, for a fault found in the content.
    #[must_use]
    pub fn failure(&self, kind: FailureKind, detail: &str) -> Failure {
        self.state.failure(kind, detail.to_owned())
    }

    fn fail(&mut self, error: &io::Error) -> Failure {
        // Dropping the reader closes the connection: a body that is not whole
        // never goes back to the pool.
        self.reader = None;
        self.state.release_socket();
        self.state.failure(FailureKind::CutBody, error.to_string())
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The canceller's share of the socket would keep the connection open.
        self.state.release_socket();
    }
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}
