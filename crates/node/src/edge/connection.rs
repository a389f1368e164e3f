//! The task of one connection.

use std::future::pending;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use bamboospur_http1::server::{
    ReadError, ReadLimits, Responder as HttpResponder, ResponseProgress, ServerConnection,
    build_response_head,
};
use bamboospur_http1::socket;
use bamboospur_http1::{Framing, RequestHead, ResponseHead};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::timeout;
use tracing::{info, warn};

use super::body::BodyError;
use super::caller::Caller;
use super::incoming::Incoming;
use super::server::Shared;

/// A caller that acknowledges nothing for this time is gone.
const SILENT_PATH: Duration = Duration::from_secs(10);
/// Largest head.
const HEAD_BYTES: usize = 64 * 1024;
/// Bytes that a caller may send ahead while its request is served.
const AHEAD_BYTES: usize = 64 * 1024;
/// Time for which an unread body is thrown away, so that the answer is not lost
/// with a reset.
const LINGER: Duration = Duration::from_millis(500);

/// Command of a handler.
pub enum Command {
    /// Read the body.
    Body {
        /// Largest body.
        limit_bytes: usize,
        /// Time for the whole body.
        timeout: Duration,
        /// Told the body.
        body: SyncSender<Result<Vec<u8>, BodyError>>,
    },
    /// Write a part of the answer.
    Write {
        /// Part.
        write: Write,
        /// Told the result.
        written: SyncSender<io::Result<()>>,
    },
}

/// Part of an answer.
pub enum Write {
    /// All of it.
    Whole {
        /// Head.
        head: ResponseHead,
        /// Body.
        body: Vec<u8>,
    },
    /// The head of an answer of unknown length.
    Begin {
        /// Head.
        head: ResponseHead,
    },
    /// Bytes of its body.
    Part(Vec<u8>),
    /// Its end.
    End,
}

/// Serves a connection until it ends.
pub async fn serve(shared: Arc<Shared>, stream: TcpStream, peer: Option<SocketAddr>) {
    if let Err(error) = socket::set_socket_options(&stream, SILENT_PATH) {
        warn!(%error, "a connection could not be set up");
        return;
    }
    let mut connection = ServerConnection::new(stream);
    let limits = ReadLimits {
        head_bytes: HEAD_BYTES,
        body_bytes: 0,
        head_timeout: shared.settings.receive_timeout,
        idle_timeout: shared.settings.receive_timeout,
    };
    loop {
        match connection.next_head(&limits).await {
            Ok((head, _)) => {
                if !exchange(&shared, &mut connection, head, peer).await {
                    return;
                }
            }
            Err(ReadError::Closed | ReadError::Broken) => return,
            Err(end) => return refuse(&mut connection, end).await,
        }
    }
}

async fn refuse(connection: &mut ServerConnection, end: ReadError) {
    let status = match end {
        ReadError::HeadTooLarge => 431,
        ReadError::TooSlow => 408,
        _ => 400,
    };
    info!(status, ?end, "a head was refused");
    let (mut responder, _) = connection.split();
    responder.close_after();
    // The caller may have closed already.
    let _sent = responder
        .answer(&build_response_head(status, &[]), b"")
        .await;
    let _closed = timeout(LINGER, connection.discard()).await;
}

/// Serves one request; returns whether another can follow.
async fn exchange(
    shared: &Arc<Shared>,
    connection: &mut ServerConnection,
    head: RequestHead,
    peer: Option<SocketAddr>,
) -> bool {
    let Some(running) = shared.begin_request().await else {
        return false;
    };
    let (sender, mut commands) = channel(1);
    let caller = Arc::new(Caller::default());
    let incoming = Incoming::new(head.clone(), peer, Arc::clone(&caller), sender);
    Shared::spawn_handler(running, incoming);
    let mut body_read = matches!(head.framing(), Ok(Framing::Length(0)));
    let first = loop {
        match next_command(&mut commands, connection.closed(AHEAD_BYTES), &caller).await {
            Some(Command::Body {
                limit_bytes,
                timeout: time,
                body,
            }) => {
                let read = connection.read_body(&head, limit_bytes, time);
                let read = timeout(time, read).await.unwrap_or(Err(ReadError::TooSlow));
                body_read = read.is_ok();
                let read = read.map(|body| body.to_vec());
                // The handler waits for it.
                let _told = body.send(read.map_err(|end| BodyError::of(end, limit_bytes, time)));
            }
            Some(Command::Write { write, written }) => break Some((write, written)),
            None => break None,
        }
    };
    let keeps = answer(
        shared, connection, &head, &caller, commands, first, body_read,
    )
    .await;
    if !body_read {
        // Either the caller closes or the time is over.
        let _closed = timeout(LINGER, connection.discard()).await;
    }
    keeps && body_read
}

type FirstWrite = Option<(Write, SyncSender<io::Result<()>>)>;

/// Writes the answer as the handler commands.
async fn answer(
    shared: &Shared,
    connection: &mut ServerConnection,
    head: &RequestHead,
    caller: &Caller,
    mut commands: Receiver<Command>,
    mut next: FirstWrite,
    body_read: bool,
) -> bool {
    let (mut responder, mut watch) = connection.split();
    responder.adapt_to_request(head);
    if !body_read {
        responder.close_after();
    }
    while let Some((write, written)) = next.take() {
        let result = timeout(
            shared.settings.send_timeout,
            carry_out(&mut responder, write),
        )
        .await;
        let result = result.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let failed = result.is_err();
        // The handler waits for it.
        let _told = written.send(result);
        if failed {
            caller.hang_up();
            return false;
        }
        next = match next_command(&mut commands, watch.closed(AHEAD_BYTES), caller).await {
            Some(Command::Write { write, written }) => Some((write, written)),
            Some(Command::Body { .. }) | None => None,
        };
    }
    if responder.state() == ResponseProgress::Nothing && !caller.is_gone() {
        // The handler ended without an answer.
        let _sent = responder.answer(&build_response_head(500, &[]), b"").await;
    }
    responder.can_keep_alive()
}

async fn carry_out(responder: &mut HttpResponder<'_>, write: Write) -> io::Result<()> {
    match write {
        Write::Whole { head, body } => responder.answer(&head, &body).await,
        Write::Begin { head } => responder.begin(&head, Framing::Chunked).await,
        Write::Part(part) => responder.write_chunk(&part).await,
        Write::End => responder.finish().await,
    }
}

/// Waits for the next command, and tells the handler when the caller closes.
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
