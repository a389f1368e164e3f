//! Parses and validates chat completion requests.

use std::time::Instant;

use bamboospur_crashes::PartHash;
use bamboospur_types::{ChatId, Offer, ResultCode, WorkTokens, stable_id};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use super::accept::{CheckedRequest, RequestContext};
use super::authenticate::Identity;
use super::error::RequestError;

const PATH: &str = "/v1/chat/completions";
/// Estimated output of a request that sets no limit on it.
const DEFAULT_OUTPUT_TOKENS: WorkTokens = 256;
/// Average length of a token in the usual vocabularies.
const BYTES_PER_TOKEN: usize = 4;
const MAX_CHAT_ID_BYTES: usize = 256;
/// Most messages of a chat that are remembered as answered or as crashing engines.
const MAX_PARTS: usize = 256;

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<WorkTokens>,
    max_completion_tokens: Option<WorkTokens>,
    chat_id: Option<String>,
}

/// Validates the body of a chat completion request.
pub fn read(
    identity: &Identity,
    context: &RequestContext,
    body: Bytes,
    chat_header: Option<&str>,
) -> Result<CheckedRequest, RequestError> {
    let parsed: Body = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat request: {error}; see docs/interfaces.md");
        RequestError::new(ResultCode::BadRequest, message)
    })?;
    if parsed.messages.is_empty() {
        let message = "messages is empty; send at least one message";
        return Err(RequestError::new(ResultCode::BadRequest, message));
    }
    let offer: Offer = parsed
        .model
        .parse()
        .map_err(|error| RequestError::new(ResultCode::UnknownModel, format!("{error}")))?;
    let Some(model) = identity.fleet.models.get(&offer.model) else {
        let message = format!("model {:?} is not served; check the name", offer.model);
        return Err(RequestError::by_settings(ResultCode::UnknownModel, message));
    };
    let pool = identity.fleet.pools.get(&model.pool);
    let rules = pool.map(|pool| pool.not_repeatable.as_slice());
    let matches = |rule: &bamboospur_settings::RequestRule| rule.matches("POST", PATH);
    let not_repeatable = rules.unwrap_or_default().iter().any(matches)
        || identity.team.is_not_repeatable("POST", PATH);
    let chat = chat_id(identity, &parsed, chat_header)?;
    Ok(CheckedRequest {
        context: context.clone(),
        pool: model.pool.clone(),
        offer: Some(offer.id()),
        model: Some(offer),
        chat,
        hint: None,
        work_tokens: work_tokens(&parsed),
        prefix_tokens: prefix_tokens(&parsed.messages),
        parts: parts(&parsed.messages),
        stream: parsed.stream,
        method: "POST".to_owned(),
        path: PATH.to_owned(),
        headers: Vec::new(),
        body: with_chat_id(body, parsed.chat_id.is_some(), chat),
        idempotency_key: None,
        repeatable: !not_repeatable,
        deadline: Instant::now(),
    })
}

/// Returns the chat's id: derived from the team and the id that the caller gave,
/// or else from the team and the messages up to the first user message, which
/// stay the same while the chat grows.
fn chat_id(identity: &Identity, body: &Body, header: Option<&str>) -> Result<ChatId, RequestError> {
    // The field "user" is not used as a chat id: one user can have many chats,
    // which would then all go to one engine.
    let given_id = header.or(body.chat_id.as_deref());
    if let Some(given_id) = given_id {
        if given_id.len() > MAX_CHAT_ID_BYTES {
            let message =
                format!("the chat id is longer than {MAX_CHAT_ID_BYTES} bytes; shorten it");
            return Err(RequestError::new(ResultCode::BadRequest, message));
        }
        return Ok(stable_id(&format!("{}/{given_id}", identity.team_name)));
    }
    let is_user = |message: &Value| message["role"] == "user";
    let first_user = body.messages.iter().position(is_user).unwrap_or(0);
    let opening: String = body.messages[..=first_user]
        .iter()
        .map(Value::to_string)
        .collect();
    Ok(stable_id(&format!("{}//{opening}", identity.team_name)))
}

/// Sets `chat_id` in the body to the router's id of the chat. The engine's cache
/// events then carry this id, and no caller can use the chat id of another team.
fn with_chat_id(body: Bytes, present: bool, chat: ChatId) -> Bytes {
    let chat_id = format!("{chat:016x}");
    if present {
        return match replace_chat_id(&body, chat_id) {
            Some(bytes) => ChangedBody { bytes, sent: body }.into(),
            None => body,
        };
    }
    // A body without the field gets it as the first one; the rest stays byte for
    // byte as it was sent.
    let Some(start) = body.iter().position(|byte| *byte == b'{') else {
        return body;
    };
    let field = format!("\"chat_id\":\"{chat_id}\",");
    let mut bytes = Vec::with_capacity(body.len() + field.len());
    bytes.extend_from_slice(&body[..=start]);
    bytes.extend_from_slice(field.as_bytes());
    bytes.extend_from_slice(&body[start + 1..]);
    ChangedBody { bytes, sent: body }.into()
}

/// A body with another chat id, and the one that the caller sent, which holds the reservation of
/// its memory.
struct ChangedBody {
    bytes: Vec<u8>,
    #[expect(dead_code, reason = "dropping it frees the reservation")]
    sent: Bytes,
}

impl AsRef<[u8]> for ChangedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<ChangedBody> for Bytes {
    fn from(body: ChangedBody) -> Self {
        Self::from_owner(body)
    }
}

/// Returns `None` if the body is not a JSON object.
fn replace_chat_id(body: &[u8], chat_id: String) -> Option<Vec<u8>> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    let fields = value.as_object_mut()?;
    fields.insert("chat_id".to_owned(), Value::String(chat_id));
    serde_json::to_vec(&value).ok()
}

/// Returns the hashes of the newest messages.
fn parts(messages: &[Value]) -> Vec<PartHash> {
    let newest = &messages[messages.len().saturating_sub(MAX_PARTS)..];
    let hashes = newest.iter().map(|message| stable_id(&message.to_string()));
    hashes.collect()
}

/// Estimates the tokens of the prompt and the output together.
fn work_tokens(body: &Body) -> WorkTokens {
    let output = body.max_completion_tokens.or(body.max_tokens);
    let prompt = estimate_tokens(&body.messages);
    prompt.saturating_add(output.unwrap_or(DEFAULT_OUTPUT_TOKENS))
}

/// Estimates the cacheable part of the prompt: in a continued chat, all messages
/// but the last one were part of the previous request.
fn prefix_tokens(messages: &[Value]) -> WorkTokens {
    let sent_before = messages.len().saturating_sub(1);
    estimate_tokens(&messages[..sent_before])
}

fn estimate_tokens(messages: &[Value]) -> WorkTokens {
    let bytes: usize = messages.iter().map(text_bytes).sum();
    bytes.div_ceil(BYTES_PER_TOKEN) as WorkTokens
}

/// Sums up the lengths of all strings in a JSON value, without field names.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(items) => items.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.values().map(text_bytes).sum(),
        _ => 0,
    }
}
