//! Links that other instances open to this one.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tracing::{debug, error};

use super::link::{self, Shared};
use crate::essential;

/// Most connections open at once: one from each of 420 instances, with room for
/// instances that are being replaced and for connections from outside the fleet.
const MAX_CONNECTIONS: usize = 1_024;
const LISTEN_BACKLOG: i32 = 512;
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens for links and runs each on its own thread.
pub fn start(address: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restarted process must not wait until connections of the previous one
    // have left the TIME_WAIT state.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener: TcpListener = socket.into();
    let shared = Arc::clone(shared);
    let open_count = Arc::new(AtomicUsize::new(0));
    essential::spawn("links", move || {
        loop {
            match listener.accept() {
                Ok((stream, address)) => serve(stream, address, &shared, &open_count),
                Err(error) => {
                    error!(%error, "accepting a connection failed; trying again after a delay");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    })
}

fn serve(
    stream: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
    open_count: &Arc<AtomicUsize>,
) {
    if open_count.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
        open_count.fetch_sub(1, Ordering::Relaxed);
        debug!(%address, "too many incoming links; refusing a connection");
        return;
    }
    let (shared, thread_open_count) = (Arc::clone(shared), Arc::clone(open_count));
    let builder = thread::Builder::new().name("link-in".to_owned());
    let spawned = builder.spawn(move || {
        if let Err(error) = link::accept(&shared, stream) {
            shared.traffic.count_refused();
            debug!(%error, %address, "incoming link failed; the connection is closed");
        }
        thread_open_count.fetch_sub(1, Ordering::Relaxed);
    });
    if let Err(error) = spawned {
        open_count.fetch_sub(1, Ordering::Relaxed);
        error!(%error, "starting the thread of an incoming link failed; the connection is closed");
    }
}
