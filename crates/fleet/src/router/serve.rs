//! Connections of callers, and the readiness address.

use std::rc::Rc;
use std::time::Duration;

use bamboospur_http1::server::{
    ReadError, ReadLimits, Request, Responder, ServerConnection, build_response_head,
};
use bamboospur_http1::socket;
use bamboospur_platform::calls::READY_PATH;
use bamboospur_types::ResultCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::forward::{Trace, forward, own_answer};
use super::state::Router;
use crate::process::accept;

/// A caller that acknowledges nothing for this time is gone.
const SILENCE: Duration = Duration::from_secs(8);
/// Bytes of further requests that are kept while one is served.
const PIPELINE_BYTES: usize = 64 * 1024;
/// Time for which a refused request is still read, so that the refusal is not
/// lost with a reset.
const LINGER: Duration = Duration::from_millis(300);
/// Bounds on the platform's calls to the readiness address.
const READY_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 4 * 1024,
    body_bytes: 0,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Accepts callers until connections are to be closed.
pub async fn callers(listener: TcpListener, router: Rc<Router>) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, "callers") => stream,
            () = router.closing() => return,
        };
        spawn_local(caller(stream, Rc::clone(&router)));
    }
}

async fn caller(stream: TcpStream, router: Rc<Router>) {
    if let Err(error) = socket::set_socket_options(&stream, SILENCE) {
        warn!(%error, "a caller's connection could not be set up");
        return;
    }
    let mut connection = ServerConnection::new(stream);
    loop {
        let limits = limits(&router);
        let read = tokio::select! {
            biased;
            read = connection.read_request(&limits) => read,
            () = router.closing() => return,
        };
        match read {
            Ok(request) => {
                if !serve(&router, &mut connection, &request).await {
                    return;
                }
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(end) => {
                let (mut responder, _) = connection.split();
                responder.close_after();
                refuse(&mut responder, end).await;
                // Either the caller closes or the time is over.
                let _closed = timeout(LINGER, connection.discard()).await;
                return;
            }
        }
    }
}

/// Serves one request; returns whether another can follow.
async fn serve(router: &Rc<Router>, connection: &mut ServerConnection, request: &Request) -> bool {
    let _active = router.begin();
    let (mut responder, mut watch) = connection.split();
    responder.adapt_to_request(&request.head);
    if router.is_draining() {
        responder.close_after();
    }
    let mut trace = Trace::new(request);
    let code = tokio::select! {
        biased;
        code = forward(router, request, &mut responder, &mut trace) => code,
        () = watch.closed(PIPELINE_BYTES) => ResultCode::CallerGone,
    };
    let took = Instant::now() - request.arrived;
    router.metrics.borrow_mut().request(code, took);
    trace.log(code, took);
    responder.can_keep_alive()
}

async fn refuse(responder: &mut Responder<'_>, end: ReadError) {
    let (status, code) = match end {
        ReadError::HeadTooLarge => (431, ResultCode::TooLarge),
        ReadError::BodyTooLarge => (413, ResultCode::TooLarge),
        ReadError::TooSlow => (408, ResultCode::CallerTooSlow),
        ReadError::Malformed | ReadError::Closed | ReadError::Broken => {
            (400, ResultCode::BadRequest)
        }
    };
    info!(status, %code, "request refused before it was read");
    let (mut head, body) = own_answer(code, None);
    head.status = status;
    // The caller may have closed already.
    let _sent = responder.answer(&head, &body).await;
}

fn limits(router: &Router) -> ReadLimits {
    let catalog = router.catalog.borrow();
    let limits = catalog.as_ref().map(|c| *c.limits()).unwrap_or_default();
    ReadLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Tells the balancer whether new connections should come, for ever.
pub async fn readiness(listener: TcpListener, router: Rc<Router>) {
    loop {
        let stream = accept(&listener, "readiness").await;
        spawn_local(ready_connection(stream, Rc::clone(&router)));
    }
}

async fn ready_connection(stream: TcpStream, router: Rc<Router>) {
    let mut connection = ServerConnection::new(stream);
    while let Ok(request) = connection.read_request(&READY_LIMITS).await {
        let (mut responder, _) = connection.split();
        responder.adapt_to_request(&request.head);
        let status = match request.head.target.as_str() {
            READY_PATH if router.is_ready() => 200,
            READY_PATH => 503,
            _ => 404,
        };
        let sent = responder
            .answer(&build_response_head(status, &[]), b"")
            .await;
        if sent.is_err() || !responder.can_keep_alive() {
            return;
        }
    }
}
