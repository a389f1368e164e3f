//! Connections of callers, and the readiness endpoint.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{
    BodyLimits, ReadError, ReadLimits, Request, Responder, ResponseProgress, ServerConnection,
    build_response_head,
};
use bamboospur_http1::{Place, socket};
use bamboospur_platform::calls::READY_PATH;
use bamboospur_platform::request::RequestMetadata;
use bamboospur_types::ResultCode;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::attempt_history::Execution;
use super::forward::{forward, refuse, result_answer};
use super::state::Router;
use super::trace::Trace;
use crate::calls::DISCARD_TIMEOUT;
use crate::process::{Listener, spawn_detached};

/// A connection is closed when the caller acknowledges no data for this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(8);
/// Most bytes of further requests that are buffered while a request is served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Time for which a request is still read from a connection that is about to be closed.
const LAST_READ_TIME: Duration = Duration::from_millis(100);
/// Longest time for a whole body, if the caller does not wait for less.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` of a router that stops: another router serves the request at once.
const STOPPED_RETRY_AFTER: Duration = Duration::from_millis(40);
/// `Retry-After` of a request for which there is no memory or no connection. Other routers have
/// some, and here the bodies in progress end within seconds.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Limits on requests of the platform to the readiness endpoint.
const READY_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 4 * 1024,
    body_bytes: 0,
    head_timeout: Duration::from_secs(2),
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Accepts connections of callers until the router closes its idle connections; never returns.
pub async fn serve_callers(listener: Listener, router: Rc<Router>) {
    loop {
        let (stream, place) = tokio::select! {
            accepted = listener.accept() => accepted,
            () = router.closing() => break,
        };
        spawn_detached(serve_connection(stream, place, Rc::clone(&router)));
    }
    drop(listener);
    pending::<()>().await;
}

