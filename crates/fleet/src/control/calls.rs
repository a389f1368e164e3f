//! HTTP calls of operators and targets to a control instance.

use std::time::Duration;

use bamboospur_group::Document;
use bamboospur_http1::server::{ReadLimits, Request};
use bamboospur_platform::calls::Call;
use bamboospur_platform::config;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

use super::event::{Event, PutResult};
use crate::calls::{self, ANSWER_TIMEOUT, Answer, parse_target_update, submit_target_update};
use crate::process::Listener;

/// Limits on requests. A configuration with thousands of routes fits the body limit.
const READ_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_mins(1),
    idle_timeout: Duration::from_secs(20),
};

/// Accepts calls for ever.
pub async fn serve(listener: Listener, events: Sender<Event>) {
    let answer = move |request| {
        let events = events.clone();
        async move { handle(&request, &events).await }
    };
    calls::serve(listener, READ_LIMITS, answer).await;
}

async fn handle(request: &Request, events: &Sender<Event>) -> Answer {
    match parse_target_update(request) {
        Some(Ok(update)) => return submit_target_update(update, events, Event::Target).await,
        Some(Err(answer)) => return answer,
        None => {}
    }
    match Call::parse(&request.head.method, &request.head.target) {
        Some(Call::PutConfig) => put_config(&request.body, events).await,
        Some(Call::GetConfig) => get_config(events).await,
        Some(Call::Evacuate(data_centre)) => evacuate(request, data_centre, true, events).await,
        Some(Call::EndEvacuation(data_centre)) => {
            evacuate(request, data_centre, false, events).await
        }
        _ => Answer::error(404, "no such call"),
    }
}

async fn put_config(body: &[u8], events: &Sender<Event>) -> Answer {
    let version = match config::parse_catalog(body) {
        Ok(catalog) => catalog.version(),
        Err(error) => {
            info!(%error, "invalid configuration refused");
            return Answer::error(400, &error.to_string());
        }
    };
    let (result, done) = oneshot::channel();
    let document = Document::new(version, body);
    let sent = events.send(Event::Put { document, result }).await;
    let outcome = timeout(ANSWER_TIMEOUT, done).await;
    let accepted = sent.is_ok() && matches!(outcome, Ok(Ok(PutResult::Accepted)));
    info!(
        version,
        accepted,
        bytes = body.len(),
        "configuration change handled"
    );
    if accepted {
        Answer::new(200, b"{}".to_vec())
    } else {
        Answer::error(503, "it is not known whether the configuration is accepted")
    }
}

async fn evacuate(
    request: &Request,
    data_centre: &str,
    evacuated: bool,
    events: &Sender<Event>,
) -> Answer {
    if !request.body.is_empty() {
        return Answer::error(400, "an evacuation takes no body");
    }
    let (result, done) = oneshot::channel();
    let event = Event::Evacuate {
        data_centre: data_centre.to_owned(),
        evacuated,
        result,
    };
    let sent = events.send(event).await;
    let outcome = timeout(ANSWER_TIMEOUT, done).await;
    let outcome = match outcome {
        Ok(Ok(outcome)) if sent.is_ok() => outcome,
        _ => PutResult::Unknown,
    };
    info!(data_centre, evacuated, ?outcome, "evacuation handled");
    match outcome {
        PutResult::Accepted => Answer::new(200, b"{}".to_vec()),
        PutResult::NotFound => Answer::error(404, "there is no such data centre"),
        PutResult::Unknown => Answer::error(503, "it is not known whether the order is accepted"),
    }
}

async fn get_config(events: &Sender<Event>) -> Answer {
    let (result, done) = oneshot::channel();
    let sent = events.send(Event::Get { result }).await;
    let newest = timeout(ANSWER_TIMEOUT, done).await;
    let document = match newest {
        Ok(Ok(Some(document))) if sent.is_ok() => document,
        _ => return Answer::error(503, "the newest configuration is not known for certain"),
    };
    if document.version == 0 {
        return Answer::error(503, "there is no configuration");
    }
    Answer::new(200, document.text().to_vec())
}
