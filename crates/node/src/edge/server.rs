//! Accepts connections and runs a handler on one thread per request.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::sleep;
use tracing::{error, warn};

use bamboospur_fleet::process::spawn_detached;
use bamboospur_http1::{Door, DoorSettings, socket};
use bamboospur_types::BufferBudget;

use super::connection;
use super::incoming::IncomingRequest;
use crate::essential;

/// Stack size of a request's thread: 2,000 streams take less than 512 MiB of
/// address space, and far less memory.
const STACK_BYTES: usize = 256 * 1024;
/// Connections that the operating system keeps until they are accepted.
const BACKLOG: u16 = 512;
/// Size of the receive buffer of a connection. About twice as many bytes can arrive unread.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Settings of one HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct HttpServerSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Largest number of open connections; further ones wait until others have given way.
    pub connections: usize,
    /// Largest number of requests in progress, including those that are being
    /// rejected; further ones wait.
    pub requests: usize,
    /// Limit for receiving a request head, and for the idle time between requests.
    pub receive_timeout: Duration,
    /// Limit for one write to the caller.
    pub send_timeout: Duration,
}

impl HttpServerSettings {
    const fn door(&self) -> DoorSettings {
        DoorSettings {
            connections: self.connections,
            backlog: BACKLOG,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }
}

/// What a request's handler reads as its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyPlan {
    /// Largest body.
    pub limit_bytes: usize,
    /// Limit for receiving the whole body.
    pub timeout: Duration,
}

type Handler = Box<dyn Fn(IncomingRequest) + Send + Sync>;
type Check = Box<dyn Fn(&IncomingRequest) -> Option<BodyPlan> + Send + Sync>;

/// An HTTP server; dropping it stops accepting connections.
pub struct HttpServer {
    shared: Arc<ServerState>,
    address: SocketAddr,
    closed: watch::Sender<bool>,
}

/// State that all connections of a server share.
pub struct ServerState {
    pub(super) settings: HttpServerSettings,
    pub(super) budget: BufferBudget,
    /// Returns how the body of a request is read, or `None` if the request is refused.
    check: Check,
    handler: Handler,
    requests: Arc<Semaphore>,
    in_progress: AtomicUsize,
}

impl HttpServer {
    /// Starts to listen, and runs `handler` on its own thread for each request whose body has
    /// arrived, or which `check` refuses before. Requests are buffered within `budget`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, for example for an address
    /// that is in use.
    pub fn start(
        settings: HttpServerSettings,
        budget: BufferBudget,
        check: impl Fn(&IncomingRequest) -> Option<BodyPlan> + Send + Sync + 'static,
        handler: impl Fn(IncomingRequest) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = socket::bind(settings.address, &settings.door())?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let shared = Arc::new(ServerState {
            settings,
            budget,
            check: Box::new(check),
            handler: Box::new(handler),
            requests: Arc::new(Semaphore::new(settings.requests)),
            in_progress: AtomicUsize::new(0),
        });
        let (closed, closing) = watch::channel(false);
        let serving = Arc::clone(&shared);
        essential::spawn("edge", move || {
            LocalSet::new().block_on(&runtime, serve(serving, listener, closing));
        })?;
        Ok(Self {
            shared,
            address,
            closed,
        })
    }

    /// Returns the address that the server listens on, with the actual port.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests whose heads have arrived and whose handlers have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::SeqCst)
    }

    /// Stops accepting connections; open connections are still served.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.close();
    }
}

/// Accepts connections until the server is closed, and serves them until they
/// end.
async fn serve(
    shared: Arc<ServerState>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let door = Door::new(shared.settings.door(), &shared.budget);
    tokio::select! {
        () = accept(&shared, &door, listener) => {}
        // The sender of this channel is dropped with the server, which ends the
        // wait at the latest.
        _ = closing.wait_for(|&closed| closed) => {}
    }
    door.wait_until_empty().await;
}

/// Accepts connections, each with a place. Returns only if the event loop cannot
/// listen on the socket.
async fn accept(shared: &Arc<ServerState>, door: &Door, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            error!(
                %error,
                "the HTTP server cannot listen on its socket; no connections are accepted"
            );
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let place = door.enter().await;
                let shared = Arc::clone(shared);
                spawn_detached(connection::serve(shared, stream, place, Some(peer)));
            }
            Err(error) => {
                warn!(%error, "accepting a connection failed; trying again after a pause");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a request, so that a node that shuts down waits for its end, until the guard is dropped.
pub struct PendingRequest {
    shared: Arc<ServerState>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request that has a thread, within the limit on requests in progress.
pub struct RunningRequest {
    pending: PendingRequest,
    _permit: OwnedSemaphorePermit,
}

impl ServerState {
    /// Counts a request whose head has arrived.
    pub(super) fn add_pending(self: &Arc<Self>) -> PendingRequest {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        PendingRequest {
            shared: Arc::clone(self),
        }
    }

    /// Waits until the number of requests in progress is below the limit.
    pub(super) async fn begin_request(self: &Arc<Self>) -> Option<RunningRequest> {
        let permit = Arc::clone(&self.requests).acquire_owned().await.ok()?;
        Some(RunningRequest {
            pending: self.add_pending(),
            _permit: permit,
        })
    }

    /// Checks a request on a new thread. Returns the request, and how its body is read unless the
    /// request is refused; `None` if there is no thread.
    pub(super) async fn check(
        running: RunningRequest,
        incoming: IncomingRequest,
    ) -> Option<(IncomingRequest, Option<BodyPlan>)> {
        let (reply, checked) = oneshot::channel();
        spawn_thread(move || {
            let plan = (running.pending.shared.check)(&incoming);
            drop(running);
            // The connection waits until the check has ended.
            let _received = reply.send((incoming, plan));
        });
        checked.await.ok()
    }

    /// Runs the handler on a new thread. If the thread cannot be created, the
    /// request is dropped and its connection answers 500.
    pub(super) fn spawn_handler(running: RunningRequest, incoming: IncomingRequest) {
        spawn_thread(move || {
            (running.pending.shared.handler)(incoming);
        });
    }
}

fn spawn_thread(work: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    if let Err(error) = builder.spawn(work) {
        error!(
            %error,
            "the thread of a request could not be created; the caller gets status 500; \
             lower limits.requests"
        );
    }
}
