//! Calls over HTTP, and what targets say in them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{
    ReadEnd, ReadLimits, Request, Responder, ServerConnection, own_head,
};
use bamboospur_http1::socket;
use bamboospur_platform::calls::{Call, taken_body};
use bamboospur_platform::report;
use bamboospur_registry::{Announcement, Start, TargetName};
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
pub enum TargetNews {
    /// It reports.
    Report(Announcement),
    /// It leaves.
    Leave {
        /// Target.
        name: TargetName,
        /// Start that leaves, when the target names it.
        start: Option<Start>,
    },
}

/// A call of a target that waits for its answer.
#[derive(Debug)]
pub struct TargetCall {
    /// What the target says.
    pub news: TargetNews,
    /// Told when that is taken, with the address for the target's later reports if
    /// it is another one. Dropped when it cannot be taken.
    pub taken: oneshot::Sender<Option<SocketAddr>>,
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
    if let Err(error) = socket::tune(&stream, SILENCE) {
        warn!(%error, "a connection could not be set up");
        return;
    }
    let mut connection = ServerConnection::new(stream);
    loop {
        let request = connection.read_request(&limits).await;
        let (mut responder, _) = connection.split();
        let answer = match request {
            Ok(request) => {
                responder.fit(&request.head);
                handle(request).await
            }
            Err(ReadEnd::Closed | ReadEnd::Broken) => return,
            Err(end) => {
                responder.close_after();
                refusal(end)
            }
        };
        if answer.last {
            responder.close_after();
        }
        if write(&mut responder, &answer).await.is_err() || !responder.can_go_on() {
            return;
        }
    }
}

async fn write(responder: &mut Responder<'_>, answer: &Answer) -> std::io::Result<()> {
    let head = own_head(answer.status, &[("Content-Type", "application/json")]);
    responder.answer(&head, &answer.body).await
}

fn refusal(end: ReadEnd) -> Answer {
    match end {
        ReadEnd::HeadTooLarge => Answer::error(431, "the head is too large"),
        ReadEnd::BodyTooLarge => Answer::error(413, "the body is too large"),
        ReadEnd::TooSlow => Answer::error(408, "the request came too slowly"),
        ReadEnd::Malformed | ReadEnd::Closed | ReadEnd::Broken => {
            Answer::error(400, "the request is malformed")
        }
    }
}

/// Reads what a target says, or returns the answer to what cannot be read. `None`
/// stands for a call that is no target's.
pub fn target_news(request: &Request) -> Option<Result<TargetNews, Answer>> {
    match Call::of(&request.head.method, &request.head.target) {
        Some(Call::Report(name)) => {
            let report = report::announcement(name, &request.body);
            Some(report.map(TargetNews::Report).map_err(|error| {
                info!(target_name = name, %error, "report ignored");
                Answer::error(400, &error.to_string())
            }))
        }
        Some(Call::Leave(name)) => Some(Ok(TargetNews::Leave {
            name: name.to_owned(),
            start: report::leaving_start(&request.body),
        })),
        _ => None,
    }
}

/// Hands what a target says to the owner of the state and returns the answer.
pub async fn take<E>(
    news: TargetNews,
    events: &Sender<E>,
    convert: impl FnOnce(TargetCall) -> E,
) -> Answer {
    let (taken, done) = oneshot::channel();
    let sent = events.send(convert(TargetCall { news, taken })).await;
    match timeout(ANSWER_TIMEOUT, done).await {
        Ok(Ok(next)) if sent.is_ok() => Answer {
            last: next.is_some(),
            ..Answer::new(200, taken_body(next))
        },
        _ => Answer::error(503, "the report cannot be taken here"),
    }
}
