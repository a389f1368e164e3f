//! Parses and validates calls to services that are not engines.

use std::time::Instant;

use bamboospur_types::{ChatId, ResultCode, TargetKind, WorkTokens, stable_id};
use bytes::Bytes;

use super::accept::{CheckedRequest, RequestContext, Route};
use super::authenticate::Identity;
use super::error::RequestError;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Work that one call counts as; services have no tokens to count.
const CALL_WORK_TOKENS: WorkTokens = 1;

/// Splits `POOL/rest` into the pool and the path for the target.
pub fn route(method: &str, pool_and_path: &str) -> Result<Route, RequestError> {
    if !METHODS.contains(&method) {
        let message = format!("method {method} is not passed on; use one of {METHODS:?}");
        return Err(RequestError::new(ResultCode::BadMethod, message));
    }
    let end = pool_and_path
        .find(['/', '?'])
        .unwrap_or(pool_and_path.len());
    let (pool, rest) = pool_and_path.split_at(end);
    if pool.is_empty() {
        let message = "the path names no pool; use /services/POOL/...";
        return Err(RequestError::new(ResultCode::UnknownPath, message));
    }
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok(Route::Service {
        pool: pool.to_owned(),
        path,
    })
}

/// Validates a call to a service.
pub fn read(
    identity: &Identity,
    context: &RequestContext,
    (method, pool, path): (String, &str, &str),
    body: Bytes,
    chat: Option<String>,
) -> Result<CheckedRequest, RequestError> {
    let named_pool = identity.fleet.pools.get(pool);
    let Some(settings) = named_pool.filter(|pool| pool.kind == TargetKind::Service) else {
        let message = format!("there is no service pool {pool:?}; check the path");
        return Err(RequestError::by_settings(ResultCode::UnknownPool, message));
    };
    if !body.is_empty() && matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS" | "DELETE") {
        let message = format!("{method} takes no body; send it without one");
        return Err(RequestError::new(ResultCode::BadRequest, message));
    }
    let path_without_query = path.split('?').next().unwrap_or_default();
    let not_repeatable = settings
        .not_repeatable
        .iter()
        .any(|rule| rule.matches(&method, path_without_query))
        || identity.team.is_not_repeatable(&method, path_without_query);
    Ok(CheckedRequest {
        context: context.clone(),
        pool: pool.to_owned(),
        model: None,
        offer: None,
        chat: service_chat(identity, context, chat),
        hint: None,
        work_tokens: CALL_WORK_TOKENS,
        prefix_tokens: 0,
        parts: Vec::new(),
        stream: false,
        method,
        path: path.to_owned(),
        headers: Vec::new(),
        body,
        idempotency_key: None,
        repeatable: !not_repeatable,
        deadline: Instant::now(),
    })
}

/// Returns the id by which placement chooses a target. A call without a chat id
/// uses its request id, which spreads such calls over the pool.
fn service_chat(identity: &Identity, context: &RequestContext, chat: Option<String>) -> ChatId {
    match chat {
        Some(chat) => stable_id(&format!("{}/{chat}", identity.team_name)),
        None => stable_id(&context.request_id),
    }
}
