//! Chat completions of the stand-in engine, streamed or in one answer, and their
//! cancellation.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use chunked_transfer::Encoder;
use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::Request;

use super::generate::{Generation, RESUME_WINDOW, generate_tokens};
use super::{State, lock, now_unix_us};
use crate::cache::{Prefix, message_prefixes};
use crate::http;

/// Number of tokens to generate when the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: usize = 16;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
    chat_id: Option<String>,
}

/// Answers `POST /v1/chat/completions`.
pub fn handle_completion(state: &Arc<State>, mut request: Request) {
    let body = http::read_body(&mut request);
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        http::respond(
            request,
            400,
            &json!({"error": "malformed chat request"}),
            &[],
        );
        return;
    };
    if !serves(state, &chat.model) {
        let error = format!("model {} is not loaded", chat.model);
        http::respond(
            request,
            404,
            &json!({"error": error}),
            &[("x-not-run", "true")],
        );
        return;
    }
    let request_id = http::header(&request, "x-request-id").unwrap_or_default();
    if let Some(resumed_id) = http::header(&request, "x-resume-request-id") {
        resume(state, request, &request_id, &resumed_id);
        return;
    }
    let limit = u64::from(state.settings.capacity_requests) * 2;
    if state.load.requests.load(Ordering::Relaxed) >= limit {
        let extra = [("x-not-run", "true"), ("retry-after", "1")];
        http::respond(request, 503, &json!({"error": "the queue is full"}), &extra);
        return;
    }
    run(state, request, &request_id, &chat);
}

/// Cancels the request whose id is in a JSON body. Returns false when the request
/// is unknown or cancelled already.
pub fn cancel(state: &State, body: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return false;
    };
    let Some(id) = value["request_id"].as_str() else {
        return false;
    };
    match lock(&state.generations).get_mut(id) {
        Some(generation) if !generation.cancelled => {
            generation.cancelled = true;
            state.counters.cancels.fetch_add(1, Ordering::Relaxed);
            true
        }
        _ => false,
    }
}

fn serves(state: &State, model: &str) -> bool {
    let orders = lock(&state.orders);
    let mut offers = orders.offers.iter();
    offers.any(|offer| offer.model == model || offer.to_string() == model)
}

fn run(state: &Arc<State>, request: Request, request_id: &str, chat: &ChatRequest) {
    state.counters.runs.fetch_add(1, Ordering::Relaxed);
    let generation = start_generation(state, chat);
    let uncached_tokens = generation.prompt_tokens - generation.cached_tokens;
    let work_tokens = uncached_tokens + generation.tokens.len() as u64;
    lock(&state.generations).insert(request_id.to_owned(), generation.clone());
    state.load.start(work_tokens);
    if chat.stream {
        stream(state, request, request_id, request_id, &generation, 0);
    } else {
        answer_unstreamed(state, request, request_id, chat, &generation);
    }
    state.load.end(work_tokens);
    drop_expired(state);
}

fn start_generation(state: &State, chat: &ChatRequest) -> Generation {
    let messages: Vec<String> = chat.messages.iter().map(Value::to_string).collect();
    let prompt = message_prefixes(&messages);
    let prompt_tokens: u64 = prompt.iter().map(|p| p.tokens).sum();
    let cached_tokens = lock(&state.cache).lookup_and_store(&prompt);
    let count = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let counters = &state.counters;
    counters
        .prompt_tokens
        .fetch_add(prompt_tokens, Ordering::Relaxed);
    counters
        .cached_tokens
        .fetch_add(cached_tokens, Ordering::Relaxed);
    queue_cache_event(state, chat, &prompt);
    Generation {
        tokens: generate_tokens(&messages.concat(), count),
        prompt_tokens,
        cached_tokens,
        cancelled: false,
        expires: None,
    }
}

fn queue_cache_event(state: &State, chat: &ChatRequest, prompt: &[Prefix]) {
    let Some(chat_id) = &chat.chat_id else {
        return;
    };
    let event = json!({
        "sequence": state.cache_event_count.fetch_add(1, Ordering::Relaxed) + 1,
        "chat": chat_id,
        "prefix_tokens": prompt.iter().map(|p| p.tokens).sum::<u64>(),
        "kind": "stored",
    });
    if let Some(announcer) = lock(&state.announcer).as_ref() {
        announcer.queue_cache_event(event);
    }
}

