//! Calls of operators and targets.

use std::time::Duration;

use bamboospur_group::Document;
use bamboospur_http1::server::{
    ReadEnd, ReadLimits, Request, Responder, ServerConnection, own_head,
};
use bamboospur_http1::socket;
use bamboospur_platform::calls::Call;
use bamboospur_platform::{config, report};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{info, warn};

use super::event::{Event, PutResult};
use crate::process::accept;

/// Bounds on callers; a configuration with thousands of routes fits.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(20),
};
/// Operators ask another instance after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A caller that acknowledges nothing for this time is gone.
const SILENCE: Duration = Duration::from_secs(5);

/// Answer to a call.
struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    fn new(status: u16) -> Self {
        Self {
            status,
            body: b"{}".to_vec(),
        }
    }

    fn error(status: u16, message: &str) -> Self {
        Self {
            status,
            body: format!("{{\"error\":{message:?}}}").into_bytes(),
        }
    }
}

/// Accepts calls for ever.
pub async fn serve(listener: TcpListener, events: Sender<Event>) {
    loop {
        let stream = accept(&listener, "operators and targets").await;
        spawn_local(connection(stream, events.clone()));
    }
}

async fn connection(stream: TcpStream, events: Sender<Event>) {
    if let Err(error) = socket::tune(&stream, SILENCE) {
        warn!(%error, "a connection could not be set up");
        return;
    }
    let mut connection = ServerConnection::new(stream);
    loop {
        let request = connection.read_request(&LIMITS).await;
        let (mut responder, _) = connection.split();
        let answer = match request {
            Ok(request) => {
                responder.fit(&request.head);
                handle(&request, &events).await
            }
            Err(ReadEnd::Closed | ReadEnd::Broken) => return,
            Err(end) => {
                responder.close_after();
                refusal(end)
            }
        };
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

async fn handle(request: &Request, events: &Sender<Event>) -> Answer {
    match Call::of(&request.head.method, &request.head.target) {
        Some(Call::Report(name)) => report(name, &request.body, events).await,
        Some(Call::Leave(name)) => leave(name, &request.body, events).await,
        Some(Call::PutConfig) => put(&request.body, events).await,
        Some(Call::GetConfig) => get(events).await,
        None => Answer::error(404, "no such call"),
    }
}

async fn report(name: &str, body: &[u8], events: &Sender<Event>) -> Answer {
    match report::announcement(name, body) {
        Ok(announcement) => {
            let (taken, done) = oneshot::channel();
            let event = Event::Report {
                announcement,
                taken,
            };
            taken_answer(event, done, events).await
        }
        Err(error) => {
            info!(target_name = name, %error, "report ignored");
            Answer::error(400, &error.to_string())
        }
    }
}

async fn leave(name: &str, body: &[u8], events: &Sender<Event>) -> Answer {
    let (taken, done) = oneshot::channel();
    let event = Event::Leave {
        name: name.to_owned(),
        start: report::leaving_start(body),
        taken,
    };
    taken_answer(event, done, events).await
}

async fn taken_answer(event: Event, done: oneshot::Receiver<()>, events: &Sender<Event>) -> Answer {
    let taken = events.send(event).await.is_ok() && done.await.is_ok();
    Answer::new(if taken { 200 } else { 503 })
}

async fn put(body: &[u8], events: &Sender<Event>) -> Answer {
    let version = match config::catalog(body) {
        Ok(catalog) => catalog.version(),
        Err(error) => {
            info!(%error, "configuration refused");
            return Answer::error(400, &error.to_string());
        }
    };
    let (result, done) = oneshot::channel();
    let document = Document {
        version,
        content: lz4_flex::compress_prepend_size(body),
    };
    let sent = events.send(Event::Put { document, result }).await;
    let outcome = timeout(ANSWER_TIMEOUT, done).await;
    let accepted = sent.is_ok() && matches!(outcome, Ok(Ok(PutResult::Accepted)));
    info!(version, accepted, bytes = body.len(), "configuration put");
    if accepted {
        Answer::new(200)
    } else {
        Answer::error(503, "it is not known whether the configuration is accepted")
    }
}

async fn get(events: &Sender<Event>) -> Answer {
    let (result, done) = oneshot::channel();
    let sent = events.send(Event::Get { result }).await;
    let newest = timeout(ANSWER_TIMEOUT, done).await;
    let document = match newest {
        Ok(Ok(Some(document))) if sent.is_ok() => document,
        _ => return Answer::error(503, "the newest configuration is not known for certain"),
    };
    match lz4_flex::decompress_size_prepended(&document.content) {
        Ok(body) => Answer { status: 200, body },
        Err(error) => {
            warn!(%error, version = document.version, "the stored configuration is damaged");
            Answer::error(503, "there is no configuration")
        }
    }
}
