//! Answers to callers.
//!
//! An answer that is not finished ends its connection, so that a caller never
//! takes a part for the whole.

use std::io::{self, ErrorKind};
use std::sync::mpsc;

use bamboospur_http1::ResponseHead;
use bamboospur_http1::server::build_response_head;
use tokio::sync::mpsc::Sender;

use super::connection::{Command, Write};

/// The place for one answer.
pub struct Responder {
    commands: Sender<Command>,
}

impl Responder {
    pub(super) const fn new(commands: Sender<Command>) -> Self {
        Self { commands }
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns the write error when the caller is gone.
    pub fn send(self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let head = build_response_head(status, headers);
        let body = body.to_vec();
        write(&self.commands, Write::Whole { head, body })
    }

    /// Starts an answer of unknown length.
    ///
    /// # Errors
    ///
    /// Returns the write error when the caller is gone.
    pub fn stream(self, status: u16, headers: &[(&str, &str)]) -> io::Result<StreamWriter> {
        let head: ResponseHead = build_response_head(status, headers);
        write(&self.commands, Write::Begin { head })?;
        Ok(StreamWriter {
            commands: self.commands,
        })
    }
}

/// Body of an answer of unknown length.
pub struct StreamWriter {
    commands: Sender<Command>,
}

impl StreamWriter {
    /// Sends a part of the body at once; waits while the caller does not read.
    ///
    /// # Errors
    ///
    /// Returns the write error when the caller is gone or does not read.
    pub fn write(&mut self, part: &[u8]) -> io::Result<()> {
        write(&self.commands, Write::Part(part.to_vec()))
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns the write error when the caller is gone.
    pub fn finish(self) -> io::Result<()> {
        write(&self.commands, Write::End)
    }
}

/// Has the connection write something and waits for the result.
fn write(commands: &Sender<Command>, write: Write) -> io::Result<()> {
    let gone = || io::Error::from(ErrorKind::BrokenPipe);
    let (written, result) = mpsc::sync_channel(1);
    let command = Command::Write { write, written };
    commands.blocking_send(command).map_err(|_| gone())?;
    result.recv().unwrap_or_else(|_| Err(gone()))
}
