//! Last step: the result, told to the caller, the log and the metrics.

use std::io;
use std::time::Duration;

use bamboospur_types::ResultCode;
use serde_json::{Value, json};
use tracing::{info, warn};

use super::accept::Head;
use super::node::Node;
use super::refused::Refused;
use crate::edge::Responder;

/// Header that names the target which answered. A caller that sends it back
/// helps any router to find the engine that has the chat's prompt cached.
pub const TARGET_HEADER: &str = "bamboospur-target";

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// Numbered result.
    pub code: ResultCode,
    /// Name of the target, if one was used.
    pub target: String,
    /// What was wrong.
    pub detail: String,
}

impl Ending {
    /// Creates an ending.
    #[must_use]
    pub fn new(code: ResultCode, target: &str, detail: &str) -> Self {
        Self {
            code,
            target: target.to_owned(),
            detail: detail.to_owned(),
        }
    }

    /// Creates the ending after the last write to the caller.
    #[must_use]
    pub fn after(sent: &io::Result<()>, code: ResultCode, target: &str) -> Self {
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

/// Returns the body of an error answer.
#[must_use]
pub fn error_json(refused: &Refused, request_id: &str) -> Value {
    json!({"error": {
        "code": refused.code.number(),
        "type": refused.code.to_string(),
        "outcome": refused.code.outcome().to_string(),
        "message": refused.message,
        "request_id": request_id,
    }})
}

/// Sends the final answer of a request that was refused or given up.
pub fn refuse(node: &Node, head: &Head, responder: Responder, refused: Refused) -> Ending {
    if refused.code == ResultCode::Internal {
        node.record_violation("a request ended with an internal error");
    }
    let code = refused.code;
    let mut headers = headers(code, &head.request_id);
    headers.push(("content-type".to_owned(), "application/json".to_owned()));
    if let Some(pause) = refused.retry_after {
        headers.push(("retry-after".to_owned(), whole_seconds(pause).to_string()));
    }
    let pairs = headers.iter();
    let pairs: Vec<(&str, &str)> = pairs.map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let body = error_json(&refused, &head.request_id).to_string();
    let sent = responder.send(code.http_status(), &pairs, body.as_bytes());
    let mut ending = Ending::after(&sent, code, "");
    if ending.code == code {
        ending.detail = refused.message;
    }
    ending
}

/// Records the end of a request.
pub fn record(node: &Node, head: &Head, ending: &Ending) {
    let took = head.started.elapsed();
    node.metrics.record_request(ending.code, took);
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let code = ending.code.number();
    let outcome = ending.code.outcome().to_string();
    if ending.code.outcome() == bamboospur_types::Outcome::Unknown {
        warn!(
            request_id = head.request_id,
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
        request_id = head.request_id,
        code,
        outcome,
        took_us,
        target_name = ending.target,
        detail = ending.detail,
        "request ended"
    );
}

/// Rounds up, because a caller that returns too early is refused again.
fn whole_seconds(pause: Duration) -> u64 {
    pause
        .as_millis()
        .div_ceil(1000)
        .max(1)
        .try_into()
        .unwrap_or(u64::MAX)
}
