//! Cancel-safe reads and writes on a TCP socket.
//!
//! The functions take `&TcpStream`, so a connection can be read and written at the
//! same time. Reads append to a buffer that outlives the future, so dropping a
//! read loses no bytes.

use std::io::{self, ErrorKind};

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// Buffer space reserved for one read.
const READ_BYTES: usize = 4 * 1024;

/// Waits for bytes and appends them to the buffer; 0 means that the peer closed its
/// side of the connection.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
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
/// nothing to read.
pub fn try_read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    stream.try_read_buf(buffer)
}

/// Writes `bytes` from offset `written` on. `written` advances by what the kernel
/// accepted, also when the write fails or the future is dropped.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &mut usize) -> io::Result<()> {
    while *written < bytes.len() {
        match stream.try_write(&bytes[*written..]) {
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
/// `max_bytes`, the socket is no longer read and the future never completes.
pub async fn wait_for_close(stream: &TcpStream, buffer: &mut BytesMut, max_bytes: usize) {
    while buffer.len() < max_bytes {
        match read(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending::<()>().await;
}
