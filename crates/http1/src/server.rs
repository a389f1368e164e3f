//! Server side: reads requests from callers and writes responses.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::body::{BodyDecoder, Framing};
use crate::door::Place;
use crate::head::{HeadError, RequestHead, ResponseHead};
use crate::headers::{Headers, write_field};
use crate::io::{ReadBuffer, is_out_of_memory, read, try_read, wait_for_close, write_all};
use crate::socket;
use crate::turns::{PIPELINED_REQUEST_STEPS, Work};

/// Longest body that is copied behind its head, to be written with it in one call.
const MAX_COPIED_BODY_BYTES: usize = 4 * 1024;
/// Most bytes that a body in chunks may take on the connection, as a multiple of the largest body;
/// chunks of a single byte take six.
const MAX_CHUNKED_FACTOR: usize = 8;

/// Longest time for which input is discarded when another connection waits for the place.
const DISPLACED_DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Size and time limits for reading requests.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end; also the longest wait
    /// for the next bytes of a body.
    pub head_timeout: Duration,
    /// Longest time for a whole body.
    pub body_timeout: Duration,
    /// Longest wait for the first byte of a request.
    pub idle_timeout: Duration,
}

/// Size and time limits for reading one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body.
    pub bytes: usize,
    /// Longest wait for the next bytes of the body.
    pub part_timeout: Duration,
    /// When the whole body must have arrived.
    pub deadline: Instant,
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request line and header fields.
    pub head: RequestHead,
    /// Decoded body; empty when the request has none.
    pub body: Bytes,
    /// When reading of the request started.
    pub arrived: Instant,
}

/// Why no request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended or reached its idle timeout before a request began.
    Closed,
    /// The connection ended or failed within a request.
    Broken,
    /// The head or the body is malformed.
    Malformed,
    /// The head exceeds [`ReadLimits::head_bytes`] or has too many fields.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The head, the next bytes of the body, or the whole body did not arrive in time.
    TooSlow,
    /// The connection gives way to others, and a part of a request has arrived.
    Displaced,
    /// The budget for buffers has no room for the request.
    NoMemory,
}

/// Accepted connection from a caller.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
    place: Place,
    /// Work on requests that were sent ahead, one behind the other.
    pipelined: Work,
}

impl ServerConnection {
    /// Wraps an accepted connection, whose requests are buffered within the budget of its place.
    #[must_use]
    pub fn new(stream: TcpStream, place: Place) -> Self {
        Self {
            stream,
            buffer: ReadBuffer::new(place.budget()),
            place,
            pipelined: Work::default(),
        }
    }

    /// Reads the next request.
    ///
    /// # Errors
    ///
    /// Returns why no request was read. After an error the connection can carry one
    /// last response and must then be closed.
    pub async fn read_request(&mut self, limits: &ReadLimits) -> Result<Request, ReadError> {
        let (head, arrived) = self.next_head(limits).await?;
        let body_limits = BodyLimits {
            bytes: limits.body_bytes,
            part_timeout: limits.head_timeout,
            deadline: Instant::now() + limits.body_timeout,
        };
        let body = self.read_body(&head, &body_limits).await?;
        Ok(Request {
            head,
            body,
            arrived,
        })
    }

    /// Returns the place of the connection.
    #[must_use]
    pub const fn place(&self) -> &Place {
        &self.place
    }

    /// Whether the whole body of the request whose head was read last has arrived, as far as its
    /// length is known.
    #[must_use]
    pub fn has_body(&self, framing: Framing) -> bool {
        match framing {
            Framing::Length(length) => self.buffer.bytes.len() as u64 >= length,
            Framing::Chunked | Framing::UntilClose => false,
        }
    }

