//! Requests to targets over keep-alive connections.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_types::{BufferBudget, ResponseStatus};
use bytes::Bytes;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body::{BodyDecoder, BodyError};
use crate::head::{HeadError, RequestHead, ResponseHead};
use crate::io::{ReadBuffer, is_out_of_memory, read, try_read, write_all, write_from};
use crate::socket;

/// Largest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest body that is copied behind its head, to be written with it in one call.
const MAX_COPIED_BODY_BYTES: usize = 4 * 1024;
/// Most informational (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

quick_error! {
    /// Why an exchange failed.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum ClientError {
        /// The connection could not be opened; nothing was sent.
        Connect(error: io::Error) {
            display("cannot connect: {error}")
        }
        /// Reading or writing failed on an open connection.
        Io(error: io::Error) {
            display("the connection failed: {error}")
            from()
        }
        /// The target closed the connection before the response head was complete.
        Closed {
            display("the target closed the connection before the response head was complete")
        }
        /// The bytes are not an HTTP/1 response head, its status is none of HTTP, the head is too
        /// large, or it follows too many informational ones.
        InvalidResponse {
            display("the target sent bytes that are not an HTTP/1 response head, or a head that is too large or has a status that HTTP does not have")
        }
        /// The response body cannot be decoded.
        Body(error: BodyError) {
            display("{error}")
            from()
        }
    }
}

impl ClientError {
    /// Whether the target ended the connection, as it does when its process ends. Bytes that
    /// are no answer and a silent connection are other failures.
    #[must_use]
    pub fn is_connection_end(&self) -> bool {
        match self {
            Self::Closed | Self::Body(BodyError::Truncated) => true,
            Self::Io(error) => error.kind() != ErrorKind::TimedOut && !is_out_of_memory(error),
            Self::Connect(_) | Self::InvalidResponse | Self::Body(_) => false,
        }
    }
}

impl From<HeadError> for ClientError {
    fn from(_: HeadError) -> Self {
        Self::InvalidResponse
    }
}

/// Connection to a target.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
    body: BodyDecoder,
    /// The last request, and how much of it was sent.
    request: OutgoingRequest,
    written_bytes: usize,
    /// Why the request could not be written to its end. The connection takes no other one.
    write_error: Option<ErrorKind>,
    /// Whether the last exchange left the connection open for another request.
    keep_alive: bool,
    /// When the target is expected to close the idle connection.
    idle_deadline: Instant,
}

