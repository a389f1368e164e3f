//! HTTP messages of targets: announcements, heartbeats, cache events and leaves.

use bamboospur_membership::{Load, MembershipInput};
use bamboospur_placement::CacheEventKind;
use bamboospur_types::{ChatId, Incarnation, TargetRecord, TargetState, WorkTokens, stable_id};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::{BODY_TIMEOUT, HTTP_UNAVAILABLE, MAX_BODY_BYTES, Page};
use crate::actors::{MembersMessage, TargetAnswer};
use crate::edge::IncomingRequest;
use crate::mailbox::{MainLoopMessage, ReplySender};
use crate::request::{Node, bearer_token};

const HTTP_BAD_REQUEST: u16 = 400;
const HTTP_UNAUTHORIZED: u16 = 401;
const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const MAX_CACHE_EVENTS: usize = 4096;

#[derive(Debug, Deserialize)]
struct Heartbeat {
    name: String,
    incarnation: Incarnation,
    sequence: u64,
    #[serde(default)]
    load_tokens: WorkTokens,
    #[serde(default)]
    load_requests: u32,
    state: TargetState,
}

#[derive(Debug, Deserialize)]
struct Leave {
    name: String,
    incarnation: Incarnation,
}

#[derive(Debug, Deserialize)]
struct CacheEvents {
    name: String,
    incarnation: Incarnation,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    chat: String,
    #[serde(default)]
    prefix_tokens: WorkTokens,
    kind: CacheEventKind,
}

/// Serves one message of a target.
pub(super) fn handle(node: &Node, path: &str, incoming: &mut IncomingRequest) -> Page {
    if !is_allowed(node, incoming) {
        return Page::error(
            HTTP_UNAUTHORIZED,
            "send Authorization: Bearer with the target token",
        );
    }
    let body = match incoming.read_body(MAX_BODY_BYTES, BODY_TIMEOUT) {
        Ok(body) => body,
        Err(error) => return Page::error(HTTP_BAD_REQUEST, &error.to_string()),
    };
    let page = match path {
        "/targets/announce" => parse(&body).map(|record| announce(node, record)),
        "/targets/heartbeat" => parse(&body).map(|message| heartbeat(node, &message)),
        "/targets/leave" => parse(&body).map(|message| leave(node, &message)),
        "/targets/cache-events" => parse(&body).map(|events| cache_events(node, events)),
        _ => Err(Page::error(HTTP_NOT_FOUND, "no such path below /targets")),
    };
    page.unwrap_or_else(|error| error)
}

pub(super) fn is_allowed(node: &Node, incoming: &IncomingRequest) -> bool {
    let Some(expected) = node.target_token() else {
        return true;
    };
    let token = incoming.header("authorization").and_then(bearer_token);
    token.is_some_and(|token| bamboospur_settings::KeyHash::from_secret(token) == *expected)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Page> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not valid: {error}; see docs/interfaces.md");
        Page::error(HTTP_BAD_REQUEST, &message)
    })
}

/// Returns whether a target can have this name. Names go into headers of answers,
/// so they must not contain line breaks.
fn is_valid_name(name: &str) -> bool {
    let is_allowed_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=128).contains(&name.len()) && name.bytes().all(is_allowed_byte)
}

fn announce(node: &Node, record: TargetRecord) -> Page {
    if !is_valid_name(&record.name) {
        let message = "name must have 1 to 128 letters, digits, '-', '_' or '.'";
        return Page::error(HTTP_BAD_REQUEST, message);
    }
    if record.pool.is_empty() || record.capacity_requests == 0 {
        let message = "pool and capacity_requests must not be empty or 0";
        return Page::error(HTTP_BAD_REQUEST, message);
    }
    let accepted = json!({"accepted": true, "heartbeat_ms": node.heartbeat_interval().as_millis()});
    answer(
        node,
        accepted,
        membership_request(MembershipInput::Announce(record)),
    )
}

fn heartbeat(node: &Node, message: &Heartbeat) -> Page {
    let input = MembershipInput::Heartbeat {
        target: stable_id(&message.name),
        incarnation: message.incarnation,
        sequence: u32::try_from(message.sequence).unwrap_or(u32::MAX - 1),
        state: message.state,
        load: Load {
            tokens: message.load_tokens,
            requests: message.load_requests,
        },
    };
    answer(node, json!({"accepted": true}), membership_request(input))
}

fn leave(node: &Node, message: &Leave) -> Page {
    let input = MembershipInput::Leave {
        target: stable_id(&message.name),
        incarnation: message.incarnation,
    };
    answer(node, json!({"accepted": true}), membership_request(input))
}

fn membership_request(
    input: MembershipInput,
) -> impl FnOnce(ReplySender<TargetAnswer>) -> MembersMessage {
    let input = Box::new(input);
    move |reply| MembersMessage::Request { input, reply }
}

fn cache_events(node: &Node, events: CacheEvents) -> Page {
    if events.events.len() > MAX_CACHE_EVENTS {
        let message = format!("there are more than {MAX_CACHE_EVENTS} events; send them in parts");
        return Page::error(HTTP_BAD_REQUEST, &message);
    }
    let parsed = events.events.into_iter().filter_map(|event| {
        let chat = parse_chat_id(&event.chat)?;
        Some((chat, event.prefix_tokens, event.kind))
    });
    let parsed_events = parsed.collect();
    answer(node, json!({"accepted": true}), |reply| {
        MembersMessage::CacheEvents {
            target: stable_id(&events.name),
            incarnation: events.incarnation,
            events: parsed_events,
            reply,
        }
    })
}

/// Parses the chat id that the router put into the request. Events whose chat id
/// was set by the caller cannot be matched to a team and are ignored.
fn parse_chat_id(text: &str) -> Option<ChatId> {
    if text.len() != 16 {
        return None;
    }
    ChatId::from_str_radix(text, 16).ok()
}

fn answer(
    node: &Node,
    accepted: serde_json::Value,
    message: impl FnOnce(ReplySender<TargetAnswer>) -> MembersMessage,
) -> Page {
    match node
        .mailbox
        .request(|reply| MainLoopMessage::Members(message(reply)))
    {
        Some(TargetAnswer::Accepted) => Page::ok(accepted),
        Some(TargetAnswer::NotCopied) => Page::error(
            HTTP_UNAVAILABLE,
            "other instances do not confirm the departure; send it again, here or elsewhere",
        ),
        Some(TargetAnswer::Unknown) => Page::error(HTTP_NOT_FOUND, "announce the target again"),
        Some(TargetAnswer::Stale { least_incarnation }) => Page {
            status: HTTP_CONFLICT,
            body: json!({
                "accepted": false,
                "least_incarnation": least_incarnation,
                "error": "the incarnation is too old; announce with a higher one",
            }),
        },
        None => Page::error(HTTP_UNAVAILABLE, "the main loop does not answer"),
    }
}
