//! HTTP server for calls of operators and targets, and the parsing of target calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{
    ReadError, ReadLimits, Request, Responder, ServerConnection, build_response_head,
};
use bamboospur_http1::{Place, socket};
use bamboospur_platform::calls::{Call, report_response_body};
use bamboospur_platform::report;
use bamboospur_registry::{Announcement, StartTime, TargetName};
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::process::{Listener, spawn_detached};

/// Time limit for the answer to a call. Operators and targets try another instance
/// after one second.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A connection whose peer acknowledges nothing for this time is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which input is still read and discarded after a request was refused.
pub const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// HTTP answer to a call.
#[derive(Debug)]
pub struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Whether the connection is closed after the answer, because the caller sends
    /// its further calls to another address.
    closes_connection: bool,
}

impl Answer {
    /// Returns an answer with a JSON body.
    pub const fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            closes_connection: false,
        }
    }

    /// Returns an answer whose JSON body carries an error message.
    pub fn error(status: u16, message: &str) -> Self {
        Self::new(status, format!("{{\"error\":{message:?}}}").into_bytes())
    }
}

/// Call of a target.
#[derive(Debug)]
pub enum TargetUpdate {
    /// The target announces its state.
    Report(Announcement),
    /// The target leaves the deployment.
    Leave {
        /// Name of the target.
        name: TargetName,
        /// Start of the target that leaves; `None` when the target names none.
        start: Option<StartTime>,
    },
}

/// Call of a target that waits for its answer.
#[derive(Debug)]
pub struct TargetCall {
    /// Content of the call.
    pub update: TargetUpdate,
    /// Receives a value once the update is accepted: the address for the target's
    /// later reports, or `None` if they stay here. Dropped without a value when the
    /// update cannot be accepted.
    pub reply: oneshot::Sender<Option<SocketAddr>>,
}

/// Accepts connections for ever and answers their requests with `handle`.
pub async fn serve<F>(
    listener: Listener,
    limits: ReadLimits,
    handle: impl Fn(Request) -> F + 'static,
) where
    F: Future<Output = Answer> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let (stream, place) = listener.accept().await;
        let connection = serve_connection(stream, place, limits, Rc::clone(&handle));
        spawn_detached(connection);
    }
}

async fn serve_connection<F>(
    stream: TcpStream,
    place: Place,
    limits: ReadLimits,
    handle: Rc<impl Fn(Request) -> F>,
) where
    F: Future<Output = Answer>,
{
    if let Err(error) = socket::set_socket_options(&stream, ACK_TIMEOUT) {
        warn!(%error, "failed to set the socket options of a target's or operator's connection; closing it");
        return;
    }
    let mut connection = ServerConnection::new(stream, place);
    loop {
        let request = connection.read_request(&limits).await;
        let (mut responder, _) = connection.split();
        let answer = match request {
            Ok(request) => {
                responder.adapt_to_request(&request.head);
                handle(request).await
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(error) => {
                responder.close_after();
                let answer = read_error_answer(error);
                // The peer may have closed the connection already.
                let _sent = write_answer(&mut responder, &answer).await;
                connection.discard(DISCARD_TIMEOUT).await;
                return;
            }
        };
        if answer.closes_connection {
            responder.close_after();
        }
        if write_answer(&mut responder, &answer).await.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}

async fn write_answer(responder: &mut Responder<'_>, answer: &Answer) -> std::io::Result<()> {
    let head = build_response_head(answer.status, &[("Content-Type", "application/json")]);
    responder.write_response(&head, &answer.body).await
}

fn read_error_answer(error: ReadError) -> Answer {
    match error {
        ReadError::HeadTooLarge => Answer::error(431, "the head is too large"),
        ReadError::BodyTooLarge => Answer::error(413, "the body is too large"),
        ReadError::TooSlow => Answer::error(408, "the request came too slowly"),
        ReadError::NoMemory => Answer::error(503, "there is no memory for the request; repeat it"),
        ReadError::Displaced => Answer::error(
            503,
            "there are too many connections and this request was not complete; repeat it",
        ),
        ReadError::Malformed | ReadError::Closed | ReadError::Broken => {
            Answer::error(400, "the request is malformed")
        }
    }
}

/// Parses a call of a target. Returns the error answer when the call is invalid, and
/// `None` when no target makes such a call.
pub fn parse_target_update(request: &Request) -> Option<Result<TargetUpdate, Answer>> {
    match Call::parse(&request.head.method, &request.head.target) {
        Some(Call::Report(name)) => {
            let report = report::parse_announcement(name, &request.body);
            Some(report.map(TargetUpdate::Report).map_err(|error| {
                info!(target_name = name, %error, "invalid report from a target; answering 400");
                Answer::error(400, &error.to_string())
            }))
        }
        Some(Call::Leave(name)) => Some(Ok(TargetUpdate::Leave {
            name: name.to_owned(),
            start: report::parse_leaving_start(&request.body),
        })),
        _ => None,
    }
}

/// Sends a target's update to the task that owns the state and returns the answer.
pub async fn submit_target_update<E>(
    update: TargetUpdate,
    events: &Sender<E>,
    convert: impl FnOnce(TargetCall) -> E,
) -> Answer {
    let (reply, result) = oneshot::channel();
    let sent = events.send(convert(TargetCall { update, reply })).await;
    match timeout(ANSWER_TIMEOUT, result).await {
        Ok(Ok(new_address)) if sent.is_ok() => Answer {
            closes_connection: new_address.is_some(),
            ..Answer::new(200, report_response_body(new_address))
        },
        _ => Answer::error(503, "the report cannot be taken here"),
    }
}