impl ClientConnection {
    /// Connects to a target. `peer_timeout` bounds how long written bytes can stay
    /// unacknowledged; what the target sends is buffered within `budget`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or takes longer than `connect_timeout`.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        peer_timeout: Duration,
        budget: &BufferBudget,
    ) -> Result<Self, ClientError> {
        let connected = timeout(connect_timeout, socket::connect(address)).await;
        let timed_out = |_| io::Error::from(ErrorKind::TimedOut);
        let stream = connected
            .map_err(timed_out)
            .flatten()
            .map_err(ClientError::Connect)?;
        socket::set_socket_options(&stream, peer_timeout).map_err(ClientError::Connect)?;
        Ok(Self {
            stream,
            buffer: ReadBuffer::new(budget),
            body: BodyDecoder::new(crate::body::Framing::Length(0)),
            request: OutgoingRequest::default(),
            written_bytes: 0,
            write_error: None,
            keep_alive: false,
            idle_deadline: Instant::now(),
        })
    }

    /// Whether an exchange was completed on this connection before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.keep_alive
    }

    /// Whether an idle connection can take another request: its idle deadline has
    /// not passed, the target has not closed it, and it has no unread bytes.
    pub fn is_usable(&mut self, now: Instant) -> bool {
        let quiet = match try_read(&self.stream, &mut self.buffer) {
            Err(error) => error.kind() == ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        quiet && self.buffer.bytes.is_empty() && now < self.idle_deadline
    }

    /// Sends a request and reads the head of a response.
    ///
    /// A target can respond before it has read the whole request; the connection is
    /// then not reusable.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the target sends something other than an
    /// HTTP/1 response.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
        method: &str,
    ) -> Result<ResponseHead, ClientError> {
        self.request = request;
        self.written_bytes = 0;
        self.next_head(method).await
    }

    /// Reads the head of the next response, after one that belonged to an earlier request, and
    /// sends what is left of the request meanwhile.
    ///
    /// # Errors
    ///
    /// Fails as [`ClientConnection::exchange`] does.
    pub async fn next_head(&mut self, method: &str) -> Result<ResponseHead, ClientError> {
        let Self {
            stream,
            buffer,
            request,
            written_bytes,
            write_error,
            ..
        } = self;
        let head = {
            let write = request.write_to(stream, written_bytes);
            tokio::pin!(write);
            let mut writing = write_error.is_none();
            loop {
                tokio::select! {
                    biased;
                    result = &mut write, if writing => {
                        writing = false;
                        *write_error = result.err().map(|error| error.kind());
                    }
                    head = read_head(stream, buffer) => break head,
                }
            }
        };
        let head = head.map_err(|error| match *write_error {
            Some(kind) => ClientError::Io(kind.into()),
            None => error,
        })?;
        self.body = BodyDecoder::new(head.framing(method)?);
        let is_sent = self.written_bytes == self.request.len_bytes();
        if !is_sent {
            self.idle_deadline = Instant::now();
        }
        self.keep_alive = is_sent && head.keeps_alive();
        Ok(head)
    }

    /// Bytes of the last request that were handed to the kernel, also when its exchange failed
    /// or was dropped.
    #[must_use]
    pub const fn written_bytes(&self) -> usize {
        self.written_bytes
    }

    /// Reads the next bytes of the body; `None` when the body is complete.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body does, or a chunk is malformed.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            if let Some(data) = self.body.decode(&mut self.buffer.bytes)? {
                self.buffer.free_removed();
                return Ok(Some(data));
            }
            if self.body.is_done() {
                return Ok(None);
            }
            if read(&self.stream, &mut self.buffer).await? == 0 {
                self.keep_alive = false;
                self.check_end()?;
                self.body.end()?;
                return Ok(None);
            }
        }
    }

    /// Fails if the end that was read may be a failure of the connection. A write that fails takes
    /// the error from the socket, so that a read finds the end of the connection there, whether or
    /// not the target has closed its side.
    fn check_end(&self) -> Result<(), ClientError> {
        match self.write_error {
            // The connection was reset after the target had closed its side.
            None | Some(ErrorKind::BrokenPipe) => Ok(()),
            Some(kind) => Err(ClientError::Io(kind.into())),
        }
    }

    /// Reads the rest of a body that nobody needs, so that the connection can be reused.
    /// Returns whether it was complete after at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails as [`ClientConnection::next_chunk`] does.
    pub async fn skip_body(&mut self, max_bytes: usize) -> Result<bool, ClientError> {
        let mut skipped_bytes = 0;
        while let Some(data) = self.next_chunk().await? {
            skipped_bytes += data.len();
            if skipped_bytes > max_bytes {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Whether the body ended only with the connection, as one without length and chunks does.
    #[must_use]
    pub const fn ended_by_close(&self) -> bool {
        self.body.ended_by_close()
    }

    /// Whether the connection can be reused: the response is complete, no bytes
    /// follow it, and the target keeps the connection open.
    #[must_use]
    pub fn can_keep_alive(&self) -> bool {
        self.keep_alive && self.body.is_done() && self.buffer.bytes.is_empty()
    }

    /// Frees the last request, and sets when the connection stops being usable if no other is
    /// sent on it.
    pub fn set_idle(&mut self, idle_deadline: Instant) {
        self.request = OutgoingRequest::default();
        self.written_bytes = 0;
        self.idle_deadline = idle_deadline;
    }
}

async fn read_head(
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
) -> Result<ResponseHead, ClientError> {
    let mut interim_responses = 0;
    loop {
        match ResponseHead::parse(&buffer.bytes)? {
            Some((head, length)) => {
                let _head = buffer.bytes.split_to(length);
                buffer.free_removed();
                match ResponseStatus::from(head.status) {
                    ResponseStatus::Final => return Ok(head),
                    ResponseStatus::Interim => interim_responses += 1,
                    ResponseStatus::Invalid => return Err(ClientError::InvalidResponse),
                }
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ClientError::InvalidResponse);
                }
            }
            None if buffer.bytes.len() > MAX_HEAD_BYTES => {
                return Err(ClientError::InvalidResponse);
            }
            None => {
                if read(stream, buffer).await? == 0 {
                    return Err(ClientError::Closed);
                }
            }
        }
    }
}

/// A serialised request. A long body is shared with the request of the caller, not copied.
#[derive(Clone, Debug, Default)]
pub struct OutgoingRequest {
    /// Head, and the body if it is short.
    begin: Vec<u8>,
    /// Body, if it is long.
    body: Bytes,
}

impl From<Vec<u8>> for OutgoingRequest {
    /// Takes a request that is serialised already.
    fn from(begin: Vec<u8>) -> Self {
        Self {
            begin,
            body: Bytes::new(),
        }
    }
}

impl OutgoingRequest {
    /// Serialises a head with `Content-Length`, and its body.
    #[must_use]
    pub fn new(head: &RequestHead, body: &Bytes) -> Self {
        let mut begin = head.to_bytes(body.len());
        if body.len() > MAX_COPIED_BODY_BYTES {
            return Self {
                begin,
                body: body.clone(),
            };
        }
        begin.extend_from_slice(body);
        Self {
            begin,
            body: Bytes::new(),
        }
    }

    const fn len_bytes(&self) -> usize {
        self.begin.len() + self.body.len()
    }

    /// Writes the request from offset `written_bytes` on, which advances as in [`write_all`].
    async fn write_to(&self, stream: &TcpStream, written_bytes: &mut usize) -> io::Result<()> {
        write_all(stream, &self.begin, written_bytes).await?;
        let begin_bytes = self.begin.len();
        write_from(stream, &self.body, begin_bytes, written_bytes).await
    }
}
