//! Seventh step: the answer goes to the caller.

use std::sync::Arc;

use bamboospur_claims::Stored;
use bamboospur_types::ResultCode;
use bamboospur_upstream::{Failure, FailureKind};

use super::accept::Ask;
use super::node::Node;
use super::refused::Refused;
use super::send::{Delivery, Live, Whole};
use super::settle::{self, Ending};
use super::target;
use crate::edge::{Caller, Responder, StreamWriter};

const OK: u16 = 200;
const EVENTS: &str = "text/event-stream";

/// Sends what the attempts led to.
pub fn deliver(
    node: &Arc<Node>,
    ask: &Ask,
    caller: &Caller,
    responder: Responder,
    delivery: Delivery,
) -> Ending {
    match delivery {
        Delivery::Whole(whole) => send_whole(ask, responder, &whole),
        Delivery::Stream(live) => relay(node, ask, caller, responder, *live),
        Delivery::Failed(refused) => settle::refuse(node, &ask.head, responder, refused),
    }
}

/// Sends the stored answer of an earlier request with the same key.
pub fn replay(ask: &Ask, responder: Responder, stored: &Stored) -> Ending {
    let code = ResultCode::Replayed;
    let mut headers = settle::headers(code, &ask.head.request_id);
    if !stored.content_type.is_empty() {
        headers.push(("content-type".to_owned(), stored.content_type.clone()));
    }
    let sent = responder.send(stored.status, &borrowed(&headers), &stored.body);
    Ending::after(&sent, code, "")
}

fn send_whole(ask: &Ask, responder: Responder, whole: &Whole) -> Ending {
    let code = ResultCode::Ok;
    let mut headers = settle::headers(code, &ask.head.request_id);
    headers.push((settle::TARGET_HEADER.to_owned(), whole.target.clone()));
    headers.extend(whole.headers.iter().cloned());
    let sent = responder.send(whole.status, &borrowed(&headers), &whole.body);
    Ending::after(&sent, code, &whole.target)
}

fn relay(
    node: &Arc<Node>,
    ask: &Ask,
    caller: &Caller,
    responder: Responder,
    mut live: Live,
) -> Ending {
    let mut headers = settle::headers(ResultCode::Ok, &ask.head.request_id);
    headers.push(("content-type".to_owned(), EVENTS.to_owned()));
    headers.push(("cache-control".to_owned(), "no-cache".to_owned()));
    let name = live.placed.chosen.name.clone();
    headers.push((settle::TARGET_HEADER.to_owned(), name.clone()));
    let ending = match responder.stream(OK, &borrowed(&headers)) {
        Ok(mut writer) => match copy(caller, &mut writer, &mut live) {
            Ok(()) => Ending::after(&writer.finish(), ResultCode::Ok, &name),
            Err(Stop::CallerGone) => caller_gone(caller, &name),
            Err(Stop::Broken(failure)) => break_off(ask, writer, &name, &failure),
        },
        Err(_) => caller_gone(caller, &name),
    };
    if live.resumes() > 0 {
        node.metrics.increment("stream_resumes");
    }
    if ending.code != ResultCode::Ok {
        target::cancel(node, &live.placed.chosen, &ask.head.request_id);
    }
    ending
}

/// Why a stream stopped.
enum Stop {
    CallerGone,
    Broken(Failure),
}

/// Copies events one by one: a caller that does not read stops the reading
/// from the target, so a stream never holds more than one event.
fn copy(caller: &Caller, writer: &mut StreamWriter, live: &mut Live) -> Result<(), Stop> {
    loop {
        let event = live.next_event().map_err(|failure| {
            if failure.kind == FailureKind::Cancelled || caller.is_gone() {
                return Stop::CallerGone;
            }
            Stop::Broken(failure)
        })?;
        let text = target::event_text(&event);
        let written = writer.write(text.as_bytes());
        written.map_err(|_| Stop::CallerGone)?;
        if event.is_done() {
            return Ok(());
        }
    }
}

fn caller_gone(caller: &Caller, name: &str) -> Ending {
    caller.hang_up();
    Ending::new(ResultCode::CallerGone, name, "the caller hung up")
}

/// Ends a broken stream with an error event and without the end event.
fn break_off(ask: &Ask, mut writer: StreamWriter, name: &str, failure: &Failure) -> Ending {
    let code = match failure.kind {
        FailureKind::Deadline => ResultCode::DeadlineExceeded,
        _ => ResultCode::StreamBroken,
    };
    let reason = failure.kind.description();
    let message = format!("{reason}; the answer is not whole, send the request again");
    let refused = Refused::new(code, message);
    let error = settle::error_json(&refused, &ask.head.request_id);
    let text = format!("event: error\ndata: {error}\n\n");
    let written = writer.write(text.as_bytes());
    if written.and_then(|()| writer.finish()).is_err() {
        return Ending::new(ResultCode::CallerGone, name, "the caller hung up");
    }
    Ending::new(code, name, &failure.to_string())
}

fn borrowed(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    let pairs = headers.iter();
    pairs.map(|(n, v)| (n.as_str(), v.as_str())).collect()
}