fn answer_unstreamed(
    state: &State,
    request: Request,
    request_id: &str,
    chat: &ChatRequest,
    generation: &Generation,
) {
    thread::sleep(state.settings.first_token);
    for _ in &generation.tokens {
        if is_cancelled(state, request_id) {
            lock(&state.generations).remove(request_id);
            return;
        }
        thread::sleep(state.settings.token_interval);
    }
    lock(&state.generations).remove(request_id);
    let answer = json!({
        "id": request_id,
        "object": "chat.completion",
        "model": chat.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": generation.tokens.concat()},
            "finish_reason": "stop",
        }],
        "usage": usage(generation),
    });
    http::respond(request, 200, &answer, &[]);
}

fn resume(state: &Arc<State>, request: Request, request_id: &str, resumed_id: &str) {
    let after = http::header(&request, "last-event-id").and_then(|v| v.parse().ok());
    let generation = lock(&state.generations).get(resumed_id).cloned();
    match (after, generation) {
        (Some(after), Some(generation)) if !generation.cancelled => {
            state.counters.resumes.fetch_add(1, Ordering::Relaxed);
            stream(state, request, request_id, resumed_id, &generation, after);
        }
        _ => http::respond(request, 410, &json!({"error": "nothing to resume"}), &[]),
    }
}

/// Streams the events with numbers above `after`, then the end event. When the
/// connection breaks, the generation can be resumed for `RESUME_WINDOW`.
fn stream(
    state: &State,
    request: Request,
    request_id: &str,
    stream_id: &str,
    generation: &Generation,
    after: usize,
) {
    set_expiry(state, stream_id, None);
    let mut writer = request.into_writer();
    let sent = write_events(
        state,
        &mut *writer,
        request_id,
        stream_id,
        generation,
        after,
    );
    match sent {
        Ok(()) => {
            lock(&state.generations).remove(stream_id);
        }
        Err(_) => set_expiry(state, stream_id, Some(Instant::now() + RESUME_WINDOW)),
    }
}

fn write_events(
    state: &State,
    writer: &mut dyn Write,
    request_id: &str,
    stream_id: &str,
    generation: &Generation,
    after: usize,
) -> io::Result<()> {
    http::write_stream_head(writer, request_id)?;
    let mut encoder = Encoder::with_flush_after_write(&mut *writer);
    if after == 0 {
        thread::sleep(state.settings.first_token);
    }
    let last = generation.tokens.len() + 1;
    for number in after + 1..=last {
        if is_cancelled(state, stream_id) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let event = event_text(state, generation, stream_id, number);
        encoder.write_all(event.as_bytes())?;
        // The encoder writes each chunk to the writer below, but does not flush that.
        encoder.get_mut().flush()?;
        pause(state.settings.token_interval);
    }
    encoder.write_all(b"data: [DONE]\n\n")?;
    // Dropping the encoder writes the last chunk, but does not flush the writer.
    drop(encoder);
    writer.flush()
}

fn event_text(state: &State, generation: &Generation, stream_id: &str, number: usize) -> String {
    let mut data = match generation.tokens.get(number - 1) {
        Some(token) => json!({
            "id": stream_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
        }),
        None => json!({
            "id": stream_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": usage(generation),
        }),
    };
    if state.settings.stamps_events {
        data["sent_unix_us"] = json!(now_unix_us());
    }
    format!("id: {number}\ndata: {data}\n\n")
}

fn usage(generation: &Generation) -> Value {
    json!({
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.tokens.len(),
        "total_tokens": generation.prompt_tokens + generation.tokens.len() as u64,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    })
}

fn is_cancelled(state: &State, id: &str) -> bool {
    let generations = lock(&state.generations);
    generations
        .get(id)
        .is_none_or(|generation| generation.cancelled)
}

fn set_expiry(state: &State, id: &str, expires: Option<Instant>) {
    if let Some(generation) = lock(&state.generations).get_mut(id) {
        generation.expires = expires;
    }
}

fn drop_expired(state: &State) {
    let now = Instant::now();
    let live = |generation: &Generation| generation.expires.is_none_or(|at| at > now);
    lock(&state.generations).retain(|_, generation| live(generation));
}

fn pause(interval: Duration) {
    if !interval.is_zero() {
        thread::sleep(interval);
    }
}
