//! Waiting for a socket.
//!
//! Reads take `&TcpStream` and fill a buffer that the caller owns, so a read
//! that is dropped half-way loses nothing, and a connection can be read and
//! written at the same time.

use std::io::{self, ErrorKind};

use bytes::BytesMut;
use tokio::net::TcpStream;

/// Bytes asked for in one read.
const READ_BYTES: usize = 4 * 1024;

/// Reads what has arrived; 0 means that the peer closed its side.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_read(stream, buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Reads what has arrived without waiting.
///
/// # Errors
///
/// Returns the error of the socket, [`ErrorKind::WouldBlock`] when there is
/// nothing to read.
pub fn try_read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    stream.try_read_buf(buffer)
}

/// Writes all bytes. `written` counts those that the kernel took, also when the
/// write fails or is dropped.
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

/// Waits until the peer has closed its side or the connection failed.
///
/// Bytes that arrive meanwhile are kept in the buffer up to a limit; past it,
/// the connection is no longer watched.
pub async fn closed(stream: &TcpStream, buffer: &mut BytesMut, most_bytes: usize) {
    while buffer.len() < most_bytes {
        match read(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending::<()>().await;
}
