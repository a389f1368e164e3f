//! Options of TCP sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an address, inside an event loop.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Listens on an address, for an event loop that starts later.
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

/// Sends small writes at once, and gives up on a peer that acknowledges nothing
/// for `silence`: written bytes by the user timeout, an idle connection by
/// keep-alive probes.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_socket_options(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probe = Duration::from_secs(silence.as_secs().max(1));
    let keepalive = TcpKeepalive::new().with_time(probe).with_interval(probe);
    socket.set_tcp_keepalive(&keepalive)
}
