//! Messages of targets.

use std::time::Duration;

use bamboospur_membership::{Load, MembershipInput};
use bamboospur_placement::CacheEventKind;
use bamboospur_types::{ChatId, Incarnation, TargetRecord, TargetState, WorkTokens, stable_id};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::{MAX_BODY_BYTES, Page, UNAVAILABLE};
use crate::actors::{MembersMessage, TargetAnswer};
use crate::edge::Incoming;
use crate::mailbox::{MainLoopMessage, Reply};
use crate::request::{Node, bearer};

const BAD_REQUEST: u16 = 400;
const UNAUTHORIZED: u16 = 401;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Most cache events in one message.
const MAX_EVENTS: usize = 4096;

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
pub(super) fn handle(node: &Node, path: &str, incoming: &mut Incoming) -> Page {
    if !is_allowed(node, incoming) {
        return Page::error(
            UNAUTHORIZED,
            "send Authorization: Bearer with the target token",
        );
    }
    let body = match incoming.read_body(MAX_BODY_BYTES, BODY_TIMEOUT) {
        Ok(body) => body,
        Err(error) => return Page::error(BAD_REQUEST, &error.to_string()),
    };
    let page = match path {
        "/targets/announce" => parse(&body).map(|record| announce(node, record)),
        "/targets/heartbeat" => parse(&body).map(|beat| heartbeat(node, &beat)),
        "/targets/leave" => parse(&body).map(|gone| leave(node, &gone)),
        "/targets/cache-events" => parse(&body).map(|events| cache_events(node, events)),
        _ => Err(Page::error(NOT_FOUND, "no such path below /targets")),
    };
    page.unwrap_or_else(|error| error)
}

fn is_allowed(node: &Node, incoming: &Incoming) -> bool {
    let Some(token) = node.target_token() else {
        return true;
    };
    let sent = incoming.header("authorization").and_then(bearer);
    sent.is_some_and(|sent| bamboospur_settings::KeyHash::from_secret(sent) == *token)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Page> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not valid: {error}; see docs/interfaces.md");
        Page::error(BAD_REQUEST, &message)
    })
}

/// Names go into headers of answers, so they must not end a line.
fn is_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=128).contains(&name.len()) && name.bytes().all(plain)
}

fn announce(node: &Node, record: TargetRecord) -> Page {
    if !is_name(&record.name) {
        let message = "name must have 1 to 128 letters, digits, '-', '_' or '.'";
        return Page::error(BAD_REQUEST, message);
    }
    if record.pool.is_empty() || record.capacity_requests == 0 {
        let message = "pool and capacity_requests must not be empty or 0";
        return Page::error(BAD_REQUEST, message);
    }
    let accepted = json!({"accepted": true, "heartbeat_ms": node.heartbeat().as_millis()});
    answer(node, accepted, ask(MembershipInput::Announce(record)))
}

fn heartbeat(node: &Node, beat: &Heartbeat) -> Page {
    let input = MembershipInput::Heartbeat {
        target: stable_id(&beat.name),
        incarnation: beat.incarnation,
        sequence: u32::try_from(beat.sequence).unwrap_or(u32::MAX - 1),
        state: beat.state,
        load: Load {
            tokens: beat.load_tokens,
            requests: beat.load_requests,
        },
    };
    answer(node, json!({"accepted": true}), ask(input))
}

fn leave(node: &Node, gone: &Leave) -> Page {
    let input = MembershipInput::Leave {
        target: stable_id(&gone.name),
        incarnation: gone.incarnation,
    };
    answer(node, json!({"accepted": true}), ask(input))
}

fn ask(input: MembershipInput) -> impl FnOnce(Reply<TargetAnswer>) -> MembersMessage {
    let input = Box::new(input);
    move |reply| MembersMessage::Request { input, reply }
}

fn cache_events(node: &Node, events: CacheEvents) -> Page {
    if events.events.len() > MAX_EVENTS {
        let message = format!("there are more than {MAX_EVENTS} events; send them in parts");
        return Page::error(BAD_REQUEST, &message);
    }
    let known = events.events.into_iter().filter_map(|event| {
        let chat = chat_id(&event.chat)?;
        Some((chat, event.prefix_tokens, event.kind))
    });
    let events_of = known.collect();
    answer(node, json!({"accepted": true}), |reply| {
        MembersMessage::CacheEvents {
            target: stable_id(&events.name),
            incarnation: events.incarnation,
            events: events_of,
            reply,
        }
    })
}

/// Reads the id that the router put into the request; events of chats with an
/// id of the caller's cannot be matched to a team and are left out.
fn chat_id(text: &str) -> Option<ChatId> {
    if text.len() != 16 {
        return None;
    }
    ChatId::from_str_radix(text, 16).ok()
}

fn answer(
    node: &Node,
    accepted: serde_json::Value,
    mail: impl FnOnce(Reply<TargetAnswer>) -> MembersMessage,
) -> Page {
    match node
        .mailbox
        .request(|reply| MainLoopMessage::Members(mail(reply)))
    {
        Some(TargetAnswer::Accepted) => Page::ok(accepted),
        Some(TargetAnswer::Unknown) => Page::error(NOT_FOUND, "announce the target again"),
        Some(TargetAnswer::Stale { least_incarnation }) => Page {
            status: CONFLICT,
            body: json!({
                "accepted": false,
                "least_incarnation": least_incarnation,
                "error": "the incarnation is too old; announce with a higher one",
            }),
        },
        None => Page::error(UNAVAILABLE, "the main loop does not answer"),
    }
}
