//! Listening sockets and TCP socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an address. Must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Listens on an address with a non-blocking socket, for a runtime that is started
/// later.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
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
