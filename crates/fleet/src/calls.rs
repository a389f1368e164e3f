//! Calls over HTTP, and what targets say in them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{
    ReadError, ReadLimits, Request, Responder, ServerConnection, build_response_head,
};
use bamboospur_http1::socket;
use bamboospur_platform::calls::{Call, report_response_body};
use bamboospur_platform::report;
use bamboospur_registry::{Announcement, StartTime, TargetName};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::process::accept;

/// Operators and targets ask another instance after a second.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A caller that acknowledges nothing for this time is gone.
const SILENCE: Duration = Duration::from_secs(5);

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Whether the caller has no further calls for this instance.
    last: bool,
}

impl Answer {
    /// Returns an answer with a body.
    pub const fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            last: false,
        }
    }

    /// Returns an answer that says what is wrong.
    pub fn error(status: u16, message: &str) -> Self {
        Self::new(status, format!("{{\"error\":{message:?}}}").into_bytes())
    }
}

/// What a target says.
#[derive(Debug)]
pub enum TargetUpdate {
    /// It reports.
    Report(Announcement),
    /// It leaves.
    Leave {
        /// Target.
        name: TargetName,
        /// Start that leaves, when the target names it.
        start: Option<StartTime>,
    },
}

/// A call of a target that waits for its answer.
#[derive(Debug)]
pub struct TargetCall {
    /// What the target says.
    pub update: TargetUpdate,
    /// Told when that is taken, with the address for the target's later reports if
    /// it is another one. Dropped when it cannot be taken.
    pub reply: oneshot::Sender<Option<SocketAddr>>,
}

/// Accepts calls for ever and answers them with `handle`.
pub async fn serve<F>(
    listener: TcpListener,
    who: &'static str,
    limits: ReadLimits,
    handle: impl Fn(Request) -> F + 'static,
) where
    F: Future<Output = Answer> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let stream = accept(&listener, who).await;
        spawn_local(connection(stream, limits, Rc::clone(&handle)));
    }
}

async fn connection<F>(stream: TcpStream, limits: ReadLimits, handle: Rc<impl Fn(Request) -> F>)
where
    F: Future<Output = Answer>,
{
    if let Err(error) = socket::set_socket_options(&stream, SILENCE) {
        warn!(%error, "a connection could not be set up");
        return;
    }
    let mut connection = ServerConnection::new(stream);
    loop {
        let request = connection.read_request(&limits).await;
        let (mut responder, _) = connection.split();
        let answer = match request {
            Ok(request) => {
                responder.adapt_to_request(&request.head);
                handle(request).await
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(end) => {
                responder.close_after();
                refusal(end)
            }
        };
        if answer.last {
            responder.close_after();
        }
        if write(&mut responder, &answer).await.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}

async fn write(responder: &mut Responder<'_>, answer: &Answer) -> std::io::Result<()> {
    let head = build_response_head(answer.status, &[("Content-Type", "application/json")]);
    responder.answer(&head, &answer.body).await
}

fn refusal(end: ReadError) -> Answer {
    match end {
        ReadError::HeadTooLarge => Answer::error(431, "the head is too large"),
        ReadError::BodyTooLarge => Answer::error(413, "the body is too large"),
        ReadError::TooSlow => Answer::error(408, "the request came too slowly"),
        ReadError::Malformed | ReadError::Closed | ReadError::Broken => {
            Answer::error(400, "the request is malformed")
        }
    }
}

/// Reads what a target says, or returns the answer to what cannot be read. `None`
/// stands for a call that is no target's.
pub fn parse_target_update(request: &Request) -> Option<Result<TargetUpdate, Answer>> {
    match Call::parse(&request.head.method, &request.head.target) {
        Some(Call::Report(name)) => {
            let report = report::parse_announcement(name, &request.body);
            Some(report.map(TargetUpdate::Report).map_err(|error| {
                info!(target_name = name, %error, "report ignored");
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

/// Hands what a target says to the owner of the state and returns the answer.
pub async fn submit_target_update<E>(
    update: TargetUpdate,
    events: &Sender<E>,
    convert: impl FnOnce(TargetCall) -> E,
) -> Answer {
    let (reply, done) = oneshot::channel();
    let sent = events.send(convert(TargetCall { update, reply })).await;
    match timeout(ANSWER_TIMEOUT, done).await {
        Ok(Ok(next)) if sent.is_ok() => Answer {
            last: next.is_some(),
            ..Answer::new(200, report_response_body(next))
        },
        _ => Answer::error(503, "the report cannot be taken here"),
    }
}
