//! Accepts connections and runs a handler on one thread per request.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tracing::{error, warn};

use bamboospur_http1::socket;

use super::connection;
use super::incoming::Incoming;

/// Stack of a request thread, in bytes: 2,000 streams stay below 512 MiB of
/// address space, and far below that in memory.
const STACK_BYTES: usize = 256 * 1024;
/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(25);

/// Settings of one edge.
#[derive(Clone, Copy, Debug)]
pub struct EdgeSettings {
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Open connections above which no further ones are accepted.
    pub connections: usize,
    /// Requests in progress, plus those that are being refused.
    pub requests: usize,
    /// Silence while a head arrives, and between requests.
    pub receive_timeout: Duration,
    /// Longest wait of a write.
    pub send_timeout: Duration,
}

type Handler = Box<dyn Fn(Incoming) + Send + Sync>;

/// A listening HTTP edge.
pub struct Edge {
    shared: Arc<Shared>,
    address: SocketAddr,
    closed: watch::Sender<bool>,
}

/// What the connections of an edge have in common.
pub struct Shared {
    pub(super) settings: EdgeSettings,
    handler: Handler,
    connections: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    in_progress: AtomicUsize,
}

impl Edge {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, for example for an address
    /// that is in use.
    pub fn start<F>(settings: EdgeSettings, handler: F) -> io::Result<Self>
    where
        F: Fn(Incoming) + Send + Sync + 'static,
    {
        let listener = socket::bind(settings.address)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let shared = Arc::new(Shared {
            settings,
            handler: Box::new(handler),
            connections: Arc::new(Semaphore::new(settings.connections)),
            requests: Arc::new(Semaphore::new(settings.requests)),
            in_progress: AtomicUsize::new(0),
        });
        let (closed, closing) = watch::channel(false);
        let serving = Arc::clone(&shared);
        thread::Builder::new()
            .name("edge".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, serve(serving, listener, closing));
            })?;
        Ok(Self {
            shared,
            address,
            closed,
        })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::SeqCst)
    }

    /// Stops accepting connections; open ones go on.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.close();
    }
}

/// Accepts connections until the edge is closed, and serves them until they end.
async fn serve(shared: Arc<Shared>, listener: TcpListener, mut closing: watch::Receiver<bool>) {
    let connections = tokio::select! {
        connections = accept(&shared, listener) => connections,
        // The edge closes at the latest when it is dropped.
        _ = closing.wait_for(|&closed| closed) => Arc::clone(&shared.connections),
    };
    let all = u32::try_from(shared.settings.connections).unwrap_or(u32::MAX);
    // All permits are free once all connections have ended.
    let _ended = connections.acquire_many(all).await;
}

/// Returns only when the event loop cannot listen.
async fn accept(shared: &Arc<Shared>, listener: TcpListener) -> Arc<Semaphore> {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            error!(%error, "the HTTP edge cannot listen");
            return Arc::clone(&shared.connections);
        }
    };
    loop {
        let Ok(permit) = Arc::clone(&shared.connections).acquire_owned().await else {
            return Arc::clone(&shared.connections);
        };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = Arc::clone(shared);
                spawn_local(async move {
                    connection::serve(shared, stream, Some(peer)).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "no connection accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a request in progress until it is dropped.
pub struct Running {
    shared: Arc<Shared>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    /// Waits until a request may begin.
    pub(super) async fn begin_request(self: &Arc<Self>) -> Option<Running> {
        let permit = Arc::clone(&self.requests).acquire_owned().await.ok()?;
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        Some(Running {
            shared: Arc::clone(self),
            _permit: permit,
        })
    }

    /// Runs the handler on a thread. Without one the request is dropped, and its
    /// connection answers 500.
    pub(super) fn spawn_handler(running: Running, incoming: Incoming) {
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            (running.shared.handler)(incoming);
        });
        if let Err(error) = spawned {
            error!(%error, "no thread for a request; lower limits.requests");
        }
    }
}
