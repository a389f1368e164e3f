//! The status page as JSON.

use serde_json::json;

use super::Page;
use crate::request::Node;
use crate::status::StatusParts;

pub(super) fn status(node: &Node, parts: &StatusParts) -> Page {
    let settings = &node.settings;
    Page::ok(json!({
        "name": settings.name,
        "data_centre": settings.data_centre,
        "version": env!("CARGO_PKG_VERSION"),
        "draining": node.is_draining(),
        "requests_in_progress": node.in_progress(),
        "requests_at_targets": parts.counter("placement.at_targets"),
        "routers": parts.routers,
        "control": parts.control,
        "invariant_violations": node.violations() + parts.violations(),
        "pools": parts.pools,
        "counters": parts.counters,
    }))
}
