//! The task that reads and writes one connection.

use std::future::pending;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use bamboospur_http1::server::{
    BodyLimits, ReadError, ReadLimits, Responder as HttpResponder, ResponseProgress,
    ServerConnection, build_response_head,
};
use bamboospur_http1::socket;
use bamboospur_http1::{Framing, Place, RequestHead, ResponseHead};
use bamboospur_types::ChunkedBuffer;
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::body::BodyError;
use super::caller::Caller;
use super::incoming::IncomingRequest;
use super::server::{BodyPlan, ServerState};

/// A caller that acknowledges no data or keep-alive probe for this time is
/// considered gone.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that a caller may send ahead while its request is processed.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Time for which an unread body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Command of a handler to the task of its connection.
pub enum Command {
    /// Read the request body.
    ReadBody {
        limit_bytes: usize,
        /// Limit for receiving the whole body.
        timeout: Duration,
        /// Receives the body.
        reply: SyncSender<Result<Bytes, BodyError>>,
    },
    /// Write a part of the answer.
    Write {
        part: AnswerPart,
        /// Receives the result of the write.
        reply: SyncSender<io::Result<()>>,
    },
}

/// Part of an answer.
pub enum AnswerPart {
    /// A complete answer.
    Whole {
        head: ResponseHead,
        body: AnswerBody,
    },
    /// The head of an answer of unknown length.
    Begin { head: ResponseHead },
    /// Bytes of the body of an answer of unknown length.
    Chunk(Vec<u8>),
    /// The end of the body of an answer of unknown length.
    End,
}

/// Body of a complete answer.
pub enum AnswerBody {
    /// A body of this node or a stored one.
    Bytes(Vec<u8>),
    /// A body that a target sent.
    Chunks(Arc<ChunkedBuffer>),
}

impl From<Vec<u8>> for AnswerBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Bytes(bytes)
    }
}

impl From<Arc<ChunkedBuffer>> for AnswerBody {
    fn from(chunks: Arc<ChunkedBuffer>) -> Self {
        Self::Chunks(chunks)
    }
}

