//! Step 7: relays the answer to the caller.

use std::sync::Arc;

use bamboospur_claims::StoredAnswer;
use bamboospur_types::ResultCode;
use bamboospur_upstream::{Failure, FailureKind};

use super::accept::CheckedRequest;
use super::error::RequestError;
use super::finish::{self, Ending};
use super::node::Node;
use super::send::{LiveStream, SendResult, WholeAnswer};
use super::target;
use crate::edge::{Caller, Responder, StreamWriter};

const OK: u16 = 200;
const EVENT_STREAM: &str = "text/event-stream";

/// Sends the caller what the attempts at targets resulted in.
pub fn deliver(
    node: &Arc<Node>,
    request: &CheckedRequest,
    caller: &Caller,
    responder: Responder,
    result: SendResult,
) -> Ending {
    match result {
        SendResult::Whole(answer) => send_whole(request, responder, &answer),
        SendResult::Stream(stream) => relay_stream(node, request, caller, responder, *stream),
        SendResult::Failed(error) => finish::send_error(node, &request.context, responder, error),
    }
}

/// Sends the stored answer of an earlier request with the same key.
pub fn replay(request: &CheckedRequest, responder: Responder, stored: &StoredAnswer) -> Ending {
    let code = ResultCode::Replayed;
    let mut headers = finish::headers(code, &request.context.request_id);
    if !stored.content_type.is_empty() {
        headers.push(("content-type".to_owned(), stored.content_type.clone()));
    }
    let sent = responder.send(
        stored.status,
        &borrow_pairs(&headers),
        stored.body.clone().into(),
    );
    Ending::after_write(&sent, code, "")
}

fn send_whole(request: &CheckedRequest, responder: Responder, answer: &WholeAnswer) -> Ending {
    let code = ResultCode::Ok;
    let mut headers = finish::headers(code, &request.context.request_id);
    headers.push((finish::TARGET_HEADER.to_owned(), answer.target.clone()));
    headers.extend(answer.headers.iter().cloned());
    let sent = responder.send(
        answer.status,
        &borrow_pairs(&headers),
        Arc::clone(&answer.body).into(),
    );
    Ending::after_write(&sent, code, &answer.target)
}

fn relay_stream(
    node: &Arc<Node>,
    request: &CheckedRequest,
    caller: &Caller,
    responder: Responder,
    mut stream: LiveStream,
) -> Ending {
    let mut headers = finish::headers(ResultCode::Ok, &request.context.request_id);
    headers.push(("content-type".to_owned(), EVENT_STREAM.to_owned()));
    headers.push(("cache-control".to_owned(), "no-cache".to_owned()));
    let target_name = stream.reservation.chosen.name.clone();
    headers.push((finish::TARGET_HEADER.to_owned(), target_name.clone()));
    let ending = match responder.stream(OK, &borrow_pairs(&headers)) {
        Ok(mut writer) => match copy_events(caller, &mut writer, &mut stream) {
            Ok(()) => Ending::after_write(&writer.finish(), ResultCode::Ok, &target_name),
            Err(StreamStop::CallerGone) => caller_gone(caller, &target_name),
            Err(StreamStop::Broken(failure)) => {
                send_stream_error(request, writer, &target_name, &failure)
            }
        },
        Err(_) => caller_gone(caller, &target_name),
    };
    if stream.resumes() > 0 {
        node.metrics.increment("stream_resumes");
    }
    if ending.code != ResultCode::Ok {
        target::cancel(
            node,
            &stream.reservation.chosen,
            &request.context.request_id,
        );
    }
    ending
}

/// Why a stream ended before its end event.
enum StreamStop {
    CallerGone,
    Broken(Failure),
}

/// Copies events one at a time. While a caller does not read, nothing is read
/// from the target either, so that a stream buffers at most one event.
fn copy_events(
    caller: &Caller,
    writer: &mut StreamWriter,
    stream: &mut LiveStream,
) -> Result<(), StreamStop> {
    loop {
        let event = stream.next_event().map_err(|failure| {
            if failure.kind == FailureKind::Cancelled || caller.is_gone() {
                return StreamStop::CallerGone;
            }
            StreamStop::Broken(failure)
        })?;
        let text = target::event_text(&event);
        let written = writer.write(text.as_bytes());
        written.map_err(|_| StreamStop::CallerGone)?;
        if event.is_done() {
            return Ok(());
        }
    }
}

fn caller_gone(caller: &Caller, target_name: &str) -> Ending {
    caller.hang_up();
    Ending::new(ResultCode::CallerGone, target_name, "the caller hung up")
}

/// Ends a broken stream with an error event instead of the end event, so that the
/// caller does not take the answer for complete.
fn send_stream_error(
    request: &CheckedRequest,
    mut writer: StreamWriter,
    target_name: &str,
    failure: &Failure,
) -> Ending {
    let code = match failure.kind {
        FailureKind::Deadline => ResultCode::DeadlineExceeded,
        _ => ResultCode::StreamBroken,
    };
    let reason = failure.kind.description();
    let message = format!("{reason}; the answer is not whole, send the request again");
    let error = RequestError::new(code, message);
    let error = finish::error_json(&error, &request.context.request_id);
    let text = format!("event: error\ndata: {error}\n\n");
    let written = writer.write(text.as_bytes());
    if written.and_then(|()| writer.finish()).is_err() {
        return Ending::new(ResultCode::CallerGone, target_name, "the caller hung up");
    }
    Ending::new(code, target_name, &failure.to_string())
}

fn borrow_pairs(headers: &[(String, String)]) -> Vec<(&str, &str)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect()
}
