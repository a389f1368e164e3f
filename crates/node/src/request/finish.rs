//! Last step: sends errors to the caller, and records the result of each request
//! in the log and the metrics.

use std::io;
use std::time::Duration;

use bamboospur_types::ResultCode;
use serde_json::{Value, json};
use tracing::{info, warn};

use super::accept::RequestContext;
use super::error::RequestError;
use super::node::Node;
use crate::edge::Responder;

/// Header with the name of the target that answered. If the caller sends it with
/// the chat's next request, any router can find the engine that has the chat's
/// prompt cached.
pub const TARGET_HEADER: &str = "bamboospur-target";

/// How a request ended, for the log and the metrics.
#[derive(Clone, Debug)]
pub struct Ending {
    pub code: ResultCode,
    /// Name of the target whose answer was relayed; empty without one.
    pub target: String,
    /// What went wrong; empty for success.
    pub detail: String,
}

impl Ending {
    #[must_use]
    pub fn new(code: ResultCode, target: &str, detail: &str) -> Self {
        Self {
            code,
            target: target.to_owned(),
            detail: detail.to_owned(),
        }
    }

    /// Creates the ending from the result of the last write to the caller. A failed
    /// write means that the caller hung up.
    #[must_use]
    pub fn after_write(sent: &io::Result<()>, code: ResultCode, target: &str) -> Self {
        match sent {
            Ok(()) => Self::new(code, target, ""),
            Err(_) => Self::new(ResultCode::CallerGone, target, "the caller hung up"),
        }
    }
}

/// Returns the headers that every answer carries.
#[must_use]
pub fn headers(code: ResultCode, request_id: &str) -> Vec<(String, String)> {
    vec![
        ("bamboospur-outcome".to_owned(), code.outcome().to_string()),
        ("bamboospur-code".to_owned(), code.number().to_string()),
        ("bamboospur-request-id".to_owned(), request_id.to_owned()),
    ]
}

/// Returns the JSON body of an error answer.
#[must_use]
pub fn error_json(error: &RequestError, request_id: &str) -> Value {
    json!({"error": {
        "code": error.code.number(),
        "type": error.code.to_string(),
        "outcome": error.code.outcome().to_string(),
        "message": error.message,
        "request_id": request_id,
    }})
}

/// Sends an error to the caller as the final answer of its request.
pub fn send_error(
    node: &Node,
    context: &RequestContext,
    responder: Responder,
    error: RequestError,
) -> Ending {
    if error.code == ResultCode::Internal {
        node.record_violation("a request ended with an internal error");
    }
    let code = error.code;
    let mut headers = headers(code, &context.request_id);
    headers.push(("content-type".to_owned(), "application/json".to_owned()));
    if let Some(pause) = error.retry_after {
        headers.push(("retry-after".to_owned(), whole_seconds(pause).to_string()));
    }
    let pairs = headers.iter();
    let pairs: Vec<(&str, &str)> = pairs.map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let body = error_json(&error, &context.request_id).to_string();
    let sent = responder.send(code.http_status(), &pairs, body.into_bytes().into());
    let mut ending = Ending::after_write(&sent, code, "");
    if ending.code == code {
        ending.detail = error.message;
    }
    ending
}

/// Records the end of a request in the metrics and the log. An unknown outcome is
/// logged as a warning.
pub fn record(node: &Node, context: &RequestContext, ending: &Ending) {
    let took = context.started.elapsed();
    node.metrics.record_request(ending.code, took);
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let code = ending.code.number();
    let outcome = ending.code.outcome().to_string();
    if ending.code.outcome() == bamboospur_types::Outcome::Unknown {
        warn!(
            request_id = context.request_id,
            code,
            outcome,
            took_us,
            target_name = ending.target,
            detail = ending.detail,
            "request ended"
        );
        return;
    }
    info!(
        request_id = context.request_id,
        code,
        outcome,
        took_us,
        target_name = ending.target,
        detail = ending.detail,
        "request ended"
    );
}

/// Rounds up to whole seconds, because a caller that retries too early would be
/// rejected again.
fn whole_seconds(pause: Duration) -> u64 {
    pause
        .as_millis()
        .div_ceil(1000)
        .max(1)
        .try_into()
        .unwrap_or(u64::MAX)
}