    /// Reads the head of the next request. Returns it with the time at which reading
    /// started.
    ///
    /// # Errors
    ///
    /// Fails as [`ServerConnection::read_request`] does.
    pub async fn next_head(
        &mut self,
        limits: &ReadLimits,
    ) -> Result<(RequestHead, Instant), ReadError> {
        if self.buffer.bytes.is_empty() {
            self.pipelined = Work::default();
        } else {
            self.pipelined.count(PIPELINED_REQUEST_STEPS);
            let turn = self.pipelined.wait_for_turn();
            self.place.unless_displaced(turn).await;
        }
        self.place.start_reading();
        if self.place.is_displaced() {
            return Err(self.displaced_idle());
        }
        let idle_deadline = Instant::now() + limits.idle_timeout;
        if self.buffer.bytes.is_empty() {
            match self.fill(idle_deadline).await {
                Ok(()) => {}
                Err(ReadError::NoMemory) => return Err(ReadError::NoMemory),
                Err(ReadError::Displaced) => return Err(self.displaced_idle()),
                Err(_) => return Err(ReadError::Closed),
            }
        } else {
            self.place.record_received(self.buffer.bytes.len());
        }
        let arrived = Instant::now();
        let head = self
            .read_head(limits, arrived + limits.head_timeout)
            .await?;
        Ok((head, arrived))
    }

    /// Returns the end of a connection that gives way while it waits for a request.
    fn displaced_idle(&mut self) -> ReadError {
        if !self.buffer.bytes.is_empty() {
            return ReadError::Displaced;
        }
        // A request that has just arrived gets an answer.
        match try_read(&self.stream, &mut self.buffer) {
            Ok(1..) => ReadError::Displaced,
            _ => ReadError::Closed,
        }
    }

    async fn read_head(
        &mut self,
        limits: &ReadLimits,
        deadline: Instant,
    ) -> Result<RequestHead, ReadError> {
        loop {
            match RequestHead::parse(&self.buffer.bytes) {
                Ok(Some((_, length))) if length > limits.head_bytes => {
                    return Err(ReadError::HeadTooLarge);
                }
                Ok(Some((head, length))) => {
                    let _head = self.buffer.bytes.split_to(length);
                    self.buffer.free_removed();
                    return Ok(head);
                }
                Ok(None) if self.buffer.bytes.len() > limits.head_bytes => {
                    return Err(ReadError::HeadTooLarge);
                }
                Ok(None) => {}
                Err(HeadError::TooLarge) => return Err(ReadError::HeadTooLarge),
                Err(HeadError::Malformed) => return Err(ReadError::Malformed),
            }
            self.fill(deadline).await?;
        }
    }