/// Serves requests on a connection until it closes.
pub async fn serve(
    shared: Arc<ServerState>,
    stream: TcpStream,
    place: Place,
    peer: Option<SocketAddr>,
) {
    if let Err(error) = socket::set_socket_options(&stream, ACK_TIMEOUT) {
        warn!(
            %error,
            "socket options of an accepted connection could not be set; closing the connection"
        );
        return;
    }
    let mut connection = ServerConnection::new(stream, place);
    let limits = ReadLimits {
        head_bytes: MAX_HEAD_BYTES,
        body_bytes: 0,
        head_timeout: shared.settings.receive_timeout,
        body_timeout: shared.settings.receive_timeout,
        idle_timeout: shared.settings.receive_timeout,
    };
    loop {
        match connection.next_head(&limits).await {
            Ok((head, _)) => {
                if !serve_request(&shared, &mut connection, head, peer).await {
                    return;
                }
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(end) => return refuse_head(&mut connection, end).await,
        }
    }
}

/// Answers an invalid request head with an error status before the connection is
/// closed.
async fn refuse_head(connection: &mut ServerConnection, end: ReadError) {
    let status = match end {
        ReadError::HeadTooLarge => 431,
        ReadError::TooSlow => 408,
        ReadError::NoMemory | ReadError::Displaced => 503,
        _ => 400,
    };
    info!(
        status,
        ?end,
        "a request head could not be read; closing the connection"
    );
    let (mut responder, _) = connection.split();
    responder.close_after();
    // The caller may have closed already.
    let _sent = responder
        .write_response(&build_response_head(status, &[]), b"")
        .await;
    connection.discard(DISCARD_TIMEOUT).await;
}

/// Serves one request; returns whether the connection can take another one.
async fn serve_request(
    shared: &Arc<ServerState>,
    connection: &mut ServerConnection,
    head: RequestHead,
    peer: Option<SocketAddr>,
) -> bool {
    let (sender, mut commands) = channel(1);
    let caller = Arc::new(Caller::default());
    let incoming = IncomingRequest::new(head.clone(), peer, Arc::clone(&caller), sender);
    let started = start_handler(shared, connection, &head, incoming).await;
    let Some(mut body_read) = started else {
        return false;
    };
    let first = loop {
        match next_command(
            &mut commands,
            connection.wait_for_close(MAX_PIPELINED_BYTES),
            &caller,
        )
        .await
        {
            Some(Command::ReadBody {
                limit_bytes,
                timeout: body_timeout,
                reply,
            }) => {
                let plan = BodyPlan {
                    limit_bytes,
                    timeout: body_timeout,
                };
                let read = read_body(connection, &head, plan).await;
                body_read = read.is_ok();
                // This fails only if the handler's thread has ended.
                let _delivered = reply.send(read);
            }
            Some(Command::Write { part, reply }) => break Some((part, reply)),
            None => break None,
        }
    };
    let keep_alive = write_answer(
        shared, connection, &head, &caller, commands, first, body_read,
    )
    .await;
    if !body_read {
        connection.discard(DISCARD_TIMEOUT).await;
    }
    keep_alive && body_read
}

/// Starts the handler of a request once its body has arrived, or at once if the request is refused
/// without it. Until then the request holds neither a thread nor a place among those in progress.
/// Returns whether the body was read, or `None` if the request cannot be handled.
async fn start_handler(
    shared: &Arc<ServerState>,
    connection: &mut ServerConnection,
    head: &RequestHead,
    mut incoming: IncomingRequest,
) -> Option<bool> {
    let _pending = shared.add_pending();
    let mut body_read = false;
    match head.framing() {
        Ok(framing) if connection.has_body(framing) => {
            body_read = framing == Framing::Length(0);
            connection.place().start_serving();
        }
        Ok(_) => {
            let running = shared.begin_request().await?;
            let (checked, plan) = ServerState::check(running, incoming).await?;
            incoming = checked;
            if let Some(plan) = plan {
                let body = read_body(connection, head, plan).await;
                body_read = body.is_ok();
                incoming.set_body(body);
            }
        }
        // The handler refuses the request.
        Err(_) => {}
    }
    let running = shared.begin_request().await?;
    ServerState::spawn_handler(running, incoming);
    Some(body_read)
}

async fn read_body(
    connection: &mut ServerConnection,
    head: &RequestHead,
    plan: BodyPlan,
) -> Result<Bytes, BodyError> {
    let limits = BodyLimits {
        bytes: plan.limit_bytes,
        part_timeout: plan.timeout,
        deadline: Instant::now() + plan.timeout,
    };
    let read = connection.read_body(head, &limits).await;
    read.map_err(|error| BodyError::from_read_error(error, plan.limit_bytes, plan.timeout))
}

type PendingWrite = Option<(AnswerPart, SyncSender<io::Result<()>>)>;

/// Writes the parts of the answer as the handler sends them; returns whether the
/// connection can be kept alive.
async fn write_answer(
    shared: &ServerState,
    connection: &mut ServerConnection,
    head: &RequestHead,
    caller: &Caller,
    mut commands: Receiver<Command>,
    mut next: PendingWrite,
    body_read: bool,
) -> bool {
    let (mut responder, mut close_watch) = connection.split();
    responder.adapt_to_request(head);
    if !body_read {
        responder.close_after();
    }
    while let Some((part, reply)) = next.take() {
        let result = timeout(
            shared.settings.send_timeout,
            write_part(&mut responder, part),
        )
        .await;
        let result = result.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let failed = result.is_err();
        // This fails only if the handler's thread has ended.
        let _delivered = reply.send(result);
        if failed {
            caller.hang_up();
            return false;
        }
        next = match next_command(
            &mut commands,
            close_watch.wait_for_close(MAX_PIPELINED_BYTES),
            caller,
        )
        .await
        {
            Some(Command::Write { part, reply }) => Some((part, reply)),
            Some(Command::ReadBody { .. }) | None => None,
        };
    }
    if responder.progress() == ResponseProgress::Nothing && !caller.is_gone() {
        // The handler ended without an answer.
        let _sent = responder
            .write_response(&build_response_head(500, &[]), b"")
            .await;
    }
    responder.can_keep_alive()
}

async fn write_part(responder: &mut HttpResponder<'_>, part: AnswerPart) -> io::Result<()> {
    match part {
        AnswerPart::Whole { head, body } => match body {
            AnswerBody::Bytes(bytes) => responder.write_response(&head, &bytes).await,
            AnswerBody::Chunks(body) => write_chunks(responder, &head, &body).await,
        },
        AnswerPart::Begin { head } => responder.write_head(&head, Framing::Chunked).await,
        AnswerPart::Chunk(chunk) => responder.write_chunk(&chunk).await,
        AnswerPart::End => responder.finish().await,
    }
}

async fn write_chunks(
    responder: &mut HttpResponder<'_>,
    head: &ResponseHead,
    body: &ChunkedBuffer,
) -> io::Result<()> {
    let mut chunks = body.chunks();
    let first = chunks.next().unwrap_or_default();
    if first.len() == body.len() {
        return responder.write_response(head, first).await;
    }
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    responder.write_head(head, Framing::Length(length)).await?;
    responder.write_chunk(first).await?;
    for chunk in chunks {
        responder.write_chunk(chunk).await?;
    }
    responder.finish().await
}

/// Waits for the next command, and records in `caller` that the caller closed the
/// connection. Returns `None` once the handler has ended.
async fn next_command(
    commands: &mut Receiver<Command>,
    closed: impl Future<Output = ()>,
    caller: &Caller,
) -> Option<Command> {
    let closed = async {
        if !caller.is_gone() {
            closed.await;
            caller.hang_up();
        }
        pending::<()>().await;
    };
    tokio::select! {
        command = commands.recv() => command,
        () = closed => None,
    }
}
