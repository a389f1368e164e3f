//! The operators' HTTP API below `/control`.

use std::time::{Duration, Instant};

use bamboospur_control::operator::{
    Action, AuthorizationError, AuthorizedOperator, ResponseMeta, paths,
};
use bamboospur_control::{MemberError, Request, Response};
use bamboospur_settings::KeyHash;
use bamboospur_types::ResultCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    BODY_TIMEOUT, MAX_BODY_BYTES, Page, control_change, control_drain, control_in_force,
    control_read,
};
use crate::actors::{ControlMessage, Inspect};
use crate::edge::IncomingRequest;
use crate::mailbox::{MainLoopMessage, ReplySender};
use crate::request::{Node, bearer_token};

/// Longest wait for the control group. The control actor times out earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Prefix of all paths of the operators' API.
pub(super) const PATH_PREFIX: &str = "/control/";

/// Answer to a request that was refused.
pub(super) type Refusal = Page;

/// Serves one request of an operator.
pub(super) fn handle(node: &Node, incoming: &mut IncomingRequest) -> Page {
    let method = incoming.method().to_owned();
    let path_and_query = incoming.path().to_owned();
    let (path, query) = path_and_query
        .split_once('?')
        .unwrap_or((&path_and_query, ""));
    let query = Query::parse(query);
    let page = match (method.as_str(), path) {
        ("GET", paths::TREE) => control_read::tree(node, incoming, &query),
        ("GET", paths::HISTORY) => control_read::history(node, incoming, &query),
        ("GET", paths::STATUS) => control_read::status(node, incoming),
        ("GET", paths::MEMBERS) => control_read::members(node, incoming),
        ("GET", paths::IN_FORCE) => control_in_force::in_force(node, incoming, &query),
        ("POST", paths::CHANGE | paths::APPLY | paths::ROLLBACK) => {
            control_change::change(node, path, incoming)
        }
        ("POST", paths::MEMBERS) => control_change::members(node, incoming),
        ("POST", paths::DRAIN) => control_drain::drain(node, incoming),
        _ => Err(refusal(
            ResultCode::UnknownPath,
            "no such path and method; docs/operator-api.md lists all",
        )),
    };
    page.unwrap_or_else(|refusal| refusal)
}

/// Query string of a request.
#[derive(Debug)]
pub(super) struct Query {
    pairs: Vec<(String, String)>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let pairs = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value)));
        Self {
            pairs: pairs.collect(),
        }
    }

    /// Returns a value, decoded; `None` when the query has no such name.
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        let pair = pairs.find(|(key, _)| key == name)?;
        Some(pair.1.as_str())
    }

    /// Returns a value as a whole number, or a refusal when it is not one.
    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, Refusal> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = text.parse().map(Some);
        number.map_err(|_| {
            let message = format!("{name} must be a whole number");
            refusal(ResultCode::BadRequest, &message)
        })
    }
}

/// Decodes percent escapes, and `+` as a space. Invalid escapes stay as they are.
fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        let escaped = digits.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = after;
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Identifies the operator of a request by its token and checks that the
/// operator may do this action.
pub(super) fn authorize(
    node: &Node,
    incoming: &IncomingRequest,
    action: Action,
) -> Result<AuthorizedOperator, Refusal> {
    let token = incoming.header("authorization").and_then(bearer_token);
    let Some(token) = token.map(KeyHash::from_secret) else {
        let error = AuthorizationError::UnknownToken;
        return Err(refusal(error.code(), &error.to_string()));
    };
    let initial = node.operator_token().copied();
    let authorized = ask_control(node, |reply| ControlMessage::Authorize {
        token,
        initial,
        action,
        reply,
    })?;
    authorized.map_err(|error| refusal(error.code(), &error.to_string()))
}

/// Reads the body of a request and parses it as JSON.
pub(super) fn read_json<T: DeserializeOwned>(incoming: &mut IncomingRequest) -> Result<T, Refusal> {
    let body = incoming.read_body(MAX_BODY_BYTES, BODY_TIMEOUT);
    let body = body.map_err(|error| refusal(ResultCode::BadRequest, &error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not valid: {error}; see docs/operator-api.md");
        refusal(ResultCode::BadRequest, &message)
    })
}

/// Sends a request to the control actor and waits for the reply.
pub(super) fn ask_control<T>(
    node: &Node,
    message: impl FnOnce(ReplySender<T>) -> ControlMessage,
) -> Result<T, Refusal> {
    let answer = node
        .mailbox
        .request(|reply| MainLoopMessage::Control(message(reply)));
    answer.ok_or_else(|| refusal(ResultCode::Internal, "the main loop does not answer"))
}

/// Queries the state of the control actor.
pub(super) fn inspect<T>(
    node: &Node,
    query: impl FnOnce(ReplySender<T>) -> Inspect,
) -> Result<T, Refusal> {
    ask_control(node, |reply| ControlMessage::Inspect(query(reply)))
}

/// Sends a request to the control group and waits for the response.
pub(super) fn send_to_group(node: &Node, request: Request) -> Result<Response, MemberError> {
    let answer = node.mailbox.request_until(
        |reply| MainLoopMessage::Control(ControlMessage::OperatorRequest { request, reply }),
        Instant::now() + ANSWER_TIMEOUT,
    );
    answer.unwrap_or(Err(MemberError::OutcomeUnknown))
}

/// Returns an answer that carries only a result code and a message.
pub(super) fn refusal(code: ResultCode, message: &str) -> Refusal {
    let head = ResponseMeta::failed(code, message);
    page(&head, &head)
}

/// Returns an answer with the HTTP status of its result.
pub(super) fn page(head: &ResponseMeta, body: &impl Serialize) -> Page {
    match serde_json::to_value(body) {
        Ok(body) => Page {
            status: head.result.http_status(),
            body,
        },
        Err(error) => Page::error(500, &error.to_string()),
    }
}