    /// Reads the whole body of the request whose head was read last. Sends
    /// `100 Continue` first when the head asks for it.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed or too large, when the budget has no room for it, when it
    /// is too slow, or when the connection has to give way to others.
    pub async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &BodyLimits,
    ) -> Result<Bytes, ReadError> {
        let framing = head.framing().map_err(|_| ReadError::Malformed)?;
        let too_large = |length: u64| length > limits.bytes as u64;
        let mut body = self.place.budget().buffer();
        if let Framing::Length(length) = framing {
            if too_large(length) {
                return Err(ReadError::BodyTooLarge);
            }
            // A body that has no room is rejected before it is sent.
            let reserved = body.reserve_total(usize::try_from(length).unwrap_or(usize::MAX));
            reserved.map_err(|_| ReadError::NoMemory)?;
        }
        if head.headers.has_token("expect", "100-continue") && framing != Framing::Length(0) {
            let interim = self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            interim.map_err(|_| ReadError::Broken)?;
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut work = Work::default();
        let mut left_bytes = limits.bytes.saturating_mul(MAX_CHUNKED_FACTOR);
        while !decoder.is_done() {
            let buffered_bytes = self.buffer.bytes.len();
            let part = decoder.decode(&mut self.buffer.bytes);
            let part = part.map_err(|_| ReadError::Malformed)?;
            let removed_bytes = buffered_bytes - self.buffer.bytes.len();
            left_bytes = left_bytes.saturating_sub(removed_bytes);
            work.count(1);
            if let Some(data) = part {
                body.extend(&data).map_err(|_| ReadError::NoMemory)?;
            } else if !decoder.is_done() {
                self.buffer.free_removed();
                self.place.unless_displaced(work.wait_for_turn()).await;
                let deadline = limits.deadline.min(Instant::now() + limits.part_timeout);
                self.fill(deadline).await?;
            }
            if too_large(body.len() as u64) || left_bytes == 0 {
                return Err(ReadError::BodyTooLarge);
            }
        }
        self.buffer.free_removed();
        self.place.start_serving();
        Ok(Bytes::from_owner(body))
    }

    /// Waits until the caller closes its side. Bytes that arrive meanwhile are
    /// buffered; with `max_bytes` in the buffer the future never completes.
    pub async fn wait_for_close(&mut self, max_bytes: usize) {
        wait_for_close(&self.stream, &mut self.buffer, max_bytes).await;
    }

    /// Reads and discards input before the connection is closed, until the caller closes it or
    /// `limit` is over. Closing at once would reset the connection and could lose the response.
    pub async fn discard(&mut self, limit: Duration) {
        let limit = if self.place.is_displaced() {
            limit.min(DISPLACED_DISCARD_TIMEOUT)
        } else {
            limit
        };
        self.place.start_closing();
        // Both ends are fine.
        let _ended = timeout_at(Instant::now() + limit, self.discard_all()).await;
    }

    async fn discard_all(&mut self) {
        self.buffer.bytes.clear();
        let mut work = Work::default();
        while matches!(read(&self.stream, &mut self.buffer).await, Ok(1..)) {
            self.buffer.bytes.clear();
            work.count(1);
            work.wait_for_turn().await;
        }
    }

    async fn fill(&mut self, deadline: Instant) -> Result<(), ReadError> {
        let result = tokio::select! {
            biased;
            () = self.place.displaced() => return Err(ReadError::Displaced),
            result = timeout_at(deadline, read(&self.stream, &mut self.buffer)) => result,
        };
        match result {
            Ok(Err(error)) if is_out_of_memory(&error) => Err(ReadError::NoMemory),
            Ok(Ok(0) | Err(_)) => Err(ReadError::Broken),
            Ok(Ok(count)) => {
                self.place.record_received(count);
                Ok(())
            }
            Err(_) => Err(ReadError::TooSlow),
        }
    }

    /// Splits the connection so that a close by the caller can be detected while a
    /// response is prepared and written.
    pub fn split(&mut self) -> (Responder<'_>, CloseWatch<'_>) {
        let responder = Responder {
            stream: &self.stream,
            place: &self.place,
            progress: ResponseProgress::Nothing,
            keep_alive: true,
            supports_chunks: true,
            has_body: true,
            closing: None,
        };
        let watch = CloseWatch {
            stream: &self.stream,
            buffer: &mut self.buffer,
        };
        (responder, watch)
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        write_all(&self.stream, bytes, &mut 0).await
    }
}

/// Detects that the caller closes the connection.
#[derive(Debug)]
pub struct CloseWatch<'a> {
    stream: &'a TcpStream,
    buffer: &'a mut ReadBuffer,
}

impl CloseWatch<'_> {
    /// Waits until the caller closes its side. Bytes that arrive meanwhile are
    /// buffered; with `max_bytes` in the buffer the future never completes.
    pub async fn wait_for_close(&mut self, max_bytes: usize) {
        wait_for_close(self.stream, self.buffer, max_bytes).await;
    }
}

/// How much of a response has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// No byte was written.
    Nothing,
    /// Writing has begun; the body has this framing.
    Part(Framing),
    /// The complete response was written.
    Whole,
}

/// Writer of one response.
#[derive(Debug)]
pub struct Responder<'a> {
    stream: &'a TcpStream,
    place: &'a Place,
    progress: ResponseProgress,
    keep_alive: bool,
    supports_chunks: bool,
    has_body: bool,
    /// Whether the connection is to be closed, as far as that is known before the response.
    closing: Option<&'a Cell<bool>>,
}

impl<'a> Responder<'a> {
    /// Makes the response carry `Connection: close`.
    pub fn close_after(&mut self) {
        self.keep_alive = false;
    }

    /// Makes the response carry `Connection: close` if `closing` is true when it begins.
    pub fn close_after_if(&mut self, closing: &'a Cell<bool>) {
        self.closing = Some(closing);
    }

    /// Adapts the response to a request: no body for `HEAD`, no chunked coding for
    /// HTTP/1.0, and `Connection: close` when the caller does not keep the connection.
    pub fn adapt_to_request(&mut self, request: &RequestHead) {
        self.has_body = request.method != "HEAD";
        self.supports_chunks = request.is_http11;
        self.keep_alive &= request.keeps_alive();
    }

