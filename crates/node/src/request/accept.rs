//! Step 1: reads and validates the head and the body of a request.

use std::time::{Duration, Instant};

use bamboospur_crashes::PartHash;
use bamboospur_types::{ChatId, OfferId, ResultCode, TargetId, WorkTokens, stable_id};
use bytes::Bytes;

use super::authenticate::{self, Identity};
use super::error::RequestError;
use super::node::Node;
use super::{chat, finish, headers, service};
use crate::edge::{BodyError, BodyPlan, IncomingRequest};

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/services/";
/// Limit for the value of a header that holds an idempotency key, a chat id or
/// a target's name.
const MAX_NAME_BYTES: usize = 256;
const MAX_PATH_BYTES: usize = 4096;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Data that every request has, including a rejected one.
#[derive(Clone, Debug)]
pub struct RequestContext {
    pub request_id: String,
    /// When the head of the request arrived.
    pub started: Instant,
}

/// The kind of endpoint that a request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A chat completion.
    Chat,
    /// A call to a service that is not an engine.
    Service {
        pool: String,
        /// Path and query after the name of the pool; starts with `/`.
        path: String,
    },
}

/// A request that passed validation, with all that the later steps need.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    pub context: RequestContext,
    pub pool: String,
    /// Model, version and adapter that the caller asked for; `None` for services.
    pub model: Option<bamboospur_types::Offer>,
    /// Id of `model`, which a target must offer; `None` for services.
    pub offer: Option<OfferId>,
    /// Chat id by which placement chooses the target.
    pub chat: ChatId,
    /// Target that answered the chat's previous request, as the caller states.
    pub hint: Option<TargetId>,
    /// Estimated work if no prefix of the prompt is cached.
    pub work_tokens: WorkTokens,
    /// Estimated part of the prompt that an engine may have cached.
    pub prefix_tokens: WorkTokens,
    /// Parts of the request that other requests may have as well and that may crash targets:
    /// the messages of a chat.
    pub parts: Vec<PartHash>,
    /// Whether the caller asked for a stream of server-sent events.
    pub stream: bool,
    pub method: String,
    /// Path and query to request from the target.
    pub path: String,
    /// Headers to send to the target.
    pub headers: Vec<(String, String)>,
    /// Body to send to the target.
    pub body: Bytes,
    pub idempotency_key: Option<String>,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// When the router stops trying to get an answer.
    pub deadline: Instant,
}

/// Creates the id and the start time of a request that has not been checked yet.
pub fn new_context(node: &Node, incoming: &IncomingRequest) -> RequestContext {
    RequestContext {
        request_id: node.next_request_id(),
        started: incoming.arrived(),
    }
}

/// Rejects new requests while the node shuts down or is at its limit of
/// concurrent requests.
pub fn check_accepting(node: &Node) -> Result<(), RequestError> {
    if node.is_closing() {
        let message = "the instance is shutting down; send the request to another one";
        return Err(RequestError::with_retry_after(
            ResultCode::ShuttingDown,
            message,
            RETRY_AFTER,
        ));
    }
    if node.in_progress() > node.settings.limits.requests {
        let message = "the instance holds as many requests as it can; send it to another one";
        return Err(RequestError::with_retry_after(
            ResultCode::InstanceFull,
            message,
            RETRY_AFTER,
        ));
    }
    Ok(())
}

/// Determines the route of a request from its path and method.
pub fn route(incoming: &IncomingRequest) -> Result<Route, RequestError> {
    let path = incoming.path();
    if path.len() > MAX_PATH_BYTES {
        let message = format!("the path is longer than {MAX_PATH_BYTES} bytes; shorten it");
        return Err(RequestError::new(ResultCode::TooLarge, message));
    }
    if !path.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = "the path has characters that must be percent-encoded";
        return Err(RequestError::new(ResultCode::BadRequest, message));
    }
    let path_without_query = path.split('?').next().unwrap_or_default();
    if path_without_query == CHAT_PATH {
        if incoming.method() != "POST" {
            let message = format!("{CHAT_PATH} takes POST only");
            return Err(RequestError::new(ResultCode::BadMethod, message));
        }
        return Ok(Route::Chat);
    }
    let Some(pool_and_path) = path.strip_prefix(SERVICES_PREFIX) else {
        let message =
            format!("there is no such path; use {CHAT_PATH} or {SERVICES_PREFIX}POOL/...");
        return Err(RequestError::new(ResultCode::UnknownPath, message));
    };
    service::route(incoming.method(), pool_and_path)
}

/// Returns how the body of a request is read; fails if the request is refused without it.
pub fn plan_body(node: &Node, incoming: &IncomingRequest) -> Result<BodyPlan, RequestError> {
    check_accepting(node)?;
    route(incoming)?;
    authenticate::identify(node, incoming)?;
    let limits = &node.settings.limits;
    Ok(BodyPlan {
        limit_bytes: limits.body_bytes,
        timeout: limits.body_timeout,
    })
}

/// Reads the body and the headers of a request and validates them.
pub fn read(
    node: &Node,
    incoming: &mut IncomingRequest,
    context: &RequestContext,
    route: &Route,
    identity: &Identity,
) -> Result<CheckedRequest, RequestError> {
    let limits = &node.settings.limits;
    let key = name_header(incoming, "idempotency-key")?;
    let chat_header = name_header(incoming, "bamboospur-chat")?;
    let hint = name_header(incoming, finish::TARGET_HEADER)?;
    let deadline = context.started + deadline_from_now(node, incoming)?;
    let body = incoming
        .read_body(limits.body_bytes, limits.body_timeout)
        .map_err(|error| body_error(&error))?;
    let mut request = match route {
        Route::Chat => chat::read(identity, context, body, chat_header.as_deref())?,
        Route::Service { pool, path } => {
            let method = incoming.method().to_owned();
            service::read(identity, context, (method, pool, path), body, chat_header)?
        }
    };
    request.headers = headers::for_target(incoming);
    request.deadline = deadline;
    request.idempotency_key = key;
    request.hint = hint.as_deref().map(stable_id);
    Ok(request)
}

fn name_header(incoming: &IncomingRequest, name: &str) -> Result<Option<String>, RequestError> {
    let Some(value) = incoming.header(name) else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        let message = format!("{name} must have 1 to {MAX_NAME_BYTES} bytes");
        return Err(RequestError::new(ResultCode::BadRequest, message));
    }
    Ok(Some(value.to_owned()))
}

fn deadline_from_now(node: &Node, incoming: &IncomingRequest) -> Result<Duration, RequestError> {
    let Some(value) = incoming.header("bamboospur-deadline-ms") else {
        return Ok(node.settings.limits.deadline);
    };
    let millis = value.parse::<u64>().ok().filter(|millis| *millis > 0);
    let Some(millis) = millis else {
        let message = "bamboospur-deadline-ms must be a whole number of milliseconds above 0";
        return Err(RequestError::new(ResultCode::BadRequest, message));
    };
    Ok(Duration::from_millis(millis).min(node.settings.limits.deadline))
}

fn body_error(error: &BodyError) -> RequestError {
    let code = match error {
        BodyError::Framing(_) | BodyError::Incomplete => ResultCode::BadRequest,
        BodyError::TooLarge(_) => ResultCode::TooLarge,
        BodyError::TooSlow(_) => ResultCode::CallerTooSlow,
        BodyError::NoMemory | BodyError::Displaced => {
            let code = ResultCode::Overloaded;
            return RequestError::with_retry_after(code, error.to_string(), RETRY_AFTER);
        }
    };
    RequestError::new(code, error.to_string())
}
