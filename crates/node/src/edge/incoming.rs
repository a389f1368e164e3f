//! One request as it arrived.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use bamboospur_http1::RequestHead;
use tokio::sync::mpsc::Sender;

use super::answer::Responder;
use super::body::BodyError;
use super::caller::Caller;
use super::connection::Command;

/// Request whose head has arrived.
pub struct Incoming {
    head: RequestHead,
    peer: Option<SocketAddr>,
    caller: Arc<Caller>,
    commands: Sender<Command>,
}

impl Incoming {
    pub(super) const fn new(
        head: RequestHead,
        peer: Option<SocketAddr>,
        caller: Arc<Caller>,
        commands: Sender<Command>,
    ) -> Self {
        Self {
            head,
            peer,
            caller,
            commands,
        }
    }

    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path with its query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.head.target
    }

    /// Returns the address of the other end.
    #[must_use]
    pub const fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Returns the caller, who may hang up.
    #[must_use]
    pub fn caller(&self) -> Arc<Caller> {
        Arc::clone(&self.caller)
    }

    /// Returns the first header of a name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)
    }

    /// Returns all headers.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.head.headers.iter()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body or its framing.
    pub fn read_body(
        &mut self,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<Vec<u8>, BodyError> {
        let (body, received) = mpsc::sync_channel(1);
        let command = Command::Body {
            limit_bytes,
            timeout,
            body,
        };
        let sent = self.commands.blocking_send(command).is_ok();
        match received.recv() {
            Ok(body) if sent => body,
            _ => Err(BodyError::Cut),
        }
    }

    /// Gives up the request for its answer.
    #[must_use]
    pub fn into_responder(self) -> Responder {
        Responder::new(self.commands)
    }
}