    /// Returns how much of the response was written.
    #[must_use]
    pub const fn progress(&self) -> ResponseProgress {
        self.progress
    }

    /// Whether the connection can carry another request.
    #[must_use]
    pub fn can_keep_alive(&self) -> bool {
        self.keep_alive && self.progress == ResponseProgress::Whole
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, and an error if a response has begun.
    pub async fn write_response(&mut self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        self.begin()?;
        let mut out = head.to_bytes();
        self.write_connection(&mut out);
        if !matches!(head.status, 204 | 304) {
            write_field(&mut out, "Content-Length", &body.len().to_string());
        }
        out.extend_from_slice(b"\r\n");
        let body = if self.has_body { body } else { b"" };
        let is_copied = body.len() <= MAX_COPIED_BODY_BYTES;
        if is_copied {
            out.extend_from_slice(body);
        }
        self.progress = ResponseProgress::Part(Framing::Length(body.len() as u64));
        self.write(&out).await?;
        if !is_copied {
            self.write(body).await?;
        }
        self.progress = ResponseProgress::Whole;
        Ok(())
    }

    /// Writes the head of a response whose body follows by [`Responder::write_chunk`].
    /// A body of unknown length is chunked, or ended by closing the connection when the
    /// caller does not support chunks. The connection is reset then if the body stays incomplete.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, and an error if a response has begun.
    pub async fn write_head(&mut self, head: &ResponseHead, framing: Framing) -> io::Result<()> {
        self.begin()?;
        let framing = match framing {
            Framing::Length(_) => framing,
            _ if self.supports_chunks => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        self.keep_alive &= framing != Framing::UntilClose;
        let mut out = head.to_bytes();
        self.write_connection(&mut out);
        match framing {
            Framing::Length(length) => write_field(&mut out, "Content-Length", &length.to_string()),
            Framing::Chunked => write_field(&mut out, "Transfer-Encoding", "chunked"),
            Framing::UntilClose => {}
        }
        out.extend_from_slice(b"\r\n");
        if framing == Framing::UntilClose {
            // Until the body is complete, a regular close would end it, also that of a process
            // that is killed.
            socket::set_reset_on_close(self.stream, true)?;
        }
        self.progress = ResponseProgress::Part(framing);
        self.write(&out).await
    }

    /// Writes the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        if self.progress != ResponseProgress::Part(Framing::Chunked) {
            return self.write(data).await;
        }
        let mut out = Vec::with_capacity(data.len() + 16);
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
        self.write(&out).await
    }

    /// Ends the body, with the last chunk when it is chunked.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn finish(&mut self) -> io::Result<()> {
        match self.progress {
            ResponseProgress::Part(Framing::Chunked) => self.write(b"0\r\n\r\n").await?,
            ResponseProgress::Part(Framing::UntilClose) => {
                socket::set_reset_on_close(self.stream, false)?;
            }
            ResponseProgress::Nothing
            | ResponseProgress::Part(Framing::Length(_))
            | ResponseProgress::Whole => {}
        }
        self.progress = ResponseProgress::Whole;
        Ok(())
    }

    /// Fails if a response has begun: a second head would be taken for a part of it.
    fn begin(&mut self) -> io::Result<()> {
        match self.progress {
            ResponseProgress::Nothing => {
                self.keep_alive &= !self.closing.is_some_and(Cell::get);
                self.keep_alive &= !self.place.is_displaced();
                Ok(())
            }
            ResponseProgress::Part(_) | ResponseProgress::Whole => Err(io::Error::other(
                "a response has begun on the connection; no other one is written",
            )),
        }
    }

    fn write_connection(&self, out: &mut Vec<u8>) {
        if !self.keep_alive {
            write_field(out, "Connection", "close");
        }
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        write_all(self.stream, bytes, &mut 0).await
    }
}

/// Builds the head of a response that this process generates, with the standard reason
/// phrase of its status.
#[must_use]
pub fn build_response_head(status: u16, fields: &[(&str, &str)]) -> ResponseHead {
    let mut headers = Headers::default();
    for (name, value) in fields {
        headers.push(*name, *value);
    }
    ResponseHead {
        status,
        reason: reason_phrase(status).to_owned(),
        is_http11: true,
        headers,
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
