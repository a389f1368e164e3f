//! Selects the headers that are forwarded between callers and targets.

use bamboospur_upstream::HeaderMap;

use crate::edge::IncomingRequest;

/// Request headers that are not forwarded: hop-by-hop headers, headers that the
/// router sets itself, and the caller's credentials.
const NOT_FORWARDED: [&str; 18] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "last-event-id",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-priority",
    "x-request-id",
    "x-resume-request-id",
];
/// Prefix of the headers between callers and routers, which are not forwarded.
const ROUTER_HEADER_PREFIX: &str = "bamboospur-";

/// Returns the headers of a request that are forwarded to the target, with names
/// in lower case.
pub fn for_target(incoming: &IncomingRequest) -> Vec<(String, String)> {
    let connection_headers: Vec<String> = connection_options(incoming);
    incoming
        .headers()
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .filter(|(name, _)| {
            !name.starts_with(ROUTER_HEADER_PREFIX) && !connection_headers.contains(name)
        })
        .collect()
}

/// Returns the names listed in the `Connection` header, which apply to this
/// connection only.
fn connection_options(incoming: &IncomingRequest) -> Vec<String> {
    let value = incoming.header("connection").unwrap_or_default();
    value
        .split(',')
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Headers of a target's answer that are forwarded to the caller.
const ANSWER_HEADERS: [&str; 9] = [
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

/// Returns the headers of a target's answer that are forwarded to the caller.
pub fn for_caller(headers: &HeaderMap) -> Vec<(String, String)> {
    ANSWER_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(*name)?.to_str().ok()?;
            Some(((*name).to_owned(), value.to_owned()))
        })
        .collect()
}
