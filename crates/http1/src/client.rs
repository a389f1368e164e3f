//! Exchanges with targets over kept connections.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body::{BodyDecoder, BodyError};
use crate::head::{HeadError, RequestHead, ResponseHead};
use crate::io::{read, try_read, write_all};
use crate::socket;

/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why an exchange failed.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum ClientError {
        /// No connection was made; nothing was sent.
        Connect(error: io::Error) {
            display("cannot connect: {error}")
        }
        /// The connection failed.
        Io(error: io::Error) {
            display("the connection failed: {error}")
            from()
        }
        /// The connection ended before the answer.
        Closed {
            display("the connection was closed before the answer ended")
        }
        /// The bytes are not an answer.
        NotHttp {
            display("the target sent bytes that are not an answer")
        }
        /// The body cannot be read.
        Body(error: BodyError) {
            display("{error}")
            from()
        }
    }
}

impl From<HeadError> for ClientError {
    fn from(_: HeadError) -> Self {
        Self::NotHttp
    }
}

/// Connection to a target.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buffer: BytesMut,
    body: BodyDecoder,
    /// Whether an exchange was completed on it.
    reused: bool,
    /// Until then the target keeps it open without a request.
    idle_deadline: Instant,
}

impl ClientConnection {
    /// Connects to a target. `silence` bounds how long written bytes stay
    /// without an acknowledgement.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection in time.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        silence: Duration,
    ) -> Result<Self, ClientError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let timed_out = |_| io::Error::from(ErrorKind::TimedOut);
        let stream = connected
            .map_err(timed_out)
            .flatten()
            .map_err(ClientError::Connect)?;
        socket::set_socket_options(&stream, silence).map_err(ClientError::Connect)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            body: BodyDecoder::new(crate::body::Framing::Length(0)),
            reused: false,
            idle_deadline: Instant::now(),
        })
    }

    /// Whether an exchange was completed on this connection before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether a kept connection can take another request: it is not past its
    /// idle time, the target has not closed it, and no stray bytes wait on it.
    pub fn is_usable(&mut self, now: Instant) -> bool {
        let quiet = match try_read(&self.stream, &mut self.buffer) {
            Err(error) => error.kind() == ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        quiet && self.buffer.is_empty() && now < self.idle_deadline
    }

    /// Sends a request and reads the head of its answer. `written` counts the
    /// bytes that left, also when this fails or is dropped.
    ///
    /// A target can answer before it has read the whole body; the connection is
    /// then no longer reusable.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the bytes are not an answer.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        method: &str,
        written: &mut usize,
    ) -> Result<ResponseHead, ClientError> {
        let Self { stream, buffer, .. } = self;
        let mut sent = Ok(());
        let head = {
            let write = write_all(stream, request, written);
            tokio::pin!(write);
            let mut writing = true;
            loop {
                tokio::select! {
                    biased;
                    result = &mut write, if writing => {
                        writing = false;
                        sent = result;
                    }
                    head = read_head(stream, buffer) => break head,
                }
            }
        };
        let head = head.map_err(|error| match sent {
            Err(sent) => ClientError::Io(sent),
            Ok(()) => error,
        })?;
        if *written < request.len() {
            self.idle_deadline = Instant::now();
            self.reused = false;
        }
        self.expect_body(&head, method, *written == request.len())?;
        Ok(head)
    }

    /// Reads the head of another answer, after one that was not for the request.
    ///
    /// # Errors
    ///
    /// Fails as [`ClientConnection::exchange`] does.
    pub async fn next_head(&mut self, method: &str) -> Result<ResponseHead, ClientError> {
        let head = read_head(&self.stream, &mut self.buffer).await?;
        self.expect_body(&head, method, true)?;
        Ok(head)
    }

    fn expect_body(
        &mut self,
        head: &ResponseHead,
        method: &str,
        whole: bool,
    ) -> Result<(), ClientError> {
        self.body = BodyDecoder::new(head.framing(method)?);
        self.reused = whole && head.keeps_alive();
        Ok(())
    }

    /// Reads the next bytes of the body; `None` when it is complete.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            if let Some(data) = self.body.decode(&mut self.buffer)? {
                return Ok(Some(data));
            }
            if self.body.is_done() {
                return Ok(None);
            }
            if read(&self.stream, &mut self.buffer).await? == 0 {
                self.reused = false;
                self.body.end()?;
                return Ok(None);
            }
        }
    }

    /// Whether the connection can be kept for another exchange: the answer is
    /// complete, nothing follows it, and the target keeps it open.
    #[must_use]
    pub fn can_keep_alive(&self) -> bool {
        self.reused && self.body.is_done() && self.buffer.is_empty()
    }

    /// Sets until when the target keeps the connection open without a request.
    pub fn keep_until(&mut self, idle_deadline: Instant) {
        self.idle_deadline = idle_deadline;
    }
}

async fn read_head(stream: &TcpStream, buffer: &mut BytesMut) -> Result<ResponseHead, ClientError> {
    loop {
        match ResponseHead::parse(buffer)? {
            Some((head, length)) => {
                let _head = buffer.split_to(length);
                // An informational answer is followed by the final one.
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
            }
            None if buffer.len() > MAX_HEAD_BYTES => return Err(ClientError::NotHttp),
            None => {
                if read(stream, buffer).await? == 0 {
                    return Err(ClientError::Closed);
                }
            }
        }
    }
}

/// Returns the bytes of a request.
#[must_use]
pub fn request_bytes(head: &RequestHead, body: &[u8]) -> Vec<u8> {
    let mut bytes = head.to_bytes(body.len());
    bytes.extend_from_slice(body);
    bytes
}
