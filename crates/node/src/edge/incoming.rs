//! Gives a handler access to one request.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use bamboospur_http1::RequestHead;
use bytes::Bytes;
use tokio::sync::mpsc::Sender;

use super::answer::Responder;
use super::body::BodyError;
use super::caller::Caller;
use super::connection::Command;

/// A request whose head has been read and whose body has not.
pub struct IncomingRequest {
    head: RequestHead,
    peer: Option<SocketAddr>,
    /// When the head arrived.
    arrived: Instant,
    caller: Arc<Caller>,
    commands: Sender<Command>,
    /// The body, or why it could not be read, if it was read before the handler started.
    body: Option<Result<Bytes, BodyError>>,
}

impl IncomingRequest {
    pub(super) fn new(
        head: RequestHead,
        peer: Option<SocketAddr>,
        caller: Arc<Caller>,
        commands: Sender<Command>,
    ) -> Self {
        Self {
            head,
            peer,
            arrived: Instant::now(),
            caller,
            commands,
            body: None,
        }
    }

    /// Sets the body, or why it could not be read.
    pub(super) fn set_body(&mut self, body: Result<Bytes, BodyError>) {
        self.body = Some(body);
    }

    /// Returns when the head arrived.
    #[must_use]
    pub const fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Returns the HTTP method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path with its query, as the caller sent it.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.head.target
    }

    /// Returns the remote address of the connection, if known.
    #[must_use]
    pub const fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Returns the state that shows whether the caller has hung up.
    #[must_use]
    pub fn caller(&self) -> Arc<Caller> {
        Arc::clone(&self.caller)
    }

    /// Returns the value of the first header with this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)
    }

    /// Returns the names and values of all headers.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.head.headers.iter()
    }

    /// Reads the whole body; blocks until the body has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, too large, too slow or
    /// incomplete, or if there is no memory for it.
    pub fn read_body(&mut self, limit_bytes: usize, timeout: Duration) -> Result<Bytes, BodyError> {
        if let Some(body) = self.body.take() {
            return body;
        }
        let (reply, received) = mpsc::sync_channel(1);
        let command = Command::ReadBody {
            limit_bytes,
            timeout,
            reply,
        };
        let sent = self.commands.blocking_send(command).is_ok();
        match received.recv() {
            Ok(body) if sent => body,
            _ => Err(BodyError::Incomplete),
        }
    }

    /// Returns the responder that sends the answer.
    #[must_use]
    pub fn into_responder(self) -> Responder {
        Responder::new(self.commands)
    }
}
