//! The port for operators and targets.

mod control;
mod control_change;
mod control_drain;
mod control_force;
mod control_read;
mod targets;
mod text;

use std::sync::Arc;

use bamboospur_control::operator::Action;
use serde_json::json;

use crate::dev;
use crate::edge::{Incoming, Responder};
use crate::mailbox::MainLoopMessage;
use crate::request::Node;
use crate::status::StatusParts;

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Answer of this port.
struct Page {
    status: u16,
    body: serde_json::Value,
}

impl Page {
    fn ok(body: serde_json::Value) -> Self {
        Self { status: OK, body }
    }

    fn error(status: u16, message: &str) -> Self {
        let body = json!({"error": message});
        Self { status, body }
    }
}

/// Serves one request of an operator or a target.
pub fn handle(node: &Arc<Node>, mut incoming: Incoming) {
    let path = incoming.path().split('?').next().unwrap_or_default();
    let path = path.to_owned();
    let method = incoming.method().to_owned();
    let page = match (method.as_str(), path.as_str()) {
        ("GET", "/healthz") => Page::ok(json!({"ok": true})),
        ("GET", "/readyz") => ready(node),
        ("GET", "/status") => status(node, &incoming),
        (_, path) if path.starts_with(control::PREFIX) => control::handle(node, &mut incoming),
        ("POST", path) if path.starts_with("/targets/") => {
            targets::handle(node, path, &mut incoming)
        }
        _ => Page::error(404, "no such path; docs/interfaces.md lists all paths"),
    };
    send(incoming.into_responder(), &page);
}

/// Health paths are served on the callers' port too, for balancers.
#[must_use]
pub fn is_health(path: &str) -> bool {
    matches!(path, "/healthz" | "/readyz")
}

fn send(responder: Responder, page: &Page) {
    let headers = [("content-type", "application/json")];
    let mut body = page.body.to_string();
    body.push('\n');
    // The other end may have hung up; there is nobody left to tell.
    let _ = responder.send(page.status, &headers, body.as_bytes());
}

/// A node that shuts down, or whose main loop does not answer, is not ready.
fn ready(node: &Node) -> Page {
    if node.is_draining() {
        return Page::error(UNAVAILABLE, "the instance is shutting down");
    }
    match node.mailbox.request(MainLoopMessage::Status) {
        Some(parts) if is_complete(node, &parts) => Page::ok(json!({"ready": true})),
        Some(_) => Page::error(UNAVAILABLE, "the instance has no settings yet"),
        None => Page::error(UNAVAILABLE, "the main loop does not answer"),
    }
}

/// Returns whether the node has settings in force.
pub fn has_settings(node: &Node) -> bool {
    let parts = node.mailbox.request(MainLoopMessage::Status);
    parts.is_some_and(|parts| is_complete(node, &parts))
}

/// A development node makes its own settings in several changes.
fn is_complete(node: &Node, parts: &StatusParts) -> bool {
    let first = if node.settings.dev {
        dev::FIRST_REVISION
    } else {
        1
    };
    parts.control.revision >= first
}

/// A development node shows its status to everyone who reaches its port.
fn status(node: &Node, incoming: &Incoming) -> Page {
    if !node.settings.dev
        && let Err(refused) = control::authorize(node, incoming, Action::Read)
    {
        return refused;
    }
    let Some(parts) = node.mailbox.request(MainLoopMessage::Status) else {
        return Page::error(UNAVAILABLE, "the main loop does not answer");
    };
    text::status(node, &parts)
}
