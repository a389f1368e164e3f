//! Listening sockets and TCP socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::door::DoorSettings;
/// Receive buffer of a connection to a target. What arrives for a caller that does not read stays
/// there.
const TARGET_RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Listens on an address with the backlog and the receive buffers of `door`. Must be called
/// within a Tokio runtime.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn listen(address: SocketAddr, door: &DoorSettings) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address, door)?)
}

/// Listens on an address with a non-blocking socket, for a runtime that is started
/// later.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn bind(address: SocketAddr, door: &DoorSettings) -> io::Result<std::net::TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted connections inherit the size, and have it before they are accepted.
    socket.set_recv_buffer_size(door.receive_buffer_bytes)?;
    socket.bind(&address.into())?;
    socket.listen(door.backlog.into())?;
    Ok(socket.into())
}

/// Connects to a target.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(TARGET_RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Makes a connection end with a reset when it is closed, or with a regular close again. With a
/// reset, bytes that are not sent yet are lost.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}

/// Disables Nagle's algorithm and breaks the connection when the peer acknowledges
/// nothing for `peer_timeout`: the TCP user timeout covers written bytes, keep-alive
/// probes cover an idle connection.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_socket_options(stream: &TcpStream, peer_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(peer_timeout))?;
    let probe = Duration::from_secs(peer_timeout.as_secs().max(1));
    let keepalive = TcpKeepalive::new().with_time(probe).with_interval(probe);
    socket.set_tcp_keepalive(&keepalive)
}