async fn serve_connection(stream: TcpStream, place: Place, router: Rc<Router>) {
    if let Err(error) = socket::set_socket_options(&stream, ACK_TIMEOUT) {
        warn!(%error, "cannot set the socket options of a caller's connection; closing it");
        return;
    }
    let mut connection = ServerConnection::new(stream, place);
    loop {
        let limits = read_limits(&router);
        let read = tokio::select! {
            biased;
            () = router.closing() => return refuse_last_request(&mut connection, &limits).await,
            read = read_request(&mut connection, &limits) => read,
        };
        match read {
            Ok(request) => {
                if !serve_request(&router, &mut connection, &request).await {
                    return;
                }
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(end) => {
                let (mut responder, _) = connection.split();
                responder.close_after();
                refuse_unread(&mut responder, end).await;
                connection.discard(DISCARD_TIMEOUT).await;
                return;
            }
        }
    }
}

/// Reads the next request, until its caller does not wait for the answer any more.
async fn read_request(
    connection: &mut ServerConnection,
    limits: &ReadLimits,
) -> Result<Request, ReadError> {
    let (head, arrived) = connection.next_head(limits).await?;
    let body_timeout = RequestMetadata::timeout_of(&head).map_or(limits.body_timeout, |timeout| {
        timeout.min(limits.body_timeout)
    });
    let body_limits = BodyLimits {
        bytes: limits.body_bytes,
        part_timeout: limits.head_timeout,
        deadline: arrived + body_timeout,
    };
    let body = connection.read_body(&head, &body_limits).await?;
    Ok(Request {
        head,
        body,
        arrived,
    })
}

/// Serves one request; returns whether the connection can be kept alive.
async fn serve_request(
    router: &Rc<Router>,
    connection: &mut ServerConnection,
    request: &Request,
) -> bool {
    let _active = router.begin_request();
    let (mut responder, mut watch) = connection.split();
    responder.adapt_to_request(&request.head);
    responder.close_after_if(router.draining());
    let mut trace = Trace::new(request);
    let served = tokio::select! {
        biased;
        code = forward(router, request, &mut responder, &mut trace) => Some(code),
        () = watch.wait_for_close(MAX_PIPELINED_BYTES) => Some(ResultCode::CallerGone),
        () = router.ending() => None,
    };
    let code = match served {
        Some(code) => code,
        None => end_request(&mut responder, trace.execution).await,
    };
    let took = Instant::now() - request.arrived;
    router.metrics.borrow_mut().record_request(code, took);
    trace.log(code, took);
    responder.can_keep_alive()
}

/// Ends a request in progress because the process is about to end.
async fn end_request(responder: &mut Responder<'_>, execution: Execution) -> ResultCode {
    if responder.progress() != ResponseProgress::Nothing {
        // The caller detects the failure by the missing end of the body.
        return ResultCode::StreamBroken;
    }
    match execution {
        Execution::NotRun => {
            refuse(
                responder,
                ResultCode::ShuttingDown,
                Some(STOPPED_RETRY_AFTER),
            )
            .await
        }
        Execution::MayHaveRun => refuse(responder, ResultCode::DeadlineExceeded, None).await,
    }
}

/// Rejects a request that arrives while the connection is about to be closed. The caller is told
/// that it did not run; a closed connection would leave that open.
async fn refuse_last_request(connection: &mut ServerConnection, limits: &ReadLimits) {
    let Ok(Ok(request)) = timeout(LAST_READ_TIME, read_request(connection, limits)).await else {
        return;
    };
    let (mut responder, _) = connection.split();
    responder.adapt_to_request(&request.head);
    responder.close_after();
    let mut trace = Trace::new(&request);
    "the router is stopping".clone_into(&mut trace.detail);
    let code = refuse(
        &mut responder,
        ResultCode::ShuttingDown,
        Some(STOPPED_RETRY_AFTER),
    );
    trace.log(code.await, Instant::now() - request.arrived);
}

async fn refuse_unread(responder: &mut Responder<'_>, end: ReadError) {
    let (status, code) = match end {
        ReadError::HeadTooLarge => (431, ResultCode::TooLarge),
        ReadError::BodyTooLarge => (413, ResultCode::TooLarge),
        ReadError::TooSlow => (408, ResultCode::CallerTooSlow),
        ReadError::NoMemory | ReadError::Displaced => (503, ResultCode::Overloaded),
        ReadError::Malformed | ReadError::Closed | ReadError::Broken => {
            (400, ResultCode::BadRequest)
        }
    };
    info!(status, %code, ?end, "request refused: it could not be read completely");
    let pause = (status == 503).then_some(NO_ROOM_RETRY_AFTER);
    let (mut head, body) = result_answer(code, pause);
    head.status = status;
    // The caller may have closed the connection already.
    let _sent = responder.write_response(&head, &body).await;
}

fn read_limits(router: &Router) -> ReadLimits {
    let catalog = router.catalog.borrow();
    let limits = catalog.as_ref().map(|c| *c.limits()).unwrap_or_default();
    ReadLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout,
        body_timeout: BODY_TIMEOUT,
        idle_timeout: limits.idle_timeout,
    }
}

/// Answers readiness checks of the balancer; never returns.
pub async fn serve_readiness(listener: Listener, router: Rc<Router>) {
    loop {
        let (stream, place) = listener.accept().await;
        let connection = ServerConnection::new(stream, place);
        spawn_detached(serve_readiness_connection(connection, Rc::clone(&router)));
    }
}

async fn serve_readiness_connection(mut connection: ServerConnection, router: Rc<Router>) {
    while let Ok(request) = connection.read_request(&READY_LIMITS).await {
        let (mut responder, _) = connection.split();
        responder.adapt_to_request(&request.head);
        let status = match request.head.target.as_str() {
            READY_PATH if router.is_ready() => 200,
            READY_PATH => 503,
            _ => 404,
        };
        let sent = responder
            .write_response(&build_response_head(status, &[]), b"")
            .await;
        if sent.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}
