//! Cancel-safe reads and writes on a TCP socket.
//!
//! The functions take `&TcpStream`, so a connection can be read and written at the
//! same time. Reads append to a buffer that outlives the future, so dropping a
//! read loses no bytes.

use std::io::{self, ErrorKind};

use bamboospur_types::{BudgetExceeded, BufferBudget, BufferReservation};
use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// Buffer space reserved for one read.
const READ_BYTES: usize = 4 * 1024;

/// Bytes that were read from a peer and not processed yet, within the budget of the process.
#[derive(Debug)]
pub struct ReadBuffer {
    /// The bytes.
    pub bytes: BytesMut,
    reservation: BufferReservation,
}

impl ReadBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(budget: &BufferBudget) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: budget.reservation(),
        }
    }

    /// Adapts the reservation to the bytes that are left.
    ///
    /// # Errors
    ///
    /// Fails when there are more bytes than were reserved and the budget has no room.
    pub fn update_reservation(&mut self) -> Result<(), BudgetExceeded> {
        self.reservation.resize(self.bytes.len())
    }

    /// Frees the reservation of bytes that were removed.
    pub fn free_removed(&mut self) {
        // What is left was reserved, so that this cannot fail.
        let _freed = self.update_reservation();
    }
}

/// Whether an error says that the budget for buffers has no room. The connection is sound then.
#[must_use]
pub fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == ErrorKind::OutOfMemory
}

/// Waits for bytes and appends them to the buffer; 0 means that the peer closed its
/// side of the connection.
///
/// # Errors
///
/// Returns the error of the socket, or [`ErrorKind::OutOfMemory`] when the budget has no room for
/// the bytes, which are in the buffer all the same.
pub async fn read(stream: &TcpStream, buffer: &mut ReadBuffer) -> io::Result<usize> {
    loop {
        // A peer that sends faster than its bytes are read leaves the socket always readable,
        // so that no timer and no other task of the thread would run.
        consume_budget().await;
        stream.readable().await?;
        match try_read(stream, buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Appends the bytes that have arrived to the buffer, without waiting; 0 means that
/// the peer closed its side of the connection.
///
/// # Errors
///
/// Returns the error of the socket, [`ErrorKind::WouldBlock`] when there is
/// nothing to read, and [`ErrorKind::OutOfMemory`] as [`read`] does.
pub fn try_read(stream: &TcpStream, buffer: &mut ReadBuffer) -> io::Result<usize> {
    buffer.bytes.reserve(READ_BYTES);
    let count = stream.try_read_buf(&mut buffer.bytes)?;
    let reserved = buffer.update_reservation();
    reserved.map_err(|error| io::Error::new(ErrorKind::OutOfMemory, error))?;
    Ok(count)
}

/// Writes `bytes` from offset `written` on. `written` advances by what the kernel
/// accepted, also when the write fails or the future is dropped.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &mut usize) -> io::Result<()> {
    write_from(stream, bytes, 0, written).await
}

/// Writes `bytes` as [`write_all`] does, as the part of a longer message that begins at offset
/// `start`; `written` counts the whole message.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn write_from(
    stream: &TcpStream,
    bytes: &[u8],
    start: usize,
    written: &mut usize,
) -> io::Result<()> {
    while *written < start + bytes.len() {
        match stream.try_write(&bytes[*written - start..]) {
            Ok(count) => *written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until the peer closes its side or the connection fails.
///
/// Bytes that arrive meanwhile are appended to the buffer. Once the buffer holds
/// `max_bytes`, or there is no memory for more, the socket is no longer read and the future
/// never completes.
pub async fn wait_for_close(stream: &TcpStream, buffer: &mut ReadBuffer, max_bytes: usize) {
    while buffer.bytes.len() < max_bytes {
        match read(stream, buffer).await {
            Err(error) if is_out_of_memory(&error) => break,
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending::<()>().await;
}
