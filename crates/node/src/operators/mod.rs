//! The HTTP port for operators and targets.

mod control;
mod control_change;
mod control_drain;
mod control_in_force;
mod control_read;
mod status_page;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use bamboospur_control::operator::Action;
use serde_json::json;

use crate::dev;
use crate::edge::{BodyPlan, IncomingRequest, Responder};
use crate::mailbox::MainLoopMessage;
use crate::request::Node;
use crate::status::StatusParts;

const HTTP_OK: u16 = 200;
const HTTP_UNAVAILABLE: u16 = 503;
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Limit for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP answer with a JSON body.
struct Page {
    status: u16,
    body: serde_json::Value,
}

impl Page {
    fn ok(body: serde_json::Value) -> Self {
        Self {
            status: HTTP_OK,
            body,
        }
    }

    fn error(status: u16, message: &str) -> Self {
        let body = json!({"error": message});
        Self { status, body }
    }
}

/// Returns how the body of a request is read before the request is handled, or `None` if the
/// request is refused without it.
pub fn plan_body(node: &Node, incoming: &IncomingRequest) -> Option<BodyPlan> {
    let path = incoming.path();
    let is_allowed = if path.starts_with(control::PATH_PREFIX) {
        control::authorize(node, incoming, Action::Read).is_ok()
    } else {
        path.starts_with("/targets/") && targets::is_allowed(node, incoming)
    };
    is_allowed.then_some(BodyPlan {
        limit_bytes: MAX_BODY_BYTES,
        timeout: BODY_TIMEOUT,
    })
}

/// Serves one request of an operator or a target.
pub fn handle(node: &Arc<Node>, mut incoming: IncomingRequest) {
    let path = incoming.path().split('?').next().unwrap_or_default();
    let path = path.to_owned();
    let method = incoming.method().to_owned();
    let page = match (method.as_str(), path.as_str()) {
        ("GET", "/healthz") => Page::ok(json!({"ok": true})),
        ("GET", "/readyz") => ready(node),
        ("GET", "/status") => status(node, &incoming),
        (_, path) if path.starts_with(control::PATH_PREFIX) => control::handle(node, &mut incoming),
        ("POST", path) if path.starts_with("/targets/") => {
            targets::handle(node, path, &mut incoming)
        }
        _ => Page::error(404, "no such path; docs/interfaces.md lists all paths"),
    };
    send(incoming.into_responder(), &page);
}

/// Returns whether this is a health path. The callers' port serves health paths
/// too, for load balancers.
#[must_use]
pub fn is_health_path(path: &str) -> bool {
    matches!(path, "/healthz" | "/readyz")
}

fn send(responder: Responder, page: &Page) {
    let headers = [("content-type", "application/json")];
    let mut body = page.body.to_string();
    body.push('\n');
    // The client may have closed the connection, so a failure is ignored.
    let _ = responder.send(page.status, &headers, body.into_bytes().into());
}

/// Answers whether the node is ready: it is not while it shuts down, has no
/// settings yet, or gets no answer from its main loop.
fn ready(node: &Node) -> Page {
    if node.is_draining() {
        return Page::error(HTTP_UNAVAILABLE, "the instance is shutting down");
    }
    match node.mailbox.request(MainLoopMessage::Status) {
        Some(parts) if are_settings_complete(node, &parts) => Page::ok(json!({"ready": true})),
        Some(_) => Page::error(HTTP_UNAVAILABLE, "the instance has no settings yet"),
        None => Page::error(HTTP_UNAVAILABLE, "the main loop does not answer"),
    }
}

/// Returns whether the node has settings in force. False when the main loop does
/// not answer.
pub fn has_settings(node: &Node) -> bool {
    let parts = node.mailbox.request(MainLoopMessage::Status);
    parts.is_some_and(|parts| are_settings_complete(node, &parts))
}

/// Returns whether the node has contact to the leader of the control group, so that its
/// settings are current. False when the main loop does not answer.
pub fn has_current_settings(node: &Node) -> bool {
    let parts = node.mailbox.request(MainLoopMessage::Status);
    parts.is_some_and(|parts| parts.control.has_leader)
}

/// Returns whether the first settings are complete: a development node creates
/// its own in several changes.
fn are_settings_complete(node: &Node, parts: &StatusParts) -> bool {
    let first_revision = if node.settings.dev {
        dev::INITIAL_REVISION
    } else {
        1
    };
    parts.control.revision >= first_revision
}

/// Answers with the status page. A development node shows it without a token.
fn status(node: &Node, incoming: &IncomingRequest) -> Page {
    if !node.settings.dev
        && let Err(refusal) = control::authorize(node, incoming, Action::Read)
    {
        return refusal;
    }
    let Some(parts) = node.mailbox.request(MainLoopMessage::Status) else {
        return Page::error(HTTP_UNAVAILABLE, "the main loop does not answer");
    };
    status_page::status(node, &parts)
}
