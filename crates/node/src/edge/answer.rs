//! Writes answers to callers.
//!
//! The connection of an unfinished answer is closed, so that a caller never takes
//! a partial answer for a complete one.

use std::io::{self, ErrorKind};
use std::sync::mpsc;

use bamboospur_http1::ResponseHead;
use bamboospur_http1::server::build_response_head;
use tokio::sync::mpsc::Sender;

use super::connection::{AnswerBody, AnswerPart, Command};

/// Sends the answer to one request.
pub struct Responder {
    commands: Sender<Command>,
}

impl Responder {
    pub(super) const fn new(commands: Sender<Command>) -> Self {
        Self { commands }
    }

    /// Sends a complete answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the write, usually because the caller closed the
    /// connection or does not read.
    pub fn send(self, status: u16, headers: &[(&str, &str)], body: AnswerBody) -> io::Result<()> {
        let head = build_response_head(status, headers);
        write(&self.commands, AnswerPart::Whole { head, body })
    }

    /// Sends the head of an answer of unknown length.
    ///
    /// # Errors
    ///
    /// Returns the error of the write, usually because the caller closed the
    /// connection or does not read.
    pub fn stream(self, status: u16, headers: &[(&str, &str)]) -> io::Result<StreamWriter> {
        let head: ResponseHead = build_response_head(status, headers);
        write(&self.commands, AnswerPart::Begin { head })?;
        Ok(StreamWriter {
            commands: self.commands,
        })
    }
}

/// Writes the body of an answer of unknown length.
pub struct StreamWriter {
    commands: Sender<Command>,
}

impl StreamWriter {
    /// Sends a chunk of the body without buffering; blocks while the caller does
    /// not read.
    ///
    /// # Errors
    ///
    /// Returns the error of the write, usually because the caller closed the
    /// connection or did not read within the send timeout.
    pub fn write(&mut self, chunk: &[u8]) -> io::Result<()> {
        write(&self.commands, AnswerPart::Chunk(chunk.to_vec()))
    }

    /// Sends the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the error of the write, usually because the caller closed the
    /// connection or does not read.
    pub fn finish(self) -> io::Result<()> {
        write(&self.commands, AnswerPart::End)
    }
}

/// Passes a part of the answer to the connection's task and waits until the task
/// has written it.
fn write(commands: &Sender<Command>, part: AnswerPart) -> io::Result<()> {
    let broken_pipe = || io::Error::from(ErrorKind::BrokenPipe);
    let (reply, result) = mpsc::sync_channel(1);
    let command = Command::Write { part, reply };
    commands.blocking_send(command).map_err(|_| broken_pipe())?;
    result.recv().unwrap_or_else(|_| Err(broken_pipe()))
}
